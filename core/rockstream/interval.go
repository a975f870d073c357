package rockstream

import "time"

const (
	// minSilence is the shortest silence that counts as unusual. It exceeds the time of a few steps of a busy engine.
	minSilence = 60 * time.Millisecond
	// minIntervalEvents is the number of events from which on a stream has a silence limit of its own.
	minIntervalEvents = 4
	// deviationFactor multiplies the deviation of the intervals in the silence limit, as in RFC 6298.
	deviationFactor = 4
)

// Intervals holds the smoothed time between the events of a stream on one path. The zero value has no event.
type Intervals struct {
	Events    int
	LastAt    time.Time
	Mean      time.Duration // smoothed
	Deviation time.Duration // smoothed difference from Mean
}

// Add records an event. The weights are those that RFC 6298 gives the round trips of TCP.
func (i *Intervals) Add(now time.Time) {
	interval := now.Sub(i.LastAt)
	i.Events++
	i.LastAt = now
	switch i.Events {
	case 1:
	case 2:
		i.Mean, i.Deviation = interval, interval/2
	default:
		i.Deviation += ((i.Mean - interval).Abs() - i.Deviation) / 4
		i.Mean += (interval - i.Mean) / 8
	}
}

// SilenceLimit returns the silence after which a backend server on the path of the stream may have stopped responding. It
// is at most longest, which is the limit of a stream with few events.
func (i *Intervals) SilenceLimit(longest time.Duration) time.Duration {
	if i.Events < minIntervalEvents {
		return longest
	}
	return min(longest, max(minSilence, i.Mean+deviationFactor*i.Deviation))
}
