package rockcontrol

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/core/rocktick"
)

// laterDelay is the longest wait of an event that PostLater adds.
const laterDelay = 25 * time.Millisecond

// ErrStopped says that the control thread has ended.
var ErrStopped = eris.New("the control thread has stopped")

// Control runs ticks over a World for the events that others post.
type Control struct {
	w      *rocktable.World
	now    func() time.Time
	carry  func(now time.Time, out rocktable.Outbox)
	log    *slog.Logger
	warned map[string]bool

	status   *rocktable.Status // last copy
	statusAt time.Time

	lastRequest atomic.Uint64
	snapshot    atomic.Pointer[rocktable.Snapshot]
	wake        chan struct{}
	done        chan struct{}

	mu      sync.Mutex
	inbox   rocktable.Inbox
	later   *time.Timer // wakes for events that PostLater added since the last tick; nil if there are none
	asked   []chan *rocktable.Status
	changes map[string][]chan rocktable.ConfigEnd
}

// statusEvery is the least time between two copies of the control state: callers may ask for their totals as often as they like.
const statusEvery = 100 * time.Millisecond

// Option changes a Control while it is made.
type Option func(*Control)

// WithClock replaces the system's clock.
func WithClock(now func() time.Time) Option { return func(c *Control) { c.now = now } }

// WithCarrier sets the function that hands the actions of each tick to traffic goroutines; it must not block.
func WithCarrier(carry func(now time.Time, out rocktable.Outbox)) Option {
	return func(c *Control) { c.carry = carry }
}

// WithLogger sets the logger for changes of state.
func WithLogger(log *slog.Logger) Option { return func(c *Control) { c.log = log } }

// New returns a control thread for a World; it runs when Run is called.
func New(w *rocktable.World, options ...Option) *Control {
	c := &Control{
		w:       w,
		now:     time.Now,
		carry:   func(time.Time, rocktable.Outbox) {},
		log:     slog.New(slog.DiscardHandler),
		warned:  make(map[string]bool),
		wake:    make(chan struct{}, 1),
		done:    make(chan struct{}),
		changes: make(map[string][]chan rocktable.ConfigEnd),
	}
	for _, option := range options {
		option(c)
	}
	c.snapshot.Store(w.TakeSnapshot())
	return c
}

// NextRequest returns the id of a new request.
func (c *Control) NextRequest() rocktable.RequestID {
	return rocktable.RequestID(c.lastRequest.Add(1))
}

// Post adds events to the inbox and wakes the control thread.
func (c *Control) Post(fill func(in *rocktable.Inbox)) {
	c.mu.Lock()
	fill(&c.inbox)
	c.mu.Unlock()
	c.signal()
}

// PostLater adds events that can wait for the next tick, which follows within 25 ms.
func (c *Control) PostLater(fill func(in *rocktable.Inbox)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fill(&c.inbox)
	if c.later == nil {
		c.later = time.AfterFunc(laterDelay, c.signal)
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

// Snapshot returns the snapshot of the last tick that changed it.
func (c *Control) Snapshot() *rocktable.Snapshot { return c.snapshot.Load() }

// Status returns a copy of the control state that is at most 100 ms old, or the context's error or ErrStopped.
func (c *Control) Status(ctx context.Context) (*rocktable.Status, error) {
	answer := make(chan *rocktable.Status, 1)
	c.mu.Lock()
	c.asked = append(c.asked, answer)
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

// Change hands a configuration change to the control thread and waits for its end, or for the context's error or ErrStopped.
func (c *Control) Change(ctx context.Context, change rocktable.ConfigChange) (rocktable.ConfigEnd, error) {
	answer := make(chan rocktable.ConfigEnd, 1)
	c.mu.Lock()
	c.changes[change.ChangeID] = append(c.changes[change.ChangeID], answer)
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

// Run runs ticks until the context ends.
func (c *Control) Run(ctx context.Context) {
	defer close(c.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
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
	asked := c.asked
	c.asked = nil
	if c.later != nil {
		c.later.Stop()
		c.later = nil
	}
	c.mu.Unlock()

	now := c.now()
	result := rocktick.Run(now, c.w)
	if !c.Snapshot().IsCurrent(c.w) {
		c.snapshot.Store(c.w.TakeSnapshot())
	}
	c.report(result)
	c.endChanges(result.Outbox.ConfigEnds)
	c.answerStatus(now, asked)
	c.carry(now, result.Outbox)
	return result.Wake
}

func (c *Control) answerStatus(now time.Time, asked []chan *rocktable.Status) {
	if len(asked) > 0 && (c.status == nil || now.Sub(c.statusAt) >= statusEvery) {
		c.status, c.statusAt = c.w.TakeStatus(), now
	}
	for _, answer := range asked {
		answer <- c.status
	}
}

func (c *Control) report(result rocktick.Result) {
	for _, change := range result.Outbox.Changes {
		c.log.Info("state changed", "what", change.What, "name", change.Name, "from", change.From, "to", change.To)
	}
	for _, v := range result.Violations {
		if !c.warned[v.Invariant] {
			c.warned[v.Invariant] = true
			c.log.Error("invariant violated", "invariant", v.Invariant, "error", v.Err)
		}
	}
}

func (c *Control) endChanges(ends []rocktable.ConfigEnd) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, end := range ends {
		for _, answer := range c.changes[end.ChangeID] {
			answer <- end
		}
		delete(c.changes, end.ChangeID)
	}
}
