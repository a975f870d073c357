package rockrelay

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"sassafrasrock/core/rocklookup"
	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// moveTimeout bounds the order that moves a request to another path.
const moveTimeout = 500 * time.Millisecond

var (
	// ErrNotSent says that no byte of a request reached the backend server.
	ErrNotSent = eris.New("the request was not handed over")
	// ErrBroken says that a caller got the beginning of an answer whose rest will not come; the front end breaks the connection off.
	ErrBroken = eris.New("the answer ended early")
)

// Request is a caller's request as a front end read it.
type Request struct {
	ID          string // chosen by the caller, one for each time that it sends the request
	Method      string
	Host        string
	Path        string // without the query
	Target      string // as sent, with the query
	Header      http.Header
	Body        []byte
	Token       string // SHA-256 in hexadecimal of the caller's token; empty if it sent none
	Received    time.Time
	Wait        time.Duration // how long the caller waits; 0 if it did not say
	Prompt      int           // tokens
	MaxTokens   int
	Prefix      []uint64 // one for each part of the prompt that requests share
	LastEventID string   // after which the caller resumes a stream
}

// Attempt is one hand-over of a request to a backend server.
type Attempt struct {
	Request     *Request
	Server      string // name of the backend server that is to take it
	Address     string
	Path        []rocktable.Stage // empty for a call
	Caller      string            // name of the caller; empty if it is not known
	Priority    int               // 0 is the most urgent
	Deadline    time.Time         // zero means none
	LastEventID string            // after which a stream goes on; empty for a whole answer
}

// Response is the beginning of a backend server's answer.
type Response struct {
	Status int
	Header http.Header // without those of one connection
	Body   io.ReadCloser
	NotRun bool   // the backend server says that it did not run the request
	Fault  string // address of the backend server at fault, if the answer names one
}

// Sink takes the answer for a caller; one goroutine uses it.
type Sink struct {
	// Begin sends the status and the headers of an answer.
	Begin func(status int, header http.Header)
	// Write sends a part of the body at once.
	Write func(p []byte) error
	// Refuse sends an answer of this host instead.
	Refuse func(code rockreason.Code, after time.Duration)
}

// Relay serves requests; its function fields join it to the control thread and to the backend servers.
type Relay struct {
	// Open hands a request over and returns the beginning of the answer; it is ErrNotSent if nothing was handed over.
	Open func(ctx context.Context, a Attempt) (*Response, error)
	// Waiting returns the requests that entered at a backend server and wait for another one, with the address of that one.
	Waiting func(ctx context.Context, address string) (map[string]string, error)
	// Move moves a running request to another path with the same first stage; its error says that it goes on as before.
	Move func(ctx context.Context, a Attempt) error

	Snapshot    func() *rocktable.Snapshot
	Post        func(fill func(in *rocktable.Inbox))
	NextRequest func() rocktable.RequestID
	Count       func(code rockreason.Code)
	Observe     func(route string, reason rockreason.Code, d time.Duration)
	Now         func() time.Time
	Stopped     <-chan struct{} // closed when the control thread has ended
	Log         *slog.Logger

	reports reports

	mu   sync.Mutex
	open map[rocktable.RequestID]*exchange
}

// exchange is a request between its arrival and its answer.
type exchange struct {
	t      *Relay
	id     rocktable.RequestID
	req    *Request
	dest   rocklookup.Destination
	sink   Sink
	starts chan rocktable.Start
	calls  chan rocktable.CallStart
	answer chan rocktable.Answer

	mu      sync.Mutex
	attempt rocktable.AttemptID
	current Attempt            // as handed over
	cancel  context.CancelFunc // of the current attempt

	stream stream
	held   *heldAnswer // last whole answer of a call
}

// Serve answers a request and returns when the answer has ended; its error is ErrBroken, or the context's if the caller left.
func (t *Relay) Serve(ctx context.Context, req *Request, sink Sink) error {
	snapshot := t.Snapshot()
	dest, code := rocklookup.Route(snapshot, req.Host, req.Path, req.Token, rand.Float64())
	if code != "" {
		t.Count(code)
		t.Log.Info("request refused", "request", req.ID, "reason", code, "configVersion", snapshot.ConfigVersion)
		sink.Refuse(code, 0)
		return nil
	}
	x := &exchange{
		t: t, id: t.NextRequest(), req: req, dest: dest, sink: sink,
		// At most one start or answer of a tick waits while an attempt runs.
		starts: make(chan rocktable.Start, 1), calls: make(chan rocktable.CallStart, 1), answer: make(chan rocktable.Answer, 1),
	}
	t.mu.Lock()
	if t.open == nil {
		t.open = make(map[rocktable.RequestID]*exchange)
	}
	t.open[x.id] = x
	t.mu.Unlock()
	defer t.forget(x.id)
	row := x.row()
	t.Post(func(in *rocktable.Inbox) { in.Arrivals = append(in.Arrivals, rocktable.Arrival{Request: row}) })
	return x.serve(ctx)
}

func (t *Relay) forget(id rocktable.RequestID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, id)
}

