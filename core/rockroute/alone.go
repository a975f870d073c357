package rockroute

import (
	"slices"
	"time"

	"sassafrasrock/core/rockcrash"
	"sassafrasrock/core/rocktable"
)

// alonePart is the part of a pipeline's backend servers for each of which one suspect may run alone at the same time.
const alonePart = 16

const (
	// peerWait is the time that a suspect waits for the attempts of peers on its reserved backend servers, whose streams may last minutes; the engine is told that the session runs alone.
	peerWait = 2 * time.Second
	// claimWait is the time between a reservation and the start: peers learn of the reservation, and their own ones arrive.
	claimWait = 150 * time.Millisecond
)

// alonePath returns a path on which a suspect has every backend server for itself. It reserves the backend servers first; they finish their other work and get no more.
func (f *Field) alonePath(now time.Time, w *rocktable.World, p *rocktable.Pipeline, r *rocktable.Request) []rocktable.Stage {
	reserved := slices.Contains(p.AloneRequests, r.ID)
	if !reserved && len(p.AloneRequests) >= max(1, len(f.Servers)/alonePart) {
		return nil
	}
	path := f.Path(now, w, r, isReserved)
	if path == nil || slices.ContainsFunc(path, func(stage rocktable.Stage) bool { return w.Servers.Get(stage.Server).PeerExclusive }) {
		path = f.Path(now, w, r, isReservable)
		if path == nil {
			return nil
		}
		release(w, r)
		for _, stage := range path {
			w.Servers.Get(stage.Server).ExclusiveRequest = r.ID
		}
		rockcrash.TellWork(now, w)
		r.NotBefore = now.Add(claimWait)
	}
	if !reserved {
		p.AloneRequests = append(p.AloneRequests, r.ID)
	}
	if now.Before(r.NotBefore) {
		w.WakeAt(r.NotBefore)
		return nil
	}
	peersUntil := r.QueuedAt.Add(peerWait)
	for _, stage := range path {
		s := w.Servers.Get(stage.Server)
		if s.InFlight > 0 || s.PeerInFlight > 0 && now.Before(peersUntil) {
			return nil
		}
	}
	return path
}

// release gives back backend servers that were reserved for an earlier path, because one of them left or a peer claims it.
func release(w *rocktable.World, r *rocktable.Request) {
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
