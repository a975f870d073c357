package rockroute

import (
	"slices"
	"time"

	"sassafrasrock/core/rockcrash"
	"sassafrasrock/core/rocktable"
)

// serversPerAloneRequest limits the suspects of a pipeline that run alone at the same time: one for
// each 16 of its backend servers, at least one.
const serversPerAloneRequest = 16

const (
	// peerDrainTimeout is the time that a suspect waits for the attempts of peers on its reserved
	// backend servers. Streams of peers may last minutes. After the time-out the suspect starts
	// although they still run. The engine receives the flag that the session runs alone.
	peerDrainTimeout = 2 * time.Second
	// reservationDelay is the time between a reservation and the start of the attempt. Meanwhile
	// peers receive the reservation, and their own reservations arrive here.
	reservationDelay = 150 * time.Millisecond
)

// alonePath returns a path on which a suspect has each backend server to itself. It first reserves
// the backend servers. Reserved backend servers finish their other work and get no new requests.
// alonePath returns nil while the suspect has to wait.
func (g *Graph) alonePath(now time.Time, w *rocktable.World, p *rocktable.Pipeline, r *rocktable.Request) []rocktable.Stage {
	reserved := slices.Contains(p.AloneRequests, r.ID)
	if !reserved && len(p.AloneRequests) >= max(1, len(g.Servers)/serversPerAloneRequest) {
		return nil
	}
	path := g.Path(now, w, r, isReserved)
	if path == nil || slices.ContainsFunc(path, func(stage rocktable.Stage) bool { return w.Servers.Get(stage.Server).PeerExclusive }) {
		path = g.Path(now, w, r, isReservable)
		if path == nil {
			return nil
		}
		releaseReserved(w, r)
		for _, stage := range path {
			w.Servers.Get(stage.Server).ExclusiveRequest = r.ID
		}
		rockcrash.ReportWork(now, w)
		r.NotBefore = now.Add(reservationDelay)
	}
	if !reserved {
		p.AloneRequests = append(p.AloneRequests, r.ID)
	}
	if now.Before(r.NotBefore) {
		w.WakeAt(r.NotBefore)
		return nil
	}
	peersUntil := r.QueuedAt.Add(peerDrainTimeout)
	for _, stage := range path {
		s := w.Servers.Get(stage.Server)
		if s.InFlight > 0 || s.PeerInFlight > 0 && now.Before(peersUntil) {
			return nil
		}
	}
	return path
}

// releaseReserved releases the backend servers reserved for an earlier path of the request, which is
// no longer possible, for example because one of them left or was reserved by a peer.
func releaseReserved(w *rocktable.World, r *rocktable.Request) {
	for _, s := range w.Servers.All() {
		if s.ExclusiveRequest == r.ID {
			s.ExclusiveRequest = 0
		}
	}
}

func isReserved(_ *rocktable.World, s *rocktable.BackendServer, r *rocktable.Request) bool {
	return s.ExclusiveRequest == r.ID && !s.ConnectionFailed
}

func isReservable(_ *rocktable.World, s *rocktable.BackendServer, r *rocktable.Request) bool {
	return s.ExclusiveRequest == 0 && !s.PeerExclusive && s.Status.Slots > 0 && !s.ConnectionFailed
}
