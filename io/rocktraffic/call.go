package rocktraffic

import (
	"context"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockexchange"
	"sassafrasrock/io/rockmemory"
	"sassafrasrock/io/rockservice"
)

// shortAnswerBytes is the part of an answer that belongs to what is reserved for a request before it is accepted. The outcome
// of a call that has run is not lost because the host has no memory for a short answer.
const shortAnswerBytes = 4 << 10

// call is an application call between its arrival and its answer.
type call struct {
	*rockexchange.Exchange
	traffic     *Traffic
	req         CallRequest
	attemptName string
}

// Call runs an application call and returns its answer, or the context's error. A call that is running when its caller
// disconnects continues, because its outcome has to be recorded. Only then Call closes the holding of the request, when the
// call has ended.
func (t *Traffic) Call(ctx context.Context, req CallRequest) (rocktable.Answer, error) {
	c := &call{traffic: t, req: req}
	c.Exchange = t.Exchanges.Open(rockexchange.Hooks{Call: func(_ context.Context, start rocktable.CallStart) { go c.run(start) }})
	c.attemptName = fmt.Sprintf("%s/%d", t.HostIncarnation, c.ID)
	c.Arrive(c.row(t))
	answer, err := c.Serve(ctx)
	if err == nil {
		c.Close()
		return answer, nil
	}
	go func() {
		_, _ = c.Serve(context.Background())
		c.Close()
		req.Held.Close()
	}()
	return rocktable.Answer{}, err
}

func (c *call) row(t *Traffic) rocktable.Request {
	d := xxhash.New()
	d.WriteString(c.req.Method + " " + c.req.Path + "\n")
	d.Write(c.req.Body)
	return rocktable.Request{
		ID: c.ID, Caller: c.req.Caller, Rank: rocktable.NoRank, ArrivedAt: t.Now(), Fingerprint: d.Sum64(),
		Call: &rocktable.Call{
			Service: c.req.Service, Method: c.req.Method, Path: c.req.Path, Idempotent: c.req.Idempotent,
			IdempotencyKey: c.req.IdempotencyKey, Digest: d.Sum64(), AttemptName: c.attemptName,
		},
	}
}

// run sends a call to a backend server once and reports its end. Its context is not that of the exchange, which ends with the
// answer: the outcome of a run has to be recorded in any case.
func (c *call) run(start rocktable.CallStart) {
	_, end := c.BeginCall(context.Background(), start)
	defer end()
	defer c.traffic.guard().Recover(c.Abort)
	ctx, cancel := context.WithTimeout(context.Background(), start.Timeout)
	defer cancel()
	c.req.Held.AddOwner(rockmemory.Owner{Kind: rockmemory.Server, Name: start.Name}) // a server without end leaves room for the others
	reply, err := c.traffic.Service.Do(ctx, start.Address, rockservice.Call{
		Method: c.req.Method, Path: c.req.Path, ContentType: c.req.ContentType, IdempotencyKey: c.req.IdempotencyKey, AttemptID: c.attemptName, Body: c.req.Body, Held: c.req.Held, Prepaid: shortAnswerBytes,
	})
	c.traffic.logMalformed(c.attemptName, start.Name, err)
	e := rocktable.CallEnded{Request: c.ID, Server: start.Server, Run: start.Run, Sent: true}
	switch {
	case err == nil:
		e.Status, e.ContentType, e.Body = reply.Status, reply.ContentType, reply.Body
	case errors.Is(err, rockservice.ErrUnreachable):
		e.Reason, e.Sent = rockreason.ServerUnreachable, false
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, rockmemory.ErrNoRoom):
		e.Reason = rockreason.OutcomeUnknown
	default:
		e.TooLong = errors.Is(err, rockservice.ErrTooLarge)
		e.Reason, e.Crashed = rockreason.OutcomeUnknown, !e.TooLong
	}
	c.EndCall(e)
}
