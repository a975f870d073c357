package rockadmit

import (
	"time"

	"sassafrasrock/core/rocktable"
)

// Engines that run a full path share their time among all requests that they have accepted. If more arrive than they
// can read, each waits longer for its first token, until callers leave before it and the work for them is lost. The
// window bounds the requests that wait in the engines; the others wait here, where they can be refused in time.

const (
	// minFirstTokenWindow is the smallest window. All hosts together then still keep the engines busy.
	minFirstTokenWindow = 1
	// windowDecreaseFactor is the fraction of a window that is left after a decrease.
	windowDecreaseFactor = 0.7
	// minWindowDecreaseInterval is the shortest time between two decreases, so that one overload causes one decrease.
	minWindowDecreaseInterval = 250 * time.Millisecond
	// engineFraction is the fraction of the first-token target that the wait in the engines may take. The rest is for the
	// wait at this host.
	engineFraction = 0.5
	// delaySamples is the number of first tokens over which the delay and the share of late ones are smoothed.
	delaySamples = 8
	// overloadShare is the share of late first tokens above which they are put down to load. Below, only some paths are
	// slow, and a smaller window would refuse what the others can serve.
	overloadShare = 0.5
	// calmShare is the share of late first tokens below which the window has no bound.
	calmShare = 0.1
	// failureTime is the time after a failure of a path in which late first tokens say nothing about load: attempts wait
	// for a backend server that does not answer until its circuit breaker has opened at all hosts.
	failureTime = time.Second
	// abandonedFactor is the multiple of the first-token target after which an attempt no longer takes a place in the
	// window. A slow path must not keep a host from using the others.
	abandonedFactor = 2
)

// IsFirstTokenWindowFull reports whether a request of a pipeline has to wait until an earlier one has its first token,
// and lowers the window if most wait for longer than engineLimit. A request that has sent tokens does not wait: its
// caller would lose them.
func IsFirstTokenWindowFull(now time.Time, w *rocktable.World, p *rocktable.Pipeline, r *rocktable.Request) bool {
	if !p.Config.Engine.RunsFullPath() || r.Tokens > 0 {
		return false
	}
	waiting := awaitFirstToken(now, w, p)
	return p.FirstTokenWindow > 0 && float64(waiting) >= p.FirstTokenWindow*CapacityShare(w, r)
}

// awaitFirstToken returns the number of attempts that wait for their first token, and lowers the window for those that
// have become late.
func awaitFirstToken(now time.Time, w *rocktable.World, p *rocktable.Pipeline) int {
	waiting, late := 0, false
	for _, a := range w.Attempts.All() {
		r := w.Requests.Get(a.Request)
		if r == nil || r.Pipeline != p.ID || r.Tokens > 0 || a.Canceled || a.Stalled {
			continue
		}
		rank := w.Ranks.Get(r.Rank)
		if rank == nil {
			continue
		}
		age := now.Sub(a.StartedAt)
		if age < abandonedFactor*rank.Config.FirstTokenTarget() {
			waiting++
		}
		if age > engineLimit(rank) && !a.Late {
			a.Late, late = true, true
			p.LateShare += (1 - p.LateShare) / delaySamples
		}
	}
	if late && p.LateShare > overloadShare {
		lowerFirstTokenWindow(now, p, waiting)
	}
	return waiting
}

// engineLimit returns the longest wait for a first token in the engines that counts as in time.
func engineLimit(rank *rocktable.Rank) time.Duration {
	return time.Duration(engineFraction * float64(rank.Config.FirstTokenTarget()))
}

func lowerFirstTokenWindow(now time.Time, p *rocktable.Pipeline, waiting int) {
	if now.Sub(p.FirstTokenWindowedAt) < minWindowDecreaseInterval || now.Sub(p.PathFailedAt) < failureTime {
		return
	}
	p.FirstTokenWindowedAt = now
	window := float64(waiting)
	if p.FirstTokenWindow > 0 {
		window = min(window, p.FirstTokenWindow)
	}
	p.FirstTokenWindow = max(minFirstTokenWindow, window*windowDecreaseFactor)
}

// RecordFirstToken records the delay of a first token, and raises the window of its pipeline if it was in time.
func RecordFirstToken(w *rocktable.World, a *rocktable.Attempt, delay time.Duration) {
	r := w.Requests.Get(a.Request)
	if r == nil {
		return
	}
	p, rank := w.Pipelines.Get(r.Pipeline), w.Ranks.Get(r.Rank)
	if p == nil || rank == nil || !p.Config.Engine.RunsFullPath() {
		return
	}
	p.CapacityFreed = true
	if r.Attempts == 1 {
		p.FirstTokenDelay += (delay - p.FirstTokenDelay) / delaySamples
	}
	if a.Late || delay > engineLimit(rank) {
		return // awaitFirstToken counts it
	}
	p.LateShare -= p.LateShare / delaySamples
	switch {
	case p.LateShare < calmShare:
		p.FirstTokenWindow = 0
	case p.FirstTokenWindow > 0:
		p.FirstTokenWindow += 1 / p.FirstTokenWindow
	}
}
