package rockrelay

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rockstream"
	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockexchange"
)

const (
	// reportTimeout limits the fetch of a report that names the backend server that a silent attempt is waiting for.
	reportTimeout = 150 * time.Millisecond
	// firstCheckDivisor sets the time of the first such fetch: the limit for the first event divided by this number,
	// but at least the silence limit.
	firstCheckDivisor = 3
)

var (
	errStalled      = errors.New("no event within the limit")
	errTooLarge     = errors.New("event or answer is longer than the size limit")
	errHostFull     = errors.New("answers and events that this host holds exceed their limit")
	errCallerWrite  = errors.New("write of the answer to the caller failed")
	errPartialEvent = errors.New("answer ended inside an event")
	errNoEvents     = errors.New("answer ended without an event")
	errServerEnded  = errors.New("answer ended with the process of its backend server")
	errUnproved     = errors.New("answer does not prove that it is of the backend server")
	errNotStream    = errors.New("answer is not a stream of events, or does not go on after the last one")
)

// stream is the state of a streamed answer over all attempts.
type stream struct {
	headerSent      bool
	mediaType       string // of the headers sent to the caller
	lastEventID     string // of the last event sent to the caller
	eventLeft       bool   // an attempt broke off inside an event that the caller does not have
	events          int
	eventsBefore    int // events of earlier attempts
	firstEventAt    time.Time
	lastEventAt     time.Time
	longestGap      time.Duration
	eventsBeforeGap int // number of events before the longest gap

	intervals rockstream.Intervals // of events on the present path
}

// firstEventMs returns the time to the first event in milliseconds, or -1 if there was none.
func (s *stream) firstEventMs(since time.Time) int64 {
	if s.firstEventAt.IsZero() {
		return -1
	}
	return s.firstEventAt.Sub(since).Milliseconds()
}

// runAttempt runs one attempt on a path and reports its end to the control thread.
func (x *exchange) runAttempt(ctx context.Context, start rocktable.Start) {
	a := Attempt{
		Request: x.req, ServerName: start.Path[0].Name, Address: start.Path[0].Address, Path: start.Path,
		CallerName: x.dest.CallerName, Priority: start.Priority, Deadline: start.Deadline, LastEventID: x.resumeAfter(),
		Incarnation: start.Path[0].Incarnation,
	}
	x.setAttempt(start.Attempt, a)
	ctx, cancel := x.Begin(ctx, start.Attempt)
	defer cancel()
	x.log("attempt started", "attempt", start.Attempt, "path", formatPath(start.Path), "after", a.LastEventID)
	x.stream.eventsBefore, x.stream.intervals = x.stream.events, rockstream.Intervals{}
	watch := &rockexchange.Watch{Guard: x.relay.guard(), SilenceLimit: start.SilenceLimit, MoveLimit: start.StepLimit}
	watch.FindCause, watch.Report = x.silenceCheck(ctx, a, watch), x.stallReporter(start)
	watch.Start(max(start.SilenceLimit, start.FirstTokenLimit/firstCheckDivisor))
	x.setWatch(watch)
	x.relay.running.add(x)
	defer x.relay.running.remove(x)
	resp, err := x.relay.Open(ctx, a)
	if err == nil {
		x.openHolding(a.ServerName)
		err = x.forwardEvents(ctx, a, start, resp, watch)
		x.releaseHeld()
	}
	watch.Stop()
	silentServer := x.SilentServer()
	switch {
	case err == nil: // the answer was complete before a cancel took effect
	case silentServer != 0:
		err = errStalled
	case ctx.Err() != nil:
		err = ctx.Err() // canceled by the control thread or the caller
	}
	e := x.endReport(start, resp, err)
	if errors.Is(err, errStalled) {
		e.FailedServer = cmp.Or(silentServer, watch.AwaitedServer())
	}
	e.Tokens = x.stream.events - x.stream.eventsBefore
	x.recordRun(e.Tokens > 0 || e.Reason != rockreason.StageRefused && e.Reason != rockreason.StageUnreachable)
	if err != nil {
		x.log("attempt failed", "attempt", start.Attempt, "reason", e.Reason, "server", a.ServerName, "stages", len(a.Path),
			"fault", serverName(start.Path, e.FailedServer), "events", x.stream.events, "begun", e.Tokens > 0, "parts", formatParts(x.req.Parts), "content", x.contentID(), "error", err)
	}
	x.EndAttempt(e)
}

// serverName returns the name of a backend server on a path, or an empty string if it is not on the path.
func serverName(path []rocktable.Stage, id rocktable.BackendServerID) string {
	for _, stage := range path {
		if stage.Server == id {
			return stage.Name
		}
	}
	return ""
}

// formatPath formats a path for the log.
func formatPath(path []rocktable.Stage) string {
	var text strings.Builder
	for i, s := range path {
		if i > 0 {
			text.WriteByte(' ')
		}
		fmt.Fprintf(&text, "%s=%d-%d", s.Name, s.FirstLayer, s.LastLayer)
	}
	return text.String()
}

// formatParts formats parts of a prompt for the log.
func formatParts(parts []rocktable.PartID) string {
	var text strings.Builder
	for i, p := range parts {
		if i > 0 {
			text.WriteByte(' ')
		}
		text.WriteString(p.String())
	}
	return text.String()
}

// resumeAfter returns the ID of the event after which the next attempt resumes the stream.
func (x *exchange) resumeAfter() string {
	if x.stream.lastEventID != "" {
		return x.stream.lastEventID
	}
	return x.req.LastEventID
}

