package rocktick_test

import (
	"testing"
	"time"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/core/rocktick"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func newWorld() *rocktable.World {
	self := rocktable.Host{Name: "entry-1", Address: "127.0.0.1:1"}
	return rocktable.NewWorld(start, self, rocktable.DataCentre{Name: "ga-west-a", Region: "ga-west"}, 1)
}

func run(t *testing.T, now time.Time, w *rocktable.World) rocktick.Result {
	t.Helper()
	result := rocktick.Run(now, w)
	for _, v := range result.Violations {
		t.Errorf("invariant %s: %v", v.Invariant, v.Err)
	}
	return result
}

// setUpPipeline configures one pipeline over three live backend servers.
func setUpPipeline(t *testing.T, w *rocktable.World) {
	t.Helper()
	w.Inbox.ConfigResults = append(w.Inbox.ConfigResults, rocktable.TableResult[rocktable.ConfigRow]{
		Status: rocktable.TableOK, Found: true, Version: 1,
		Row: rocktable.ConfigRow{ChangeID: "first", Configuration: rocktable.Configuration{
			Pipelines: []rocktable.PipelineConfig{{Name: "captions", Model: "m", Version: "1", Layers: 9}},
			Ranks:     []rocktable.RankConfig{{Name: "urgent", FirstTokenMs: 1000, GapMs: 100, Worth: 10}},
			Callers:   []rocktable.CallerConfig{{Name: "guild"}},
		}},
	})
	list := rocktable.HostList{OK: true}
	names := []string{"runner-1", "runner-2", "runner-3"}
	for _, name := range names {
		list.Entries = append(list.Entries, rocktable.ListedHost{
			Name: name, Role: "model", Address: name + ":1", DataCentre: "ga-west-a", Region: "ga-west", State: "live",
		})
	}
	w.Inbox.HostLists = append(w.Inbox.HostLists, list)
	run(t, start, w)
	for i, name := range names {
		w.Inbox.Probes = append(w.Inbox.Probes, rocktable.ProbeResult{
			Server: w.ServerNamed(name).ID, OK: true, RoundTrip: time.Millisecond,
			Status: rocktable.EngineStatus{
				Name: name, Model: "m", Version: "1", FirstLayer: 3 * i, LastLayer: 3*i + 2, Slots: 4, TokensPerSecond: 100, Incarnation: 1, State: "live",
			},
		})
	}
	run(t, start, w)
}

// Guards against a request that is not started on all stages, or leaves rows behind after its answer.
func TestRequestIsAnswered(t *testing.T) {
	w := newWorld()
	setUpPipeline(t, w)
	w.Inbox.Arrivals = append(w.Inbox.Arrivals, rocktable.Arrival{Request: rocktable.Request{
		ID: 1, Caller: w.CallerNamed("guild").ID, Pipeline: w.InternPipeline("captions").ID, ArrivedAt: start, PromptTokens: 10, MaxTokens: 5,
	}})
	out := run(t, start, w).Outbox
	if len(out.Starts) != 1 || len(out.Starts[0].Path) != 3 {
		t.Fatalf("got starts %+v, want one over three stages", out.Starts)
	}
	now := start.Add(200 * time.Millisecond)
	w.Inbox.AttemptsEnded = append(w.Inbox.AttemptsEnded, rocktable.AttemptEnded{
		Attempt: out.Starts[0].Attempt, Tokens: 5, FirstTokenAt: now, LargestGap: 20 * time.Millisecond,
	})
	out = run(t, now, w).Outbox
	if len(out.Answers) != 1 || !out.Answers[0].Outcome.WithinTarget {
		t.Fatalf("got answers %+v, want one that met its targets", out.Answers)
	}
	if w.Requests.Len() != 0 || w.Attempts.Len() != 0 {
		t.Errorf("got %d requests and %d attempts after the answer, want none", w.Requests.Len(), w.Attempts.Len())
	}
}
