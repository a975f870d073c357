package rockmember

import (
	"time"

	"sassafrasrock/core/rocktable"
)

const (
	// rowRetention is the time after which the row of a host or backend server is deleted if it is down and not listed.
	rowRetention = 10 * time.Minute
	// checkEvery is the time between checks for silent hosts and for rows to delete.
	checkEvery = 250 * time.Millisecond
	// hostsPerInterval is the number of live hosts for which the interval between reads of the platform's list grows by
	// one HostListEvery.
	hostsPerInterval = 40
)

// System maintains the tables of hosts and backend servers.
var System = rocktable.System{
	Name:        "rockmember",
	Description: "Updates hosts and backend servers from the platform's list, probes and gossip.",
	Run:         run,
}

func run(now time.Time, w *rocktable.World) {
	for _, list := range w.Inbox.HostLists {
		w.ListState.Pending = false
		if list.Pushed {
			recordPushState(now, w, list.OK)
		}
		if list.OK {
			w.ListState.ReadAt = now
			recordListEra(now, w, list.Era)
			applyHostList(now, w, list)
		}
	}
	for _, m := range w.Inbox.Peers {
		applyMessage(now, w, m)
	}
	for _, f := range w.Inbox.PeerFailures {
		applyPeerFailure(now, w, f)
	}
	for _, p := range w.Inbox.Probes {
		applyProbeResult(now, w, p)
	}
	if w.Limits.PlatformPushes {
		markUnlistedLeaving(now, w)
		w.ListState.NextRead = now.Add(checkEvery)
	} else if !w.ListState.Pending && !now.Before(w.ListState.NextRead) {
		w.ListState.Pending = true
		w.ListState.NextRead = now.Add(listInterval(w))
		w.Outbox.ListReads++
	}
	w.WakeAt(w.ListState.NextRead)
	checkLiveness(now, w)
	assignProbers(w)
	sendProbes(now, w)
	requestState(now, w)
	recountPeerLoad(now, w)
	gossip(now, w)
	sendWork(now, w)
	sendParts(now, w)
}

// listInterval returns the time until the next read of the platform's list. The list of a large installation exceeds
// 100 KB, and a departure that one host reads there is gossiped to the others at once.
func listInterval(w *rocktable.World) time.Duration {
	return ScaledInterval(w, w.Limits.HostListEvery, hostsPerInterval)
}

// ScaledInterval returns the time until the next read from the platform: every, and as much again for each hostsPerStep
// live hosts, so that the reads of all hosts together grow less than their number. Above one step it is random, to keep
// hosts that started together from reading at the same time.
func ScaledInterval(w *rocktable.World, every time.Duration, hostsPerStep int) time.Duration {
	live := 0
	for _, h := range w.Hosts.All() {
		if h.State == rocktable.StateLive {
			live++
		}
	}
	steps := live / hostsPerStep
	if steps == 0 {
		return every
	}
	mean := every * time.Duration(1+steps)
	return mean/2 + time.Duration(w.Rand.Int64N(int64(mean)))
}

// applyHostList applies the platform's list. A host that the list lacks stays in use while it answers, and so does a
// backend server if the list was read, because such a list lags. markUnlistedLeaving handles the backend servers that a
// pushed list lacks.
func applyHostList(now time.Time, w *rocktable.World, list rocktable.HostList) {
	for _, h := range w.Hosts.All() {
		h.Listed = false
	}
	for _, s := range w.Servers.All() {
		s.Listed = false
	}
	for _, e := range list.Entries {
		dc := w.InternDataCentre(e.DataCentre, e.Region)
		if e.Role == "entry" {
			applyListedHost(now, w, e, dc.ID)
			continue
		}
		applyListedServer(now, w, list.Era, e, dc.ID)
	}
	for _, s := range w.Servers.All() {
		if !s.Listed {
			s.UnlistedEra = list.Era
		}
	}
}

func applyListedHost(now time.Time, w *rocktable.World, e rocktable.ListedHost, dc rocktable.DataCentreID) {
	h := w.InternHost(e.Name)
	h.Listed = true
	if h.Self {
		return
	}
	if h.HeartbeatAt.IsZero() {
		h.HeartbeatAt = now
	}
	if h.Address != e.Address || h.DataCentre != dc {
		h.Address, h.DataCentre = e.Address, dc
		w.Gossip.ReassignProbers = true
	}
	leaving := e.State == "leaving"
	if leaving && !h.ListedLeaving && h.State == rocktable.StateLive {
		markHostLeaving(w, h)
	}
	h.ListedLeaving = leaving
}

