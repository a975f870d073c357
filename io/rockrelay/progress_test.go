package rockrelay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// dripBody sends a text every interval until it is closed, after a first text.
func dripBody(first, text string, every time.Duration, n int) io.ReadCloser {
	r, w := io.Pipe()
	go func() {
		if _, err := io.WriteString(w, first); err != nil {
			return
		}
		for range n {
			time.Sleep(every)
			if _, err := io.WriteString(w, text); err != nil {
				return
			}
		}
		_ = w.Close()
	}()
	return r
}

// Guards against a stalled stream that never ends because its backend server sends bytes now and then that bring the
// caller nothing new: the attempt has to end by the stall limit.
func TestBytesWithoutProgressDoNotHideAStall(t *testing.T) {
	numbered, named := event(1)+event(2), event(1)+"id: x\ndata: t\n\n"
	for name, c := range map[string]struct{ sound, repeated string }{
		"comments":         {numbered, ": waiting\n\n"},
		"empty lines":      {numbered, "\n"},
		"empty events":     {numbered, "id: 7\ndata:\n\n"},
		"repeated events":  {numbered, event(1)},
		"repeated text ID": {named, "id: x\ndata: t\n\n"},
		"single bytes":     {numbered, "d"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFixture(t, streaming)
				b.FetchWaiting = func(context.Context, string) (map[string]string, error) {
					return map[string]string{"a": "r2:80"}, nil
				}
				ctx, cancel := context.WithCancel(t.Context())
				caller := b.send(ctx, Request{ID: "a"})
				waitFor(t, b, arrivals)
				body := dripBody(c.sound, c.repeated, 100*time.Millisecond, 100)
				b.answers <- respond(body)
				b.startAttempt(1)
				e := waitFor(t, b, endings)
				if e.Reason != rockreason.StageStalled || e.Tokens != 2 {
					t.Errorf("got end %q after %d events, want %q after 2", e.Reason, e.Tokens, rockreason.StageStalled)
				}
				cancel()
				<-caller.done
				_ = body.Close()
				time.Sleep(time.Second)
			})
		})
	}
}

// Guards against a slow but sound stream that is cut because its events are far apart.
func TestSlowStreamIsNotCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(t, streaming)
		c := b.send(t.Context(), Request{ID: "a"})
		waitFor(t, b, arrivals)
		r, w := io.Pipe()
		var want strings.Builder
		go func() {
			for id := 1; id <= 8; id++ {
				time.Sleep(2 * time.Second)
				want.WriteString(event(id))
				_, _ = io.WriteString(w, event(id))
			}
			_ = w.Close()
		}()
		b.answers <- respond(r)
		b.startAttempt(1)
		if e := waitFor(t, b, endings); e.Reason != "" || e.Tokens != 8 {
			t.Errorf("got end %q after %d events, want a complete answer after 8", e.Reason, e.Tokens)
		}
		b.sendAnswer(rocktable.Answer{})
		<-c.done
		if c.body.String() != want.String() {
			t.Errorf("caller got %q, want %q", c.body.String(), want.String())
		}
	})
}

// Guards against a comment or an empty event that counts as the first token, or that commits this host to the answer of
// a backend server that sends nothing else.
func TestFirstTokenIsOneWithData(t *testing.T) {
	b := newFixture(t, streaming)
	c := b.send(t.Context(), Request{ID: "a"})
	waitFor(t, b, arrivals)
	b.answers <- respond(brokenBody(": hello\n\n"+"id: 0\ndata:\n\n", io.ErrUnexpectedEOF))
	b.startAttempt(1)
	if e := waitFor(t, b, endings); e.Reason != rockreason.StageDied || e.Tokens != 0 || !e.FirstTokenAt.IsZero() {
		t.Errorf("got end %q after %d tokens, the first at %v; want %q without a token", e.Reason, e.Tokens, e.FirstTokenAt, rockreason.StageDied)
	}
	b.answers <- respond(io.NopCloser(strings.NewReader(": hello\n\n" + event(1))))
	b.startAttempt(2)
	waitFor(t, b, endings)
	b.sendAnswer(rocktable.Answer{})
	<-c.done
	if want := ": hello\n\n" + event(1); c.body.String() != want {
		t.Errorf("caller got %q, want the answer of the second backend server, %q", c.body.String(), want)
	}
}

// Guards against a resumed stream that counts as waiting for its first token until it ends.
func TestEachAttemptReportsItsFirstEvent(t *testing.T) {
	b := newFixture(t, streaming)
	c := b.send(t.Context(), Request{ID: "a"})
	waitFor(t, b, arrivals)
	var reports []rocktable.Progress
	for attempt, body := range []io.ReadCloser{
		brokenBody(event(1)+event(2)+"id: 3\ndata: t", errors.New("reset")), io.NopCloser(strings.NewReader(event(3) + event(4))),
	} {
		b.answers <- func() (*Response, error) { return &Response{Status: 200, Header: http.Header{}, Body: body}, nil }
		b.startAttempt(rocktable.AttemptID(attempt + 1))
		<-b.attempts
		reports = append(reports, waitFor(t, b, progress))
		waitFor(t, b, endings)
	}
	b.sendAnswer(rocktable.Answer{})
	<-c.done
	if reports[0].Attempt != 1 || reports[1].Attempt != 2 || reports[1].Tokens != 1 || !reports[1].FirstTokenAt.Equal(reports[0].FirstTokenAt) {
		t.Errorf("got reports %+v, want one for each attempt, with the time of the request's first event", reports)
	}
}

func progress(in rocktable.Inbox) []rocktable.Progress { return in.Progress }
