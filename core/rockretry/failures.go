package rockretry

import (
	"math"
	"time"

	"sassafrasrock/core/rockcapacity"
	"sassafrasrock/core/rocktable"
)

const (
	// resultWeight is the weight of one attempt in a backend server's failure fraction.
	resultWeight = 1.0 / 16
	// failureDecay is the time constant with which failures are forgotten. It allows a backend
	// server that gets no work to be tried again.
	failureDecay = 30 * time.Second
	// minBreakerOpen and maxBreakerOpen bound the time for which the circuit breaker of a backend
	// server that cannot be reached stays open. Each further trip doubles it.
	minBreakerOpen = time.Second
	maxBreakerOpen = 16 * time.Second
	// minRefusalOpen and maxRefusalOpen are the bounds after a refusal. They are shorter, because
	// the backend server may merely lack free memory.
	minRefusalOpen = 100 * time.Millisecond
	maxRefusalOpen = 2 * time.Second
	// minFullFraction is the known use of a backend server's memory below which a refusal is not due to a lack of it.
	minFullFraction = 0.3
	// trialLimit is the longest time for which one attempt tests a backend server of a full path,
	// or a data centre, whose circuit breaker was open. Other work is blocked meanwhile.
	trialLimit = 1500 * time.Millisecond
)

// FailureFraction returns the fraction, from 0 to 1, of this host's recent attempts on a backend
// server that failed because of it.
func FailureFraction(now time.Time, s *rocktable.BackendServer) float64 {
	if s.FailureFraction == 0 {
		return 0
	}
	dt := max(0, now.Sub(s.FailureFractionAt))
	return s.FailureFraction * math.Exp(-dt.Seconds()/failureDecay.Seconds())
}

// recordResult adds an attempt that succeeded (0) or failed (1) to the failure fraction of a
// backend server.
func recordResult(now time.Time, s *rocktable.BackendServer, failed float64) {
	f := FailureFraction(now, s)
	s.FailureFraction, s.FailureFractionAt = f+(failed-f)*resultWeight, now
}

// tripBreaker opens the circuit breaker of a backend server whose connection was lost or refused, or that sent a message
// longer than any sound one.
// Probes and gossip take seconds to mark it as down. Until then its slots look free, and under load
// all queued work would go there.
func tripBreaker(now time.Time, w *rocktable.World, s *rocktable.BackendServer, a *rocktable.Attempt) {
	recordCentreFailure(now, w, s, a)
	trip(now, s, a, minBreakerOpen, maxBreakerOpen)
}

// RecordCall opens the circuit breaker of a backend server if a call could not reach it or its
// answer was too long, and closes it otherwise.
func RecordCall(now time.Time, s *rocktable.BackendServer, ok bool) {
	if ok {
		s.BreakerTrips = 0
		return
	}
	if IsBreakerOpen(now, s) {
		return // the call was in flight at the last trip
	}
	openBreaker(now, s, minBreakerOpen, maxBreakerOpen)
}

// StartCallTrial blocks, for a time, the other calls that wait for a backend server while one of them tests it.
func StartCallTrial(now time.Time, s *rocktable.BackendServer) {
	if s.BreakerTrips > 0 {
		s.BreakerOpenUntil = now.Add(trialLimit)
	}
}

// recordRefusal opens the circuit breaker of a backend server that refused a request on a full path: for a short time if it
// may lack memory, and as for a lost connection if most of its memory is known to be free. One that is down, leaves or gives up its
// layers refuses everything for seconds, and each host would try it many times.
func recordRefusal(now time.Time, w *rocktable.World, s *rocktable.BackendServer, a *rocktable.Attempt, p *rocktable.Pipeline) {
	reserved := s.ReservedMemory + s.PeerReservedMemory
	if !isCutOff(w) && reserved < minFullFraction*rockcapacity.RequestMemory(p.Config, s) {
		trip(now, s, a, minBreakerOpen, maxBreakerOpen)
		return
	}
	trip(now, s, a, minRefusalOpen, maxRefusalOpen)
	// What peers have reserved since their last reports is missing.
	s.MemoryRefusalAt, s.MemoryAtRefusal = now, reserved
}

// isCutOff reports whether there are other hosts and none of them reported its load recently, so that the known use of
// backend servers says nothing.
func isCutOff(w *rocktable.World) bool { return w.Hosts.Len() > 1 && w.Gossip.UnreportedFraction == 1 }

func trip(now time.Time, s *rocktable.BackendServer, a *rocktable.Attempt, first, longest time.Duration) {
	// Attempts that began before the last trip add no information.
	if !a.StartedAt.Before(s.BreakerTrippedAt) {
		openBreaker(now, s, first, longest)
	}
}

// openBreaker opens a circuit breaker. The first trip opens it for the duration first. Each further
// trip without a success in between doubles the duration, up to longest.
func openBreaker(now time.Time, s *rocktable.BackendServer, first, longest time.Duration) {
	s.BreakerTrips++
	s.BreakerTrippedAt = now
	s.BreakerOpenUntil = now.Add(min(longest, first<<min(s.BreakerTrips-1, 8)))
}

// StartTrial blocks other work while one attempt tests a backend server, or its data centre,
// whose circuit breaker was open.
func StartTrial(now time.Time, w *rocktable.World, s *rocktable.BackendServer) {
	startCentreTrial(now, w, s)
	if s.BreakerTrips > 0 {
		s.BreakerOpenUntil = now.Add(trialLimit)
	}
}

// closeBreakers closes the circuit breakers of the backend servers on the path of an attempt that
// delivered a token and began after their last trip.
func closeBreakers(w *rocktable.World, a *rocktable.Attempt) {
	for _, stage := range a.Path {
		s := w.Servers.Get(stage.Server)
		if s == nil {
			continue
		}
		closeCentreBreaker(w, s, a)
		if !a.StartedAt.Before(s.BreakerTrippedAt) {
			s.BreakerTrips = 0
		}
	}
}

// IsBreakerOpen reports whether the circuit breaker of a backend server is open.
func IsBreakerOpen(now time.Time, s *rocktable.BackendServer) bool {
	return s.BreakerTrips > 0 && now.Before(s.BreakerOpenUntil)
}

// IsBreakerHalfOpen reports whether an attempt in flight tests a backend server whose circuit
// breaker was open. No other attempt starts there until its first token.
func IsBreakerHalfOpen(s *rocktable.BackendServer) bool { return s.BreakerTrips > 0 && s.InFlight > 0 }
