package rockstream

import (
	"testing"
	"time"
)

// Guards against a stream that waits for the fixed limit of its rank although its events come much faster, and against
// queries for a stream whose events come at long or uneven intervals.
func TestSilenceLimitFollowsTheIntervals(t *testing.T) {
	const longest = 150 * time.Millisecond
	for name, c := range map[string]struct {
		first, second time.Duration // intervals, in turn
		events        int
		min, max      time.Duration
	}{
		"no event":            {0, 0, 0, longest, longest},
		"too few events":      {10 * time.Millisecond, 10 * time.Millisecond, 3, longest, longest},
		"fast":                {10 * time.Millisecond, 10 * time.Millisecond, 4, 60 * time.Millisecond, 60 * time.Millisecond},
		"even":                {50 * time.Millisecond, 50 * time.Millisecond, 20, 60 * time.Millisecond, 61 * time.Millisecond},
		"even, few events":    {40 * time.Millisecond, 40 * time.Millisecond, 4, 80 * time.Millisecond, 90 * time.Millisecond},
		"uneven":              {10 * time.Millisecond, 50 * time.Millisecond, 40, 100 * time.Millisecond, 125 * time.Millisecond},
		"slow":                {200 * time.Millisecond, 200 * time.Millisecond, 40, longest, longest},
		"all at once":         {0, 0, 40, 60 * time.Millisecond, 60 * time.Millisecond},
		"in bursts, far away": {0, 400 * time.Millisecond, 40, longest, longest},
	} {
		t.Run(name, func(t *testing.T) {
			var i Intervals
			now := time.Unix(0, 0)
			for n := range c.events {
				i.Add(now)
				if n%2 == 0 {
					now = now.Add(c.first)
				} else {
					now = now.Add(c.second)
				}
			}
			if got := i.SilenceLimit(longest); got < c.min || got > c.max {
				t.Errorf("silence limit %s, want %s to %s", got, c.min, c.max)
			}
		})
	}
}
