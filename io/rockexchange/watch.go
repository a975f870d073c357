package rockexchange

import (
	"sync"
	"time"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockguard"
)

// SilenceCause is the reason why an attempt sends no events.
type SilenceCause struct {
	FailedServer rocktable.BackendServerID // 0 if the path is only slow
	AtFirstStage bool                      // the first backend server failed; an attempt cannot be moved away from it
	// CheckAgainIn is set if the path seemed only slow by what was known before the silence. It is the time until more can
	// be known.
	CheckAgainIn time.Duration
}

// Watch finds the silent backend server when an attempt stops sending events. It reports the
// stall to the control thread, which may move the attempt to another path. While no event follows, it
// reports again that a move does not help, and the control thread ends the attempt once the request
// can go on with another one. If no backend server is silent, the path is only slow and the
// attempt continues: a new attempt would lose the work done so far.
type Watch struct {
	Guard rockguard.Guard
	// FindCause finds the reason of a silence; nil if nothing is to be watched.
	FindCause func() SilenceCause
	// Report reports a stall to the control thread. Several calls may run at the same time.
	Report       func(failedServer rocktable.BackendServerID, unmovable bool)
	SilenceLimit time.Duration // time without an event after which FindCause is called
	MoveLimit    time.Duration // time without an event after which a move has not helped

	mu       sync.Mutex
	timer    *time.Timer
	events   int
	lastAt   time.Time                 // of the last event, or of the start
	limit    time.Duration             // silence since then that is unusual
	reported rocktable.BackendServerID // from which a move was asked for since then; 0 for none
	stopped  bool
	awaited  rocktable.BackendServerID // for which the first backend server of the path waits; 0 for none
}

// Start begins the watch. The time to the first check is a parameter, since the first event may
// take longer than the others.
func (w *Watch) Start(firstCheck time.Duration) {
	if w.FindCause != nil {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.lastAt, w.limit = time.Now(), firstCheck
		w.timer = time.AfterFunc(firstCheck, func() { w.Guard.Do(w.check) })
	}
}

// check runs when one of the limits has passed without an event.
func (w *Watch) check() {
	w.mu.Lock()
	events, reported := w.events, w.reported
	w.mu.Unlock()
	found := w.FindCause()
	// Report looks at the watches of other attempts, so that it must not run with the mutex held.
	if isDue, unmovable := w.takeCause(found, events, reported); isDue {
		w.Report(found.FailedServer, unmovable)
	}
}

// takeCause sets the time of the next check, and returns whether the cause of the silence is to be reported. The parameters
// events and reported are those from before the search for it.
func (w *Watch) takeCause(found SilenceCause, events int, reported rocktable.BackendServerID) (isDue, unmovable bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.events != events || w.reported != reported {
		return false, false // an event or TakeStall has set the time of the next check
	}
	w.awaited = 0
	if !found.AtFirstStage {
		w.awaited = found.FailedServer
	}
	switch {
	case found.FailedServer == 0 && found.CheckAgainIn > 0:
		w.timer.Reset(found.CheckAgainIn)
		return false, false
	case found.FailedServer == 0:
		w.limit = time.Since(w.lastAt) + w.SilenceLimit
		w.timer.Reset(w.SilenceLimit)
		return false, false
	case w.reported == 0 && !found.AtFirstStage:
		w.reported = found.FailedServer
		w.timer.Reset(w.MoveLimit)
		return true, false
	case found.AtFirstStage:
		w.timer.Reset(w.SilenceLimit)
	default:
		w.timer.Reset(w.MoveLimit)
	}
	return true, true
}

// TakeStall reports whether a stall of the attempt is to be reported because a backend server on its path is known to be
// silent: the attempt has been silent for an unusual time itself, and has not asked for a move since.
func (w *Watch) TakeStall(now time.Time, server rocktable.BackendServerID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil || w.stopped || w.reported != 0 || now.Sub(w.lastAt) < w.limit {
		return false
	}
	w.reported = server
	w.timer.Reset(w.MoveLimit)
	return true
}

// ProgressMade restarts the time that SilenceLimit limits. Only an event that brings the caller something new counts.
func (w *Watch) ProgressMade() { w.ProgressMadeWithin(w.SilenceLimit) }

// ProgressMadeWithin is ProgressMade if the next event is expected earlier: the first check follows after limit, further
// ones after SilenceLimit.
func (w *Watch) ProgressMadeWithin(limit time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events++
	w.reported, w.awaited = 0, 0
	w.lastAt, w.limit = time.Now(), limit
	if w.timer != nil && !w.stopped {
		w.timer.Reset(limit)
	}
}

// LastEventAt returns the time of the last event, or zero before the first one.
func (w *Watch) LastEventAt() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.events == 0 {
		return time.Time{}
	}
	return w.lastAt
}

// MovedFrom returns the backend server from which a move was asked for since the last event, or 0.
func (w *Watch) MovedFrom() rocktable.BackendServerID {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reported
}

// AwaitedServer returns the backend server for which the attempt waited when it was checked last, unless an event followed.
func (w *Watch) AwaitedServer() rocktable.BackendServerID {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.awaited
}

// Stop ends the watch.
func (w *Watch) Stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}
