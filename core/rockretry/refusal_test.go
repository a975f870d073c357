package rockretry

import (
	"testing"
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// Guards against a stream that uses up its attempts within milliseconds on the only backend server
// that holds some layers, while that one is full: the caller's stream breaks although a slot
// becomes free a moment later.
func TestRepeatedRefusalsDelayRetry(t *testing.T) {
	w := newTestWorld(rocktable.DefaultLimits())
	p := w.InternPipeline("pool")
	p.Config.Engine.Kinds = []rocktable.KindConfig{{Name: "k"}}
	r := &rocktable.Request{Pipeline: p.ID}
	refused := rocktable.AttemptEnded{Reason: rockreason.StageRefused}
	delayAfterRefusal(startTime, w, r, refused)
	if r.NotBefore.After(startTime) {
		t.Errorf("got a delay of %s after the first refusal, want none", r.NotBefore.Sub(startTime))
	}
	now := startTime
	for range maxAttempts - 2 {
		delayAfterRefusal(now, w, r, refused)
		now = r.NotBefore
	}
	if spread := now.Sub(startTime); spread < 300*time.Millisecond {
		t.Errorf("got %d attempts within %s, want at least 300ms", maxAttempts, spread)
	}
	delayAfterRefusal(now, w, r, rocktable.AttemptEnded{Reason: rockreason.StageDied})
	if r.ConsecutiveRefusals != 0 {
		t.Errorf("got %d consecutive refusals after the end of an attempt that ran, want 0", r.ConsecutiveRefusals)
	}
}

// Guards against an incomplete answer: a stream is cut off when its backend server leaves, because
// refusals before its first token, or runs that no route limits, have used up its attempts.
func TestRefusalsDoNotCountAfterRun(t *testing.T) {
	limits := rocktable.DefaultLimits()
	limits.RetryWindow, limits.RetryRatio, limits.RetryBurst = 10*time.Second, 0.2, 200
	w := newTestWorld(limits)
	now := startTime.Add(time.Minute) // after the first window, the host may use its full share of the budget
	p := w.InternPipeline("pool")
	w.Ranks.Put(0, rocktable.Rank{Config: rocktable.RankConfig{Name: "r", FirstTokenMs: 1000, GapMs: 250}})
	r := &rocktable.Request{Pipeline: p.ID, Attempts: maxAttempts, MaxAttempts: 2, EarlierMayHaveRun: true, MaybeRanAttempts: 1, MayHaveRun: true, QueuedAt: now, ArrivedAt: now}
	stalled := rocktable.AttemptEnded{Reason: rockreason.StageStalled, Tokens: 46}
	if code := lastEnd(now, w, r, stalled, nil).code; code != "" {
		t.Errorf("a stream that ran once after %d refusals ended with reason %s, want another attempt", maxAttempts-1, code)
	}
	r.MaybeRanAttempts = 2
	if code := lastEnd(now, w, r, stalled, nil).code; code == "" {
		t.Error("a stream that ran on as many backend servers as its route allows got another attempt, want a reason")
	}
	r.MaxAttempts, r.MaybeRanAttempts = 0, 2*maxAttempts
	if code := lastEnd(now, w, r, stalled, nil).code; code != "" {
		t.Errorf("a stream whose route sets no number of runs ended with reason %s after %d runs, want another attempt", code, r.MaybeRanAttempts)
	}
	r.EarlierMayHaveRun, r.MaybeRanAttempts = false, 0
	if code := lastEnd(now, w, r, rocktable.AttemptEnded{Reason: rockreason.StageRefused}, nil).code; code == "" {
		t.Errorf("a request that was refused %d times got another attempt, want a reason", maxAttempts)
	}
}

// Guards against a backend server that is down or gives up its layers and that each host tries ten times a second, and
// against its refusals being taken for a lack of memory.
func TestRefusalsOfEmptyServersOpenTheBreakerForLonger(t *testing.T) {
	cfg := rocktable.PipelineConfig{Layers: 2, Engine: rocktable.EngineConfig{TokenBytes: 2e6, Kinds: []rocktable.KindConfig{{Name: "k", MemoryMB: 1000}}}}
	for name, c := range map[string]struct {
		own, peers float64 // of 1,000 tokens x layers
		open       time.Duration
		isFull     bool
	}{"empty": {10, 100, minBreakerOpen, false}, "full": {50, 800, minRefusalOpen, true}} {
		t.Run(name, func(t *testing.T) {
			w := newTestWorld(rocktable.DefaultLimits())
			s := w.InternServer("r")
			s.Kind, s.ReservedMemory, s.PeerReservedMemory, s.Status = "k", c.own, c.peers, rocktable.EngineStatus{LastLayer: 1}
			recordRefusal(startTime, w, s, &rocktable.Attempt{StartedAt: startTime}, &rocktable.Pipeline{Config: cfg})
			if !s.BreakerOpenUntil.Equal(startTime.Add(c.open)) {
				t.Errorf("the breaker is open for %s, want %s", s.BreakerOpenUntil.Sub(startTime), c.open)
			}
			if s.MemoryRefusalAt.Equal(startTime) != c.isFull {
				t.Errorf("taken for a lack of memory: %t, want %t", !c.isFull, c.isFull)
			}
		})
	}
}

// Guards against a host that learns nothing of full backend servers while it is cut off: it knows only its own small part
// of their use, and takes each refusal for a failure.
func TestRefusalsAtHostsWithoutReports(t *testing.T) {
	cfg := rocktable.PipelineConfig{Layers: 2, Engine: rocktable.EngineConfig{TokenBytes: 2e6, Kinds: []rocktable.KindConfig{{Name: "k", MemoryMB: 1000}}}}
	for name, c := range map[string]struct {
		peers      int
		unreported float64
		isFull     bool
	}{"cut off": {3, 1, true}, "some report": {3, 0.7, false}, "alone": {0, 1, false}} {
		t.Run(name, func(t *testing.T) {
			w := newTestWorld(rocktable.DefaultLimits())
			for i := range c.peers {
				w.InternHost(string(rune('a' + i))).State = rocktable.StateDown
			}
			w.Gossip.UnreportedFraction = c.unreported
			s := w.InternServer("r")
			s.Kind, s.ReservedMemory, s.Status = "k", 10, rocktable.EngineStatus{LastLayer: 1}
			recordRefusal(startTime, w, s, &rocktable.Attempt{StartedAt: startTime}, &rocktable.Pipeline{Config: cfg})
			if s.MemoryRefusalAt.Equal(startTime) != c.isFull {
				t.Errorf("taken for a lack of memory: %t, want %t", !c.isFull, c.isFull)
			}
		})
	}
}
