package rockrelay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"sassafrasrock/core/rockconfig"
	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// bench is a relay whose control thread is the test.
type bench struct {
	*Relay
	events  chan rocktable.Inbox
	opens   chan Attempt
	answers chan func() (*Response, error)
}

func newBench(t *testing.T, route rocktable.RouteConfig) *bench {
	t.Helper()
	cfg := rocktable.Configuration{
		Pipelines: []rocktable.PipelineConfig{{Name: "pool", Model: "m", Layers: 4}},
		Services:  []rocktable.ServiceConfig{{Name: "desk", Listed: true}},
		Routes:    []rocktable.RouteConfig{route},
	}
	cfg.Ranks = rockconfig.RanksOf(cfg)
	w := rocktable.NewWorld(time.Now(), rocktable.Host{Name: "entry-1"}, rocktable.DataCentre{Name: "yoff"}, 1)
	rockconfig.Accept(time.Now(), w, 1, rocktable.ConfigRow{Configuration: cfg})
	snapshot := w.TakeSnapshot()
	b := &bench{
		events: make(chan rocktable.Inbox, 16), opens: make(chan Attempt, 4), answers: make(chan func() (*Response, error), 4),
	}
	b.Relay = &Relay{
		Open: func(ctx context.Context, a Attempt) (*Response, error) {
			b.opens <- a
			select {
			case answer := <-b.answers:
				return answer()
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		},
		Waiting:     func(context.Context, string) (map[string]string, error) { return nil, nil },
		Move:        func(context.Context, Attempt) error { return nil },
		Snapshot:    func() *rocktable.Snapshot { return snapshot },
		Post:        func(fill func(in *rocktable.Inbox)) { var in rocktable.Inbox; fill(&in); b.events <- in },
		NextRequest: func() rocktable.RequestID { return 1 },
		Count:       func(rockreason.Code) {},
		Observe:     func(string, rockreason.Code, time.Duration) {},
		Now:         time.Now,
		Log:         slog.New(slog.DiscardHandler),
	}
	return b
}

// caller collects an answer.
type caller struct {
	status  int
	header  http.Header
	body    strings.Builder
	refused rockreason.Code
	err     error
	done    chan struct{}
}

// ask sends a request and returns its caller.
func (b *bench) ask(ctx context.Context, req Request) *caller {
	c := &caller{done: make(chan struct{})}
	req.Host, req.Received = "a.example", time.Now()
	if req.Path == "" {
		req.Path = "/x"
	}
	sink := Sink{
		Begin:  func(status int, header http.Header) { c.status, c.header = status, header },
		Write:  func(p []byte) error { c.body.Write(p); return nil },
		Refuse: func(code rockreason.Code, _ time.Duration) { c.refused = code },
	}
	go func() {
		defer close(c.done)
		c.err = b.Serve(ctx, &req, sink)
	}()
	return c
}

// until returns the next event that pick finds something in.
func until[T any](t *testing.T, b *bench, pick func(in rocktable.Inbox) []T) T {
	t.Helper()
	for {
		select {
		case in := <-b.events:
			if found := pick(in); len(found) > 0 {
				return found[0]
			}
		case <-time.After(20 * time.Second):
			t.Fatal("no such event")
		}
	}
}

func arrivals(in rocktable.Inbox) []rocktable.Arrival      { return in.Arrivals }
func endings(in rocktable.Inbox) []rocktable.Ended         { return in.Ended }
func callEndings(in rocktable.Inbox) []rocktable.CallEnded { return in.CallsEnded }

func (b *bench) start(attempt rocktable.AttemptID) {
	b.Carry(rocktable.Outbox{Starts: []rocktable.Start{{
		Request: 1, Attempt: attempt, FirstTokenLimit: time.Second, StepLimit: time.Second, SilenceLimit: 150 * time.Millisecond,
		Path: []rocktable.Stage{{Server: 1, Name: "r1", Address: "r1:80", LastLayer: 1}, {Server: 2, Name: "r2", Address: "r2:80", FirstLayer: 2, LastLayer: 3}},
	}}})
}

func (b *bench) answer(a rocktable.Answer) {
	a.Request = 1
	b.Carry(rocktable.Outbox{Answers: []rocktable.Answer{a}})
}

// broken is a body that ends with an error.
func broken(text string, err error) io.ReadCloser {
	return io.NopCloser(io.MultiReader(strings.NewReader(text), errReader{err}))
}

type errReader struct{ err error }

func (r errReader) Read([]byte) (int, error) { return 0, r.err }

func event(id int) string { return fmt.Sprintf("id: %d\ndata: t%d\n\n", id, id) }

func ok(body io.ReadCloser) func() (*Response, error) {
	return func() (*Response, error) {
		return &Response{Status: 200, Header: http.Header{"X-Proof": {"first"}}, Body: body}, nil
	}
}

var streaming = rocktable.RouteConfig{
	Name: "draft", Host: "a.example", Prefix: "/", Targets: []rocktable.RouteTarget{{Name: "pool", Weight: 1}},
	Streaming: true, Resumable: true, Attempts: 2, TargetMs: 500, GapMs: 250,
}

// Guards against an event that is lost, comes twice or is joined from two runs when a stream goes on elsewhere after it broke inside an event.
func TestStreamGoesOnElsewhere(t *testing.T) {
	b := newBench(t, streaming)
	c := b.ask(t.Context(), Request{ID: "a"})
	until(t, b, arrivals)
	b.answers <- ok(broken(event(1)+event(2)+"id: 3\ndata: t", errors.New("reset")))
	b.start(1)
	if a := <-b.opens; a.LastEventID != "" {
		t.Errorf("the first attempt goes on after event %q", a.LastEventID)
	}
	if e := until(t, b, endings); e.Reason != rockreason.StageDied || e.Tokens != 2 {
		t.Errorf("end %q after %d events, want %q after 2", e.Reason, e.Tokens, rockreason.StageDied)
	}
	b.answers <- func() (*Response, error) {
		return &Response{Status: 200, Header: http.Header{"X-Proof": {"second"}}, Body: io.NopCloser(strings.NewReader(event(2) + event(3) + event(4)))}, nil
	}
	b.start(2)
	if a := <-b.opens; a.LastEventID != "2" {
		t.Errorf("the second attempt goes on after event %q, want 2", a.LastEventID)
	}
	if e := until(t, b, endings); e.Reason != "" || e.Tokens != 2 {
		t.Errorf("end %q after %d events, want a whole answer after 2", e.Reason, e.Tokens)
	}
	b.answer(rocktable.Answer{})
	<-c.done
	if want := event(1) + event(2) + event(3) + event(4); c.body.String() != want || c.err != nil {
		t.Errorf("the caller got %q and error %v, want %q", c.body.String(), c.err, want)
	}
	if c.header.Get("X-Proof") != "first" {
		t.Errorf("proof %q, want that of the first backend server", c.header.Get("X-Proof"))
	}
}

// Guards against a stream that looks whole though its rest will not come.
func TestBrokenStreamDoesNotLookWhole(t *testing.T) {
	b := newBench(t, streaming)
	c := b.ask(t.Context(), Request{ID: "a"})
	until(t, b, arrivals)
	b.answers <- ok(broken(event(1), errors.New("reset")))
	b.start(1)
	until(t, b, endings)
	b.answer(rocktable.Answer{Reason: rockreason.BackendFailed})
	<-c.done
	if !errors.Is(c.err, ErrBroken) {
		t.Errorf("error %v, want %v", c.err, ErrBroken)
	}
}

// Guards against an answer that ends inside an event and is taken for whole.
func TestTornEnd(t *testing.T) {
	b := newBench(t, streaming)
	b.ask(t.Context(), Request{ID: "a"})
	until(t, b, arrivals)
	b.answers <- ok(io.NopCloser(strings.NewReader(event(1) + "id: 2\nda")))
	b.start(1)
	if e := until(t, b, endings); e.Reason != rockreason.StageDied {
		t.Errorf("end %q, want %q", e.Reason, rockreason.StageDied)
	}
}

// Guards against work that is lost because a path is slow, and against a stream that waits for a dead backend server.
func TestSilentAttempt(t *testing.T) {
	for name, fault := range map[string]string{"slow": "", "dead": "r2:80"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, streaming)
				if fault != "" {
					b.Waiting = func(context.Context, string) (map[string]string, error) { return map[string]string{"a": fault}, nil }
				}
				ctx, cancel := context.WithCancel(t.Context())
				c := b.ask(ctx, Request{ID: "a"})
				until(t, b, arrivals)
				b.start(1)
				time.Sleep(10 * time.Second)
				synctest.Wait()
				var ended []rocktable.Ended
				for len(b.events) > 0 {
					ended = append(ended, (<-b.events).Ended...)
				}
				if fault == "" && len(ended) > 0 {
					t.Errorf("the attempt ended with %q", ended[0].Reason)
				}
				if fault != "" && (len(ended) != 1 || ended[0].Reason != rockreason.StageStalled || ended[0].FailedServer != 2) {
					t.Errorf("ends %+v, want one with backend server 2 at fault", ended)
				}
				cancel()
				<-c.done
			})
		})
	}
}