// endReport returns the report of an attempt's end for the control thread.
func (x *exchange) endReport(start rocktable.Start, resp *Response, err error) rocktable.AttemptEnded {
	e := rocktable.AttemptEnded{Attempt: start.Attempt, FirstTokenAt: x.stream.firstEventAt, LargestGap: x.stream.longestGap}
	switch {
	case err == nil:
	case errors.Is(err, context.Canceled), errors.Is(err, errCallerWrite):
		e.Reason = rockreason.CallerLeft
	case errors.Is(err, errStalled):
		e.Reason, e.Crashed = rockreason.StageStalled, true
	case errors.Is(err, ErrNotSent):
		e.Reason, e.FailedServer, e.Crashed = rockreason.StageUnreachable, start.Path[0].Server, true
	case resp != nil && resp.NotRun:
		e.Reason, e.FailedServer = rockreason.StageRefused, serverAt(start.Path, resp.FailedAddress)
	default:
		e.Reason, e.FailedServer = rockreason.StageDied, start.Path[0].Server
		e.Crashed = resp == nil || resp.Status < 300 && !isNoCrash(err)
		e.Foreign = resp != nil && resp.Origin == OriginForeign
		e.TooLong = errors.Is(err, errTooLarge)
		if resp != nil && resp.FailedAddress != "" && !e.Foreign {
			e.FailedServer = serverAt(start.Path, resp.FailedAddress)
		}
	}
	lost := e.Reason == rockreason.StageDied || e.Reason == rockreason.StageStalled
	if lost && x.stream.headerSent && x.resumeAfter() == "" {
		e.Reason = rockreason.BackendFailed // without an ID to resume after, the stream would begin anew
	}
	return e
}

// isNoCrash reports whether an attempt ended for a reason that is no sign of a crash of the backend server: it goes on
// running, or this host has no memory.
func isNoCrash(err error) bool {
	return errors.Is(err, errNotStream) || errors.Is(err, errUnproved) || errors.Is(err, errHostFull) || errors.Is(err, errTooLarge)
}

// silenceCheck returns a function that finds the backend server that a silent attempt is waiting
// for. It returns nil if the attempt cannot be resumed on another path.
func (x *exchange) silenceCheck(ctx context.Context, a Attempt, watch *rockexchange.Watch) func() rockexchange.SilenceCause {
	if !x.dest.Route.Resumable {
		return nil
	}
	first := a.Path[0].Server
	return func() rockexchange.SilenceCause {
		begin := x.relay.Now()
		_, path, pathBefore := x.current()
		if watch.MovedFrom() == 0 {
			if server := x.relay.running.silentOn(begin, path); server != 0 {
				return rockexchange.SilenceCause{FailedServer: server}
			}
		}
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		answer, err := x.relay.waitingFor(ctx, a.Address, a.Request.ID)
		switch {
		case err != nil:
			x.log("no report of a silent attempt", "server", a.ServerName, "error", err.Error())
			return rockexchange.SilenceCause{FailedServer: first, AtFirstStage: true} // the first backend server does not report either
		case answer.address == "" && answer.receivedAt.Before(begin):
			return rockexchange.SilenceCause{CheckAgainIn: waitReportMaxAge - begin.Sub(answer.receivedAt)}
		case answer.address == "":
			return rockexchange.SilenceCause{}
		}
		// After a move that the first backend server has not followed, it names one that is only on the path before.
		failedServer := serverAt(slices.Concat(path, pathBefore), answer.address)
		if failedServer != first {
			x.relay.running.recordSilent(failedServer, first, answer)
		}
		return rockexchange.SilenceCause{FailedServer: failedServer, AtFirstStage: failedServer == first}
	}
}

// stallReporter returns a function that reports to the control thread which backend server does not answer. It reports at
// the same time the other attempts that wait for that one, so that all of them move in one tick.
func (x *exchange) stallReporter(start rocktable.Start) func(rocktable.BackendServerID, bool) {
	var mu sync.Mutex
	var logged rocktable.Stall // a silent attempt is reported again and again
	return func(failedServer rocktable.BackendServerID, unmovable bool) {
		stall := rocktable.Stall{Attempt: start.Attempt, Server: failedServer, Unmovable: unmovable}
		mu.Lock()
		isNew := stall != logged
		logged = stall
		mu.Unlock()
		if isNew {
			x.log("attempt stalled", "attempt", start.Attempt, "fault", serverName(start.Path, failedServer), "unmovable", unmovable)
		}
		stalls := []rocktable.Stall{stall}
		if !unmovable {
			stalls = append(stalls, x.relay.running.takeStalls(x.relay.Now(), failedServer)...)
		}
		x.Post(func(in *rocktable.Inbox) { in.Stalls = append(in.Stalls, stalls...) })
	}
}

// serverAt returns the backend server at an address of the path, or the first one if the address is not on the path.
func serverAt(path []rocktable.Stage, address string) rocktable.BackendServerID {
	for _, stage := range path {
		if stage.Address == address {
			return stage.Server
		}
	}
	return path[0].Server
}

// sendHeader sends the status and headers. Only the first call has an effect, over all attempts.
func (x *exchange) sendHeader(resp *Response) {
	if x.stream.headerSent {
		return
	}
	x.stream.headerSent, x.stream.mediaType = true, mediaType(resp.Header)
	x.sink.WriteHeader(resp.Status, maps.Clone(resp.Header))
}

// unprovedError returns the error for an answer that is not passed on, because it may be of another server.
func unprovedError(resp *Response) error {
	return fmt.Errorf("%w: %w", errUnproved, StatusError(resp.Status))
}

// StatusError is an answer of a backend server with another HTTP status than expected.
type StatusError int

func (e StatusError) Error() string {
	return fmt.Sprintf("status %d %s", int(e), http.StatusText(int(e)))
}
