package rockretry

import (
	"testing"
	"time"

	"sassafrasrock/core/rockadmit"
	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

var startTime = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

func newTestWorld(limits rocktable.Limits) *rocktable.World {
	return rocktable.NewWorld(startTime, rocktable.Host{Name: "entry-1"}, rocktable.DataCentre{Name: "yoff"}, 1, rocktable.WithLimits(limits))
}

// Guards against more retries in some span of the window's length than the shared budget allows one
// host, and against no retries at all.
func TestSharedBudgetInEverySpan(t *testing.T) {
	limits := rocktable.DefaultLimits()
	limits.RetryWindow, limits.RetryRatio, limits.RetryBurst = 10*time.Second, 0.2, 50
	w := newTestWorld(limits)
	r := &rocktable.Request{Pipeline: 1}
	var spent []time.Time
	const perSecond = 20
	for step := range 60 * perSecond {
		now := startTime.Add(time.Duration(step) * time.Second / perSecond)
		w.Inbox.Arrivals = []rocktable.Arrival{{Request: *r}}
		countArrivals(now, w)
		for range 3 {
			if SpendSharedBudget(now, w, r) {
				spent = append(spent, now)
			}
		}
	}
	if len(spent) == 0 {
		t.Fatal("got no retry within 60 s, want some")
	}
	allowed := limits.RetryRatio*10*perSecond + limits.RetryBurst
	for i := range spent {
		n := 0
		for _, at := range spent[i:] {
			if at.Sub(spent[i]) < limits.RetryWindow {
				n++
			}
		}
		if float64(n) > allowed {
			t.Fatalf("got %d retries within %s from %s, want at most %.0f", n, limits.RetryWindow, spent[i].Sub(startTime), allowed)
		}
	}
}

// Guards against a host that spends its share again after each restart: its peers cannot know what
// it spent before.
func TestSharedBudgetAfterStart(t *testing.T) {
	limits := rocktable.DefaultLimits()
	limits.RetryWindow, limits.RetryRatio, limits.RetryBurst = 10*time.Second, 0.2, 50
	w := newTestWorld(limits)
	r := &rocktable.Request{Pipeline: 1}
	if SpendSharedBudget(startTime.Add(4*time.Second), w, r) {
		t.Error("got a retry 4 s after the start with a window of 10 s, want none")
	}
	if !SpendSharedBudget(startTime.Add(11*time.Second), w, r) {
		t.Error("got no retry after a complete window, want one")
	}
}

// Guards against a pipeline or service that spends the retry budget of another one.
func TestSharedBudgetIsPerTarget(t *testing.T) {
	limits := rocktable.DefaultLimits()
	limits.RetryWindow, limits.RetryBurst = 10*time.Second, 10
	w := newTestWorld(limits)
	now := startTime.Add(time.Minute)
	for SpendSharedBudget(now, w, &rocktable.Request{Pipeline: 1}) {
	}
	if !SpendSharedBudget(now, w, &rocktable.Request{Call: &rocktable.Call{Service: 1}}) {
		t.Error("got no retry for a service after the budget of a pipeline was exhausted, want one")
	}
}

// Guards against hosts that each take a larger share while the others are restarted in turn: those
// may have spent theirs within the window.
func TestSharedBudgetDuringRestarts(t *testing.T) {
	limits := rocktable.DefaultLimits()
	limits.RetryWindow, limits.RetryBurst = 10*time.Second, 60
	w := newTestWorld(limits)
	for _, name := range []string{"entry-2", "entry-3", "entry-4", "entry-5", "entry-6"} {
		h := w.InternHost(name)
		h.State, h.Listed = rocktable.StateLeaving, true
	}
	now := startTime.Add(time.Minute)
	n := 0
	for SpendSharedBudget(now, w, &rocktable.Request{Pipeline: 1, MayHaveRun: true}) {
		n++
	}
	if n > 10 {
		t.Errorf("got %d retries at one host of six, want at most 10 of the 60 that all share", n)
	}
}

// Guards against requests that are refused because this host's share of the budget is spent, although an old retry leaves
// the window before their latest start, and against ones that wait although none does.
func TestRefusedRequestWaitsForTheBudget(t *testing.T) {
	limits := rocktable.DefaultLimits()
	limits.RetryWindow, limits.RetryRatio, limits.RetryBurst = 10*time.Second, 0.2, 20
	for name, c := range map[string]struct {
		oldest   int           // retries of the oldest part of the window
		untilEnd time.Duration // of the newest part
		waits    bool
	}{
		"a retry leaves in time":    {4, 100 * time.Millisecond, true},
		"a retry leaves too late":   {4, 900 * time.Millisecond, false},
		"no retry leaves":           {0, 100 * time.Millisecond, false},
		"too few leave for a retry": {1, 100 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestWorld(limits)
			w.InternPipeline("pool")
			w.Ranks.Put(0, rocktable.Rank{Config: rocktable.RankConfig{FirstTokenMs: 500, GapMs: 250, Worth: 1}})
			now := startTime.Add(time.Minute)
			window := currentWindow(now, w, rocktable.RetryKey{Pipeline: 1})
			window.PartStartedAt = now.Add(c.untilEnd - time.Second)
			spent := int(usableFraction*notRunFraction*limits.RetryBurst) + 2
			window.Retries[windowParts], window.Retries[1] = c.oldest, spent-c.oldest
			r := w.Requests.Put(1, rocktable.Request{ID: 1, Pipeline: 1, ArrivedAt: now, Attempts: 1, Deadline: now.Add(20 * time.Second)})
			e := rocktable.AttemptEnded{Reason: rockreason.StageRefused, FailedServer: 1}
			end := lastEnd(now, w, r, e, nil)
			if c.waits != (end.code == "") || c.waits != r.AwaitsBudget {
				t.Errorf("got end %q, waits for the budget %t, want waits %t", end.code, r.AwaitsBudget, c.waits)
			}
		})
	}
}

// Guards against a refused request that goes on waiting for the shared budget after its latest start. rockadmit no longer
// has it among the requests that it sheds, because it ran when it was the oldest one.
func TestWaitForTheBudgetEndsAtTheLatestStart(t *testing.T) {
	for name, c := range map[string]struct {
		awaitsBudget, mayHaveRun bool
		want                     int // answers
	}{"never ran": {true, false, 1}, "has begun": {true, true, 0}, "waits for capacity": {false, false, 0}} {
		t.Run(name, func(t *testing.T) {
			w := newTestWorld(rocktable.DefaultLimits())
			w.InternPipeline("pool")
			w.InternCaller("guild")
			w.Ranks.Put(0, rocktable.Rank{Config: rocktable.RankConfig{Name: "r", FirstTokenMs: 1000, GapMs: 250}})
			w.Requests.Put(1, rocktable.Request{ID: 1, Pipeline: 1, Caller: 1, ArrivedAt: startTime, Requeued: true, AwaitsBudget: c.awaitsBudget, MayHaveRun: c.mayHaveRun})
			r := w.Requests.Get(1)
			rockadmit.Requeue(startTime.Add(100*time.Millisecond), w, r)
			key := rocktable.LaneKey{Pipeline: 1}
			expireRequeued(rockadmit.LatestStart(w, r), w, key, w.Lanes.Get(key))
			if got := len(w.Outbox.Answers); got != c.want {
				t.Errorf("got %d answers at the latest start, want %d", got, c.want)
			}
		})
	}
}