func applyListedServer(now time.Time, w *rocktable.World, era uint64, e rocktable.ListedHost, dc rocktable.DataCentreID) {
	s := w.InternServer(e.Name)
	if recordEntry(w, s, era, e) {
		s.Listed = true
		return
	}
	if s.Address != e.Address || s.DataCentre != dc {
		s.Address, s.DataCentre = e.Address, dc
		w.Gossip.ReassignProbers = true
	}
	s.Listed = true
	switch {
	case e.Role == "application":
		s.Role = rocktable.RoleApplication
	case e.Role == "model" && s.InFlight == 0: // calls in flight are counted by the role under which they began
		s.Role = rocktable.RoleModel
	}
	s.ListedService = e.Service
	if e.Status != nil {
		applyListedStatus(now, w, s, e)
	}
	// Only the change of an entry to leaving counts. The list lags, and an old entry must not undo a lift or a restart.
	leaving := e.State == "leaving"
	if leaving && !s.ListedLeaving {
		MarkLeaving(now, w, s)
	}
	s.ListedLeaving = leaving
}

// checkLiveness marks hosts as down whose heartbeat number has not risen within the timeout, and deletes the rows of
// hosts and backend servers that have been gone for longer than rowRetention.
func checkLiveness(now time.Time, w *rocktable.World) {
	g := &w.Gossip
	w.WakeAt(now.Add(checkEvery))
	if now.Before(g.NextCheck) {
		return
	}
	g.NextCheck = now.Add(checkEvery)
	self := w.SelfHost()
	local, remote := hostTimeouts(w)
	for id, h := range w.Hosts.All() {
		if h.Self {
			continue
		}
		limit := local
		if h.DataCentre != self.DataCentre {
			limit = remote
		}
		silent := now.Sub(h.HeartbeatAt)
		switch {
		case silent > limit && h.State != rocktable.StateDown:
			markHostDown(w, h)
		case silent > rowRetention && !h.Listed:
			w.Hosts.Delete(id)
		}
	}
	for id, s := range w.Servers.All() {
		gone := s.State == rocktable.StateDown || s.State == rocktable.StateLeaving && (s.FailedProbes > 0 || w.Limits.PlatformPushes)
		if s.Listed || s.Drained || s.InFlight > 0 || !gone {
			s.RemovableSince = time.Time{}
			continue
		}
		if s.RemovableSince.IsZero() {
			s.RemovableSince = now
		}
		if now.Sub(s.RemovableSince) > rowRetention {
			w.Servers.Delete(id)
		}
	}
}

// hostTimeouts returns the silence after which a host counts as down: local for hosts of this data centre, remote for
// those of others. Both grow with the number of hosts, because heartbeats are relayed in turn. With 34 hosts in each of
// 10 data centres, the longest silence of a live host was 15 s within a data centre and 60 s across data centres.
func hostTimeouts(w *rocktable.World) (local, remote time.Duration) {
	const (
		// The limit within a data centre grows by one HostTimeout for this number of its hosts, and the limit across
		// data centres for this number of all hosts.
		localHostsPerTimeout  = 16
		remoteHostsPerTimeout = 30
	)
	dc, count := w.SelfHost().DataCentre, 0
	for _, h := range w.Hosts.All() {
		if h.DataCentre == dc {
			count++
		}
	}
	limit := w.Limits.HostTimeout
	return limit + limit*time.Duration(count)/localHostsPerTimeout, limit * time.Duration(3+w.Hosts.Len()/remoteHostsPerTimeout)
}

// applyPeerFailure marks a host as down that cannot be reached and has been silent for HostTimeout, the shortest limit.
func applyPeerFailure(now time.Time, w *rocktable.World, f rocktable.PeerFailure) {
	h := w.Hosts.Get(f.Host)
	if h != nil && !h.Self && h.State != rocktable.StateDown && now.Sub(h.HeartbeatAt) >= w.Limits.HostTimeout {
		markHostDown(w, h)
	}
}

func markHostDown(w *rocktable.World, h *rocktable.Host) {
	setHostState(w, h, rocktable.StateDown)
	h.MessageReceived = false
	forgetReports(w, h)
}

// forgetReports forgets what a host reported before it stopped or restarted.
func forgetReports(w *rocktable.World, h *rocktable.Host) {
	h.ReportedLoads, h.ReportedDemands, h.ReportedWork = nil, nil, nil
	h.LoadReportedAt, h.WorkReportedAt = time.Time{}, time.Time{}
	w.Gossip.RecountPeerLoad = true
}

func setHostState(w *rocktable.World, h *rocktable.Host, state rocktable.State) {
	if h.State == state {
		return
	}
	w.LogChange("host", h.Name, h.State.String(), state.String())
	h.State = state
	h.ChangeSeq = w.NextChangeSeq()
	w.Gossip.ReassignProbers = true
}

func markHostLeaving(w *rocktable.World, h *rocktable.Host) {
	setHostState(w, h, rocktable.StateLeaving)
	w.Gossip.Departures = append(w.Gossip.Departures, rocktable.Departure{Host: h.ID})
}

// MarkSelfLeaving marks this host as leaving and has it reported to peers at once.
func MarkSelfLeaving(w *rocktable.World) { markHostLeaving(w, w.SelfHost()) }
