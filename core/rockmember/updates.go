package rockmember

import (
	"math"
	"time"

	"sassafrasrock/core/rockpart"
	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// recentLoadAge is the age up to which a peer's report of its load counts as recent: one and a half rounds of gossip.
const recentLoadAge = 1500 * time.Millisecond

// loadRetention is the time after which a peer's report of its load is dropped.
const loadRetention = 30 * time.Second

func applyMessage(now time.Time, w *rocktable.World, m rocktable.PeerMessage) {
	if m.Sender == w.SelfHost().Name {
		return
	}
	applyHostUpdate(now, w, rocktable.HostUpdate{
		Name: m.Sender, Address: m.Address, DataCentre: m.DataCentre, Region: m.Region,
		Incarnation: m.Incarnation, Heartbeat: m.Heartbeat, State: m.State, ConfigVersion: m.ConfigVersion,
	})
	if sender := w.HostNamed(m.Sender); sender != nil && sender.Incarnation == m.Incarnation {
		justStarted := m.Heartbeat <= newHostHeartbeats && (sender.DataCentre == w.SelfHost().DataCentre || isOnlyHost(w, sender))
		if m.WantState || justStarted && sender.LoadReportedAt.IsZero() && !m.Reply {
			sendFullState(now, w, m)
		}
		sender.MessageReceived, sender.MessageReceivedAt, sender.InFlight = true, now, m.InFlight
		applyReports(now, w, sender, m)
	}
	w.Gossip.StateReceived = w.Gossip.StateReceived || m.FullState
	for _, u := range m.Hosts {
		applyHostUpdate(now, w, u)
	}
	for _, u := range m.Servers {
		applyServerUpdate(now, w, u)
	}
	for _, u := range m.Suspects {
		applySuspectUpdate(now, w, u)
	}
	for _, u := range m.Parts {
		rockpart.Merge(now, w, u, len(u.Crashes) >= forwardCrashes)
	}
}

// applyReports replaces the reports that a message carries. Those that it does not carry stay in force.
func applyReports(now time.Time, w *rocktable.World, sender *rocktable.Host, m rocktable.PeerMessage) {
	if m.ReportsLoad() {
		sender.ReportedLoads, sender.ReportedDemands, sender.LoadReportedAt = m.Loads, m.Demands, now
		w.Gossip.RecountPeerLoad = true
	}
	if m.ReportsLoad() || m.ReportsWork || len(m.Work) > 0 {
		applyWork(now, w, sender, m.Work)
	}
}

// isOnlyHost reports whether no other live host of its data centre is known that could send it the full state.
func isOnlyHost(w *rocktable.World, host *rocktable.Host) bool {
	for _, h := range w.Hosts.All() {
		if h != host && h.DataCentre == host.DataCentre && h.State == rocktable.StateLive {
			return false
		}
	}
	return true
}

// applyHostUpdate applies an update of a host if its incarnation or heartbeat number is higher than the known one.
func applyHostUpdate(now time.Time, w *rocktable.World, u rocktable.HostUpdate) {
	h := w.HostNamed(u.Name)
	if h != nil && h.Self {
		return
	}
	if h == nil {
		if u.DataCentre == "" || u.State == rocktable.StateDown {
			return
		}
		h = w.InternHost(u.Name)
		h.HeartbeatAt = now
	}
	if u.Incarnation < h.Incarnation {
		w.Count(rockreason.StaleNews)
		return
	}
	if u.DataCentre != "" && u.Address != "" && (h.Address != u.Address || h.DataCentre == 0) {
		h.Address, h.DataCentre = u.Address, w.InternDataCentre(u.DataCentre, u.Region).ID
		h.ChangeSeq = w.NextChangeSeq()
		w.Gossip.ReassignProbers = true
	}
	h.ConfigVersion = max(h.ConfigVersion, u.ConfigVersion)
	restarted := u.Incarnation > h.Incarnation
	if restarted {
		h.Incarnation, h.Heartbeat, h.MessageReceived = u.Incarnation, 0, false
		h.ConfigVersion = u.ConfigVersion
		forgetReports(w, h)
		h.ChangeSeq = w.NextChangeSeq()
	}
	if u.State == rocktable.StateLeaving && h.State != rocktable.StateLeaving {
		h.Heartbeat, h.HeartbeatAt = max(h.Heartbeat, u.Heartbeat), now
		markHostLeaving(w, h)
		return
	}
	if u.Heartbeat <= h.Heartbeat && !restarted {
		return
	}
	h.Heartbeat, h.HeartbeatAt, h.HeartbeatRelays = u.Heartbeat, now, 0
	if restarted || h.State != rocktable.StateLeaving {
		setHostState(w, h, u.State)
	}
}

func applyServerUpdate(now time.Time, w *rocktable.World, u rocktable.ServerUpdate) {
	s := w.ServerNamed(u.Name)
	if s == nil {
		if u.Address == "" || u.DataCentre == "" {
			return
		}
		s = w.InternServer(u.Name)
	}
	if s.Address == "" && u.Address != "" && u.DataCentre != "" {
		s.Address, s.Role = u.Address, u.Role
		s.DataCentre = w.InternDataCentre(u.DataCentre, u.Region).ID
		w.Gossip.ReassignProbers = true
	}
	if u.StatusSeq <= s.StatusSeq {
		applyStaleServerUpdate(w, s, u)
		return
	}
	phaseChanged := phaseOf(u.StatusSeq) != phaseOf(s.StatusSeq)
	s.StatusSeq = u.StatusSeq
	if u.Status.Incarnation != 0 && (!s.Probing || phaseChanged) && !w.Limits.PlatformPushes {
		applyStatus(now, s, u.Status)
	}
	applyServerState(now, w, s, u, phaseChanged)
	if phaseChanged {
		reportAtOnce(w, s)
	}
}

// applyStaleServerUpdate applies only the drain from an older report, and only if it belongs to the same departure.
// Probers number reports independently, so the first report of a drain may have a lower number than the report of a
// host that has not received it.
func applyStaleServerUpdate(w *rocktable.World, s *rocktable.BackendServer, u rocktable.ServerUpdate) {
	switch {
	case phaseOf(u.StatusSeq) < phaseOf(s.StatusSeq):
		w.Count(rockreason.StaleNews)
	case u.Drained && !s.Drained && IsLeaving(s):
		s.Drained = true
		s.ChangeSeq = w.NextChangeSeq()
		reportAtOnce(w, s)
	case s.Drained && !u.Drained:
		// The sender has not received the drain, which is therefore reported again.
		s.ChangeSeq = w.NextChangeSeq()
	}
}

func applyServerState(now time.Time, w *rocktable.World, s *rocktable.BackendServer, u rocktable.ServerUpdate, phaseChanged bool) {
	switch {
	case s.Drained && !u.Drained && !phaseChanged:
		// The sender has not received the drain, which is therefore reported again.
		s.ChangeSeq = w.NextChangeSeq()
	case s.Drained != u.Drained:
		s.Drained = u.Drained
		s.ChangeSeq = w.NextChangeSeq()
	}
	switch {
	case isLeavingSeq(s.StatusSeq):
		if s.State != rocktable.StateLeaving {
			s.LeavingSince = now
		}
		setServerState(w, s, rocktable.StateLeaving)
	case u.State == rocktable.StateLeaving:
		// Only a faulty peer sends a state that does not match the phase in its sequence number.
		w.Count(rockreason.StaleNews)
	case u.State == rocktable.StateDown && s.Probing && s.FailedProbes == 0 && s.State == rocktable.StateLive:
		// A prober whose own probes succeed keeps the backend server live.
	default:
		s.LeavingSince = time.Time{}
		setServerState(w, s, u.State)
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// unreportedFactors returns, by data centre, the number of live peers divided by the number of peers that reported
// their load. A host receives messages from only a few hosts of other data centres, and the rest are assumed to have
// the same mean load. Without the factors, hosts of a large fleet know less than half of the memory reserved at a
// backend server. They are not needed where backend servers are probed, because a probe shows the load of all hosts.
// It also returns the fraction of the live peers without a report within the last recentLoadAge.
func unreportedFactors(now time.Time, w *rocktable.World) (factors map[rocktable.DataCentreID]float64, unreported float64) {
	if !w.Limits.PlatformPushes {
		return nil, 0
	}
	live, reported := make(map[rocktable.DataCentreID]float64), make(map[rocktable.DataCentreID]float64)
	peers, recent := 0.0, 0.0
	for _, h := range w.Hosts.All() {
		if h.Self || h.State == rocktable.StateDown {
			continue
		}
		live[h.DataCentre]++
		peers++
		if !h.LoadReportedAt.IsZero() {
			reported[h.DataCentre]++
		}
		if !h.LoadReportedAt.IsZero() && now.Sub(h.LoadReportedAt) < recentLoadAge {
			recent++
		}
	}
	for dc, n := range reported {
		live[dc] /= n
	}
	return live, 1 - recent/max(1, peers)
}

// recountPeerLoad adds up the load, demand and work on suspects that peers reported.
func recountPeerLoad(now time.Time, w *rocktable.World) {
	if !w.Gossip.RecountPeerLoad {
		return
	}
	w.Gossip.RecountPeerLoad = false
	for _, s := range w.Servers.All() {
		s.PeerInFlight, s.PeerFirstStageInFlight, s.PeerReservedMemory, s.PeerExclusive = 0, 0, 0, false
	}
	for _, s := range w.Suspects.All() {
		s.PeerSigns, s.PeerRunsAlone = 0, false
	}
	for _, c := range w.Callers.All() {
		c.PeerDemand = 0
	}
	var factors map[rocktable.DataCentreID]float64
	factors, w.Gossip.UnreportedFraction = unreportedFactors(now, w)
	for _, h := range w.Hosts.All() {
		countWork(now, w, h)
		factor := max(1, factors[h.DataCentre])
		for _, u := range h.ReportedLoads {
			if s := w.ServerNamed(u.Server); s != nil {
				s.PeerInFlight += int(math.Round(factor * float64(u.InFlight)))
				s.PeerFirstStageInFlight += int(math.Round(factor * float64(u.FirstStageInFlight)))
				s.PeerReservedMemory += factor * u.ReservedMemory
			}
		}
		for _, u := range h.ReportedDemands {
			if c := w.CallerNamed(u.Caller); c != nil {
				c.PeerDemand += u.Rate
			}
		}
	}
}
