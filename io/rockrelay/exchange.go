package rockrelay

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrasrock/core/rocklookup"
	"sassafrasrock/core/rockpromise"
	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockexchange"
	"sassafrasrock/io/rockmemory"
)

// moveTimeout limits the order that moves a request to another path.
const moveTimeout = 500 * time.Millisecond

// exchange is a request that has arrived and is not answered completely yet.
type exchange struct {
	*rockexchange.Exchange
	relay *Relay
	req   *Request
	dest  rocklookup.Destination
	sink  Sink

	mu         sync.Mutex
	attemptID  rocktable.AttemptID
	attempt    Attempt             // the current one
	pathBefore []rocktable.Stage   // of the current attempt, before its last move
	watch      *rockexchange.Watch // of the current attempt

	ran        rockreason.Ran      // what is known of the attempts and calls that have ended
	runs       int                 // of the call, at backend servers that did not say that they had not run it
	held       *rockmemory.Holding // bytes of the answer or event that is being read
	stream     stream
	callAnswer *callAnswer // last complete answer to a call
}

// endAfterPanic ends the answer and releases what the control thread holds for the request.
func (x *exchange) endAfterPanic() error {
	x.Abort()
	if x.stream.headerSent {
		return ErrIncomplete
	}
	x.sink.Refuse(rockreason.InternalError, 0)
	return nil
}

// row returns the control thread's row for the request.
func (x *exchange) row() rocktable.Request {
	r := x.req
	route := x.dest.Route
	row := rocktable.Request{
		ID: x.ID, Caller: x.dest.Caller, Rank: x.dest.Rank, Pipeline: x.dest.Pipeline, ArrivedAt: r.ReceivedAt,
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

// contentID returns the fingerprint as the log lines of the control thread name a content that crashes backend servers.
func (x *exchange) contentID() string { return rocktable.PartID(x.fingerprint()).String() }

// serve runs the attempts and calls that the control thread starts until the answer has ended.
func (x *exchange) serve(ctx context.Context) error {
	answer, err := x.Serve(ctx)
	if err != nil {
		x.Leave()
		x.log("caller left", "sent", x.stream.headerSent)
		return err
	}
	return x.finish(answer)
}

// finish sends the rest of the answer, or an error response if nothing was sent yet.
func (x *exchange) finish(answer rocktable.Answer) error {
	answer = x.keepPromises(answer)
	x.relay.ObserveRequest(x.dest.Route.Name, answer.Reason, x.relay.Now().Sub(x.req.ReceivedAt))
	x.log("request ended", "reason", answer.Reason, "cause", answer.Cause.String(), "attempts", answer.Outcome.Attempts, "events", x.stream.events,
		"firstMs", x.stream.firstEventMs(x.req.ReceivedAt), "gapMs", x.stream.longestGap.Milliseconds(), "gapAt", x.stream.eventsBeforeGap)
	switch {
	case x.stream.headerSent && answer.Reason == "":
		return nil
	case x.stream.headerSent:
		return ErrIncomplete
	case x.callAnswer != nil && (answer.Recorded != nil || answer.Reason == rockreason.BackendFailed):
		return x.sendCallAnswer()
	case answer.Reason == "":
		x.sink.Refuse(rockreason.BackendFailed, 0)
		return nil
	}
	x.sink.Refuse(answer.Reason, answer.RetryAfter)
	return nil
}

// kind tells whether the request may run more than once. Only streams of a pipeline can be resumed.
func (x *exchange) kind() rockpromise.Kind {
	return rockpromise.KindOf(x.dest.Route.Repeatable || x.dest.Route.Resumable && x.dest.Pipeline != 0)
}

// recordRun records whether an attempt or call that has ended may have run.
func (x *exchange) recordRun(mayHaveRun bool) {
	if mayHaveRun {
		x.ran = rockreason.MayHaveRun
	}
}

// keepPromises returns the answer that may be sent, given what is known of the request's runs. The answer of a backend
// server whose status may not be sent is dropped as a whole: with another status, its headers would bear a proof for what
// the backend server did not say.
func (x *exchange) keepPromises(answer rocktable.Answer) rocktable.Answer {
	code := rockpromise.Reason(x.kind(), x.ran, answer.Reason)
	if x.callAnswer != nil && !rockpromise.MaySend(x.kind(), x.ran, x.callAnswer.status) {
		x.log("answer of a backend server dropped", "status", x.callAnswer.status)
		x.callAnswer, code = nil, rockreason.OutcomeUnknown
	}
	if code != answer.Reason {
		x.relay.Count(code)
		answer.Reason, answer.RetryAfter = code, 0
	}
	return answer
}

// sendCallAnswer sends the last complete answer to a call. What the caller has read is no longer held.
func (x *exchange) sendCallAnswer() error {
	x.sink.WriteHeader(x.callAnswer.status, x.callAnswer.header)
	for i, chunk := range x.callAnswer.chunks {
		if err := x.sink.Write(chunk); err != nil {
			return err
		}
		x.callAnswer.chunks[i] = nil
		if i > 0 { // the first one is not counted
			x.held.Shrink(int64(cap(chunk)))
		}
	}
	return nil
}

// setAttempt makes an attempt the one that move acts on.
func (x *exchange) setAttempt(id rocktable.AttemptID, a Attempt) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.attemptID, x.attempt, x.pathBefore = id, a, nil
}

func (x *exchange) setWatch(watch *rockexchange.Watch) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.watch = watch
}

