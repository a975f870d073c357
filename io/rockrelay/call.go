package rockrelay

import (
	"context"
	"errors"
	"io"
	"net/http"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// maxAnswer limits the answer of a call, in bytes.
const maxAnswer = 16 << 20

// heldAnswer is a whole answer of a backend server to a call.
type heldAnswer struct {
	status int
	header http.Header
	body   []byte
}

// runCall hands a call to a backend server and reports its end.
func (x *exchange) runCall(ctx context.Context, start rocktable.CallStart) {
	a := Attempt{
		Request: x.req, Server: start.Name, Address: start.Address, Caller: x.dest.CallerName,
		Priority: x.dest.Route.Priority, Deadline: x.t.Now().Add(start.Timeout),
	}
	ctx, cancel := x.beginAttempt(ctx, 0, a)
	defer cancel()
	resp, err := x.t.Open(ctx, a)
	e := rocktable.CallEnded{Request: x.id, Server: start.Server, Sent: true}
	var whole heldAnswer
	if err == nil {
		whole, err = readWhole(resp)
	}
	switch {
	case errors.Is(err, ErrNotSent):
		e.Reason, e.Sent = rockreason.ServerUnreachable, false
	case err == nil && resp.NotRun:
		e.Reason, e.Sent = rockreason.StageRefused, false
	case err != nil:
		e.Reason, e.Crashed = rockreason.OutcomeUnknown, true
	case whole.status >= 500 && x.dest.Route.Repeatable:
		x.held = &whole
		e.Reason = rockreason.BackendFailed
	default:
		x.held = &whole
		e.Status = whole.status
	}
	if e.Reason != "" {
		x.log("call failed", "reason", e.Reason, "server", a.Server, "sent", e.Sent, "status", whole.status, "error", err)
	}
	x.t.Post(func(in *rocktable.Inbox) { in.CallsEnded = append(in.CallsEnded, e) })
}

// readWhole reads an answer to its end.
func readWhole(resp *Response) (heldAnswer, error) {
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err == nil && len(body) > maxAnswer {
		err = errTooLarge
	}
	return heldAnswer{status: resp.Status, header: resp.Header, body: body}, err
}
