package rockhttp

import (
	"testing"
	"time"
)

// Guards against a caller that stops sending a long body and keeps the memory for it, and against a deadline that ends a
// body which a slow but steady caller could send before.
func TestStepDeadline(t *testing.T) {
	begin := time.Unix(100, 0)
	const step = 64 << 10
	for _, c := range []struct {
		length      int64
		received, n int
		min, max    time.Duration
	}{
		{longBodyBytes, 0, step, bodyTimeout, bodyTimeout},
		{-1, 0, step, bodyTimeout, bodyTimeout},
		{4 << 20, 0, step, bodyGrace, bodyGrace + time.Second},
		{-1, step, step, bodyGrace, bodyGrace + 2*time.Second},
		{4 << 20, 1 << 20, step, bodyGrace + 8*time.Second, bodyGrace + 9*time.Second},
		{4 << 20, 4<<20 - step, step, bodyTimeout, bodyTimeout},
	} {
		if d := stepDeadline(begin, c.length, c.received, c.n).Sub(begin); d < c.min || d > c.max {
			t.Errorf("%+v: got %s", c, d)
		}
	}
}
