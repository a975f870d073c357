package rockrelay

import (
	"io"
	"strings"
	"sync/atomic"
	"testing"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// endlessBody is a body without end that counts what is read of it.
type endlessBody struct {
	text string
	read atomic.Int64
}

func (b *endlessBody) Read(p []byte) (int, error) {
	n := copy(p, strings.Repeat(b.text, 1+len(p)/len(b.text)))
	b.read.Add(int64(n))
	return n, nil
}

func (b *endlessBody) Close() error { return nil }

// Guards against calls to backend servers in trouble whose bodies without end take the memory of the host together,
// although each stays below its own limit.
func TestHeldAnswersAreLimited(t *testing.T) {
	route := rocktable.RouteConfig{
		Name: "read", Host: "a.example", Prefix: "/", Targets: []rocktable.RouteTarget{{Name: "desk", Weight: 1}}, Repeatable: true, Attempts: 2,
	}
	b := newFixture(t, route)
	b.MaxHeldBytes = 4 << 20
	c := b.send(t.Context(), Request{ID: "a"})
	waitFor(t, b, arrivals)
	body := &endlessBody{text: "x"}
	start := rocktable.Outbox{CallStarts: []rocktable.CallStart{{Request: 1, Server: 1, Name: "d1", Address: "d1:80", Timeout: 1e9}}}
	b.answers <- respond(body)
	b.Dispatch(start)
	if e := waitFor(t, b, callEndings); e.Reason != rockreason.OutcomeUnknown || !e.Sent {
		t.Errorf("endless answer: got end %q, sent %v; want %q of a call that was sent", e.Reason, e.Sent, rockreason.OutcomeUnknown)
	}
	if body.read.Load() > b.MaxHeldBytes+answerChunkBytes {
		t.Errorf("read %d bytes, want at most %d", body.read.Load(), b.MaxHeldBytes)
	}
	b.answers <- respond(io.NopCloser(strings.NewReader("whole")))
	b.Dispatch(start)
	waitFor(t, b, callEndings)
	b.sendAnswer(rocktable.Answer{Recorded: &rocktable.ClaimRow{}})
	<-c.done
	if c.body.String() != "whole" || b.heldBytes.Load() != 0 {
		t.Errorf("caller got %q and %d bytes are still counted, want the second answer and 0", c.body.String(), b.heldBytes.Load())
	}
}

// Guards against an event without end that takes the memory of the host.
func TestEndlessEventEndsTheAttempt(t *testing.T) {
	b := newFixture(t, streaming)
	b.MaxHeldBytes = 256 << 10
	b.send(t.Context(), Request{ID: "a"})
	waitFor(t, b, arrivals)
	body := &endlessBody{text: "data: x\n"}
	b.answers <- respond(body)
	b.startAttempt(1)
	if e := waitFor(t, b, endings); e.Reason != rockreason.StageDied || e.FailedServer != 1 {
		t.Errorf("got end %q of backend server %d, want %q of 1", e.Reason, e.FailedServer, rockreason.StageDied)
	}
	if body.read.Load() > b.MaxHeldBytes+2*answerChunkBytes || b.heldBytes.Load() != 0 {
		t.Errorf("read %d bytes with %d still counted, want at most %d and 0", body.read.Load(), b.heldBytes.Load(), b.MaxHeldBytes+2*answerChunkBytes)
	}
}
