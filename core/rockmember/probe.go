package rockmember

import (
	"time"

	"sassafrasrock/core/rocktable"
)

const (
	// probeFailures is the number of failed probes in a row after which a backend server is down.
	probeFailures = 3
	// probersEach is the number of hosts that probe one backend server.
	probersEach = 3
	// probeLost is the silence after which a probe counts as failed.
	probeLost = 10 * time.Second
)

// assign chooses the backend servers that this host probes, by rendezvous hashing over the hosts of their data centre that are not down or leaving.
func assign(w *rocktable.World) {
	if !w.Gossip.ReassignProbers {
		return
	}
	w.Gossip.ReassignProbers = false
	near := make(map[rocktable.DataCentreID][]*rocktable.Host)
	var all []*rocktable.Host
	for _, h := range w.Hosts.All() {
		// Hosts that are listed but not heard yet count, so that a host that starts does not probe everything.
		if h.State == rocktable.StateLive || h.State == rocktable.StateUnknown {
			near[h.DataCentre] = append(near[h.DataCentre], h)
			all = append(all, h)
		}
	}
	self := w.SelfHost()
	for _, s := range w.Servers.All() {
		hosts := near[s.DataCentre]
		switch {
		case len(hosts) == 0:
			hosts = all // a data centre without live hosts is probed from the others
		case s.DataCentre != self.DataCentre:
			s.Probing = false // its own hosts probe it; ranking them here would cost hosts x backend servers
			continue
		}
		s.Probing = isProber(self, s, hosts)
	}
}

// isProber reports whether the host is among the first of the hosts by rendezvous hash.
func isProber(self *rocktable.Host, s *rocktable.BackendServer, hosts []*rocktable.Host) bool {
	if self.State != rocktable.StateLive {
		return len(hosts) == 0
	}
	own := Rendezvous(self.Name, s.Name)
	ahead, found := 0, false
	for _, h := range hosts {
		if h.Self {
			found = true
			continue
		}
		if rank := Rendezvous(h.Name, s.Name); rank > own || rank == own && h.Name < self.Name {
			ahead++
		}
	}
	return found && ahead < probersEach
}

// Rendezvous hashes a pair of names, so that hosts rank backend servers, or each other, each in an order of its own, with FNV-1a and mixes the bits, which FNV alone leaves uneven for similar names.
func Rendezvous(host, server string) uint64 {
	const (
		offset = 14695981039346656037
		prime  = 1099511628211
	)
	sum := uint64(offset)
	for _, name := range [2]string{host, server} {
		for i := range len(name) {
			sum = (sum ^ uint64(name[i])) * prime
		}
		sum = (sum ^ 0xff) * prime // separates the names
	}
	sum = (sum ^ sum>>33) * 0xff51afd7ed558ccd
	sum = (sum ^ sum>>33) * 0xc4ceb9fe1a85ec53
	return sum ^ sum>>33
}

func takeProbe(now time.Time, w *rocktable.World, p rocktable.ProbeResult) {
	s := w.Servers.Get(p.Server)
	if s == nil {
		return
	}
	s.ProbePending = false
	if !p.OK {
		failProbe(w, s)
		return
	}
	s.FailedProbes = 0
	restarted := s.Incarnation != 0 && s.Incarnation != p.Status.Incarnation
	told := s.Status
	s.StatusSeq++
	takeStatus(now, s, p.Status)
	s.RoundTrip = p.RoundTrip
	switch {
	case p.Status.State == "leaving":
		Leave(now, w, s)
		return
	case restarted && s.State == rocktable.StateLeaving && !s.Drained:
		arrive(w, s)
	case s.State == rocktable.StateUnknown || s.State == rocktable.StateDown:
		setServerState(w, s, rocktable.StateLive)
	}
	load := p.Status.Active + p.Status.Queued
	if isNews(told, p.Status) || 4*abs(load-s.LoadAtChange) > max(p.Status.Slots, 1) {
		s.LoadAtChange = load
		s.ChangeSeq = w.NextChangeSeq()
	}
}

func failProbe(w *rocktable.World, s *rocktable.BackendServer) {
	s.FailedProbes++
	if s.FailedProbes >= probeFailures && s.State == rocktable.StateLive {
		s.StatusSeq++
		setServerState(w, s, rocktable.StateDown)
	}
}

func takeStatus(now time.Time, s *rocktable.BackendServer, status rocktable.EngineStatus) {
	s.Status, s.StatusAt, s.ConnectionFailed = status, now, false
	if s.Incarnation != status.Incarnation {
		s.BreakerTrips, s.BreakerOpenUntil = 0, time.Time{} // a new process starts with a clean record
	}
	s.Kind, s.Incarnation = status.Kind, status.Incarnation
	s.InFlightAtReport = s.InFlight
	s.OtherSessionsAtReport = max(0, status.Active+status.Queued-s.InFlightAtReport)
}

// isNews reports whether two reports differ in more than their load.
func isNews(a, b rocktable.EngineStatus) bool {
	return a.Incarnation != b.Incarnation || a.Model != b.Model || a.Version != b.Version || a.State != b.State ||
		a.FirstLayer != b.FirstLayer || a.LastLayer != b.LastLayer || a.Slots != b.Slots || a.Fencing != b.Fencing
}

func abs(n int) int { return max(n, -n) }

func sendProbes(now time.Time, w *rocktable.World) {
	if w.Limits.PlatformPushes {
		return // entries of the list carry reports
	}
	for _, s := range w.Servers.All() {
		if !s.Probing || s.Address == "" {
			continue
		}
		if s.ProbePending && now.Sub(s.NextProbe) >= probeLost {
			s.ProbePending = false
			failProbe(w, s)
		}
		if s.ProbePending {
			continue // the check for silence wakes the tick often enough for lost probes
		}
		if now.Before(s.NextProbe) {
			w.WakeAt(s.NextProbe)
			continue
		}
		s.ProbePending = true
		s.NextProbe = now.Add(w.Limits.ProbeEvery)
		w.Outbox.Probes = append(w.Outbox.Probes, rocktable.Probe{Server: s.ID, Role: s.Role, Address: s.Address})
		w.WakeAt(s.NextProbe)
	}
}
