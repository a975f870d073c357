package rocktraffic

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockengine"
	"sassafrasrock/io/rockexchange"
	"sassafrasrock/io/rockresponse"
	"sassafrasrock/io/rockservice"
)

// fakeEngines opens sessions that keep a KV cache, so that each token depends on every earlier position.
type fakeEngines struct {
	mu    sync.Mutex
	steps map[string]int // by address
	fail  func(address string, epoch uint32, step int) error
}

func (f *fakeEngines) open(_ context.Context, address string, req rockengine.OpenRequest) (*rockengine.Session, error) {
	if address == "refuses" {
		return nil, rockengine.ErrNotStarted
	}
	cache := uint64(0)
	positions := 0
	step := func(ctx context.Context, s rockengine.Step) (rockengine.StepReply, error) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.steps[address]++
		if err := f.fail(address, req.Epoch, s.Index); err != nil {
			return rockengine.StepReply{}, err
		}
		in := s.Activations
		if req.FirstLayer == 0 {
			for range strings.Fields(s.Prompt) {
				in = append(in, 7)
			}
			for _, token := range s.Tokens {
				in = append(in, uint64(token))
			}
		}
		reply := rockengine.StepReply{Epoch: req.Epoch, Index: s.Index}
		for _, x := range in {
			cache = cache*31 + x
			reply.Activations = append(reply.Activations, cache+uint64(req.FirstLayer))
		}
		positions += len(in)
		reply.Position = positions
		reply.Token = uint32(reply.Activations[len(in)-1] % 1009)
		reply.Text = string(rune('a' + reply.Token%26))
		return reply, nil
	}
	return &rockengine.Session{Step: step, Close: func() {}}, nil
}

// harness runs a Traffic against fake engines and collects the events that it posts.
type harness struct {
	traffic   *Traffic
	engines   *fakeEngines
	events    chan rocktable.Inbox
	canResume bool // the engines of the path support resuming a session
}

func newHarness(fail func(address string, epoch uint32, step int) error) *harness {
	h := &harness{
		engines: &fakeEngines{steps: map[string]int{}, fail: fail},
		events:  make(chan rocktable.Inbox, 1000),
	}
	last := rocktable.RequestID(0)
	h.traffic = &Traffic{
		HostIncarnation: "entry-1/1",
		Engine:          &rockengine.Engine{Open: h.engines.open},
		Exchanges: &rockexchange.Table{
			Post: func(fill func(*rocktable.Inbox)) {
				var in rocktable.Inbox
				fill(&in)
				h.events <- in
			},
			NextRequestID: func() rocktable.RequestID { last++; return last },
		},
		Count: func(rockreason.Code) {},
		Now:   time.Now,
		Log:   slog.New(slog.DiscardHandler),
	}
	return h
}

func (h *harness) start(epoch uint32, first string) {
	h.traffic.Exchanges.Dispatch(rocktable.Outbox{Starts: []rocktable.Start{{
		Request: 1, Attempt: rocktable.AttemptID(epoch), Epoch: epoch, Pipeline: rocktable.PipelineConfig{Model: "m", Layers: 9},
		Path: []rocktable.Stage{
			{Server: 1, Address: first, LastLayer: 2, Resume: h.canResume},
			{Server: 2, Address: "b", FirstLayer: 3, LastLayer: 5, Resume: h.canResume},
			{Server: 3, Address: "c", FirstLayer: 6, LastLayer: 8, Resume: h.canResume},
		},
		StepLimit: time.Second, FirstTokenLimit: time.Second,
	}}})
}

func (h *harness) nextEnd() rocktable.AttemptEnded {
	for in := range h.events {
		if len(in.AttemptsEnded) > 0 {
			return in.AttemptsEnded[0]
		}
	}
	return rocktable.AttemptEnded{}
}

// answer runs one request with an attempt for each address of a first stage. It returns the text and the ends of the
// attempts.
func (h *harness) answer(t *testing.T, firstStages ...string) (string, []rocktable.AttemptEnded) {
	t.Helper()
	var text strings.Builder
	done := make(chan error)
	go func() {
		_, err := h.traffic.Chat(t.Context(), ChatRequest{Prompt: "a few words", MaxTokens: 8}, func(token Token) error {
			text.WriteString(token.Text)
			return nil
		})
		done <- err
	}()
	synctest.Wait()
	var ends []rocktable.AttemptEnded
	for i, first := range firstStages {
		h.start(uint32(i+1), first)
		ends = append(ends, h.nextEnd())
	}
	h.traffic.Exchanges.Dispatch(rocktable.Outbox{Answers: []rocktable.Answer{{Request: 1}}})
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	return text.String(), ends
}

func noFailure(string, uint32, int) error { return nil }

