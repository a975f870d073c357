package rockmember

import (
	"time"

	"sassafrasrock/core/rocktable"
)

const (
	// retention is the time after which a host or backend server that is down and not listed is forgotten.
	retention = 10 * time.Minute
	// checkEvery is the time between searches for silent hosts.
	checkEvery = 250 * time.Millisecond
	// hostsPerRead is the number of live hosts for each HostListEvery between reads of the platform's list.
	hostsPerRead = 40
)

// System keeps the tables of hosts and backend servers.
var System = rocktable.System{
	Name: "rockmember",
	Doc:  "Keeps hosts and backend servers in line with the platform's list, probes and gossip.",
	Run:  run,
}

func run(now time.Time, w *rocktable.World) {
	for _, list := range w.Inbox.HostLists {
		w.ListState.Pending = false
		if list.Pushed {
			notePush(now, w, list.OK)
		}
		if list.OK {
			w.ListState.ReadAt = now
			takeList(now, w, list.Entries)
		}
	}
	for _, m := range w.Inbox.Peers {
		takeMessage(now, w, m)
	}
	for _, f := range w.Inbox.PeerFailures {
		takeFailure(now, w, f)
	}
	for _, p := range w.Inbox.Probes {
		takeProbe(now, w, p)
	}
	if w.Limits.PlatformPushes {
		dropMissing(now, w)
		w.ListState.NextRead = now.Add(checkEvery)
	} else if !w.ListState.Pending && !now.Before(w.ListState.NextRead) {
		w.ListState.Pending = true
		w.ListState.NextRead = now.Add(listEvery(w))
		w.Outbox.ListReads++
	}
	w.WakeAt(w.ListState.NextRead)
	checkSilence(now, w)
	assign(w)
	sendProbes(now, w)
	recount(now, w)
	gossip(now, w)
	sendWork(now, w)
}

// listEvery returns the time to the next read of the platform's list. It grows with the number of live hosts, because
// the first host that reads of a departure tells the others at once, and the list of a large installation is more than
// a hundred kilobytes long. The times are random, so that hosts that started together do not read together.
func listEvery(w *rocktable.World) time.Duration {
	live := 0
	for _, h := range w.Hosts.All() {
		if h.State == rocktable.StateLive {
			live++
		}
	}
	every := w.Limits.HostListEvery * time.Duration(1+live/hostsPerRead)
	if every == w.Limits.HostListEvery {
		return every
	}
	return every/2 + time.Duration(w.Rand.Int64N(int64(every)))
}

// takeList takes the platform's list over; an entry that is missing stays in use while it answers, because the list lags.
func takeList(now time.Time, w *rocktable.World, entries []rocktable.ListedHost) {
	for _, h := range w.Hosts.All() {
		h.Listed = false
	}
	for _, s := range w.Servers.All() {
		s.Listed = false
	}
	for _, e := range entries {
		dc := w.InternDataCentre(e.DataCentre, e.Region)
		if e.Role == "entry" {
			takeListedHost(now, w, e, dc.ID)
			continue
		}
		takeListedServer(now, w, e, dc.ID)
	}
}

func takeListedHost(now time.Time, w *rocktable.World, e rocktable.ListedHost, dc rocktable.DataCentreID) {
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
		leaveHost(w, h)
	}
	h.ListedLeaving = leaving
}

func takeListedServer(now time.Time, w *rocktable.World, e rocktable.ListedHost, dc rocktable.DataCentreID) {
	s := w.InternServer(e.Name)
	if s.Address != e.Address || s.DataCentre != dc {
		s.Address, s.DataCentre = e.Address, dc
		w.Gossip.ReassignProbers = true
	}
	s.Listed = true
	if e.Role == "application" {
		s.Role = rocktable.RoleApplication
	}
	s.ListedService = e.Service
	if e.Status != nil {
		takeListedStatus(now, w, s, e)
	}
	// The list lags, so only the change to leaving is news; a lift or a restart must not be undone by an old entry.
	leaving := e.State == "leaving"
	if leaving && !s.ListedLeaving {
		Leave(now, w, s)
	}
	s.ListedLeaving = leaving
}

// checkSilence marks hosts down whose heartbeat number has not changed for too long, and forgets rows that are long gone.
func checkSilence(now time.Time, w *rocktable.World) {
	g := &w.Gossip
	w.WakeAt(now.Add(checkEvery))
	if now.Before(g.NextCheck) {
		return
	}
	g.NextCheck = now.Add(checkEvery)
	self := w.SelfHost()
	near, far := timeouts(w)
	for id, h := range w.Hosts.All() {
		if h.Self {
			continue
		}
		limit := near
		if h.DataCentre != self.DataCentre {
			limit = far
		}
		silent := now.Sub(h.HeartbeatAt)
		switch {
		case silent > limit && h.State != rocktable.StateDown:
			goDown(w, h)
		case silent > retention && !h.Listed:
			w.Hosts.Delete(id)
		}
	}
	for id, s := range w.Servers.All() {
		gone := s.State == rocktable.StateDown || s.State == rocktable.StateLeaving && (s.FailedProbes > 0 || w.Limits.PlatformPushes)
		if s.Listed || s.Drained || s.InFlight > 0 || !gone {
			s.GoneSince = time.Time{}
			continue
		}
		if s.GoneSince.IsZero() {
			s.GoneSince = now
		}
		if now.Sub(s.GoneSince) > retention {
			w.Servers.Delete(id)
		}
	}
}

// timeouts returns the silence after which a host of the data centre, or of another one, is down.
// The limits grow with the number of hosts, whose heartbeats are relayed in turns: in trials with 34 hosts in each of
// 10 data centres the longest silence of a live host was 15 s in the data centre and 60 s across them.
func timeouts(w *rocktable.World) (near, far time.Duration) {
	const (
		nearHosts = 16 // for each further HostTimeout
		farHosts  = 30
	)
	dc, count := w.SelfHost().DataCentre, 0
	for _, h := range w.Hosts.All() {
		if h.DataCentre == dc {
			count++
		}
	}
	limit := w.Limits.HostTimeout
	return limit + limit*time.Duration(count)/nearHosts, limit * time.Duration(3+w.Hosts.Len()/farHosts)
}

// takeFailure marks a host down that cannot be reached and has been silent for the shortest limit.
func takeFailure(now time.Time, w *rocktable.World, f rocktable.PeerFailure) {
	h := w.Hosts.Get(f.Host)
	if h != nil && !h.Self && h.State != rocktable.StateDown && now.Sub(h.HeartbeatAt) >= w.Limits.HostTimeout {
		goDown(w, h)
	}
}

func goDown(w *rocktable.World, h *rocktable.Host) {
	setHostState(w, h, rocktable.StateDown)
	h.ReportedLoads, h.ReportedDemands, h.ReportedWork, h.MessageReceived = nil, nil, nil, false
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

func leaveHost(w *rocktable.World, h *rocktable.Host) {
	setHostState(w, h, rocktable.StateLeaving)
	w.Gossip.Departures = append(w.Gossip.Departures, rocktable.Departure{Host: h.ID})
}

// LeaveSelf marks this host as leaving and tells peers at once.
func LeaveSelf(w *rocktable.World) { leaveHost(w, w.SelfHost()) }
