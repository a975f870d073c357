package rockretry

import (
	"time"

	"sassafrasrock/core/rocktable"
)

const (
	// windowParts is the number of parts in which a window is counted; one more is kept, so that each span of its length is covered.
	windowParts = 10
	// windowSafety is the part of the shared budget that hosts use: their counts and that of their number differ a little.
	windowSafety = 0.75
	// freshPart is the part of the budget for requests that never ran.
	freshPart = 0.5
)

// target names what the request is sent to, for the shared budget.
func target(r *rocktable.Request) rocktable.RetryKey {
	if r.Call != nil {
		return rocktable.RetryKey{Service: r.Call.Service}
	}
	return rocktable.RetryKey{Pipeline: r.Pipeline}
}

// noteArrivals counts the requests of the tick, which earn their part of the shared budget.
func noteArrivals(now time.Time, w *rocktable.World) {
	if w.Limits.RetryWindow <= 0 {
		return
	}
	for i := range w.Inbox.Arrivals {
		window := windowOf(now, w, target(&w.Inbox.Arrivals[i].Request))
		window.Requests[0]++
	}
}

// windowOf returns the counts of a target, shifted to the present part; part 0 is the newest.
func windowOf(now time.Time, w *rocktable.World, key rocktable.RetryKey) *rocktable.RetryWindow {
	window := w.Retries.GetOrPut(key)
	part := w.Limits.RetryWindow / windowParts
	if window.Requests == nil {
		window.Requests, window.Retries = make([]int, windowParts+1), make([]int, windowParts+1)
		window.PartStartedAt = now
	}
	for now.Sub(window.PartStartedAt) >= part {
		if now.Sub(window.PartStartedAt) > 2*w.Limits.RetryWindow {
			clear(window.Requests)
			clear(window.Retries)
			window.PartStartedAt = now
			break
		}
		copy(window.Requests[1:], window.Requests)
		copy(window.Retries[1:], window.Retries)
		window.Requests[0], window.Retries[0] = 0, 0
		window.PartStartedAt = window.PartStartedAt.Add(part)
	}
	return window
}

// sharers returns the number of hosts that may spend the shared budget: those that leave or start again at the moment have
// spent their part of the window too.
func sharers(w *rocktable.World) int {
	n := 0
	for _, h := range w.Hosts.All() {
		if h.Self || h.Listed || h.State != rocktable.StateDown {
			n++
		}
	}
	return n
}

// SpendShared takes one repeat from this host's part of the budget that all hosts share, and reports whether there was one.
// Requests that never ran may use half of it: the rest is for streams that callers already see.
// A host that has just started may have used its part before, so that its allowance grows during the first window.
func SpendShared(now time.Time, w *rocktable.World, r *rocktable.Request) bool {
	if w.Limits.RetryWindow <= 0 {
		return true
	}
	window := windowOf(now, w, target(r))
	requests, repeats := 0, 0
	for i := range window.Requests {
		requests += window.Requests[i]
		repeats += window.Retries[i]
	}
	// Nothing in the first half of the window, then more and more.
	age := min(1, max(0, 2*now.Sub(w.StartedAt).Seconds()/w.Limits.RetryWindow.Seconds()-1))
	allowed := w.Limits.RetryRatio*float64(requests) + w.Limits.RetryBurst/float64(sharers(w))
	if !r.MayHaveRun && r.Call == nil {
		allowed *= freshPart
	}
	if float64(repeats+1) > windowSafety*age*allowed {
		return false
	}
	window.Retries[0]++
	return true
}
