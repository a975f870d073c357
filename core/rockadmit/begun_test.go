package rockadmit

import (
	"testing"

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
