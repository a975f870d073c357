package rockadmit

import (
	"testing"
	"time"

	"sassafrasrock/core/rocktable"
)

// Guards against a request that has begun and waits for its next attempt behind capacity that is kept for other ranks.
func TestBegunRequestsMayFillAllCapacity(t *testing.T) {
	w := newWorld(10)
	w.Capacities.GetOrPut(1).ShortSince = epoch
	if got := CapacityShare(w, &rocktable.Request{Rank: 1, Pipeline: 1, MayHaveRun: true}); got != 1 {
		t.Errorf("got share %v of a request that has begun, want 1", got)
	}
}

// Guards against a time to return that is negative or zero, because the deadline has passed, and against one of days.
func TestReturnTimeIsWithinBounds(t *testing.T) {
	w := newWorld(10)
	p := w.Pipelines.Get(1)
	p.BacklogSeconds, p.BacklogTokens = 10, 0.01
	w.Lanes.GetOrPut(rocktable.LaneKey{Rank: 0, Pipeline: 1}).QueuedTokens = 1000
	for name, deadline := range map[string]time.Time{"none": {}, "now": epoch, "passed": epoch.Add(-time.Second), "near": epoch.Add(time.Millisecond)} {
		r := &rocktable.Request{Rank: 1, Pipeline: 1, ArrivedAt: epoch, PromptTokens: 100, Deadline: deadline}
		if after := ReturnAfter(epoch, w, r, 4*time.Second); after < minReturn || after > maxReturn {
			t.Errorf("deadline %s: the caller is to return after %s, want %s to %s", name, after, minReturn, maxReturn)
		}
	}
}
