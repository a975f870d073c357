package rockmember

import (
	"math"
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// freshLoad is the age up to which what a peer told of its load counts as known: one round and a half.
const freshLoad = 1500 * time.Millisecond

// loadKept is the time after which what a peer told of its load is forgotten.
const loadKept = 30 * time.Second

func takeMessage(now time.Time, w *rocktable.World, m rocktable.PeerMessage) {
	if m.Sender == w.SelfHost().Name {
		return
	}
	takeHost(now, w, rocktable.HostUpdate{
		Name: m.Sender, Address: m.Address, DataCentre: m.DataCentre, Region: m.Region,
		Incarnation: m.Incarnation, Heartbeat: m.Heartbeat, State: m.State, ConfigVersion: m.ConfigVersion,
	})
	if sender := w.HostNamed(m.Sender); sender != nil && sender.Incarnation == m.Incarnation {
		young := m.Heartbeat <= welcomeBeats && (sender.DataCentre == w.SelfHost().DataCentre || isOnlyHost(w, sender))
		if young && !sender.MessageReceived && !m.Reply {
			welcome(now, w, m)
		}
		sender.MessageReceived, sender.MessageReceivedAt, sender.InFlight = true, now, m.InFlight
		takeWork(w, sender, m.Work)
		if !m.Reply {
			sender.ReportedLoads, sender.ReportedDemands = m.Loads, m.Demands
			w.Gossip.RecountPeerLoad = true
		}
	}
	for _, n := range m.Hosts {
		takeHost(now, w, n)
	}
	for _, n := range m.Servers {
		takeServer(now, w, n)
	}
	for _, n := range m.Suspects {
		takeSuspect(now, w, n)
	}
}

// isOnlyHost reports whether no other live host of its data centre is known, which could welcome it.
func isOnlyHost(w *rocktable.World, host *rocktable.Host) bool {
	for _, h := range w.Hosts.All() {
		if h != host && h.DataCentre == host.DataCentre && h.State == rocktable.StateLive {
			return false
		}
	}
	return true
}

// takeHost takes news of a host over if its incarnation or heartbeat number is higher than the one known.
func takeHost(now time.Time, w *rocktable.World, n rocktable.HostUpdate) {
	h := w.HostNamed(n.Name)
	if h != nil && h.Self {
		return
	}
	if h == nil {
		if n.DataCentre == "" || n.State == rocktable.StateDown {
			return
		}
		h = w.InternHost(n.Name)
		h.HeartbeatAt = now
	}
	if n.Incarnation < h.Incarnation {
		w.Count(rockreason.StaleNews)
		return
	}
	if n.DataCentre != "" && n.Address != "" && (h.Address != n.Address || h.DataCentre == 0) {
		h.Address, h.DataCentre = n.Address, w.InternDataCentre(n.DataCentre, n.Region).ID
		h.ChangeSeq = w.NextChangeSeq()
		w.Gossip.ReassignProbers = true
	}
	h.ConfigVersion = max(h.ConfigVersion, n.ConfigVersion)
	restarted := n.Incarnation > h.Incarnation
	if restarted {
		h.Incarnation, h.Heartbeat, h.MessageReceived = n.Incarnation, 0, false
		h.ConfigVersion = n.ConfigVersion
		h.ReportedLoads, h.ReportedDemands, h.ReportedWork = nil, nil, nil
		w.Gossip.RecountPeerLoad = true
		h.ChangeSeq = w.NextChangeSeq()
	}
	if n.State == rocktable.StateLeaving && h.State != rocktable.StateLeaving {
		h.Heartbeat, h.HeartbeatAt = max(h.Heartbeat, n.Heartbeat), now
		leaveHost(w, h)
		return
	}
	if n.Heartbeat <= h.Heartbeat && !restarted {
		return
	}
	h.Heartbeat, h.HeartbeatAt, h.HeartbeatRelays = n.Heartbeat, now, 0
	if restarted || h.State != rocktable.StateLeaving {
		setHostState(w, h, n.State)
	}
}

func takeServer(now time.Time, w *rocktable.World, n rocktable.ServerUpdate) {
	s := w.ServerNamed(n.Name)
	if s == nil {
		if n.Address == "" || n.DataCentre == "" {
			return
		}
		s = w.InternServer(n.Name)
	}
	if s.Address == "" && n.Address != "" && n.DataCentre != "" {
		s.Address, s.Role = n.Address, n.Role
		s.DataCentre = w.InternDataCentre(n.DataCentre, n.Region).ID
		w.Gossip.ReassignProbers = true
	}
	if n.StatusSeq <= s.StatusSeq {
		takeStaleServer(w, s, n)
		return
	}
	turned := turnOf(n.StatusSeq) != turnOf(s.StatusSeq)
	s.StatusSeq = n.StatusSeq
	if n.Status.Incarnation != 0 && (!s.Probing || turned) && !w.Limits.PlatformPushes {
		takeStatus(now, s, n.Status)
	}
	takeServerState(now, w, s, n, turned)
	if turned {
		tellAtOnce(w, s)
	}
}

// takeStaleServer takes from an older report only the drain of the same departure: probers number reports
// independently, so the news of a drain may have a lower number than a report of a host that has not heard of it.
func takeStaleServer(w *rocktable.World, s *rocktable.BackendServer, n rocktable.ServerUpdate) {
	switch {
	case turnOf(n.StatusSeq) < turnOf(s.StatusSeq):
		w.Count(rockreason.StaleNews)
	case n.Drained && !s.Drained && IsDeparted(s):
		s.Drained = true
		s.ChangeSeq = w.NextChangeSeq()
		tellAtOnce(w, s)
	case s.Drained && !n.Drained:
		s.ChangeSeq = w.NextChangeSeq()
	}
}

func takeServerState(now time.Time, w *rocktable.World, s *rocktable.BackendServer, n rocktable.ServerUpdate, turned bool) {
	switch {
	case s.Drained && !n.Drained && !turned:
		// The sender has not heard of the drain.
		s.ChangeSeq = w.NextChangeSeq()
	case s.Drained != n.Drained:
		s.Drained = n.Drained
		s.ChangeSeq = w.NextChangeSeq()
	}
	switch {
	case isLeavingSeq(s.StatusSeq):
		if s.State != rocktable.StateLeaving {
			s.LeavingSince = now
		}
		setServerState(w, s, rocktable.StateLeaving)
	case n.State == rocktable.StateLeaving:
		// A state that does not match its number comes from a broken peer.
		w.Count(rockreason.StaleNews)
	case n.State == rocktable.StateDown && s.Probing && s.FailedProbes == 0 && s.State == rocktable.StateLive:
		// A prober that reaches the backend server itself keeps its own view.
	default:
		s.LeavingSince = time.Time{}
		setServerState(w, s, n.State)
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// unheardFactors returns, by data centre, the live peers over those that told of their load: a host hears a few of the far
// hosts only, and the others are taken to be like them. Without it hosts of a large fleet know less than half of what is
// reserved at a backend server. Where reports are probed they show the load of all hosts. It also returns the part of the
// live peers that told nothing in the last moments.
func unheardFactors(now time.Time, w *rocktable.World) (factors map[rocktable.DataCentreID]float64, unheard float64) {
	if !w.Limits.PlatformPushes {
		return nil, 0
	}
	live, told := make(map[rocktable.DataCentreID]float64), make(map[rocktable.DataCentreID]float64)
	peers, fresh := 0.0, 0.0
	for _, h := range w.Hosts.All() {
		if h.Self || h.State == rocktable.StateDown {
			continue
		}
		live[h.DataCentre]++
		peers++
		if h.MessageReceived {
			told[h.DataCentre]++
		}
		if h.MessageReceived && now.Sub(h.MessageReceivedAt) < freshLoad {
			fresh++
		}
	}
	for dc, n := range told {
		live[dc] /= n
	}
	return live, 1 - fresh/max(1, peers)
}

// recount sums what peers told of their load.
func recount(now time.Time, w *rocktable.World) {
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
	factors, w.Gossip.UnreportedFraction = unheardFactors(now, w)
	for _, h := range w.Hosts.All() {
		countWork(now, w, h)
		factor := max(1, factors[h.DataCentre])
		for _, n := range h.ReportedLoads {
			if s := w.ServerNamed(n.Server); s != nil {
				s.PeerInFlight += int(math.Round(factor * float64(n.InFlight)))
				s.PeerFirstStageInFlight += int(math.Round(factor * float64(n.FirstStageInFlight)))
				s.PeerReservedMemory += factor * n.ReservedMemory
			}
		}
		for _, n := range h.ReportedDemands {
			if c := w.CallerNamed(n.Caller); c != nil {
				c.PeerDemand += n.Rate
			}
		}
	}
}
