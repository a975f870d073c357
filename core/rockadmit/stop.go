package rockadmit

import (
	"time"

	"sassafrasrock/core/rocktable"
)

const (
	// answerReserve is the time before the end of the grace that is kept for the last answers to reach their callers,
	// and maxReserveFraction its limit as a fraction of the grace.
	answerReserve      = 500 * time.Millisecond
	maxReserveFraction = 0.125
	// maxNoticeFraction limits the drain notice as a fraction of the grace, so that requests that are taken within it
	// have time to run.
	maxNoticeFraction = 0.5
)

// DrainNotice returns the time from the signal to stop until new requests are refused.
func DrainNotice(w *rocktable.World) time.Duration {
	notice, grace := w.Limits.DrainNotice, w.Limits.StopGrace
	if grace == 0 {
		return notice
	}
	return min(notice, time.Duration(maxNoticeFraction*float64(grace)))
}

// LastAnswerAt returns when every request that has not ended gets its last answer, because the process is ended with its
// grace. It is zero unless the host stops and knows its grace.
func LastAnswerAt(w *rocktable.World) time.Time {
	end := w.GraceEnd()
	if end.IsZero() {
		return end
	}
	return end.Add(-min(answerReserve, time.Duration(maxReserveFraction*float64(w.Limits.StopGrace))))
}

// IsStopOver reports whether the last answers are due.
func IsStopOver(now time.Time, w *rocktable.World) bool {
	end := LastAnswerAt(w)
	return !end.IsZero() && !now.Before(end)
}

// EndsTooLate reports whether work that takes d and starts now would not end before the last answers are due.
func EndsTooLate(now time.Time, w *rocktable.World, d time.Duration) bool {
	end := LastAnswerAt(w)
	return !end.IsZero() && now.Add(d).After(end)
}
