package rockrelay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

const (
	// maxAnswerBytes limits the body of an answer to a call.
	maxAnswerBytes = 16 << 20
	// answerChunkBytes is the size of the parts in which an answer is read and counted towards Relay.MaxHeldBytes.
	answerChunkBytes = 64 << 10
)

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
	x.calledServer = start.Server
	ctx, cancel := x.beginAttempt(ctx, 0, a)
	defer cancel()
	resp, err := x.relay.Open(ctx, a)
	e := rocktable.CallEnded{Request: x.id, Server: start.Server, Sent: true}
	var answer callAnswer
	if err == nil && resp.Origin != OriginServer {
		resp.Body.Close()
		err, e.Foreign = unprovedError(resp), resp.Origin == OriginForeign
	}
	if err == nil {
		answer, err = x.readAnswer(resp)
	}
	switch {
	case err != nil && ctx.Err() != nil: // canceled by the control thread or the caller
		e.Reason, e.Sent = rockreason.CallerLeft, !errors.Is(err, ErrNotSent)
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
	x.calledServer = 0
	x.recordRun(e.Sent)
	x.relay.Post(func(in *rocktable.Inbox) { in.CallsEnded = append(in.CallsEnded, e) })
}

// readAnswer reads an answer to its end, up to maxAnswerBytes and as long as all answers that this host holds stay within
// Relay.MaxHeldBytes. The answer is held until the exchange ends.
func (x *exchange) readAnswer(resp *Response) (callAnswer, error) {
	defer resp.Body.Close()
	x.releaseHeld() // of an earlier attempt
	x.callAnswer = nil
	answer := callAnswer{status: resp.Status, header: resp.Header}
	var body bytes.Buffer
	for {
		if !x.hold(answerChunkBytes) {
			return answer, errHostFull
		}
		_, err := io.CopyN(&body, resp.Body, answerChunkBytes)
		switch {
		case errors.Is(err, io.EOF):
			answer.body = body.Bytes()
			return answer, nil
		case err != nil:
			return answer, err
		case body.Len() > maxAnswerBytes:
			return answer, errTooLarge
		}
	}
}

// hold counts bytes that the exchange keeps in memory, and reports whether they fit.
func (x *exchange) hold(n int64) bool {
	if x.relay.heldBytes.Add(n) > x.relay.maxHeldBytes() {
		x.relay.heldBytes.Add(-n)
		return false
	}
	x.held += n
	return true
}

// releaseHeld ends the count of the bytes that the exchange keeps in memory.
func (x *exchange) releaseHeld() {
	x.relay.heldBytes.Add(-x.held)
	x.held = 0
}
