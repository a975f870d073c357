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
	if r.Refusals != 0 {
		t.Errorf("%d refusals are kept after another end", r.Refusals)
	}
}
