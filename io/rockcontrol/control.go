package rockcontrol

import (
	"context"
	"log/slog"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/core/rocktick"
)

// maxPostDelay is the longest time that an event added by PostLater waits for its tick.
const maxPostDelay = 25 * time.Millisecond

// ErrStopped is returned for a request to a control thread that has ended.
var ErrStopped = eris.New("the control thread has stopped")

// ErrPanicked is returned by Run after a tick panicked.
var ErrPanicked = eris.New("the control thread panicked")

// Control runs ticks over a World for the events that other goroutines post.
type Control struct {
	w                *rocktable.World
	now              func() time.Time
	dispatch         func(now time.Time, out rocktable.Outbox)
	log              *slog.Logger
	loggedInvariants map[string]bool

	lastStatus   *rocktable.Status
	lastStatusAt time.Time

	lastRequest atomic.Uint64
	snapshot    atomic.Pointer[rocktable.Snapshot]
	wake        chan struct{}
	done        chan struct{}

	mu             sync.Mutex
	inbox          rocktable.Inbox
	laterTimer     *time.Timer // signals events that PostLater added since the last tick; nil if there are none
	statusRequests []chan *rocktable.Status
	processed      chan struct{} // closed after the next tick; nil if nobody waits for it
	pendingChanges map[string][]chan rocktable.ConfigEnd
}

// minStatusInterval is the least time between two copies of the control state. It bounds the cost of copying, because
// callers may request their totals at any rate.
const minStatusInterval = 100 * time.Millisecond

// Option configures a Control.
type Option func(*Control)

// WithClock replaces the system's clock.
func WithClock(now func() time.Time) Option { return func(c *Control) { c.now = now } }

// WithDispatcher sets the function that receives the actions of each tick. It runs on the control
// thread and must not block.
func WithDispatcher(dispatch func(now time.Time, out rocktable.Outbox)) Option {
	return func(c *Control) { c.dispatch = dispatch }
}

// WithLogger sets the logger for state changes and violated invariants.
func WithLogger(log *slog.Logger) Option { return func(c *Control) { c.log = log } }

// New returns the control thread of a World. It processes no events before Run is called.
func New(w *rocktable.World, options ...Option) *Control {
	c := &Control{
		w:                w,
		now:              time.Now,
		dispatch:         func(time.Time, rocktable.Outbox) {},
		log:              slog.New(slog.DiscardHandler),
		loggedInvariants: make(map[string]bool),
		wake:             make(chan struct{}, 1),
		done:             make(chan struct{}),
		pendingChanges:   make(map[string][]chan rocktable.ConfigEnd),
	}
	for _, option := range options {
		option(c)
	}
	c.snapshot.Store(w.TakeSnapshot())
	return c
}

// NextRequestID returns the id of a new request.
func (c *Control) NextRequestID() rocktable.RequestID {
	return rocktable.RequestID(c.lastRequest.Add(1))
}

// Post adds events to the inbox and wakes the control thread.
func (c *Control) Post(fill func(in *rocktable.Inbox)) {
	c.mu.Lock()
	fill(&c.inbox)
	c.mu.Unlock()
	c.signal()
}

// PostAndWait adds events to the inbox and returns after the tick that processes them, or when the control thread has
// ended.
func (c *Control) PostAndWait(fill func(in *rocktable.Inbox)) {
	c.mu.Lock()
	fill(&c.inbox)
	if c.processed == nil {
		c.processed = make(chan struct{})
	}
	processed := c.processed
	c.mu.Unlock()
	c.signal()
	select {
	case <-processed:
	case <-c.done:
	}
}

// PostLater adds events that need no tick of their own: they share the next tick, which follows within 25 ms.
func (c *Control) PostLater(fill func(in *rocktable.Inbox)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fill(&c.inbox)
	if c.laterTimer == nil {
		c.laterTimer = time.AfterFunc(maxPostDelay, c.signal)
	}
}

func (c *Control) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Done is closed when the control thread has ended.
func (c *Control) Done() <-chan struct{} { return c.done }

