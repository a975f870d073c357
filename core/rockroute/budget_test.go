package rockroute

import (
	"testing"
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rockretry"
	"sassafrasrock/core/rocktable"
)

// Guards against a begun stream that is cut because another backend server refuses it at a moment at which the shared
// budget of retries is used up, and against a next attempt that is not taken from that budget.
func TestRefusedStreamWaitsForBudget(t *testing.T) {
	w, _ := newFullPathWorld("a")
	w.Limits.RetryWindow = 10 * time.Second
	a := startRequest(w, 1, 500, 100)
	r := w.Requests.Get(1)
	r.MaxAttempts, r.Caller = 2, w.InternCaller("guild").ID
	r.Tokens, r.FirstTokenAt, r.EarlierMayHaveRun, r.MaybeRanAttempts = 5, fullPathEpoch, true, 1
	w.Inbox.AttemptsEnded = []rocktable.AttemptEnded{{Attempt: a.ID, Reason: rockreason.StageRefused, FailedServer: a.Path[0].Server}}
	rockretry.System.Run(fullPathEpoch, w)
	w.Inbox = rocktable.Inbox{}
	now := fullPathEpoch.Add(time.Second)
	System.Run(now, w)
	if len(w.Outbox.Answers) != 0 || len(w.Outbox.Starts) != 1 {
		t.Fatalf("got answers %+v and %d starts without a budget, want none and the first start", w.Outbox.Answers, len(w.Outbox.Starts))
	}
	w.Limits.RetryBurst = 200
	now = fullPathEpoch.Add(20 * time.Second)
	System.Run(now, w)
	if len(w.Outbox.Starts) != 2 {
		t.Errorf("got %d starts with a budget, want 2", len(w.Outbox.Starts))
	}
	spent := 0
	for _, n := range w.Retries.Get(rocktable.RetryKey{Pipeline: r.Pipeline}).Retries {
		spent += n
	}
	if spent != 1 {
		t.Errorf("%d retries were taken from the budget, want 1", spent)
	}
}