// Guards against an answer that repeats, skips or changes a token after a stage died during it.
func TestReplayGivesTheSameAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		want, _ := newHarness(noFailure).answer(t, "a")
		for step := range 8 {
			for _, dies := range []string{"a", "b", "c"} {
				h := newHarness(func(address string, epoch uint32, index int) error {
					if epoch == 1 && address == dies && index == step {
						return rockengine.ErrLost
					}
					return nil
				})
				got, ends := h.answer(t, "a", "d")
				if diff := cmp.Diff(want, got); diff != "" {
					t.Errorf("stage %s died in step %d: answer differs (-want +got):\n%s", dies, step, diff)
				}
				if ends[0].Reason != rockreason.StageDied || ends[0].Tokens != step || !ends[0].Crashed {
					t.Errorf("stage %s died in step %d: got first end %+v, want a crash with stageDied", dies, step, ends[0])
				}
			}
		}
	})
}

// Guards against a request that hangs because one of its stages never answers.
func TestStageThatDoesNotAnswerStalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(noFailure)
		open := h.traffic.Engine.Open
		h.traffic.Engine.Open = func(ctx context.Context, address string, req rockengine.OpenRequest) (*rockengine.Session, error) {
			s, err := open(ctx, address, req)
			if address == "b" && req.Epoch == 1 {
				s.Step = func(ctx context.Context, _ rockengine.Step) (rockengine.StepReply, error) {
					<-ctx.Done()
					return rockengine.StepReply{}, ctx.Err()
				}
			}
			return s, err
		}
		_, ends := h.answer(t, "a", "a")
		if ends[0].Reason != rockreason.StageStalled || ends[0].FailedServer != 2 {
			t.Errorf("got first end %+v, want a stall of stage 2", ends[0])
		}
	})
}

// Guards against reporting a refused session as one that may have run.
func TestRefusedStageRunsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(noFailure)
		_, ends := h.answer(t, "refuses", "a")
		if ends[0].Reason != rockreason.StageRefused || ends[0].FailedServer != 1 {
			t.Errorf("got first end %+v, want a refusal by stage 1", ends[0])
		}
		if got := h.engines.steps["b"]; got != 8 {
			t.Errorf("stage b ran %d steps, want only the 8 of the second attempt", got)
		}
	})
}

// Guards against a request that keeps running after its caller closed the connection.
func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(noFailure)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() {
			_, err := h.traffic.Chat(ctx, ChatRequest{Prompt: "p", MaxTokens: 4}, func(Token) error { return nil })
			done <- err
		}()
		synctest.Wait()
		cancel()
		synctest.Wait()
		<-h.events // the arrival
		if in := <-h.events; len(in.CallerDisconnects) != 1 {
			t.Errorf("got event %+v, want one CallerDisconnect", in)
		}
		h.traffic.Exchanges.Dispatch(rocktable.Outbox{Answers: []rocktable.Answer{{Request: 1, Reason: rockreason.CallerLeft}}})
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Errorf("Chat: got error %v, want %v", err, context.Canceled)
		}
	})
}

// Guards against an attempt that its caller left and that counts as silent: the control thread would pay for another one.
func TestCallerLeavesDuringAnAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(noFailure)
		h.traffic.Engine.Open = func(context.Context, string, rockengine.OpenRequest) (*rockengine.Session, error) {
			step := func(ctx context.Context, _ rockengine.Step) (rockengine.StepReply, error) {
				<-ctx.Done()
				return rockengine.StepReply{}, ctx.Err()
			}
			return &rockengine.Session{Step: step, Close: func() {}}, nil
		}
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			_, _ = h.traffic.Chat(ctx, ChatRequest{Prompt: "p", MaxTokens: 4}, func(Token) error { return nil })
		}()
		synctest.Wait()
		h.start(1, "a")
		synctest.Wait()
		cancel()
		if end := h.nextEnd(); end.Reason != rockreason.CallerLeft {
			t.Errorf("got end %+v, want the reason %q", end, rockreason.CallerLeft)
		}
		h.traffic.Exchanges.Dispatch(rocktable.Outbox{Answers: []rocktable.Answer{{Request: 1, Reason: rockreason.CallerLeft}}})
	})
}

