package rockretry

import (
	"testing"
	"time"

	"sassafrasrock/core/rocktable"
)

// Guards against a data centre that stays closed because attempts from before its circuit breaker opened report the same
// silence again and again, though its other backend servers are sound.
func TestRepeatedStallsCloseNoDataCentreAgain(t *testing.T) {
	w := newTestWorld(rocktable.Limits{PlatformPushes: true})
	dc := w.InternDataCentre("rufisque", "dakar")
	now := w.StartedAt.Add(time.Minute)
	var stalls []rocktable.Stall
	for i, name := range []string{"runner-1", "runner-2", "runner-3"} {
		s := w.InternServer(name)
		s.DataCentre = dc.ID
		a := w.Attempts.Put(rocktable.AttemptID(i+1), rocktable.Attempt{ID: rocktable.AttemptID(i + 1), StartedAt: now})
		stalls = append(stalls, rocktable.Stall{Attempt: a.ID, Server: s.ID, Unmovable: true})
	}
	for range 60 {
		now = now.Add(150 * time.Millisecond)
		for _, stall := range stalls {
			handleStall(now, w, stall)
		}
	}
	if dc.BreakerTrips != 1 {
		t.Errorf("circuit breaker opened %d times, want once", dc.BreakerTrips)
	}
}