// Guards against a stream that waits longer for a backend server where it entered and which does not even tell: it cannot be moved.
func TestSilentEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, streaming)
		b.Waiting = func(context.Context, string) (map[string]string, error) { return nil, errors.New("no answer") }
		ctx, cancel := context.WithCancel(t.Context())
		c := b.ask(ctx, Request{ID: "a"})
		until(t, b, arrivals)
		begin := time.Now()
		b.start(1)
		e := until(t, b, endings)
		if e.Reason != rockreason.StageStalled || e.FailedServer != 1 || time.Since(begin) > 500*time.Millisecond {
			t.Errorf("end %+v after %s, want one that blames the first backend server before the limit for events", e, time.Since(begin))
		}
		cancel()
		<-c.done
	})
}

// Guards against "not run" for a request that was handed over, and against a request that runs when it was refused.
func TestRefusals(t *testing.T) {
	for name, c := range map[string]struct {
		open   func() (*Response, error)
		reason rockreason.Code
		server rocktable.BackendServerID
	}{
		"not reached": {func() (*Response, error) { return nil, fmt.Errorf("%w: dial", ErrNotSent) }, rockreason.StageUnreachable, 1},
		"refused": {func() (*Response, error) {
			return &Response{Status: 503, NotRun: true, Fault: "r2:80", Body: http.NoBody}, nil
		}, rockreason.StageRefused, 2},
		"failed": {func() (*Response, error) { return &Response{Status: 503, Body: http.NoBody}, nil }, rockreason.StageDied, 1},
		"lost":   {func() (*Response, error) { return nil, errors.New("reset") }, rockreason.StageDied, 1},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, streaming)
			b.ask(t.Context(), Request{ID: "a"})
			until(t, b, arrivals)
			b.answers <- c.open
			b.start(1)
			if e := until(t, b, endings); e.Reason != c.reason || e.FailedServer != c.server {
				t.Errorf("end %q with backend server %d at fault, want %q and %d", e.Reason, e.FailedServer, c.reason, c.server)
			}
		})
	}
}

