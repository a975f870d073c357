package rocktick_test

import (
	"testing"
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// configure activates the next configuration version with these ranks.
func configure(t *testing.T, now time.Time, w *rocktable.World, names ...string) rocktable.Outbox {
	t.Helper()
	cfg := w.Config.Configuration
	cfg.Ranks = nil
	for _, name := range names {
		cfg.Ranks = append(cfg.Ranks, rocktable.RankConfig{Name: name, FirstTokenMs: 60000, GapMs: 1000, Worth: 1})
	}
	w.Inbox.ConfigResults = append(w.Inbox.ConfigResults, rocktable.TableResult[rocktable.ConfigRow]{
		Status: rocktable.TableOK, Found: true, Version: w.ConfigVersion + 1,
		Row: rocktable.ConfigRow{ChangeID: "ranks", Configuration: cfg},
	})
	return run(t, now, w).Outbox
}

// Guards against queued requests that end up in another rank when a configuration inserts, reorders
// or removes ranks.
func TestRequestsKeepTheirRank(t *testing.T) {
	w := newWorld()
	setUpPipeline(t, w)
	configure(t, start, w, "urgent", "background")
	arrive := func(id rocktable.RequestID, rank rocktable.RankID) {
		w.Inbox.Arrivals = append(w.Inbox.Arrivals, rocktable.Arrival{Request: rocktable.Request{
			ID: id, Caller: w.CallerNamed("guild").ID, Rank: rank, Pipeline: w.InternPipeline("captions").ID, ArrivedAt: start, PromptTokens: 10, MaxTokens: 5,
		}})
	}
	// The backend servers have 4 slots, so the other 4 requests queue.
	for id := rocktable.RequestID(1); id <= 8; id++ {
		arrive(id, rocktable.RankID(id%2))
	}
	run(t, start, w)
	configure(t, start, w, "interactive", "background", "urgent")
	for id := rocktable.RequestID(1); id <= 8; id++ {
		want := []string{"urgent", "background"}[id%2]
		if got := w.Ranks.Get(w.Requests.Get(id).Rank).Config.Name; got != want {
			t.Errorf("request %d: got rank %q, want %q", id, got, want)
		}
	}
	out := configure(t, start, w, "urgent")
	refused := 0
	for _, a := range out.Answers {
		if a.Reason != rockreason.UnknownRank {
			t.Errorf("request %d: got reason %q, want %q", a.Request, a.Reason, rockreason.UnknownRank)
		}
		refused++
	}
	for _, r := range w.Requests.All() {
		if r.InQueue && w.Ranks.Get(r.Rank) == nil {
			t.Errorf("request %d is queued in a removed rank", r.ID)
		}
	}
	if refused == 0 {
		t.Error("got no refusal of the queued requests of the removed ranks")
	}
}

// rankOf returns the name of the rank of a request that this host holds, or an empty string.
func rankOf(w *rocktable.World, id rocktable.RequestID) string {
	if r := w.Requests.Get(id); r != nil {
		if rank := w.Ranks.Get(r.Rank); rank != nil {
			return rank.Config.Name
		}
	}
	return ""
}

// Guards against a request that is queued in another rank, or refused, because the configuration changed between its
// lookup in a snapshot and its arrival.
func TestArrivalKeepsTheRankOfItsSnapshot(t *testing.T) {
	for name, next := range map[string][]string{
		"inserted":  {"interactive", "urgent", "background"},
		"reordered": {"background", "urgent"},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld()
			setUpPipeline(t, w)
			configure(t, start, w, "urgent", "background")
			snapshot := w.TakeSnapshot()
			configure(t, start, w, next...)
			w.Inbox.Arrivals = append(w.Inbox.Arrivals, rocktable.Arrival{Request: rocktable.Request{
				ID: 1, Caller: w.CallerNamed("guild").ID, Rank: snapshot.Ranks["background"], Pipeline: snapshot.Pipelines["captions"],
				ArrivedAt: start, PromptTokens: 10, MaxTokens: 5,
			}})
			out := run(t, start, w).Outbox
			if got := rankOf(w, 1); got != "background" || len(out.Answers) != 0 {
				t.Errorf("got rank %q and answers %+v, want rank background and no answer", got, out.Answers)
			}
		})
	}
}
