package rockpromise

import (
	"testing"

	"sassafrasrock/core/rockreason"
)

var allRan = []rockreason.Ran{rockreason.NotRun, rockreason.MayHaveRun, rockreason.DidRun, rockreason.NotReported}

// Guards against a status that has a caller send a call again which may have run and must not run twice.
func TestNotRunStatusesNeedProof(t *testing.T) {
	for _, kind := range []Kind{AtMostOnce, Repeatable} {
		for _, ran := range allRan {
			for status := 100; status < 600; status++ {
				promises := status == 408 || status == 421 || status == 429 || status == 503
				want := status
				if promises && kind == AtMostOnce && ran != rockreason.NotRun {
					want = 502
				}
				if got := Status(kind, ran, status); got != want {
					t.Errorf("kind %d, %q: status %d becomes %d, want %d", kind, ran, status, got, want)
				}
			}
		}
	}
}

// Guards against a combination of kind and runs that has no rule, or two.
func TestRulesAreComplete(t *testing.T) {
	for _, kind := range []Kind{AtMostOnce, Repeatable} {
		for _, ran := range allRan {
			n := 0
			for _, r := range Rules {
				if r.Kind == kind && r.Ran == ran {
					n++
				}
			}
			if n != 1 {
				t.Errorf("kind %d, %q: got %d rules, want 1", kind, ran, n)
			}
		}
	}
}

// Guards against a reason whose own status promises more than is known when it is given.
func TestReasonsPromiseWhatIsKnown(t *testing.T) {
	for _, r := range rockreason.All {
		if r.Status != 0 && !MaySend(AtMostOnce, r.Ran, r.Status) {
			t.Errorf("%s: status %d for a request of which %q is known", r.Code, r.Status, r.Ran)
		}
		for _, ran := range allRan {
			got, _ := rockreason.Find(Reason(AtMostOnce, ran, r.Code))
			if !MaySend(AtMostOnce, ran, got.Status) {
				t.Errorf("%s, %q: refused with status %d", r.Code, ran, got.Status)
			}
		}
	}
}
