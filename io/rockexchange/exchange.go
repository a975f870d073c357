package rockexchange

import (
	"context"
	"sync"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// Table holds the requests that have arrived and are not answered yet. Its function fields connect it to the control thread.
type Table struct {
	Post          func(fill func(in *rocktable.Inbox))
	NextRequestID func() rocktable.RequestID
	Stopped       <-chan struct{} // closed when the control thread has ended

	mu   sync.Mutex
	rows map[rocktable.RequestID]*Exchange

	stopOnce sync.Once
	running  context.Context // ends with the control thread
}

// Exchange is a request that has arrived and is not answered yet.
type Exchange struct {
	ID rocktable.RequestID

	table   *Table
	hooks   Hooks
	starts  chan rocktable.Start
	calls   chan rocktable.CallStart
	answers chan rocktable.Answer

	mu           sync.Mutex
	attempt      rocktable.AttemptID // the current one; 0 for none or a call
	call         rocktable.CallStart // that is running; its Server is 0 if none is
	cancel       context.CancelFunc  // of the current attempt or call
	silentServer rocktable.BackendServerID
	stopped      bool // no attempt or call may run any more
}

// Hooks are what a front end does with the decisions of the control thread. A nil one is not needed.
type Hooks struct {
	// Start runs an attempt to its end. It reports the end itself.
	Start func(ctx context.Context, start rocktable.Start)
	// Call runs a call to its end, or begins it and returns. It reports the end itself.
	Call func(ctx context.Context, start rocktable.CallStart)
	// Move moves the running attempt to another path. It must not block.
	Move func(to rocktable.Repath)
}

// Open adds a request.
func (t *Table) Open(hooks Hooks) *Exchange {
	x := &Exchange{
		ID: t.NextRequestID(), table: t, hooks: hooks,
		// While an attempt runs, at most one value per channel is pending.
		starts: make(chan rocktable.Start, 1), calls: make(chan rocktable.CallStart, 1), answers: make(chan rocktable.Answer, 1),
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rows == nil {
		t.rows = make(map[rocktable.RequestID]*Exchange)
	}
	t.rows[x.ID] = x
	return x
}

// runningContext returns the context that ends with the control thread.
func (t *Table) runningContext() context.Context {
	t.stopOnce.Do(func() {
		if t.running = context.Background(); t.Stopped == nil {
			return
		}
		ctx, cancel := context.WithCancel(t.running)
		t.running = ctx
		go func() {
			<-t.Stopped
			cancel()
		}()
	})
	return t.running
}

// Dispatch sends the decisions of a tick to the goroutines of their requests. It does not block.
func (t *Table) Dispatch(out rocktable.Outbox) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, start := range out.Starts {
		if x := t.rows[start.Request]; x != nil {
			trySend(x.starts, start)
		}
	}
	for _, start := range out.CallStarts {
		if x := t.rows[start.Request]; x != nil {
			trySend(x.calls, start)
		}
	}
	for _, cancel := range out.Cancels {
		if x := t.rows[cancel.Request]; x != nil {
			x.cancelAttempt(cancel)
		}
	}
	for _, to := range out.Repaths {
		if x := t.rows[to.Request]; x != nil && x.hooks.Move != nil {
			x.hooks.Move(to)
		}
	}
	for _, answer := range out.Answers {
		if x := t.rows[answer.Request]; x != nil {
			trySend(x.answers, answer)
			if answer.Reason != "" {
				x.stop()
			}
		}
	}
}

// trySend sends a value without blocking. A buffer of one value is enough: the control thread sends the next value only
// after the request has reacted to the previous one.
func trySend[T any](c chan T, v T) {
	select {
	case c <- v:
	default:
	}
}

// Post sends an event of the request to the control thread.
func (x *Exchange) Post(fill func(in *rocktable.Inbox)) { x.table.Post(fill) }

// Arrive posts the arrival of the request.
func (x *Exchange) Arrive(row rocktable.Request) {
	x.Post(func(in *rocktable.Inbox) { in.Arrivals = append(in.Arrivals, rocktable.Arrival{Request: row}) })
}

// Close removes the request, which gets no decisions from now on.
func (x *Exchange) Close() {
	x.table.mu.Lock()
	defer x.table.mu.Unlock()
	delete(x.table.rows, x.ID)
}

// Serve runs the attempts and calls that the control thread starts until it has decided the answer, which Serve returns. The
// error is that of the context.
func (x *Exchange) Serve(ctx context.Context) (rocktable.Answer, error) {
	for {
		select { // what has been started ends before its answer
		case start := <-x.starts:
			x.hooks.Start(ctx, start)
			continue
		case start := <-x.calls:
			x.hooks.Call(ctx, start)
			continue
		default:
		}
		select {
		case start := <-x.starts:
			x.hooks.Start(ctx, start)
		case start := <-x.calls:
			x.hooks.Call(ctx, start)
		case answer := <-x.answers:
			return answer, nil
		case <-ctx.Done():
			return rocktable.Answer{}, ctx.Err()
		case <-x.table.Stopped:
			return rocktable.Answer{Request: x.ID, Cause: rocktable.CauseProcessEnds, Reason: rockreason.StoppedNow}, nil
		}
	}
}

// Begin makes an attempt the current one. The context ends when the control thread cancels it or has ended, or the request is
// answered.
func (x *Exchange) Begin(ctx context.Context, id rocktable.AttemptID) (context.Context, context.CancelFunc) {
	return x.begin(ctx, id, rocktable.CallStart{})
}

// BeginCall makes a call the current one.
func (x *Exchange) BeginCall(ctx context.Context, start rocktable.CallStart) (context.Context, context.CancelFunc) {
	return x.begin(ctx, 0, start)
}

func (x *Exchange) begin(ctx context.Context, id rocktable.AttemptID, call rocktable.CallStart) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	forget := context.AfterFunc(x.table.runningContext(), cancel)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.attempt, x.call, x.cancel, x.silentServer = id, call, cancel, 0
	if x.stopped {
		cancel()
	}
	return ctx, func() {
		forget()
		cancel()
	}
}

