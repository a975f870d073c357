package rockrelay

import (
	"context"
	"errors"
	"io"
	"net/http"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// maxAnswerBytes limits the body of an answer to a call.
const maxAnswerBytes = 16 << 20

// callAnswer is the complete answer of a backend server to a call.
type callAnswer struct {
	status int
	header http.Header
	body   []byte
}

// runCall sends a call to a backend server and reports its end to the control thread.
func (x *exchange) runCall(ctx context.Context, start rocktable.CallStart) {
	a := Attempt{
		Request: x.req, ServerName: start.Name, Address: start.Address, CallerName: x.dest.CallerName,
		Priority: x.dest.Route.Priority, Deadline: x.relay.Now().Add(start.Timeout),
	}
	ctx, cancel := x.beginAttempt(ctx, 0, a)
	defer cancel()
	resp, err := x.relay.Open(ctx, a)
	e := rocktable.CallEnded{Request: x.id, Server: start.Server, Sent: true}
	var answer callAnswer
	if err == nil {
		answer, err = readAnswer(resp)
	}
	switch {
	case errors.Is(err, ErrNotSent):
		e.Reason, e.Sent = rockreason.ServerUnreachable, false
	case err == nil && resp.NotRun:
		e.Reason, e.Sent = rockreason.StageRefused, false
	case err != nil:
		e.Reason, e.Crashed = rockreason.OutcomeUnknown, true
	case answer.status >= 500 && x.dest.Route.Repeatable:
		x.callAnswer = &answer
		e.Reason = rockreason.BackendFailed
	default:
		x.callAnswer = &answer
		e.Status = answer.status
	}
	if e.Reason != "" {
		x.log("call failed", "reason", e.Reason, "server", a.ServerName, "sent", e.Sent, "status", answer.status, "error", err)
	}
	x.relay.Post(func(in *rocktable.Inbox) { in.CallsEnded = append(in.CallsEnded, e) })
}

// readAnswer reads an answer to its end, up to maxAnswerBytes.
func readAnswer(resp *Response) (callAnswer, error) {
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = errTooLarge
	}
	return callAnswer{status: resp.Status, header: resp.Header, body: body}, err
}