// Guards against work at a backend server for a caller that has left, and against the backend server being blamed for it.
func TestCallerLeaves(t *testing.T) {
	b := newBench(t, streaming)
	ctx, cancel := context.WithCancel(t.Context())
	c := b.ask(ctx, Request{ID: "a"})
	until(t, b, arrivals)
	b.start(1)
	<-b.opens
	cancel()
	if e := until(t, b, endings); e.Reason != rockreason.CallerLeft || e.FailedServer != 0 || e.Crashed {
		t.Errorf("end %+v, want one that blames nobody", e)
	}
	<-c.done
	if !errors.Is(c.err, context.Canceled) {
		t.Errorf("error %v", c.err)
	}
}

// Guards against an answer to a call that differs from the backend server's, and against a call that is sent again though it may have run.
func TestCallEnds(t *testing.T) {
	for name, c := range map[string]struct {
		repeatable bool
		open       func() (*Response, error)
		reason     rockreason.Code
		sent       bool
	}{
		"whole": {false, func() (*Response, error) {
			return &Response{Status: 201, Body: io.NopCloser(strings.NewReader("x"))}, nil
		}, "", true},
		"failure": {false, func() (*Response, error) {
			return &Response{Status: 500, Body: io.NopCloser(strings.NewReader("x"))}, nil
		}, "", true},
		"failure, repeatable": {true, func() (*Response, error) {
			return &Response{Status: 500, Body: io.NopCloser(strings.NewReader("x"))}, nil
		}, rockreason.BackendFailed, true},
		"broken off":  {false, func() (*Response, error) { return &Response{Status: 200, Body: broken("x", errors.New("reset"))}, nil }, rockreason.OutcomeUnknown, true},
		"not reached": {false, func() (*Response, error) { return nil, ErrNotSent }, rockreason.ServerUnreachable, false},
		"refused":     {false, func() (*Response, error) { return &Response{Status: 503, NotRun: true, Body: http.NoBody}, nil }, rockreason.StageRefused, false},
	} {
		t.Run(name, func(t *testing.T) {
			route := rocktable.RouteConfig{
				Name: "pay", Host: "a.example", Prefix: "/", Targets: []rocktable.RouteTarget{{Name: "desk", Weight: 1}}, Repeatable: c.repeatable, Attempts: 1,
			}
			b := newBench(t, route)
			who := b.ask(t.Context(), Request{ID: "a"})
			if a := until(t, b, arrivals); a.Request.Call == nil || !a.Request.Call.NeedsNoClaim || a.Request.Call.Idempotent != c.repeatable {
				t.Fatalf("arrival %+v", a.Request)
			}
			b.answers <- c.open
			b.Carry(rocktable.Outbox{CallStarts: []rocktable.CallStart{{Request: 1, Server: 1, Name: "d1", Address: "d1:80", Timeout: time.Second}}})
			e := until(t, b, callEndings)
			if e.Reason != c.reason || e.Sent != c.sent {
				t.Errorf("end %q, sent %v; want %q, %v", e.Reason, e.Sent, c.reason, c.sent)
			}
			if c.reason != "" {
				return
			}
			b.answer(rocktable.Answer{Recorded: &rocktable.ClaimRow{}})
			<-who.done
			if who.status != e.Status || who.body.String() != "x" {
				t.Errorf("the caller got status %d and %q", who.status, who.body.String())
			}
		})
	}
}