// Guards against reporting a call as not sent although only its answer was lost, and the reverse.
func TestCallEnds(t *testing.T) {
	tests := []struct {
		err  error
		sent bool
		code rockreason.Code
	}{
		{nil, true, ""},
		{rockservice.ErrUnreachable, false, rockreason.ServerUnreachable},
		{rockservice.ErrLost, true, rockreason.OutcomeUnknown},
		{context.DeadlineExceeded, true, rockreason.OutcomeUnknown},
	}
	for _, test := range tests {
		h := newHarness(noFailure)
		h.traffic.Service = &rockservice.Client{Do: func(context.Context, string, rockservice.Call) (rockservice.Reply, error) {
			return rockservice.Reply{Status: 201}, test.err
		}}
		go h.traffic.Call(t.Context(), CallRequest{Method: "POST", Path: "/squares", IdempotencyKey: "k"})
		<-h.events
		h.traffic.Exchanges.Dispatch(rocktable.Outbox{CallStarts: []rocktable.CallStart{{Request: 1, Timeout: time.Minute}}})
		e := (<-h.events).CallsEnded[0]
		if e.Sent != test.sent || e.Reason != test.code {
			t.Errorf("error %v: got end %+v, want sent %t and reason %q", test.err, e, test.sent, test.code)
		}
	}
}

// Guards against an answer that is not valid HTTP and of which no log line names the backend server and the fault.
func TestMalformedAnswersAreLogged(t *testing.T) {
	err := fmt.Errorf("%w: status \"000 None\"", rockresponse.ErrMalformed)
	h := newHarness(noFailure)
	var lines bytes.Buffer
	h.traffic.Log = slog.New(slog.NewTextHandler(&lines, nil))
	h.traffic.Service = &rockservice.Client{Do: func(context.Context, string, rockservice.Call) (rockservice.Reply, error) {
		return rockservice.Reply{}, fmt.Errorf("%w: %w", rockservice.ErrLost, err)
	}}
	go h.traffic.Call(t.Context(), CallRequest{Method: "POST", Path: "/squares", IdempotencyKey: "k"})
	<-h.events
	h.traffic.Exchanges.Dispatch(rocktable.Outbox{CallStarts: []rocktable.CallStart{{Request: 1, Name: "app-1", Timeout: time.Minute}}})
	<-h.events
	h.traffic.Engine.Open = func(context.Context, string, rockengine.OpenRequest) (*rockengine.Session, error) {
		return nil, fmt.Errorf("%w: %w", rockengine.ErrLost, err)
	}
	go h.traffic.Chat(t.Context(), ChatRequest{Prompt: "p", MaxTokens: 4}, func(Token) error { return nil })
	<-h.events
	h.traffic.Exchanges.Dispatch(rocktable.Outbox{Starts: []rocktable.Start{{
		Request: 2, Attempt: 1, Epoch: 1, Path: []rocktable.Stage{{Name: "r1"}}, FirstTokenLimit: time.Minute,
	}}})
	if end := h.nextEnd(); end.Reason != rockreason.StageUnreachable || !end.Crashed {
		t.Errorf("got end %+v, want that the backend server cannot be reached and may have crashed", end)
	}
	for _, want := range []string{"request=entry-1/1/1 server=app-1", "request=entry-1/1/2 server=r1"} {
		if got := lines.String(); !strings.Contains(got, want) || strings.Count(got, "000 None") != 2 {
			t.Errorf("the log has %q, want %q and the status", got, want)
		}
	}
}

// Guards against a panic in an attempt or a call that ends the process, and against one after which the control thread holds
// the request for good.
func TestPanicEndsItsRequest(t *testing.T) {
	h := newHarness(noFailure)
	h.traffic.Service = &rockservice.Client{Do: func(context.Context, string, rockservice.Call) (rockservice.Reply, error) { panic("call") }}
	done := make(chan struct{})
	go func() {
		_, _ = h.traffic.Chat(t.Context(), ChatRequest{Prompt: "p", MaxTokens: 4}, func(Token) error { panic("emit") })
		_, _ = h.traffic.Call(t.Context(), CallRequest{Method: "POST", Path: "/squares", IdempotencyKey: "k"})
		close(done)
	}()
	<-h.events // the arrival
	h.start(1, "a")
	if in := <-h.events; len(in.CallerDisconnects) != 1 || len(in.AttemptsEnded) != 1 {
		t.Errorf("got event %+v after the panic of an attempt, want the end of the request and of the attempt", in)
	}
	h.traffic.Exchanges.Dispatch(rocktable.Outbox{Answers: []rocktable.Answer{{Request: 1, Reason: rockreason.CallerLeft}}})
	<-h.events
	h.traffic.Exchanges.Dispatch(rocktable.Outbox{CallStarts: []rocktable.CallStart{{Request: 2, Server: 5, Timeout: time.Minute}}})
	if in := <-h.events; len(in.CallsEnded) != 1 || in.CallsEnded[0].Reason != rockreason.OutcomeUnknown || !in.CallsEnded[0].Sent {
		t.Errorf("got event %+v after the panic of a call, want that it may have run", in)
	}
	h.traffic.Exchanges.Dispatch(rocktable.Outbox{Answers: []rocktable.Answer{{Request: 2, Reason: rockreason.OutcomeUnknown}}})
	<-done
}