// Snapshot returns the latest published snapshot of the World.
func (c *Control) Snapshot() *rocktable.Snapshot { return c.snapshot.Load() }

// Status returns a copy of the control state that is at most 100 ms old. Its errors are the context's and ErrStopped.
func (c *Control) Status(ctx context.Context) (*rocktable.Status, error) {
	answer := make(chan *rocktable.Status, 1)
	c.mu.Lock()
	c.statusRequests = append(c.statusRequests, answer)
	c.mu.Unlock()
	c.signal()
	select {
	case s := <-answer:
		return s, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-c.done:
		return nil, ErrStopped
	}
}

// Change posts a configuration change and waits for its result. Its errors are the context's and ErrStopped.
func (c *Control) Change(ctx context.Context, change rocktable.ConfigChange) (rocktable.ConfigEnd, error) {
	answer := make(chan rocktable.ConfigEnd, 1)
	c.mu.Lock()
	c.pendingChanges[change.ChangeID] = append(c.pendingChanges[change.ChangeID], answer)
	c.mu.Unlock()
	c.Post(func(in *rocktable.Inbox) { in.ConfigChanges = append(in.ConfigChanges, change) })
	select {
	case end := <-answer:
		return end, nil
	case <-ctx.Done():
		return rocktable.ConfigEnd{}, ctx.Err()
	case <-c.done:
		return rocktable.ConfigEnd{}, ErrStopped
	}
}

// Run runs ticks until the context is cancelled. If a tick panics, the state may be inconsistent: Run then logs the stack,
// publishes a snapshot that is not ready, and returns ErrPanicked.
func (c *Control) Run(ctx context.Context) (err error) {
	defer close(c.done)
	defer func() {
		if cause := recover(); cause != nil {
			c.log.Error("the control thread panicked", "panic", cause, "stack", string(debug.Stack()))
			stopped := *c.Snapshot()
			stopped.Ready, stopped.Stopping = false, true
			c.snapshot.Store(&stopped)
			err = ErrPanicked
		}
	}()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.wake:
		case <-timer.C:
		}
		wake := c.tick()
		timer.Stop()
		if !wake.IsZero() {
			timer.Reset(wake.Sub(c.now()))
		}
	}
}

// tick runs one tick over the events posted so far and returns the next deadline.
func (c *Control) tick() time.Time {
	c.mu.Lock()
	c.w.Inbox, c.inbox = c.inbox, rocktable.Inbox{}
	requests := c.statusRequests
	c.statusRequests = nil
	processed := c.processed
	c.processed = nil
	if c.laterTimer != nil {
		c.laterTimer.Stop()
		c.laterTimer = nil
	}
	c.mu.Unlock()

	now := c.now()
	result := rocktick.Run(now, c.w)
	c.snapshot.Store(c.Snapshot().Update(c.w))
	c.logResult(result)
	c.answerChanges(result.Outbox.ConfigEnds)
	c.answerStatus(now, requests)
	c.dispatch(now, result.Outbox)
	if processed != nil {
		close(processed)
	}
	return result.Wake
}

func (c *Control) answerStatus(now time.Time, requests []chan *rocktable.Status) {
	if len(requests) > 0 && (c.lastStatus == nil || now.Sub(c.lastStatusAt) >= minStatusInterval) {
		c.lastStatus, c.lastStatusAt = c.w.TakeStatus(), now
	}
	for _, answer := range requests {
		answer <- c.lastStatus
	}
}

func (c *Control) logResult(result rocktick.Result) {
	for _, change := range result.Outbox.Changes {
		c.log.Info("state changed", "what", change.What, "name", change.Name, "from", change.From, "to", change.To)
	}
	for _, v := range result.Violations {
		if !c.loggedInvariants[v.Invariant] {
			c.loggedInvariants[v.Invariant] = true
			c.log.Error("invariant violated", "invariant", v.Invariant, "error", v.Err)
		}
	}
}

func (c *Control) answerChanges(ends []rocktable.ConfigEnd) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, end := range ends {
		for _, answer := range c.pendingChanges[end.ChangeID] {
			answer <- end
		}
		delete(c.pendingChanges, end.ChangeID)
	}
}
