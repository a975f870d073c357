package rocktraffic

import (
	"sync"
	"time"
)

// stageWatch reports a stage that does not answer a step within a limit, and again after each further limit.
type stageWatch struct {
	report func(stage int)

	mu    sync.Mutex
	timer *time.Timer // of the watched step; nil while there is none
	steps int         // begun so far
}

// begin begins to watch a step.
func (w *stageWatch) begin(stage int, limit time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.steps++
	step := w.steps
	w.timer = time.AfterFunc(limit, func() { w.check(step, stage, limit) })
}

// end ends the watch of a step.
func (w *stageWatch) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
	w.timer = nil
}

// check runs when a limit has passed. The step may have ended meanwhile.
func (w *stageWatch) check(step, stage int, limit time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil && w.steps == step {
		w.timer.Reset(limit)
		w.report(stage)
	}
}
