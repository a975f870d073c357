package rockrelay

import (
	"sync"
	"time"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockguard"
)

// silenceCause is the reason why an attempt sends no events.
type silenceCause struct {
	failedServer rocktable.BackendServerID // 0 if the path is only slow
	atFirstStage bool                      // the first backend server failed; an attempt cannot be moved away from it
}

// stallWatch finds the silent backend server when an attempt stops sending events. It reports the
// stall to the control thread, which may move the attempt to another path. While no event follows, it
// reports again that a move does not help, and the control thread ends the attempt once the request
// can go on with another one. If no backend server is silent, the path is only slow and the
// attempt continues: a new attempt would lose the work done so far.
type stallWatch struct {
	guard        rockguard.Guard
	findCause    func() silenceCause // nil if the attempt cannot be resumed on another path; then nothing is watched
	reportStall  func(failedServer rocktable.BackendServerID, unmovable bool)
	silenceLimit time.Duration // time without an event after which findCause is called
	moveLimit    time.Duration // time without an event after which a move has not helped

	mu       sync.Mutex
	timer    *time.Timer
	events   int
	reported bool
	stopped  bool
	awaited  rocktable.BackendServerID // for which the first backend server of the path waits; 0 for none
}

// start begins the watch. The time to the first check is a parameter, since the first event may
// take longer than the others.
func (w *stallWatch) start(firstCheck time.Duration) {
	if w.findCause != nil {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.timer = time.AfterFunc(firstCheck, func() { w.guard.Do(w.check) })
	}
}

// check runs when one of the limits has passed without an event.
func (w *stallWatch) check() {
	w.mu.Lock()
	events := w.events
	w.mu.Unlock()
	found := w.findCause()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.events == events && !w.stopped {
		w.awaited = 0
		if !found.atFirstStage {
			w.awaited = found.failedServer
		}
	}
	switch {
	case w.stopped:
	case found.failedServer == 0 || w.events != events:
		w.timer.Reset(w.silenceLimit)
	case !w.reported && !found.atFirstStage:
		w.reported = true
		w.reportStall(found.failedServer, false)
		w.timer.Reset(w.moveLimit)
	case found.atFirstStage:
		w.reportStall(found.failedServer, true)
		w.timer.Reset(w.silenceLimit)
	default:
		w.reportStall(found.failedServer, true)
		w.timer.Reset(w.moveLimit)
	}
}

// progressMade restarts the time that silenceLimit limits. Only an event that brings the caller something new counts.
func (w *stallWatch) progressMade() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events++
	w.reported, w.awaited = false, 0
	if w.timer != nil && !w.stopped {
		w.timer.Reset(w.silenceLimit)
	}
}

// awaitedServer returns the backend server for which the attempt waited when it was checked last, unless an event followed.
func (w *stallWatch) awaitedServer() rocktable.BackendServerID {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.awaited
}

// stop ends the watch.
func (w *stallWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}
