package rockmember

import (
	"time"

	"sassafrasrock/core/rocktable"
)

// probeFailures is the number of failed probes in a row after which a backend server is down.
const probeFailures = 3

// System keeps the tables of hosts and backend servers.
var System = rocktable.System{
	Name: "rockmember",
	Doc:  "Keeps hosts and backend servers in line with the platform's list, probes and gossip.",
	Run:  run,
}

func run(now time.Time, w *rocktable.World) {
	for _, list := range w.Inbox.HostLists {
		w.ListState.Pending = false
		if list.OK {
			w.ListState.ReadAt = now
			takeList(now, w, list.Entries)
		}
	}
	for _, p := range w.Inbox.Probes {
		takeProbe(now, w, p)
	}
	if !w.ListState.Pending && !now.Before(w.ListState.Next) {
		w.ListState.Pending = true
		w.ListState.Next = now.Add(w.Limits.HostListEvery)
		w.Outbox.ListReads++
	}
	w.WakeAt(w.ListState.Next)
	sendProbes(now, w)
}

func takeList(now time.Time, w *rocktable.World, entries []rocktable.ListedHost) {
	for _, e := range entries {
		dc := w.InternDataCentre(e.DataCentre, e.Region)
		if e.Role == "entry" {
			h := w.InternHost(e.Name)
			h.Listed, h.Address, h.DataCentre = true, e.Address, dc.ID
			continue
		}
		s := w.InternServer(e.Name)
		s.Listed, s.Address, s.DataCentre, s.Probing = true, e.Address, dc.ID, true
		if e.Role == "application" {
			s.Role = rocktable.RoleApplication
		}
		if e.State == "leaving" {
			Leave(now, w, s)
		}
	}
}

// Leave records the first word that a backend server is leaving.
func Leave(now time.Time, w *rocktable.World, s *rocktable.BackendServer) {
	if s.State == rocktable.StateLeaving {
		return
	}
	w.LogChange("backendServer", s.Name, s.State.String(), rocktable.StateLeaving.String())
	s.State, s.LeavingSince = rocktable.StateLeaving, now
	s.Changed = w.Changed()
}

func takeProbe(now time.Time, w *rocktable.World, p rocktable.ProbeResult) {
	s := w.Servers.Get(p.Server)
	if s == nil {
		return
	}
	s.ProbeSent = false
	if !p.OK {
		s.FailedProbes++
		if s.FailedProbes >= probeFailures && s.State == rocktable.StateLive {
			w.LogChange("backendServer", s.Name, s.State.String(), rocktable.StateDown.String())
			s.State = rocktable.StateDown
		}
		return
	}
	s.FailedProbes = 0
	s.Status, s.StatusAt, s.SentSince, s.Kind = p.Status, now, 0, p.Status.Kind
	s.Incarnation = p.Status.Incarnation
	s.RoundTrip = p.RoundTrip
	if p.Status.State == "leaving" {
		Leave(now, w, s)
		return
	}
	if s.State == rocktable.StateUnknown || s.State == rocktable.StateDown {
		w.LogChange("backendServer", s.Name, s.State.String(), rocktable.StateLive.String())
		s.State = rocktable.StateLive
	}
}

func sendProbes(now time.Time, w *rocktable.World) {
	for _, s := range w.Servers.All() {
		if !s.Probing || s.ProbeSent {
			continue
		}
		if now.Before(s.NextProbe) {
			w.WakeAt(s.NextProbe)
			continue
		}
		s.ProbeSent = true
		s.NextProbe = now.Add(w.Limits.ProbeEvery)
		w.Outbox.Probes = append(w.Outbox.Probes, rocktable.Probe{Server: s.ID, Role: s.Role, Address: s.Address})
		w.WakeAt(s.NextProbe)
	}
}
