package rockrelay

import (
	"context"
	"sync"
	"time"

	"sassafrasrock/core/rocktable"
)

// silence is the answer to the question why no events come.
type silence struct {
	fault rocktable.BackendServerID // 0 if none is at fault
	entry bool                      // the fault is where the request entered, so that it cannot be moved
}

// watch asks who is at fault when the events of an attempt stop coming. It tells control first, which may move the attempt to
// another path, and cancels the attempt if nothing comes after that either. A path without a fault is only slow: the work done
// there would be lost elsewhere.
type watch struct {
	ask    func() silence // nil where an attempt cannot go on elsewhere and is waited for
	tell   func(fault rocktable.BackendServerID)
	cancel context.CancelFunc
	quick  time.Duration // silence before a question
	limit  time.Duration // silence after control was told before the attempt ends

	mu      sync.Mutex
	timer   *time.Timer
	events  int
	told    bool
	stopped bool
	fault   rocktable.BackendServerID
	stalled bool
}

// start begins the watch; the first event may take longer than the others.
func (w *watch) start(first time.Duration) {
	if w.ask != nil {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.timer = time.AfterFunc(first, w.check)
	}
}

// check runs when a limit has passed without an event.
func (w *watch) check() {
	w.mu.Lock()
	events := w.events
	w.mu.Unlock()
	found := w.ask()
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.stopped:
	case found.fault == 0 || w.events != events:
		w.timer.Reset(w.quick)
	case !w.told && !found.entry:
		w.told = true
		w.tell(found.fault)
		w.timer.Reset(w.limit)
	default:
		w.fault, w.stalled = found.fault, true
		w.cancel()
	}
}

// event notes an event.
func (w *watch) event() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events++
	w.told = false
	if w.timer != nil && !w.stopped {
		w.timer.Reset(w.quick)
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
