package rockrelay

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"sassafrasrock/core/rocklookup"
	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockguard"
)

// DefaultMaxHeldBytes is a third of the memory of the smallest hosts.
const DefaultMaxHeldBytes = 64 << 20

// moveTimeout limits the order that moves a request to another path.
const moveTimeout = 500 * time.Millisecond

var (
	// ErrNotSent reports that no byte of a request reached the backend server.
	ErrNotSent = eris.New("request was not sent to the backend server")
	// ErrIncomplete reports that the answer ended after a part of it was sent to the caller. The front end closes the
	// connection, which shows the caller that the answer is incomplete.
	ErrIncomplete = eris.New("answer ended before it was complete")
)

// Request is a caller's request as read by a front end.
type Request struct {
	ID           string // chosen by the caller; a retry by the caller has a new one
	Method       string
	Host         string
	Path         string // without the query
	RequestURI   string // unmodified, with the query
	Header       http.Header
	Body         []byte
	TokenSHA256  string // hexadecimal digest of the caller's token; empty if it sent none
	ReceivedAt   time.Time
	Timeout      time.Duration // sent by the caller; 0 if it sent none
	PromptTokens int
	MaxTokens    int
	Prefix       []uint64           // one hash for each part of the prompt that requests may share
	Parts        []rocktable.PartID // of the prompt, in order, without the last one
	LastEventID  string             // the caller resumes a stream after this event; empty for a new stream
}

// Attempt is one try to run a request on a backend server.
type Attempt struct {
	Request     *Request
	ServerName  string // of the backend server that runs the first stage or the call
	Address     string
	Path        []rocktable.Stage // empty for a call
	CallerName  string            // empty for an unknown caller
	Priority    int               // 0 is the most urgent
	Deadline    time.Time         // zero if there is none
	LastEventID string            // the stream resumes after this event; empty to start at the first event
}

// Response is the beginning of a backend server's answer.
type Response struct {
	Status        int
	Header        http.Header // without hop-by-hop headers
	Body          io.ReadCloser
	NotRun        bool   // the backend server reported that it did not run the request
	FailedAddress string // of the failed backend server, if the answer names one
}

// Sink writes the answer to a caller. Only one goroutine uses it.
type Sink struct {
	// WriteHeader sends the status and the headers of an answer.
	WriteHeader func(status int, header http.Header)
	// Write sends a part of the body without buffering it.
	Write func(p []byte) error
	// Refuse sends an error response from this host instead of a backend server's answer.
	Refuse func(code rockreason.Code, after time.Duration)
}

// Relay serves requests. Its function fields connect it to the control thread and to the backend servers.
type Relay struct {
	// Open sends a request and returns the beginning of the answer. The error is ErrNotSent if no byte was sent.
	Open func(ctx context.Context, a Attempt) (*Response, error)
	// FetchWaiting fetches the report of the backend server at an address. For each request whose
	// first stage runs there and which is waiting for another backend server, the result maps the
	// request's ID to the address of that other one.
	FetchWaiting func(ctx context.Context, address string) (map[string]string, error)
	// Move moves a running request to another path with the same first stage. After an error it
	// stays on its present path.
	Move func(ctx context.Context, a Attempt) error

	Snapshot       func() *rocktable.Snapshot
	Post           func(fill func(in *rocktable.Inbox))
	NextRequestID  func() rocktable.RequestID
	Count          func(code rockreason.Code)
	ObserveRequest func(route string, reason rockreason.Code, d time.Duration)
	Now            func() time.Time
	Stopped        <-chan struct{} // closed after the control thread has ended
	Log            *slog.Logger

	// MaxHeldBytes limits the memory of all answers and events that are read and not yet sent; 0 means
	// DefaultMaxHeldBytes.
	MaxHeldBytes int64

	waitReports waitReports
	heldBytes   atomic.Int64

	mu        sync.Mutex
	exchanges map[rocktable.RequestID]*exchange
}

// exchange is a request that has arrived and is not answered completely yet.
type exchange struct {
	relay      *Relay
	id         rocktable.RequestID
	req        *Request
	dest       rocklookup.Destination
	sink       Sink
	starts     chan rocktable.Start
	callStarts chan rocktable.CallStart
	answer     chan rocktable.Answer

	mu        sync.Mutex
	attemptID rocktable.AttemptID
	attempt   Attempt            // the current one
	cancel    context.CancelFunc // of the current attempt

	calledServer rocktable.BackendServerID // of the call that is running, or 0

	held       int64 // bytes of answers and events that count towards Relay.MaxHeldBytes
	stream     stream
	callAnswer *callAnswer // last complete answer to a call
}

