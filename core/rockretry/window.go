package rockretry

import (
	"time"

	"sassafrasrock/core/rocktable"
)

const (
	// windowParts is the number of parts of a window that are counted separately. One more part is
	// kept, because the oldest part is only partly inside the window.
	windowParts = 10
	// usableFraction is the fraction of the shared budget that hosts use. The rest is a margin for
	// the small differences between their counts, and between their views of the number of hosts.
	usableFraction = 0.75
	// notRunFraction is the fraction of the budget that requests that never ran may use. The rest is for streams that
	// callers already receive.
	notRunFraction = 0.75
)

// retryKey returns the key of the shared budget that retries of the request use.
func retryKey(r *rocktable.Request) rocktable.RetryKey {
	if r.Call != nil {
		return rocktable.RetryKey{Service: r.Call.Service}
	}
	return rocktable.RetryKey{Pipeline: r.Pipeline}
}

// countArrivals counts the requests that arrived in the tick. Each of them adds to the shared
// budget of its target.
func countArrivals(now time.Time, w *rocktable.World) {
	if w.Limits.RetryWindow <= 0 {
		return
	}
	for i := range w.Inbox.Arrivals {
		window := currentWindow(now, w, retryKey(&w.Inbox.Arrivals[i].Request))
		window.Requests[0]++
	}
}

// currentWindow returns the counts of a target, shifted to the present time; part 0 is the newest.
func currentWindow(now time.Time, w *rocktable.World, key rocktable.RetryKey) *rocktable.RetryWindow {
	window := w.Retries.GetOrPut(key)
	partDuration := w.Limits.RetryWindow / windowParts
	if window.Requests == nil {
		window.Requests, window.Retries = make([]int, windowParts+1), make([]int, windowParts+1)
		window.PartStartedAt = now
	}
	for now.Sub(window.PartStartedAt) >= partDuration {
		if now.Sub(window.PartStartedAt) > 2*w.Limits.RetryWindow {
			clear(window.Requests)
			clear(window.Retries)
			window.PartStartedAt = now
			break
		}
		copy(window.Requests[1:], window.Requests)
		copy(window.Retries[1:], window.Retries)
		window.Requests[0], window.Retries[0] = 0, 0
		window.PartStartedAt = window.PartStartedAt.Add(partDuration)
	}
	return window
}

// sharingHosts returns the number of hosts among which the shared budget is divided. Hosts that are
// leaving or restarting count too, because they may have spent their share within the window.
func sharingHosts(w *rocktable.World) int {
	n := 0
	for _, h := range w.Hosts.All() {
		if h.Self || h.Listed || h.State != rocktable.StateDown {
			n++
		}
	}
	return n
}

// SpendSharedBudget takes one retry from this host's share of the budget that all hosts share, and
// reports whether there was one. Requests that never ran may use notRunFraction of the share. A host
// that has just started may have spent its share before the restart, so its allowance grows during
// the first window.
func SpendSharedBudget(now time.Time, w *rocktable.World, r *rocktable.Request) bool {
	if w.Limits.RetryWindow <= 0 {
		return true
	}
	window := currentWindow(now, w, retryKey(r))
	if !fitsBudget(now, w, r, window.Requests, window.Retries) {
		return false
	}
	window.Retries[0]++
	return true
}

// fitsBudget reports whether one more retry of a request fits into this host's share of a window with the given counts.
func fitsBudget(now time.Time, w *rocktable.World, r *rocktable.Request, requestCounts, retryCounts []int) bool {
	requests, retries := 0, 0
	for i := range requestCounts {
		requests += requestCounts[i]
		retries += retryCounts[i]
	}
	// No allowance during the first half of the first window, then a linear rise to the full one at
	// its end.
	ramp := min(1, max(0, 2*now.Sub(w.StartedAt).Seconds()/w.Limits.RetryWindow.Seconds()-1))
	allowed := w.Limits.RetryRatio*float64(requests) + w.Limits.RetryBurst/float64(sharingHosts(w))
	if !r.MayHaveRun && r.Call == nil {
		allowed *= notRunFraction
	}
	return float64(retries+1) <= usableFraction*ramp*allowed
}

// mayGetBudgetBy reports whether the shared budget is expected to have a retry for a request by a time that is less than
// two parts of the window away: when the oldest part leaves the window, its retries no longer count.
func mayGetBudgetBy(now time.Time, w *rocktable.World, r *rocktable.Request, by time.Time) bool {
	window := currentWindow(now, w, retryKey(r))
	next := window.PartStartedAt.Add(w.Limits.RetryWindow / windowParts)
	if next.After(by) {
		return false
	}
	return fitsBudget(next, w, r, window.Requests[:windowParts], window.Retries[:windowParts])
}
