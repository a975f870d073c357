package rockrelay

import (
	"context"
	"sync/atomic"
	"time"
)

// watch cancels an attempt whose events stop coming.
type watch struct {
	timer   *time.Timer // nil where an attempt cannot go on elsewhere and is waited for
	stalled atomic.Bool
}

func newWatch(cancel context.CancelFunc, limit time.Duration, resumable bool) *watch {
	w := &watch{}
	if resumable {
		w.timer = time.AfterFunc(limit, func() {
			w.stalled.Store(true)
			cancel()
		})
	}
	return w
}

// reset gives the next event the limit from now on.
func (w *watch) reset(limit time.Duration) {
	if w.timer != nil && !w.stalled.Load() {
		w.timer.Reset(limit)
	}
}

func (w *watch) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

func (w *watch) fired() bool { return w.stalled.Load() }
