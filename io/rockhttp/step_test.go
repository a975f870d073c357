package rockhttp

import (
	"testing"
	"time"
)

// arrival returns how long the host reads a body of size bytes that arrives at a rate in bytes a second and stops for good
// after the first stopAfter bytes, and whether the body arrived.
func arrival(declared bool, size, rate, stopAfter int) (time.Duration, bool) {
	const step = 64 << 10
	begin := time.Unix(100, 0)
	length := int64(-1)
	if declared {
		length = int64(size)
	}
	now := begin
	for received := 0; received < size; received += step {
		n := min(step, size-received)
		end := stepDeadline(begin, now, length, received, n)
		if now = now.Add(time.Duration(n) * time.Second / time.Duration(rate)); received+n > stopAfter || now.After(end) {
			return end.Sub(begin), false
		}
	}
	return now.Sub(begin), true
}

// Guards against a caller that stops sending a long body and keeps the memory for it.
func TestStalledBodiesEnd(t *testing.T) {
	const rate = 1 << 20
	for _, declared := range []bool{true, false} {
		for _, stopAfter := range []int{128 << 10, 1 << 20, 3 << 20, 4<<20 - 1} {
			wait, _ := arrival(declared, 4<<20, rate, stopAfter)
			if stalled := wait - time.Duration(stopAfter)*time.Second/rate; stalled > 10*time.Second {
				t.Errorf("declared %v: a body that stopped after %d bytes was waited for during %s, want 10 s at most", declared, stopAfter, stalled)
			}
		}
	}
	if wait, ok := arrival(true, 4<<20, rate, 0); ok || wait > 10*time.Second {
		t.Errorf("a body that did not begin was waited for during %s, want 10 s at most", wait)
	}
}

// Guards against a slow but steady body that is cut although it would end within bodyTimeout, and against one that takes
// longer.
func TestSlowBodies(t *testing.T) {
	for _, c := range []struct {
		size, rate int
		want       bool
	}{
		{64 << 10, 3 << 10, true},
		{64 << 10, 2 << 10, false},
		{256 << 10, 16 << 10, true},
		{600 << 10, 24 << 10, true},
		{1 << 20, 40 << 10, true},
		{1 << 20, 30 << 10, false},
		{4 << 20, 140 << 10, true},
		{4 << 20, 130 << 10, false},
	} {
		for _, declared := range []bool{true, false} {
			if wait, ok := arrival(declared, c.size, c.rate, c.size); ok != c.want {
				t.Errorf("%d bytes at %d bytes/s, declared %v: got %v after %s, want %v", c.size, c.rate, declared, ok, wait, c.want)
			}
		}
	}
}
