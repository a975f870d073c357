package rockretry

import (
	"testing"
	"time"

	"sassafrasrock/core/rocktable"
)

var epoch = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

func budgeted(limits rocktable.Limits) *rocktable.World {
	return rocktable.NewWorld(epoch, rocktable.Host{Name: "entry-1"}, rocktable.DataCentre{Name: "yoff"}, 1, rocktable.WithLimits(limits))
}

// Guards against more repeats in some span of the window's length than the shared budget allows one host, and against none at all.
func TestSharedBudgetHoldsInEverySpan(t *testing.T) {
	limits := rocktable.DefaultLimits()
	limits.RetryWindow, limits.RetryRatio, limits.RetryBurst = 10*time.Second, 0.2, 50
	w := budgeted(limits)
	r := &rocktable.Request{Pipeline: 1}
	var spent []time.Time
	const perSecond = 20
	for step := range 60 * perSecond {
		now := epoch.Add(time.Duration(step) * time.Second / perSecond)
		w.Inbox.Arrivals = []rocktable.Arrival{{Request: *r}}
		noteArrivals(now, w)
		for range 3 {
			if SpendShared(now, w, r) {
				spent = append(spent, now)
			}
		}
	}
	if len(spent) == 0 {
		t.Fatal("no repeat was allowed")
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
			t.Fatalf("%d repeats within %s from %s, want at most %.0f", n, limits.RetryWindow, spent[i].Sub(epoch), allowed)
		}
	}
}

// Guards against hosts that spend their part again after each start: their peers cannot know what they spent before.
func TestSharedBudgetAfterStart(t *testing.T) {
	limits := rocktable.DefaultLimits()
	limits.RetryWindow, limits.RetryRatio, limits.RetryBurst = 10*time.Second, 0.2, 50
	w := budgeted(limits)
	r := &rocktable.Request{Pipeline: 1}
	if SpendShared(epoch.Add(4*time.Second), w, r) {
		t.Error("a host that started 4 s ago spent a repeat of a budget for 10 s")
	}
	if !SpendShared(epoch.Add(11*time.Second), w, r) {
		t.Error("no repeat after a whole window")
	}
}

// Guards against a service that spends the budget of another one.
func TestSharedBudgetIsPerTarget(t *testing.T) {
	limits := rocktable.DefaultLimits()
	limits.RetryWindow, limits.RetryBurst = 10*time.Second, 10
	w := budgeted(limits)
	now := epoch.Add(time.Minute)
	for SpendShared(now, w, &rocktable.Request{Pipeline: 1}) {
	}
	if !SpendShared(now, w, &rocktable.Request{Call: &rocktable.Call{Service: 1}}) {
		t.Error("the budget of a pipeline was spent, and none was left for a service")
	}
}

// Guards against hosts that each take a larger part while the others are restarted in turn: those spent theirs before.
func TestSharedBudgetDuringRestarts(t *testing.T) {
	limits := rocktable.DefaultLimits()
	limits.RetryWindow, limits.RetryBurst = 10*time.Second, 60
	w := budgeted(limits)
	for _, name := range []string{"entry-2", "entry-3", "entry-4", "entry-5", "entry-6"} {
		h := w.InternHost(name)
		h.State, h.Listed = rocktable.StateLeaving, true
	}
	now := epoch.Add(time.Minute)
	n := 0
	for SpendShared(now, w, &rocktable.Request{Pipeline: 1, MayHaveRun: true}) {
		n++
	}
	if n > 10 {
		t.Errorf("%d repeats of one host of six, want at most 10 of the 60 that all share", n)
	}
}
