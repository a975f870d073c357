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
	// firstRest and longestRest limit the rest of a backend server that can't be reached. Each further strike doubles the rest.
	firstRest   = time.Second
	longestRest = 16 * time.Second
)

// FailuresOf returns the part of the recent attempts that failed because of a backend server, from 0 to 1.
func FailuresOf(now time.Time, s *rocktable.BackendServer) float64 {
	if s.Failures == 0 {
		return 0
	}
	dt := max(0, now.Sub(s.FailuresAt))
	return s.Failures * math.Exp(-dt.Seconds()/failuresWindow.Seconds())
}

// noteResult adds an attempt that succeeded (0) or failed (1).
func noteResult(now time.Time, s *rocktable.BackendServer, failed float64) {
	f := FailuresOf(now, s)
	s.Failures, s.FailuresAt = f+(failed-f)*resultWeight, now
}

// strike rests a backend server whose connection was lost or refused. Probes and gossip take seconds to find it down; until then its places look free, and under load all waiting work would go there.
func strike(now time.Time, s *rocktable.BackendServer, a *rocktable.Attempt) {
	// Attempts that began before the last strike tell nothing new.
	if a.Started.Before(s.StruckAt) {
		return
	}
	s.Strikes++
	s.StruckAt = now
	s.RestUntil = now.Add(min(longestRest, firstRest<<min(s.Strikes-1, 8)))
}

// clearStrikes ends the trial of backend servers that gave a token to an attempt that began after their last strike.
func clearStrikes(w *rocktable.World, a *rocktable.Attempt) {
	for _, stage := range a.Path {
		if s := w.Servers.Get(stage.Server); s != nil && !a.Started.Before(s.StruckAt) {
			s.Strikes = 0
		}
	}
}

// IsResting reports whether a backend server rests after strikes.
func IsResting(now time.Time, s *rocktable.BackendServer) bool {
	return s.Strikes > 0 && now.Before(s.RestUntil)
}

// IsOnTrial reports whether an attempt under way tries a backend server after strikes; until its first token no other one starts.
func IsOnTrial(s *rocktable.BackendServer) bool { return s.Strikes > 0 && s.InFlight > 0 }
