package rockrelay

import (
	"context"
	"errors"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// runCall sends a call to a backend server and reports its end to the control thread.
func (x *exchange) runCall(ctx context.Context, start rocktable.CallStart) {
	a := Attempt{
		Request: x.req, ServerName: start.Name, Address: start.Address, CallerName: x.dest.CallerName,
		Priority: x.dest.Route.Priority, Deadline: x.relay.Now().Add(start.Timeout),
	}
	ctx, cancel := x.BeginCall(ctx, start)
	defer cancel()
	x.runs++
	resp, err := x.relay.Open(ctx, a)
	var answer callAnswer
	if err == nil {
		answer, err = x.takeAnswer(ctx, a, resp)
	}
	e := x.callEnd(ctx, start, resp, answer, err)
	if !e.Sent {
		x.runs--
	}
	if e.Reason != "" {
		x.log("call failed", "reason", e.Reason, "server", a.ServerName, "sent", e.Sent, "status", answer.status, "content", x.contentID(), "error", err)
	}
	x.recordRun(e.Sent)
	x.EndCall(e)
}

// takeAnswer reads the answer to a call. The error tells why it cannot be passed on as the answer of the backend server. The
// body of a refusal is not read: its head has said that the call did not run.
func (x *exchange) takeAnswer(ctx context.Context, a Attempt, resp *Response) (callAnswer, error) {
	if resp.Origin != OriginServer {
		resp.Body.Close()
		return callAnswer{status: resp.Status}, unprovedError(resp)
	}
	x.openHolding(a.ServerName)
	if resp.NotRun {
		resp.Body.Close()
		return callAnswer{status: resp.Status}, nil
	}
	answer, err := x.readAnswer(resp)
	if err == nil {
		err = x.confirmEnd(ctx, a, resp)
	}
	if err != nil {
		x.releaseHeld() // the answer is dropped
	}
	return answer, err
}

// callEnd returns the report of the end of a call for the control thread, and keeps an answer that may be passed on.
func (x *exchange) callEnd(ctx context.Context, start rocktable.CallStart, resp *Response, answer callAnswer, err error) rocktable.CallEnded {
	e := rocktable.CallEnded{Request: x.ID, Server: start.Server, Run: start.Run, Sent: true, AnswerBegun: x.stream.headerSent}
	e.Foreign = resp != nil && resp.Origin == OriginForeign
	switch {
	case errors.Is(err, errCallerWrite):
		e.Reason = rockreason.CallerLeft
	case err != nil && ctx.Err() != nil: // canceled by the control thread or the caller
		e.Reason, e.Sent = rockreason.CallerLeft, !errors.Is(err, ErrNotSent)
	case errors.Is(err, ErrNotSent):
		e.Reason, e.Sent = rockreason.ServerUnreachable, false
	case err == nil && resp.NotRun:
		e.Reason, e.Sent = rockreason.StageRefused, false
	case errors.Is(err, errHostFull):
		e.Reason = rockreason.OutcomeUnknown
	case err != nil:
		e.Reason, e.Crashed, e.TooLong = rockreason.OutcomeUnknown, true, errors.Is(err, errTooLarge)
	case answer.status >= 500 && x.dest.Route.Repeatable:
		x.callAnswer = &answer
		e.Reason = rockreason.BackendFailed
	default:
		x.callAnswer = &answer
		e.Status = answer.status
	}
	return e
}