// Serve answers a request and returns when the answer has ended. The error is ErrIncomplete, the
// error of a write to the caller, or that of the context if the caller left.
func (t *Relay) Serve(ctx context.Context, req *Request, sink Sink) (err error) {
	snapshot := t.Snapshot()
	dest, code := rocklookup.Route(t.Now(), snapshot, req.Host, req.Path, req.TokenSHA256, rand.Float64())
	if code != "" {
		t.Count(code)
		t.Log.Info("request refused", "request", req.ID, "reason", code, "configVersion", snapshot.ConfigVersion)
		sink.Refuse(code, 0)
		return nil
	}
	x := &exchange{
		relay: t, id: t.NextRequestID(), req: req, dest: dest, sink: sink,
		// While an attempt runs, at most one value per channel is pending.
		starts: make(chan rocktable.Start, 1), callStarts: make(chan rocktable.CallStart, 1), answer: make(chan rocktable.Answer, 1),
	}
	t.mu.Lock()
	if t.exchanges == nil {
		t.exchanges = make(map[rocktable.RequestID]*exchange)
	}
	t.exchanges[x.id] = x
	t.mu.Unlock()
	defer t.removeExchange(x.id)
	defer x.releaseHeld()
	defer t.guard().Recover(func() { err = x.endAfterPanic() }, "request", req.ID)
	row := x.row()
	t.Post(func(in *rocktable.Inbox) { in.Arrivals = append(in.Arrivals, rocktable.Arrival{Request: row}) })
	return x.serve(ctx)
}

func (t *Relay) guard() rockguard.Guard { return rockguard.Guard{Log: t.Log, Count: t.Count} }

// endAfterPanic ends the answer and releases what the control thread holds for the request.
func (x *exchange) endAfterPanic() error {
	x.cancelAttempt(0)
	attempt := x.currentAttempt()
	x.relay.Post(func(in *rocktable.Inbox) {
		in.CallerDisconnects = append(in.CallerDisconnects, rocktable.CallerDisconnect{Request: x.id})
		if attempt != 0 {
			in.AttemptsEnded = append(in.AttemptsEnded, rocktable.AttemptEnded{Attempt: attempt, Reason: rockreason.CallerLeft})
		}
		if x.calledServer != 0 {
			in.CallsEnded = append(in.CallsEnded, rocktable.CallEnded{Request: x.id, Server: x.calledServer, Reason: rockreason.OutcomeUnknown, Sent: true})
		}
	})
	if x.stream.headerSent {
		return ErrIncomplete
	}
	x.sink.Refuse(rockreason.InternalError, 0)
	return nil
}

func (x *exchange) currentAttempt() rocktable.AttemptID {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.attemptID
}

func (t *Relay) maxHeldBytes() int64 {
	if t.MaxHeldBytes > 0 {
		return t.MaxHeldBytes
	}
	return DefaultMaxHeldBytes
}

func (t *Relay) removeExchange(id rocktable.RequestID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.exchanges, id)
}

// Dispatch sends the actions of a tick to the goroutines of their requests. It does not block.
func (t *Relay) Dispatch(out rocktable.Outbox) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, start := range out.Starts {
		if x := t.exchanges[start.Request]; x != nil {
			trySend(x.starts, start)
		}
	}
	for _, start := range out.CallStarts {
		if x := t.exchanges[start.Request]; x != nil {
			trySend(x.callStarts, start)
		}
	}
	for _, cancel := range out.Cancels {
		if x := t.exchanges[cancel.Request]; x != nil {
			x.cancelAttempt(cancel.Attempt)
		}
	}
	for _, repath := range out.Repaths {
		if x := t.exchanges[repath.Request]; x != nil {
			go t.guard().Do(func() { x.move(repath) }, "request", x.req.ID)
		}
	}
	for _, answer := range out.Answers {
		if x := t.exchanges[answer.Request]; x != nil {
			trySend(x.answer, answer)
			if answer.Reason != "" {
				x.cancelAttempt(0)
			}
		}
	}
}

// trySend sends a value without blocking. A buffer of one value is enough: the control thread sends
// the next value only after the request has reacted to the previous one.
func trySend[T any](c chan T, v T) {
	select {
	case c <- v:
	default:
	}
}

// row returns the control thread's row for the request.
func (x *exchange) row() rocktable.Request {
	r := x.req
	route := x.dest.Route
	row := rocktable.Request{
		ID: x.id, Caller: x.dest.Caller, Rank: x.dest.Rank, Pipeline: x.dest.Pipeline, ArrivedAt: r.ReceivedAt,
		PromptTokens: r.PromptTokens, MaxTokens: r.MaxTokens, Prefix: r.Prefix, Parts: r.Parts, Fingerprint: x.fingerprint(),
		AtMostOnce: !route.Repeatable && !route.Resumable, MaxAttempts: route.Attempts, Deadline: x.deadline(),
	}
	if x.dest.Pipeline == 0 {
		row.Call = &rocktable.Call{
			Service: x.dest.Service, Method: r.Method, Path: r.Path, Idempotent: route.Repeatable, NeedsNoClaim: true,
		}
	}
	return row
}