// Carry hands the actions of a tick to the goroutines of their requests, and does not block.
func (t *Relay) Carry(out rocktable.Outbox) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, start := range out.Starts {
		if x := t.open[start.Request]; x != nil {
			offer(x.starts, start)
		}
	}
	for _, start := range out.CallStarts {
		if x := t.open[start.Request]; x != nil {
			offer(x.calls, start)
		}
	}
	for _, cancel := range out.Cancels {
		if x := t.open[cancel.Request]; x != nil {
			x.cancelAttempt(cancel.Attempt)
		}
	}
	for _, repath := range out.Repaths {
		if x := t.open[repath.Request]; x != nil {
			go x.move(repath)
		}
	}
	for _, answer := range out.Answers {
		if x := t.open[answer.Request]; x != nil {
			offer(x.answer, answer)
			if answer.Reason != "" {
				x.cancelAttempt(0)
			}
		}
	}
}

// offer puts a value into a channel that has room for it: control sends one and waits for what follows from it.
func offer[T any](c chan T, v T) {
	select {
	case c <- v:
	default:
	}
}

// row returns the request as the control thread sees it.
func (x *exchange) row() rocktable.Request {
	r := x.req
	route := x.dest.Route
	row := rocktable.Request{
		ID: x.id, Caller: x.dest.Caller, Rank: x.dest.Rank, Pipeline: x.dest.Pipeline, ArrivedAt: r.Received,
		PromptTokens: r.Prompt, MaxTokens: r.MaxTokens, Prefix: r.Prefix, Fingerprint: x.fingerprint(),
		AtMostOnce: !route.Repeatable && !route.Resumable, MaxAttempts: route.Attempts, Deadline: x.deadline(),
	}
	if x.dest.Pipeline == 0 {
		row.Call = &rocktable.Call{
			Service: x.dest.Service, Method: r.Method, Path: r.Path, Idempotent: route.Repeatable, NeedsNoClaim: true,
		}
	}
	return row
}

// deadline returns the earlier of the caller's and the route's.
func (x *exchange) deadline() time.Time {
	wait := x.req.Wait
	if limit := x.dest.Route.Timeout(); limit > 0 && (wait == 0 || limit < wait) {
		wait = limit
	}
	if wait == 0 {
		return time.Time{}
	}
	return x.req.Received.Add(wait)
}

// fingerprint identifies the content of the request on all hosts.
func (x *exchange) fingerprint() uint64 {
	d := xxhash.New()
	for _, s := range []string{x.req.Method, x.req.Target, x.req.Token} {
		d.WriteString(s)
		d.Write([]byte{0})
	}
	d.Write(x.req.Body)
	return d.Sum64()
}

// serve runs what control decides on until the answer has ended.
func (x *exchange) serve(ctx context.Context) error {
	for {
		select {
		case start := <-x.starts:
			x.runAttempt(ctx, start)
			continue
		case start := <-x.calls:
			x.runCall(ctx, start)
			continue
		default:
		}
		select {
		case start := <-x.starts:
			x.runAttempt(ctx, start)
		case start := <-x.calls:
			x.runCall(ctx, start)
		case answer := <-x.answer:
			return x.finish(answer)
		case <-ctx.Done():
			x.t.Post(func(in *rocktable.Inbox) {
				in.CallerGone = append(in.CallerGone, rocktable.CallerGone{Request: x.id})
			})
			x.log("caller left", "sent", x.stream.begun)
			return ctx.Err()
		case <-x.t.Stopped:
			return x.finish(rocktable.Answer{Request: x.id, Reason: rockreason.StoppedNow})
		}
	}
}

// finish sends what is left of the answer.
func (x *exchange) finish(answer rocktable.Answer) error {
	x.t.Observe(x.dest.Route.Name, answer.Reason, x.t.Now().Sub(x.req.Received))
	x.log("request ended", "reason", answer.Reason, "attempts", answer.Outcome.Attempts, "events", x.stream.events,
		"firstMs", x.stream.firstMs(x.req.Received), "gapMs", x.stream.gap.Milliseconds(), "gapAt", x.stream.gapAt)
	switch {
	case x.stream.begun && answer.Reason == "":
		return nil
	case x.stream.begun:
		return ErrBroken
	case x.held != nil && (answer.Recorded != nil || answer.Reason == rockreason.BackendFailed):
		x.sink.Begin(x.held.status, x.held.header)
		return x.sink.Write(x.held.body)
	case answer.Reason == "":
		x.sink.Refuse(rockreason.BackendFailed, 0)
		return nil
	}
	x.sink.Refuse(answer.Reason, answer.RetryAfter)
	return nil
}

// beginAttempt makes an attempt the current one, so that it can be canceled.
func (x *exchange) beginAttempt(ctx context.Context, id rocktable.AttemptID, a Attempt) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.attempt, x.current, x.cancel = id, a, cancel
	return ctx, cancel
}

// move moves the running attempt to another path. The watch ends the attempt if no event follows.
func (x *exchange) move(to rocktable.Repath) {
	x.mu.Lock()
	a := x.current
	stale := x.attempt != to.Attempt || len(a.Path) == 0
	a.Path = to.Path
	if !stale {
		x.current = a
	}
	x.mu.Unlock()
	if stale {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), moveTimeout)
	defer cancel()
	err := x.t.Move(ctx, a)
	x.log("attempt moved", "attempt", to.Attempt, "path", pathText(to.Path), "ok", err == nil, "error", err)
}

// cancelAttempt ends the attempt, or whatever attempt runs if the id is 0.
func (x *exchange) cancelAttempt(id rocktable.AttemptID) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cancel != nil && (id == 0 || x.attempt == id) {
		x.cancel()
	}
}

func (x *exchange) log(what string, args ...any) {
	x.t.Log.Info(what, append([]any{"request", x.req.ID, "route", x.dest.Route.Name, "ageMs", x.t.Now().Sub(x.req.Received).Milliseconds()}, args...)...)
}
