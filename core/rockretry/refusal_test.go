package rockretry

import (
	"testing"
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// Guards against a stream that spends all its attempts within milliseconds on the only backend server that holds some layers,
// while that one is full: the caller's stream broke though there was room a moment later.
func TestRefusalsArePaced(t *testing.T) {
	w := budgeted(rocktable.DefaultLimits())
	p := w.InternPipeline("pool")
	p.Config.Engine.Kinds = []rocktable.KindConfig{{Name: "k"}}
	r := &rocktable.Request{Pipeline: p.ID}
	refused := rocktable.Ended{Reason: rockreason.StageRefused}
	paceRefusals(epoch, w, r, refused)
	if r.NotBefore.After(epoch) {
		t.Errorf("the first refusal keeps it from another path for %s", r.NotBefore.Sub(epoch))
	}
	now := epoch
	for range maxAttempts - 2 {
		paceRefusals(now, w, r, refused)
		now = r.NotBefore
	}
	if spread := now.Sub(epoch); spread < 300*time.Millisecond {
		t.Errorf("%d attempts within %s", maxAttempts, spread)
	}
	paceRefusals(now, w, r, rocktable.Ended{Reason: rockreason.StageDied})
	if r.ConsecutiveRefusals != 0 {
		t.Errorf("%d refusals are kept after another end", r.ConsecutiveRefusals)
	}
}

// Guards against a stream that is cut when its backend server leaves, because refusals before its first token used up its
// attempts: hunts broke the rule on whole answers by it twice.
func TestRefusalsDoNotCountOnceItRan(t *testing.T) {
	limits := rocktable.DefaultLimits()
	limits.RetryWindow, limits.RetryRatio, limits.RetryBurst = 10*time.Second, 0.2, 200
	w := budgeted(limits)
	now := epoch.Add(time.Minute) // the host has its whole part of the budget
	p := w.InternPipeline("pool")
	w.Ranks.Put(0, rocktable.Rank{Config: rocktable.RankConfig{Name: "r", FirstTokenMs: 1000, GapMs: 250}})
	r := &rocktable.Request{Pipeline: p.ID, Attempts: maxAttempts, MaxAttempts: 2, RanBefore: true, RanAttempts: 1, MayHaveRun: true, QueuedAt: now, ArrivedAt: now}
	stalled := rocktable.Ended{Reason: rockreason.StageStalled, Tokens: 46}
	if code := lastAnswer(now, w, r, stalled, nil); code != "" {
		t.Errorf("a stream that ran once after %d refusals ends with %s, want another attempt", maxAttempts-1, code)
	}
	r.RanAttempts = 2
	if code := lastAnswer(now, w, r, stalled, nil); code == "" {
		t.Error("a stream that ran on as many backend servers as its route allows gets another attempt")
	}
	r.RanBefore, r.RanAttempts = false, 0
	if code := lastAnswer(now, w, r, rocktable.Ended{Reason: rockreason.StageRefused}, nil); code == "" {
		t.Errorf("a request that was refused %d times gets another attempt", maxAttempts)
	}
}
