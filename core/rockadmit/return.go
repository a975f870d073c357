package rockadmit

import (
	"time"

	"sassafrasrock/core/rocktable"
)

// Load that this answers: a burst is refused within a second. If all its callers return after the same time, they meet
// again and are refused once more.

const (
	// returnSpread is the largest random part of the time after which a caller may return, as a fraction of it.
	returnSpread = 0.5
	// returnStep is the fraction by which each less urgent rank returns later.
	returnStep = 0.2
	// maxReturnFraction is the fraction of its remaining time after which a caller does not return any more.
	maxReturnFraction = 1.0 / 3
	// minReturn is the shortest time. The front end would put its default, which is longer, in place of 0.
	minReturn = 10 * time.Millisecond
	// maxReturn bounds the time of callers without a deadline. A long backlog is mostly refused before it is served.
	maxReturn = time.Minute
)

// ReturnAfter returns the time after which the caller of a request that is refused for lack of capacity may return: at
// least the given time and the one in which the queue ahead of it is served, later for less urgent ranks, spread, but
// within the time that its deadline leaves and from minReturn to maxReturn.
func ReturnAfter(now time.Time, w *rocktable.World, r *rocktable.Request, least time.Duration) time.Duration {
	after := least.Seconds()
	if rank, p := w.Ranks.Get(r.Rank), w.Pipelines.Get(r.Pipeline); rank != nil && p != nil {
		after = max(after, ExpectedWait(w, r, float64(max(1, r.PromptTokens+r.MaxTokens))).Seconds())
		after *= 1 + returnStep*float64(moreUrgentRanks(w, rank))
	}
	after *= 1 + returnSpread*w.Rand.Float64()
	if !r.Deadline.IsZero() {
		latest := maxReturnFraction * r.Deadline.Sub(now).Seconds()
		after = min(after, latest*(1-returnSpread/2*w.Rand.Float64()))
	}
	// The setting of the operator may exceed maxReturn.
	return max(minReturn, min(time.Duration(after*float64(time.Second)), max(least, maxReturn)))
}

// moreUrgentRanks returns the number of configured ranks with more worth than a rank.
func moreUrgentRanks(w *rocktable.World, rank *rocktable.Rank) int {
	n := 0
	for _, other := range w.Ranks.All() {
		if other.RemovedAt.IsZero() && other.Config.Worth > rank.Config.Worth {
			n++
		}
	}
	return n
}
