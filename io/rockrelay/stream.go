package rockrelay

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

const (
	// maxEvent limits one event of a stream, in bytes.
	maxEvent = 1 << 20
	// askTimeout bounds the question which backend server a silent request waits for.
	askTimeout = 150 * time.Millisecond
	// openPart is the part of the limit for the first event after which that question is asked first.
	openPart = 3
)

var (
	errStalled  = errors.New("no event within the limit")
	errTooLarge = errors.New("an event is longer than the limit")
	errCaller   = errors.New("the caller does not take the answer")
	errTorn     = errors.New("the answer ended inside an event")
)

// stream is what the caller has got of a streamed answer.
type stream struct {
	begun  bool
	lastID string // of the last event passed on
	events int
	first  time.Time
	last   time.Time
	gap    time.Duration
	gapAt  int // events before the longest gap
}

// firstMs returns the time to the first event in milliseconds, or -1 if there was none.
func (s *stream) firstMs(since time.Time) int64 {
	if s.first.IsZero() {
		return -1
	}
	return s.first.Sub(since).Milliseconds()
}

// runAttempt runs one attempt on a path and reports its end.
func (x *exchange) runAttempt(ctx context.Context, start rocktable.Start) {
	a := Attempt{
		Request: x.req, Server: start.Path[0].Name, Address: start.Path[0].Address, Path: start.Path,
		Caller: x.dest.CallerName, Priority: int(start.Priority), Deadline: start.Deadline, LastEventID: x.resumeID(),
	}
	ctx, cancel := x.beginAttempt(ctx, start.Attempt, a)
	defer cancel()
	x.log("attempt started", "attempt", start.Attempt, "path", pathText(start.Path), "after", a.LastEventID)
	before := x.stream.events
	watch := &watch{
		ask: x.asker(ctx, a), tell: x.teller(start), cancel: cancel, quick: start.SilenceLimit, limit: start.StepLimit,
	}
	watch.start(max(start.SilenceLimit, start.FirstTokenLimit/openPart))
	resp, err := x.t.Open(ctx, a)
	if err == nil {
		err = x.pass(start, resp, watch)
	}
	fault, stalled := watch.stop()
	switch {
	case stalled:
		err = errStalled
	case ctx.Err() != nil:
		err = ctx.Err() // control or the caller ended it
	}
	e := x.ended(start, resp, err)
	if stalled {
		e.FailedServer = fault
	}
	e.Tokens = x.stream.events - before
	if err != nil {
		x.log("attempt failed", "attempt", start.Attempt, "reason", e.Reason, "server", a.Server, "stages", len(a.Path),
			"fault", nameOf(start.Path, e.FailedServer), "events", x.stream.events, "error", err)
	}
	x.t.Post(func(in *rocktable.Inbox) { in.Ended = append(in.Ended, e) })
}

// nameOf returns the name of a backend server of a path, or nothing.
func nameOf(path []rocktable.Stage, id rocktable.BackendServerID) string {
	for _, stage := range path {
		if stage.Server == id {
			return stage.Name
		}
	}
	return ""
}

// pathText returns a path for the log.
func pathText(path []rocktable.Stage) string {
	var text strings.Builder
	for i, s := range path {
		if i > 0 {
			text.WriteByte(' ')
		}
		fmt.Fprintf(&text, "%s=%d-%d", s.Name, s.FirstLayer, s.LastLayer)
	}
	return text.String()
}

// resumeID returns the event after which the next attempt goes on.
func (x *exchange) resumeID() string {
	if x.stream.lastID != "" {
		return x.stream.lastID
	}
	return x.req.LastEventID
}

// ended returns the report of an attempt's end.
func (x *exchange) ended(start rocktable.Start, resp *Response, err error) rocktable.Ended {
	e := rocktable.Ended{Attempt: start.Attempt, FirstToken: x.stream.first, LargestGap: x.stream.gap}
	switch {
	case err == nil:
	case errors.Is(err, context.Canceled), errors.Is(err, errCaller):
		e.Reason = rockreason.CallerLeft
	case errors.Is(err, errStalled):
		e.Reason, e.Crashed = rockreason.StageStalled, true
	case errors.Is(err, ErrNotSent):
		e.Reason, e.FailedServer, e.Crashed = rockreason.StageUnreachable, start.Path[0].Server, true
	case resp != nil && resp.NotRun:
		e.Reason, e.FailedServer = rockreason.StageRefused, serverAt(start.Path, resp.Fault)
	default:
		e.Reason, e.FailedServer, e.Crashed = rockreason.StageDied, start.Path[0].Server, resp == nil || resp.Status < 300
		if resp != nil && resp.Fault != "" {
			e.FailedServer = serverAt(start.Path, resp.Fault)
		}
	}
	return e
}

