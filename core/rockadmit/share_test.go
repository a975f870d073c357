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

// Guards against a rank that gets no floor at a host without other work, because all that the host starts is of that rank.
func TestHostWithOneRankGivesItsFloor(t *testing.T) {
	for name, c := range map[string]struct {
		floor, started, want float64
	}{
		"none started lately":  {0.2, 0.5, 1},
		"some started lately":  {0.2, 500, 0.9},
		"a rank without floor": {0, 0, 0.9},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(10)
			w.Capacities.GetOrPut(1).ShortSince = epoch
			w.Ranks.Get(1).Config.Floor = c.floor
			w.Lanes.GetOrPut(rocktable.LaneKey{Rank: 1, Pipeline: 1}).StartedTokens = c.started
			if got := CapacityShare(w, &rocktable.Request{Rank: 1, Pipeline: 1}); got != c.want {
				t.Errorf("got share %v, want %v", got, c.want)
			}
		})
	}
}
