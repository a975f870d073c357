package rockmember

import (
	"time"

	"sassafrasrock/core/rocktable"
)

const (
	// maxFailedProbes is the number of failed probes in a row after which a backend server is down.
	maxFailedProbes = 3
	// probersPerServer is the number of hosts that probe one backend server.
	probersPerServer = 3
	// probeTimeout is the time without a result after which a probe counts as failed.
	probeTimeout = 10 * time.Second
)

// assignProbers chooses the backend servers that this host probes, by rendezvous hashing over the hosts of the same
// data centre that are neither down nor leaving.
func assignProbers(w *rocktable.World) {
	if !w.Gossip.ReassignProbers {
		return
	}
	w.Gossip.ReassignProbers = false
	hostsByDataCentre := make(map[rocktable.DataCentreID][]*rocktable.Host)
	var all []*rocktable.Host
	for _, h := range w.Hosts.All() {
		// Listed hosts without a heartbeat count too. Otherwise a host that has just started would probe every
		// backend server.
		if h.State == rocktable.StateLive || h.State == rocktable.StateUnknown {
			hostsByDataCentre[h.DataCentre] = append(hostsByDataCentre[h.DataCentre], h)
			all = append(all, h)
		}
	}
	self := w.SelfHost()
	for _, s := range w.Servers.All() {
		hosts := hostsByDataCentre[s.DataCentre]
		switch {
		case len(hosts) == 0:
			hosts = all // a data centre without live hosts is probed from other data centres
		case s.DataCentre != self.DataCentre:
			// Hosts of its own data centre probe it. Ranking those here too would cost hosts x backend servers.
			s.Probing = false
			continue
		}
		s.Probing = isProber(self, s, hosts)
	}
}

// isProber reports whether this host is among the probersPerServer hosts with the highest rendezvous hash.
func isProber(self *rocktable.Host, s *rocktable.BackendServer, hosts []*rocktable.Host) bool {
	if self.State != rocktable.StateLive {
		return len(hosts) == 0
	}
	own := RendezvousHash(self.Name, s.Name)
	ahead, found := 0, false
	for _, h := range hosts {
		if h.Self {
			found = true
			continue
		}
		if rank := RendezvousHash(h.Name, s.Name); rank > own || rank == own && h.Name < self.Name {
			ahead++
		}
	}
	return found && ahead < probersPerServer
}

// RendezvousHash returns the hash of a pair of names for rendezvous hashing: each host ranks backend servers, or
// other hosts, in a different order. The hash is FNV-1a with a final mix of the bits, because FNV-1a alone
// distributes similar names unevenly.
func RendezvousHash(host, server string) uint64 {
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

func applyProbeResult(now time.Time, w *rocktable.World, p rocktable.ProbeResult) {
	s := w.Servers.Get(p.Server)
	if s == nil {
		return
	}
	s.ProbePending = false
	if !p.OK {
		recordProbeFailure(w, s)
		return
	}
	s.FailedProbes = 0
	restarted := s.Incarnation != 0 && s.Incarnation != p.Status.Incarnation
	previous := s.Status
	s.StatusSeq++
	applyStatus(now, s, p.Status)
	s.RoundTrip = p.RoundTrip
	switch {
	case p.Status.State == "leaving":
		MarkLeaving(now, w, s)
		return
	case restarted && s.State == rocktable.StateLeaving && !s.Drained:
		endDeparture(w, s)
	case s.State == rocktable.StateUnknown || s.State == rocktable.StateDown:
		setServerState(w, s, rocktable.StateLive)
	}
	load := p.Status.Active + p.Status.Queued
	if differsBeyondLoad(previous, p.Status) || 4*abs(load-s.LoadAtChange) > max(p.Status.Slots, 1) {
		s.LoadAtChange = load
		s.ChangeSeq = w.NextChangeSeq()
	}
}

func recordProbeFailure(w *rocktable.World, s *rocktable.BackendServer) {
	s.FailedProbes++
	if s.FailedProbes >= maxFailedProbes && s.State == rocktable.StateLive {
		s.StatusSeq++
		setServerState(w, s, rocktable.StateDown)
	}
}

func applyStatus(now time.Time, s *rocktable.BackendServer, status rocktable.EngineStatus) {
	s.Status, s.StatusAt, s.ConnectionFailed = status, now, false
	if s.Incarnation != status.Incarnation {
		s.BreakerTrips, s.BreakerOpenUntil = 0, time.Time{} // failures of the last process do not count for the new one
	}
	s.Kind, s.Incarnation = status.Kind, status.Incarnation
	s.InFlightAtReport = s.InFlight
	s.OtherSessionsAtReport = max(0, status.Active+status.Queued-s.InFlightAtReport)
}

// differsBeyondLoad reports whether two reports differ in more than their load.
func differsBeyondLoad(a, b rocktable.EngineStatus) bool {
	return a.Incarnation != b.Incarnation || a.Model != b.Model || a.Version != b.Version || a.State != b.State ||
		a.FirstLayer != b.FirstLayer || a.LastLayer != b.LastLayer || a.Slots != b.Slots || a.Fencing != b.Fencing
}

func abs(n int) int { return max(n, -n) }

func sendProbes(now time.Time, w *rocktable.World) {
	if w.Limits.PlatformPushes {
		return // the entries of the list carry status reports
	}
	for _, s := range w.Servers.All() {
		if !s.Probing || s.Address == "" {
			continue
		}
		if s.ProbePending && now.Sub(s.NextProbe) >= probeTimeout {
			s.ProbePending = false
			recordProbeFailure(w, s)
		}
		if s.ProbePending {
			continue // checkLiveness requests ticks often enough to notice lost probes
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
