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
