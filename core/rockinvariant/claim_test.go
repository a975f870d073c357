package rockinvariant

import (
	"testing"
	"time"

	"sassafrasrock/core/rocktable"
)

// Guards against checkClaims missing a call in the ticks after its arrival, or keeping its record
// of a call for ever.
func TestClaimsAreCheckedUntilCallsEnd(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	w := rocktable.NewWorld(now, rocktable.Host{Name: "entry-1"}, rocktable.DataCentre{Name: "ga-west-a"}, 1)
	call := &rocktable.Call{}
	row := rocktable.Request{ID: 7, Call: call}
	w.Inbox.Arrivals = []rocktable.Arrival{{Request: row}, {Request: rocktable.Request{ID: 8}}}
	w.Requests.Put(7, row)
	w.Requests.Put(8, rocktable.Request{ID: 8})
	claim := w.Claims.Put(7, rocktable.Claim{Request: 7, State: rocktable.ClaimHeld})
	if err := checkClaims(now, w); err != nil {
		t.Fatalf("got %v in a valid state, want none", err)
	}
	w.Inbox = rocktable.Inbox{}
	for name, violate := range map[string]func(){
		"no claim":        func() { w.Claims.Delete(7) },
		"two runs":        func() { call.Runs = 2 },
		"claim releasing": func() { claim.State = rocktable.ClaimReleasing },
		"claim reading":   func() { claim.State = rocktable.ClaimReading },
	} {
		call.Runs = 1
		claim = w.Claims.Put(7, rocktable.Claim{Request: 7, State: rocktable.ClaimHeld})
		if err := checkClaims(now, w); err != nil {
			t.Fatalf("got %v in a valid state, want none", err)
		}
		violate()
		if checkClaims(now, w) == nil {
			t.Errorf("%s: got no violation, want one", name)
		}
	}
	w.Requests.Delete(7)
	if err := checkClaims(now, w); err != nil || len(w.CheckedCalls) != 0 {
		t.Errorf("got error %v and %d recorded calls after the call ended, want none", err, len(w.CheckedCalls))
	}
}