// asker returns the question which backend server a silent attempt waits for; it is nil where the attempt cannot go on elsewhere.
func (x *exchange) asker(ctx context.Context, a Attempt) func() silence {
	if !x.dest.Route.Resumable {
		return nil
	}
	first := a.Path[0].Server
	return func() silence {
		ctx, cancel := context.WithTimeout(ctx, askTimeout)
		defer cancel()
		address, err := x.t.waitingFor(ctx, a.Address, a.Request.ID)
		switch {
		case err != nil:
			x.log("no report of a silent attempt", "server", a.Server, "error", err.Error())
			return silence{fault: first, entry: true} // it does not even tell
		case address == "":
			return silence{}
		}
		x.mu.Lock()
		path := x.current.Path
		x.mu.Unlock()
		fault := serverAt(path, address)
		return silence{fault: fault, entry: fault == first}
	}
}

// teller returns what reports a backend server that does not answer to control.
func (x *exchange) teller(start rocktable.Start) func(rocktable.BackendServerID) {
	return func(fault rocktable.BackendServerID) {
		x.log("attempt stalled", "attempt", start.Attempt, "fault", nameOf(start.Path, fault))
		x.t.Post(func(in *rocktable.Inbox) {
			in.Stalls = append(in.Stalls, rocktable.Stall{Attempt: start.Attempt, Server: fault})
		})
	}
}

// serverAt returns the backend server of the path at an address, or the first one if the address is not on it.
func serverAt(path []rocktable.Stage, address string) rocktable.BackendServerID {
	for _, stage := range path {
		if stage.Address == address {
			return stage.Server
		}
	}
	return path[0].Server
}

// pass sends the events of an answer to the caller as they come.
func (x *exchange) pass(start rocktable.Start, resp *Response, watch *watch) error {
	defer resp.Body.Close()
	if resp.Status < 200 || resp.Status > 299 {
		return statusError(resp.Status)
	}
	lines := bufio.NewReaderSize(resp.Body, 4096)
	for {
		event, err := readEvent(lines)
		if err != nil {
			if errors.Is(err, io.EOF) {
				return x.passEnd(resp, event)
			}
			return err
		}
		watch.event()
		if id, ok := eventID(event); ok && !isAfter(id, x.stream.lastID) {
			x.t.Count(rockreason.RepeatedIndex)
			continue
		} else if ok {
			x.stream.lastID = id
		}
		x.note(start)
		x.begin(resp)
		if err := x.sink.Write(event); err != nil {
			return errors.Join(errCaller, err)
		}
	}
}

// passEnd handles the end of an answer that was read without an error.
func (x *exchange) passEnd(resp *Response, rest []byte) error {
	if len(rest) > 0 {
		return errTorn
	}
	x.begin(resp)
	return nil
}

// begin sends the status and headers, once for the whole answer.
func (x *exchange) begin(resp *Response) {
	if x.stream.begun {
		return
	}
	x.stream.begun = true
	x.sink.Begin(resp.Status, maps.Clone(resp.Header))
}

// note records an event and reports the first one to control.
func (x *exchange) note(start rocktable.Start) {
	now := x.t.Now()
	s := &x.stream
	s.events++
	if !s.last.IsZero() {
		if gap := now.Sub(s.last); gap > s.gap {
			s.gap, s.gapAt = gap, s.events-1
		}
	}
	s.last = now
	if !s.first.IsZero() {
		return
	}
	s.first = now
	x.t.Post(func(in *rocktable.Inbox) {
		in.Progress = append(in.Progress, rocktable.Progress{Attempt: start.Attempt, Tokens: 1, FirstToken: now})
	})
}

type statusError int

func (e statusError) Error() string { return "status " + http.StatusText(int(e)) }

// readEvent returns the next event with the empty line that ends it; at the end of the answer it returns what is left and io.EOF.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case err != nil:
			return event, err
		case len(bytes.TrimRight(line, "\r\n")) == 0:
			return event, nil
		}
		if len(event) > maxEvent {
			return nil, errTooLarge
		}
	}
}

// eventID returns the id of an event, and whether it has one.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if rest, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(rest)), true
		}
	}
	return "", false
}

// isAfter reports whether an event id follows another one; ids that are no numbers are taken as they come.
func isAfter(id, last string) bool {
	if last == "" {
		return true
	}
	a, errA := strconv.ParseUint(id, 10, 64)
	b, errB := strconv.ParseUint(last, 10, 64)
	return errA != nil || errB != nil || a > b
}
