package rockretry

import (
	"time"

	"sassafrasrock/core/rocktable"
)

const (
	// slowFactor is the multiple of the target gap between tokens that counts as overload.
	slowFactor = 2
	// cutFactor is the part of a concurrency limit that is left after a decrease.
	cutFactor = 0.7
	// cutEvery is the shortest time between two decreases, so that one overload is counted once.
	cutEvery = 250 * time.Millisecond
	// minStep and minOpen are the shortest stall limits: a retry costs more than a short pause.
	minStep = 2 * time.Second
	minOpen = 5 * time.Second
	// minAsk is the shortest silence after which backend servers are asked.
	minAsk = 100 * time.Millisecond
	// minEvent is the shortest wait for an event of a stream that a whole path runs.
	minEvent = 700 * time.Millisecond
)

// StepLimit returns the longest wait for one step of one stage in a rank.
func StepLimit(c rocktable.RankConfig) time.Duration { return max(10*c.Gap(), minStep) }

// OpenLimit returns the longest wait for the first token in a rank, and the longest wait of a requeued request for a place.
func OpenLimit(c rocktable.RankConfig) time.Duration { return max(4*c.FirstToken(), minOpen) }

// EventLimit returns the longest wait for the next event of a stream whose engines run a whole path. Callers give such a
// stream up after a few seconds of silence, so that it has to go on elsewhere before that.
func EventLimit(c rocktable.RankConfig) time.Duration { return max(3*c.Gap(), minEvent) }

// FirstEventLimit is EventLimit for the first event.
func FirstEventLimit(c rocktable.RankConfig) time.Duration { return max(2*c.FirstToken(), minEvent) }

// AskLimit returns the silence after which the backend servers of a whole path are asked who is at fault: early enough for a
// detour within the target, and rare while the path works.
func AskLimit(c rocktable.RankConfig) time.Duration { return max(c.Gap()*3/5, minAsk) }

// raiseLimit adds to the concurrency limit of a backend server, if it is in use, up to its slots.
func raiseLimit(s *rocktable.BackendServer) {
	if s.ConcurrencyLimit == 0 {
		return // never lowered
	}
	if float64(s.InFlight) < s.ConcurrencyLimit/2 {
		return
	}
	s.ConcurrencyLimit = min(float64(max(1, s.Status.Slots)), s.ConcurrencyLimit+1/s.ConcurrencyLimit)
}

// lowerLimit multiplies the concurrency limit of a backend server after a refusal, a stall or slow steps.
func lowerLimit(now time.Time, s *rocktable.BackendServer) {
	if now.Sub(s.LimitReducedAt) < cutEvery {
		return
	}
	if s.ConcurrencyLimit == 0 {
		s.ConcurrencyLimit = float64(max(1, s.Status.Slots))
	}
	s.LimitReducedAt = now
	// A limit far above the use would not bind after the decrease.
	s.ConcurrencyLimit = max(1, min(s.ConcurrencyLimit, float64(s.InFlight+1))*cutFactor)
}

// busiest returns the backend server of a path with the most attempts for its slots; it is the likely cause of slow steps.
func busiest(w *rocktable.World, path []rocktable.Stage) *rocktable.BackendServer {
	var worst *rocktable.BackendServer
	for _, stage := range path {
		s := w.Servers.Get(stage.Server)
		if s != nil && (worst == nil || load(s) > load(worst)) {
			worst = s
		}
	}
	return worst
}

func load(s *rocktable.BackendServer) float64 {
	return float64(s.InFlight+s.PeerInFlight) / float64(max(1, s.Status.Slots))
}
