package rockstream

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sassafrasrock/core/rockreason"
)

// Guards against a duplicated, skipped or stale token in the answer when tokens of several attempts
// arrive interleaved and out of order.
func TestAcceptWithInterleavedAttempts(t *testing.T) {
	answer := []uint32{11, 12, 13, 14, 15, 16, 17, 18}
	rapid.Check(t, func(t *rapid.T) {
		var s Stream
		now := time.Unix(0, 0)
		bases := map[uint32]int{}
		for epoch := uint32(0); len(s.Tokens) < len(answer); {
			if epoch == 0 || rapid.IntRange(0, 9).Draw(t, "replace") == 0 {
				epoch++
				replay, ok := s.BeginAttempt(epoch)
				if !ok {
					t.Fatalf("BeginAttempt(%d) = false, want true", epoch)
				}
				bases[epoch] = len(replay)
			}
			from := rapid.Uint32Range(1, epoch).Draw(t, "from")
			index := rapid.IntRange(0, len(answer)-bases[from]-1).Draw(t, "index")
			now = now.Add(time.Millisecond)
			s.Accept(now, from, index, answer[bases[from]+index])
		}
		if diff := cmp.Diff(answer, s.Tokens); diff != "" {
			t.Errorf("tokens differ (-want +got):\n%s", diff)
		}
	})
}

// Guards against an earlier attempt that becomes the current one again and against tokens of an
// earlier epoch.
func TestBeginAttemptRejectsOldEpoch(t *testing.T) {
	s := Stream{Epoch: 3}
	if _, ok := s.BeginAttempt(3); ok {
		t.Error("BeginAttempt(3) at epoch 3 = true, want false")
	}
	if got := s.Accept(time.Unix(0, 0), 2, 0, 1); got != rockreason.StaleEpoch {
		t.Errorf("Accept with an old epoch = %q, want %q", got, rockreason.StaleEpoch)
	}
}
