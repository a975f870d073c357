package rockrelay

import (
	"testing"
	"testing/synctest"
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// Guards against a request that runs after it was refused, without an end: its goroutine had not yet taken the start
// when the control thread canceled it. The caller waits for the refusal until the backend server ends.
func TestRefusalCancelsPendingStart(t *testing.T) {
	call := rocktable.RouteConfig{Name: "pay", Host: "a.example", Prefix: "/", Targets: []rocktable.RouteTarget{{Name: "desk", Weight: 1}}, Attempts: 1}
	for name, c := range map[string]struct {
		route rocktable.RouteConfig
		start func(b *fixture)
	}{
		"attempt": {streaming, func(b *fixture) { b.startAttempt(1) }},
		"call": {call, func(b *fixture) {
			b.Dispatch(rocktable.Outbox{CallStarts: []rocktable.CallStart{{Request: 1, Server: 1, Name: "d1", Address: "d1:80", Timeout: time.Second}}})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFixture(t, c.route)
				post, proceed := b.Post, make(chan struct{})
				b.Post = func(fill func(in *rocktable.Inbox)) { post(fill); <-proceed }
				sender := b.send(t.Context(), Request{ID: "a"})
				waitFor(t, b, arrivals)
				c.start(b)
				b.sendAnswer(rocktable.Answer{Reason: rockreason.TimedOut})
				close(proceed)
				synctest.Wait()
				select {
				case <-sender.done:
				default:
					t.Error("the caller still waits after the refusal")
					b.answers <- func() (*Response, error) { return nil, ErrNotSent }
					<-sender.done
				}
				if sender.refused != rockreason.TimedOut {
					t.Errorf("got refusal %q, want %q", sender.refused, rockreason.TimedOut)
				}
			})
		})
	}
}
