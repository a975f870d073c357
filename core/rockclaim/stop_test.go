package rockclaim

import (
	"testing"
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// stop starts a graceful shutdown of 8 s, whose last answers are due after 7.5 s.
func stop(w *rocktable.World) {
	w.Limits.StopGrace, w.StopSignalAt = 8*time.Second, startTime
}

// Guards against claimed calls that get no answer at the end of a stop, and against one that leaves a claim that looks as
// if its run were in progress.
func TestClaimedCallsAreAnsweredAtTheEndOfAStop(t *testing.T) {
	for _, c := range []struct {
		state  rocktable.ClaimState
		reason rockreason.Code
		row    string
	}{
		{rocktable.ClaimWriting, rockreason.ShuttingDown, rocktable.ClaimRowReleased},
		{rocktable.ClaimReading, rockreason.ShuttingDown, rocktable.ClaimRowReleased},
		{rocktable.ClaimHeld, rockreason.StoppedNow, rocktable.ClaimRowUnknown},
		{rocktable.ClaimRecording, "", rocktable.ClaimRowRecorded},
	} {
		w := newTestWorld(1)
		stop(w)
		row := rocktable.ClaimRow{State: rocktable.ClaimRowClaimed}
		if c.state == rocktable.ClaimRecording {
			row.State = rocktable.ClaimRowRecorded
		}
		w.Requests.Put(1, rocktable.Request{ID: 1, Call: &rocktable.Call{Service: 1}})
		w.Claims.Put(1, rocktable.Claim{
			Request: 1, State: c.state, Row: row, OutcomeUnknown: true, Deadline: startTime.Add(time.Minute), AnswerBy: startTime.Add(time.Minute),
		})
		run(startTime.Add(7*time.Second), w)
		if len(w.Outbox.Answers) != 0 {
			t.Errorf("claim in state %d: answered before the last answers are due: %+v", c.state, w.Outbox.Answers)
		}
		run(startTime.Add(7500*time.Millisecond), w)
		if len(w.Outbox.Answers) != 1 || w.Outbox.Answers[0].Reason != c.reason {
			t.Errorf("claim in state %d: got answers %+v, want one with the reason %q", c.state, w.Outbox.Answers, c.reason)
		}
		if got := w.Claims.Get(1).Row.State; got != c.row {
			t.Errorf("claim in state %d: the row becomes %q, want %q", c.state, got, c.row)
		}
	}
}
