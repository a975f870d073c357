package rockretry

import (
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// minForeignClosed and maxForeignClosed bound the time for which an address gets no work after an answer that is not of
// the backend server that was asked. Each further one without a proved answer in between doubles it. Unlike a backend
// server in trouble, such an address is no last resort: calls that it gets may be lost or made known to a stranger.
const (
	minForeignClosed = time.Second
	maxForeignClosed = 5 * time.Minute
)

// RecordForeign records an answer that is not of the backend server that was asked, after which its address gets no work
// for a time.
func RecordForeign(now time.Time, w *rocktable.World, s *rocktable.BackendServer) {
	w.Count(rockreason.ForeignAnswer)
	f := &s.Foreign
	if f.Address != s.Address || f.Incarnation != s.Incarnation {
		*f = rocktable.ForeignAnswers{Address: s.Address, Incarnation: s.Incarnation}
	}
	if now.Before(f.ClosedUntil) {
		return // the request was in flight at the last one
	}
	f.Count++
	f.ClosedUntil = now.Add(min(maxForeignClosed, minForeignClosed<<min(f.Count-1, 16)))
	w.LogChange("backendServer", s.Name, "in use", "answered by another server")
}

// RecordProof records a proved answer of a backend server.
func RecordProof(s *rocktable.BackendServer) { s.Foreign.Count = 0 }

// IsForeign reports whether a backend server gets no work because another server answered at its address. It does not
// hold for a new address or a new start of the backend server.
func IsForeign(now time.Time, s *rocktable.BackendServer) bool {
	f := s.Foreign
	return now.Before(f.ClosedUntil) && f.Address == s.Address && f.Incarnation == s.Incarnation
}