// SilentServer returns the backend server for whose silence the control thread canceled the current attempt, or 0.
func (x *Exchange) SilentServer() rocktable.BackendServerID {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.silentServer
}

// EndCall reports the end of the current call.
func (x *Exchange) EndCall(e rocktable.CallEnded) {
	x.mu.Lock()
	x.call = rocktable.CallStart{}
	x.mu.Unlock()
	x.Post(func(in *rocktable.Inbox) { in.CallsEnded = append(in.CallsEnded, e) })
}

// EndAttempt reports the end of an attempt.
func (x *Exchange) EndAttempt(e rocktable.AttemptEnded) {
	x.Post(func(in *rocktable.Inbox) { in.AttemptsEnded = append(in.AttemptsEnded, e) })
}

// Stall reports that a backend server does not answer.
func (x *Exchange) Stall(s rocktable.Stall) {
	x.Post(func(in *rocktable.Inbox) { in.Stalls = append(in.Stalls, s) })
}

// Leave reports that the caller has left.
func (x *Exchange) Leave() {
	x.Post(func(in *rocktable.Inbox) {
		in.CallerDisconnects = append(in.CallerDisconnects, rocktable.CallerDisconnect{Request: x.ID})
	})
}

// Abort ends a request whose goroutine has panicked: it cancels what runs, and releases what the control thread holds.
func (x *Exchange) Abort() {
	x.stop()
	x.mu.Lock()
	attempt, call := x.attempt, x.call
	x.mu.Unlock()
	x.Post(func(in *rocktable.Inbox) {
		in.CallerDisconnects = append(in.CallerDisconnects, rocktable.CallerDisconnect{Request: x.ID})
		if attempt != 0 {
			in.AttemptsEnded = append(in.AttemptsEnded, rocktable.AttemptEnded{Attempt: attempt, Reason: rockreason.CallerLeft})
		}
		if call.Server != 0 {
			in.CallsEnded = append(in.CallsEnded, rocktable.CallEnded{Request: x.ID, Server: call.Server, Run: call.Run, Reason: rockreason.OutcomeUnknown, Sent: true})
		}
	})
}

func (x *Exchange) cancelAttempt(c rocktable.Cancel) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cancel != nil && x.attempt == c.Attempt {
		x.silentServer = c.StalledServer
		x.cancel()
	}
}

// stop cancels the current attempt or call. One whose start is still pending ends as soon as it begins.
func (x *Exchange) stop() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.stopped = true
	if x.cancel != nil {
		x.cancel()
	}
}