// deadline returns the earlier of the caller's deadline and the route's, or zero if there is none.
func (x *exchange) deadline() time.Time {
	wait := x.req.Timeout
	if limit := x.dest.Route.Timeout(); limit > 0 && (wait == 0 || limit < wait) {
		wait = limit
	}
	if wait == 0 {
		return time.Time{}
	}
	return x.req.ReceivedAt.Add(wait)
}

// fingerprint returns a hash of the request's content that is the same on all hosts.
func (x *exchange) fingerprint() uint64 {
	d := xxhash.New()
	for _, s := range []string{x.req.Method, x.req.RequestURI, x.req.TokenSHA256} {
		d.WriteString(s)
		d.Write([]byte{0})
	}
	d.Write(x.req.Body)
	return d.Sum64()
}

// serve runs the attempts and calls that the control thread starts until the answer has ended.
func (x *exchange) serve(ctx context.Context) error {
	for {
		select {
		case start := <-x.starts:
			x.runAttempt(ctx, start)
			continue
		case start := <-x.callStarts:
			x.runCall(ctx, start)
			continue
		default:
		}
		select {
		case start := <-x.starts:
			x.runAttempt(ctx, start)
		case start := <-x.callStarts:
			x.runCall(ctx, start)
		case answer := <-x.answer:
			return x.finish(answer)
		case <-ctx.Done():
			x.relay.Post(func(in *rocktable.Inbox) {
				in.CallerDisconnects = append(in.CallerDisconnects, rocktable.CallerDisconnect{Request: x.id})
			})
			x.log("caller left", "sent", x.stream.headerSent)
			return ctx.Err()
		case <-x.relay.Stopped:
			return x.finish(rocktable.Answer{Request: x.id, Reason: rockreason.StoppedNow})
		}
	}
}

// finish sends the rest of the answer, or an error response if nothing was sent yet.
func (x *exchange) finish(answer rocktable.Answer) error {
	x.relay.ObserveRequest(x.dest.Route.Name, answer.Reason, x.relay.Now().Sub(x.req.ReceivedAt))
	x.log("request ended", "reason", answer.Reason, "attempts", answer.Outcome.Attempts, "events", x.stream.events,
		"firstMs", x.stream.firstEventMs(x.req.ReceivedAt), "gapMs", x.stream.longestGap.Milliseconds(), "gapAt", x.stream.eventsBeforeGap)
	switch {
	case x.stream.headerSent && answer.Reason == "":
		return nil
	case x.stream.headerSent:
		return ErrIncomplete
	case x.callAnswer != nil && (answer.Recorded != nil || answer.Reason == rockreason.BackendFailed):
		x.sink.WriteHeader(x.callAnswer.status, x.callAnswer.header)
		return x.sink.Write(x.callAnswer.body)
	case answer.Reason == "":
		x.sink.Refuse(rockreason.BackendFailed, 0)
		return nil
	}
	x.sink.Refuse(answer.Reason, answer.RetryAfter)
	return nil
}

// beginAttempt makes an attempt the current one, which cancelAttempt and move act on.
func (x *exchange) beginAttempt(ctx context.Context, id rocktable.AttemptID, a Attempt) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.attemptID, x.attempt, x.cancel = id, a, cancel
	return ctx, cancel
}

// move moves the running attempt to another path. The stallWatch cancels the attempt if no event follows.
func (x *exchange) move(to rocktable.Repath) {
	x.mu.Lock()
	a := x.attempt
	stale := x.attemptID != to.Attempt || len(a.Path) == 0
	a.Path = to.Path
	if !stale {
		x.attempt = a
	}
	x.mu.Unlock()
	if stale {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), moveTimeout)
	defer cancel()
	err := x.relay.Move(ctx, a)
	x.log("attempt moved", "attempt", to.Attempt, "path", formatPath(to.Path), "ok", err == nil, "error", err)
}

// cancelAttempt cancels the attempt if it is the current one; an id of 0 means any attempt.
func (x *exchange) cancelAttempt(id rocktable.AttemptID) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cancel != nil && (id == 0 || x.attemptID == id) {
		x.cancel()
	}
}

func (x *exchange) log(message string, args ...any) {
	x.relay.Log.Info(message, append([]any{"request", x.req.ID, "route", x.dest.Route.Name, "ageMs", x.relay.Now().Sub(x.req.ReceivedAt).Milliseconds()}, args...)...)
}
