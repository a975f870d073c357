package rockretry

import (
	"time"

	"sassafrasrock/core/rocktable"
)

const (
	// overloadGapFactor is the multiple of the target gap between tokens above which a gap counts
	// as overload.
	overloadGapFactor = 2
	// limitDecreaseFactor is the fraction of a concurrency limit that is left after a decrease.
	limitDecreaseFactor = 0.7
	// minDecreaseInterval is the shortest time between two decreases. One overload thus causes only
	// one decrease.
	minDecreaseInterval = 250 * time.Millisecond
	// minStepLimit and minFirstTokenLimit are the shortest stall limits: a retry costs more than a
	// short pause.
	minStepLimit       = 2 * time.Second
	minFirstTokenLimit = 5 * time.Second
	// minSilenceLimit is the shortest silence after which the backend servers of a path are queried.
	minSilenceLimit = 100 * time.Millisecond
	// minEventLimit is the shortest stall limit for an event of a stream on a full path.
	minEventLimit = 700 * time.Millisecond
)

// StepLimit returns the longest wait for one step of one stage in a rank.
func StepLimit(c rocktable.RankConfig) time.Duration { return max(10*c.GapTarget(), minStepLimit) }

// FirstTokenLimit returns the longest wait for the first token in a rank, and the longest wait for free capacity of a
// requeued request that has not begun or has no deadline.
func FirstTokenLimit(c rocktable.RankConfig) time.Duration {
	return max(4*c.FirstTokenTarget(), minFirstTokenLimit)
}

// WaitLimit returns the longest wait for one step of one stage by a request that cannot go on with another attempt: the
// time to its deadline, or the limit of its rank for the first token if it has none.
func WaitLimit(now time.Time, c rocktable.RankConfig, r *rocktable.Request) time.Duration {
	if r.Deadline.IsZero() {
		return FirstTokenLimit(c)
	}
	return max(r.Deadline.Sub(now), 0)
}

// EventLimit returns the longest wait for the next event of a stream on a full path. Callers give
// up on such a stream after a few seconds of silence, so it has to continue at another backend
// server before then.
func EventLimit(c rocktable.RankConfig) time.Duration { return max(3*c.GapTarget(), minEventLimit) }

// FirstEventLimit returns the longest wait for the first event of such a stream.
func FirstEventLimit(c rocktable.RankConfig) time.Duration {
	return max(2*c.FirstTokenTarget(), minEventLimit)
}

// SilenceLimit returns the longest silence after which the backend servers of a full path are queried for
// the failed one. It is short enough to move to another path within the target, and long enough to
// make queries rare while the path works. The limit of a stream with regular events is shorter, see
// rockstream.Intervals.
func SilenceLimit(c rocktable.RankConfig) time.Duration {
	return max(c.GapTarget()*3/5, minSilenceLimit)
}

// raiseLimit increases the concurrency limit of a backend server, up to its slots, if at least half
// of the limit is in use.
func raiseLimit(s *rocktable.BackendServer) {
	if s.ConcurrencyLimit == 0 {
		return // never lowered
	}
	if float64(s.InFlight) < s.ConcurrencyLimit/2 {
		return
	}
	s.ConcurrencyLimit = min(float64(max(1, s.Status.Slots)), s.ConcurrencyLimit+1/s.ConcurrencyLimit)
}

// lowerLimit decreases the concurrency limit of a backend server after a refusal, a stall or slow
// steps.
func lowerLimit(now time.Time, s *rocktable.BackendServer) {
	if now.Sub(s.LimitReducedAt) < minDecreaseInterval {
		return
	}
	if s.ConcurrencyLimit == 0 {
		s.ConcurrencyLimit = float64(max(1, s.Status.Slots))
	}
	s.LimitReducedAt = now
	// A limit far above the present use would still have no effect after the decrease.
	s.ConcurrencyLimit = max(1, min(s.ConcurrencyLimit, float64(s.InFlight+1))*limitDecreaseFactor)
}

// busiestServer returns the backend server of a path with the most attempts per slot, which is the
// likely cause of slow steps.
func busiestServer(w *rocktable.World, path []rocktable.Stage) *rocktable.BackendServer {
	var busiest *rocktable.BackendServer
	for _, stage := range path {
		s := w.Servers.Get(stage.Server)
		if s != nil && (busiest == nil || attemptsPerSlot(s) > attemptsPerSlot(busiest)) {
			busiest = s
		}
	}
	return busiest
}

func attemptsPerSlot(s *rocktable.BackendServer) float64 {
	return float64(s.InFlight+s.PeerInFlight) / float64(max(1, s.Status.Slots))
}
