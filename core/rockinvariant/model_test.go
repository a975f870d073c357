package rockinvariant

import (
	"testing"
	"time"

	"sassafrasrock/core/rocktable"
)

// Guards against checks that never report a violation: each must pass in a valid state and fail
// once it is violated.
func TestModelInvariantsFindViolations(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	for _, test := range []struct {
		name    string
		check   func(time.Time, *rocktable.World) error
		violate func(w *rocktable.World)
	}{
		{"concurrency", checkConcurrency, func(w *rocktable.World) { w.Servers.Get(1).Status.Slots = 0 }},
		{"alone", checkAlone, func(w *rocktable.World) { w.Outbox.Starts[0].Alone = true; w.Servers.Get(1).InFlight = 2 }},
		{"reserved", checkAlone, func(w *rocktable.World) {
			w.Servers.Get(1).ExclusiveRequest = 9
			w.Requests.Put(9, rocktable.Request{ID: 9, Attempt: 2})
		}},
		{"quarantine", checkAlone, func(w *rocktable.World) {
			w.Suspects.Put(5, rocktable.Suspect{Quarantined: true, ExpiresAt: now.Add(time.Hour)})
		}},
		{"blamed part", checkAlone, func(w *rocktable.World) { w.Parts.Put(7, rocktable.PromptPart{ID: 7, Blamed: true}) }},
		{"count", checkQueues, func(w *rocktable.World) { w.Ranks.Get(0).Waiting = 1 }},
		{"lost", checkQueues, func(w *rocktable.World) {
			w.Ranks.Get(0).Waiting = 1
			w.Lanes.Put(rocktable.LaneKey{Pipeline: 1}, rocktable.Lane{Waiting: 1})
		}},
		{"inFlight", checkInFlight, func(w *rocktable.World) { w.Servers.Get(1).InFlight = 0 }},
	} {
		w := rocktable.NewWorld(now, rocktable.Host{Name: "entry-1"}, rocktable.DataCentre{Name: "ga-west-a"}, 1)
		w.Ranks.Put(0, rocktable.Rank{})
		s := w.InternServer("runner-1")
		s.InFlight, s.Status.Slots = 1, 1
		path := []rocktable.Stage{{Server: s.ID}}
		w.Requests.Put(1, rocktable.Request{ID: 1, Fingerprint: 5, Parts: []rocktable.PartID{7}})
		w.Attempts.Put(1, rocktable.Attempt{ID: 1, Request: 1, Path: path})
		w.Outbox.Starts = []rocktable.Start{{Request: 1, Attempt: 1, Path: path}}
		if err := test.check(now, w); err != nil {
			t.Errorf("%s: got %v in a valid state, want none", test.name, err)
		}
		test.violate(w)
		if test.check(now, w) == nil {
			t.Errorf("%s: got no violation, want one", test.name)
		}
	}
}
