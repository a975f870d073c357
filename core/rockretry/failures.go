package rockretry

import (
	"math"
	"time"

	"sassafrasrock/core/rocktable"
)

const (
	// resultWeight is the weight of one attempt in a backend server's part of failures.
	resultWeight = 1.0 / 16
	// failuresWindow is the time constant with which failures are forgotten, so that a backend server that gets no work is tried again.
	failuresWindow = 30 * time.Second
	// firstOpen and longestOpen limit the time for which the circuit breaker of a backend server that can't be reached stays open. Each further trip doubles it.
	firstOpen   = time.Second
	longestOpen = 16 * time.Second
	// firstFull and longestFull are the same after a refusal by a backend server that may only be short of memory.
	firstFull   = 100 * time.Millisecond
	longestFull = 2 * time.Second
	// testLimit is the time for which one attempt tests a backend server of a whole path whose circuit breaker was open.
	testLimit = 1500 * time.Millisecond
)

// FailuresOf returns the part of the recent attempts that failed because of a backend server, from 0 to 1.
func FailuresOf(now time.Time, s *rocktable.BackendServer) float64 {
	if s.FailureFraction == 0 {
		return 0
	}
	dt := max(0, now.Sub(s.FailureFractionAt))
	return s.FailureFraction * math.Exp(-dt.Seconds()/failuresWindow.Seconds())
}

// noteResult adds an attempt that succeeded (0) or failed (1).
func noteResult(now time.Time, s *rocktable.BackendServer, failed float64) {
	f := FailuresOf(now, s)
	s.FailureFraction, s.FailureFractionAt = f+(failed-f)*resultWeight, now
}

// tripBreaker opens the circuit breaker of a backend server whose connection was lost or refused. Probes and gossip take seconds to find it down; until then its places look free, and under load all waiting work would go there.
func tripBreaker(now time.Time, w *rocktable.World, s *rocktable.BackendServer, a *rocktable.Attempt) {
	noteCentre(now, w, s)
	trip(now, s, a, firstOpen, longestOpen)
}

// NoteCall opens the circuit breaker of a plain service's backend server that could not be reached, or closes it.
func NoteCall(now time.Time, s *rocktable.BackendServer, reached bool) {
	if reached {
		s.BreakerTrips = 0
		return
	}
	if IsBreakerOpen(now, s) {
		return // calls that were under way at the last trip
	}
	openBreaker(now, s, firstOpen, longestOpen)
}

// noteFull opens the circuit breaker of a backend server that refused a request on a whole path for a short time, and notes
// the memory that was known to be reserved there: what peers have reserved since they told is missing in it.
func noteFull(now time.Time, s *rocktable.BackendServer, a *rocktable.Attempt) {
	trip(now, s, a, firstFull, longestFull)
	s.MemoryRefusalAt, s.MemoryAtRefusal = now, s.ReservedMemory+s.PeerReservedMemory
}

func trip(now time.Time, s *rocktable.BackendServer, a *rocktable.Attempt, first, longest time.Duration) {
	// Attempts that began before the last trip tell nothing new.
	if !a.StartedAt.Before(s.BreakerTrippedAt) {
		openBreaker(now, s, first, longest)
	}
}

// openBreaker opens a circuit breaker, for twice as long as the last time if no success came since.
func openBreaker(now time.Time, s *rocktable.BackendServer, first, longest time.Duration) {
	s.BreakerTrips++
	s.BreakerTrippedAt = now
	s.BreakerOpenUntil = now.Add(min(longest, first<<min(s.BreakerTrips-1, 8)))
}

// NoteTest keeps other work away from a backend server, or data centre, whose circuit breaker was open while an attempt tests it.
func NoteTest(now time.Time, w *rocktable.World, s *rocktable.BackendServer) {
	testCentre(now, w, s)
	if s.BreakerTrips > 0 {
		s.BreakerOpenUntil = now.Add(testLimit)
	}
}

// closeBreakers closes the circuit breakers of backend servers that gave a token to an attempt that began after their last trip.
func closeBreakers(w *rocktable.World, a *rocktable.Attempt) {
	for _, stage := range a.Path {
		s := w.Servers.Get(stage.Server)
		if s == nil {
			continue
		}
		closeCentre(w, s, a)
		if !a.StartedAt.Before(s.BreakerTrippedAt) {
			s.BreakerTrips = 0
		}
	}
}

// IsBreakerOpen reports whether the circuit breaker of a backend server is open.
func IsBreakerOpen(now time.Time, s *rocktable.BackendServer) bool {
	return s.BreakerTrips > 0 && now.Before(s.BreakerOpenUntil)
}

// IsBreakerHalfOpen reports whether an attempt under way tests a backend server whose circuit breaker was open; until its first token no other one starts.
func IsBreakerHalfOpen(s *rocktable.BackendServer) bool { return s.BreakerTrips > 0 && s.InFlight > 0 }