// current returns the current attempt with its path and the path before its last move.
func (x *exchange) current() (id rocktable.AttemptID, path, pathBefore []rocktable.Stage) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.attemptID, x.attempt.Path, x.pathBefore
}

// move moves the running attempt to another path. The Watch reports again if no event follows.
func (x *exchange) move(to rocktable.Repath) {
	x.mu.Lock()
	a := x.attempt
	stale := x.attemptID != to.Attempt || len(a.Path) == 0
	pathBefore, watch := a.Path, x.watch
	a.Path = to.Path
	if !stale {
		x.attempt, x.pathBefore = a, pathBefore
	}
	x.mu.Unlock()
	if stale {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), moveTimeout)
	defer cancel()
	err := x.relay.Move(ctx, a)
	x.log("attempt moved", "attempt", to.Attempt, "path", formatPath(to.Path), "ok", err == nil, "error", err)
	if refusal := (MoveRefusedError{}); errors.As(err, &refusal) {
		x.reportRefusal(to, pathBefore, watch, refusal)
	}
}

// reportRefusal reports to the control thread that the attempt is on its path before a move, and which backend server it
// still waits for.
func (x *exchange) reportRefusal(to rocktable.Repath, pathBefore []rocktable.Stage, watch *rockexchange.Watch, refusal MoveRefusedError) {
	x.mu.Lock()
	if x.attemptID == to.Attempt && slices.Equal(x.attempt.Path, to.Path) {
		x.attempt.Path, x.pathBefore = pathBefore, nil
	}
	x.mu.Unlock()
	stall := rocktable.Stall{Attempt: to.Attempt, RefusedMove: to.Move}
	if refusal.Address != "" && refusal.Address != to.Path[0].Address {
		stall.RefusedBy = serverAt(to.Path, refusal.Address)
	}
	if watch != nil && watch.MovedFrom() != 0 {
		stall.Server = awaitedServer(watch)
	}
	x.Stall(stall)
}

// awaitedServer returns the backend server that a silent attempt whose move was refused still waits for, or 0.
func awaitedServer(watch *rockexchange.Watch) rocktable.BackendServerID {
	found := watch.FindCause()
	switch server := watch.MovedFrom(); {
	case server == 0: // an event arrived meanwhile
		return 0
	case found.CheckAgainIn > 0: // no newer report can be had yet
		return server
	}
	return found.FailedServer
}

func (x *exchange) log(message string, args ...any) {
	x.relay.Log.Info(message, append([]any{"request", x.req.ID, "route", x.dest.Route.Name, "ageMs", x.relay.Now().Sub(x.req.ReceivedAt).Milliseconds()}, args...)...)
}
