package rockrelay

import (
	"context"
	"sync"
	"time"

	"sassafrasrock/core/rocktable"
)

// watch asks who is at fault when the events of an attempt stop coming, and cancels the attempt if a backend server is. A
// path without a fault is only slow: the work done there would be lost elsewhere.
type watch struct {
	ask    func() (rocktable.BackendServerID, bool)
	cancel context.CancelFunc

	mu      sync.Mutex
	timer   *time.Timer // nil where an attempt cannot go on elsewhere and is waited for
	limit   time.Duration
	events  int
	stopped bool
	fault   rocktable.BackendServerID
	stalled bool
}

func newWatch(cancel context.CancelFunc, limit time.Duration, ask func() (rocktable.BackendServerID, bool)) *watch {
	w := &watch{ask: ask, cancel: cancel, limit: limit}
	if ask != nil {
		w.timer = time.AfterFunc(limit, w.check)
	}
	return w
}

// check runs when the limit has passed without an event.
func (w *watch) check() {
	w.mu.Lock()
	events := w.events
	w.mu.Unlock()
	fault, found := w.ask()
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.stopped:
	case found && w.events == events:
		w.fault, w.stalled = fault, true
		w.cancel()
	default:
		w.timer.Reset(w.limit)
	}
}

// reset gives the next event the limit from now on.
func (w *watch) reset(limit time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events++
	w.limit = limit
	if w.timer != nil && !w.stopped {
		w.timer.Reset(limit)
	}
}

// stop ends the watch and returns the backend server at fault, and whether the watch canceled the attempt.
func (w *watch) stop() (rocktable.BackendServerID, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
	return w.fault, w.stalled
}
