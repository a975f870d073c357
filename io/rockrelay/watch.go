package rockrelay

import (
	"context"
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

// stallWatch finds the failed backend server when an attempt stops sending events. It reports the
// stall to the control thread, which may move the attempt to another path, and cancels the attempt
// if no event follows within moveLimit. If no backend server failed, the path is only slow and the
// attempt continues: a new attempt would lose the work done so far.
type stallWatch struct {
	guard        rockguard.Guard
	findCause    func() silenceCause // nil if the attempt cannot be resumed on another path; then nothing is watched
	reportStall  func(failedServer rocktable.BackendServerID)
	cancel       context.CancelFunc
	silenceLimit time.Duration // time without an event after which findCause is called
	moveLimit    time.Duration // time without an event after reportStall before the attempt may be canceled

	mu           sync.Mutex
	timer        *time.Timer
	events       int
	reported     bool
	stopped      bool
	failedServer rocktable.BackendServerID
	stalled      bool
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
	switch {
	case w.stopped:
	case found.failedServer == 0 || w.events != events:
		w.timer.Reset(w.silenceLimit)
	case !w.reported && !found.atFirstStage:
		w.reported = true
		w.reportStall(found.failedServer)
		w.timer.Reset(w.moveLimit)
	default:
		w.failedServer, w.stalled = found.failedServer, true
		w.cancel()
	}
}

// progressMade restarts the time that silenceLimit limits. Only an event that brings the caller something new counts.
func (w *stallWatch) progressMade() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events++
	w.reported = false
	if w.timer != nil && !w.stopped {
		w.timer.Reset(w.silenceLimit)
	}
}

// stop ends the watch. It returns the failed backend server and whether the watch canceled the attempt.
func (w *stallWatch) stop() (rocktable.BackendServerID, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
	return w.failedServer, w.stalled
}
