package rocktick_test

import (
	"testing"
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// configurePipelines activates the next configuration version with these pipelines.
func configurePipelines(t *testing.T, now time.Time, w *rocktable.World, pipelines ...rocktable.PipelineConfig) {
	t.Helper()
	cfg := w.Config.Configuration
	cfg.Pipelines = pipelines
	w.Inbox.ConfigResults = append(w.Inbox.ConfigResults, rocktable.TableResult[rocktable.ConfigRow]{
		Status: rocktable.TableOK, Found: true, Version: w.ConfigVersion + 1, Row: rocktable.ConfigRow{ChangeID: "pipelines", Configuration: cfg},
	})
	run(t, now, w)
}

// Guards against a request that waits in the queue of a pipeline that no longer exists, where nothing starts or refuses
// it for seconds, and against counts of the pipeline that such a request leaves wrong when the pipeline comes back.
func TestFailedRequestOfARemovedPipelineIsAnswered(t *testing.T) {
	w := newWorld()
	setUpPipeline(t, w)
	pipelines := w.Config.Configuration.Pipelines
	w.Inbox.Arrivals = append(w.Inbox.Arrivals, rocktable.Arrival{Request: rocktable.Request{
		ID: 1, Caller: w.CallerNamed("guild").ID, Pipeline: w.InternPipeline("captions").ID, ArrivedAt: start, PromptTokens: 10, MaxTokens: 5,
	}})
	attempt := run(t, start, w).Outbox.Starts[0]
	configurePipelines(t, start, w)
	now := start.Add(100 * time.Millisecond)
	w.Inbox.AttemptsEnded = append(w.Inbox.AttemptsEnded, rocktable.AttemptEnded{
		Attempt: attempt.Attempt, Reason: rockreason.StageDied, FailedServer: attempt.Path[0].Server, Tokens: 2, FirstTokenAt: now,
	})
	out := run(t, now, w).Outbox
	if len(out.Answers) != 1 || out.Answers[0].Reason != rockreason.BackendFailed {
		t.Errorf("got answers %+v, want one with reason %q", out.Answers, rockreason.BackendFailed)
	}
	configurePipelines(t, now, w, pipelines...)
	run(t, now.Add(time.Minute), w)
	if got := w.Pipelines.Get(w.InternPipeline("captions").ID).Waiting; got != 0 {
		t.Errorf("got %d requests counted as queued in the pipeline that came back, want none", got)
	}
}

// Guards against a queued request that is never started because its pipeline goes and comes back within one tick.
func TestQueuedRequestOfAPipelineThatComesBackStarts(t *testing.T) {
	w := newWorld()
	setUpPipeline(t, w)
	for _, s := range w.Servers.All() {
		s.PeerInFlight = s.Status.Slots
	}
	w.Inbox.Arrivals = append(w.Inbox.Arrivals, rocktable.Arrival{Request: rocktable.Request{
		ID: 1, Caller: w.CallerNamed("guild").ID, Pipeline: w.InternPipeline("captions").ID, ArrivedAt: start, PromptTokens: 10, MaxTokens: 5,
	}})
	if out := run(t, start, w).Outbox; len(out.Starts)+len(out.Answers) != 0 {
		t.Fatalf("got starts %+v and answers %+v, want a queued request", out.Starts, out.Answers)
	}
	for _, s := range w.Servers.All() {
		s.PeerInFlight = 0
	}
	row := w.Config
	without := row
	without.Configuration.Pipelines = nil
	for i, next := range []rocktable.ConfigRow{without, row} {
		w.Inbox.ConfigResults = append(w.Inbox.ConfigResults, rocktable.TableResult[rocktable.ConfigRow]{
			Status: rocktable.TableOK, Found: true, Version: w.ConfigVersion + 1 + uint64(i), Row: next,
		})
	}
	now := start.Add(100 * time.Millisecond)
	if out := run(t, now, w).Outbox; len(out.Starts) != 1 {
		t.Errorf("got starts %+v and answers %+v, want the request to start", out.Starts, out.Answers)
	}
}

// Guards against a 404, which callers do not repeat, for a request that was looked up before the configuration moved its
// route to another pipeline or service.
func TestRequestWhosePipelineGoesMayComeBack(t *testing.T) {
	for name, c := range map[string]struct {
		removedAfter time.Duration // since the arrival
		call         bool
	}{
		"queued": {removedAfter: time.Millisecond}, "on its way": {}, "call on its way": {call: true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld()
			setUpPipeline(t, w)
			for _, s := range w.Servers.All() {
				s.PeerInFlight = s.Status.Slots
			}
			r := rocktable.Request{ID: 1, Caller: w.CallerNamed("guild").ID, Pipeline: w.InternPipeline("captions").ID, ArrivedAt: start, PromptTokens: 10, MaxTokens: 5}
			if c.call {
				r.Pipeline, r.Call = 0, &rocktable.Call{Service: w.InternService("desk").ID, Idempotent: true, NeedsNoClaim: true}
				w.Services.Delete(r.Call.Service)
			}
			w.Inbox.Arrivals = append(w.Inbox.Arrivals, rocktable.Arrival{Request: r})
			if c.removedAfter > 0 {
				run(t, start, w)
			}
			cfg := w.Config.Configuration
			cfg.Pipelines = nil
			w.Inbox.ConfigResults = append(w.Inbox.ConfigResults, rocktable.TableResult[rocktable.ConfigRow]{
				Status: rocktable.TableOK, Found: true, Version: w.ConfigVersion + 1, Row: rocktable.ConfigRow{Configuration: cfg},
			})
			out := run(t, start.Add(c.removedAfter), w).Outbox
			if len(out.Answers) != 1 {
				t.Fatalf("got answers %+v, want one", out.Answers)
			}
			if reason, _ := rockreason.Find(out.Answers[0].Reason); reason.Status != 503 || !reason.Retryable {
				t.Errorf("got reason %q with status %d, want one with status 503 that may be retried", reason.Code, reason.Status)
			}
		})
	}
}
