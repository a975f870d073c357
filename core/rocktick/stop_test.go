package rocktick_test

import (
	"testing"
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// newStopWorld returns a World with one slot, whose rank lets requests wait longer than the grace of 8 s.
func newStopWorld() *rocktable.World {
	w := newFullPathWorld(0)
	w.Limits.StopGrace, w.Limits.DrainNotice = 8*time.Second, 3*time.Second
	w.Ranks.Put(0, rocktable.Rank{Config: rocktable.RankConfig{Name: "r", FirstTokenMs: 60000, GapMs: 60000, Worth: 1}})
	addFullPathServer(w, "runner")
	w.ServerNamed("runner").Status.Slots = 1
	return w
}

func arrive(w *rocktable.World, at time.Time, id rocktable.RequestID) {
	w.Inbox.Arrivals = append(w.Inbox.Arrivals, rocktable.Arrival{Request: rocktable.Request{
		ID: id, Caller: 1, Pipeline: 1, ArrivedAt: at, PromptTokens: 500, MaxTokens: 10,
	}})
}

// Guards against requests that run or wait in a queue and are cut without an answer when the grace of a stop ends.
func TestRequestsAreAnsweredAtTheEndOfAStop(t *testing.T) {
	w := newStopWorld()
	arrive(w, start, 1)
	arrive(w, start, 2)
	w.Inbox.Shutdowns = append(w.Inbox.Shutdowns, rocktable.Shutdown{})
	if starts := run(t, start, w).Outbox.Starts; len(starts) != 1 {
		t.Fatalf("got %d starts, want 1, since the server has one slot", len(starts))
	}
	if answers := run(t, start.Add(7400*time.Millisecond), w).Outbox.Answers; len(answers) != 0 {
		t.Errorf("answered while time is left: %+v", answers)
	}
	out := run(t, start.Add(7500*time.Millisecond), w).Outbox
	reasons := make(map[rocktable.RequestID]rockreason.Code)
	for _, a := range out.Answers {
		reasons[a.Request] = a.Reason
	}
	if reasons[1] != rockreason.StoppedNow || reasons[2] != rockreason.ShuttingDown {
		t.Errorf("got reasons %v, want %q for the running and %q for the waiting request", reasons, rockreason.StoppedNow, rockreason.ShuttingDown)
	}
	if len(out.Cancels) != 1 {
		t.Errorf("got %d cancels, want that of the running attempt", len(out.Cancels))
	}
}

// Guards against a request that is taken, or started from its queue, during a stop although requests of its pipeline last
// longer than the rest of the grace.
func TestRequestLongerThanTheGraceIsRefused(t *testing.T) {
	w := newStopWorld()
	w.Pipelines.Get(1).RunTime = 6 * time.Second
	w.Inbox.Shutdowns = append(w.Inbox.Shutdowns, rocktable.Shutdown{})
	arrive(w, start, 1)
	arrive(w, start, 2)
	first := run(t, start, w).Outbox.Starts
	if len(first) != 1 {
		t.Fatalf("got %d starts, want 1", len(first))
	}
	now := start.Add(2 * time.Second)
	arrive(w, now, 3)
	w.Inbox.AttemptsEnded = append(w.Inbox.AttemptsEnded, rocktable.AttemptEnded{Attempt: first[0].Attempt, Tokens: 10, FirstTokenAt: now})
	out := run(t, now, w).Outbox
	refused := 0
	for _, a := range out.Answers {
		if a.Reason == rockreason.ShuttingDown {
			refused++
		}
	}
	if len(out.Starts) != 0 || refused != 2 {
		t.Errorf("got %d starts and %d refusals, want none and 2", len(out.Starts), refused)
	}
}

// Guards against a host whose drain notice takes the whole grace, so that what it takes late has no time to run.
func TestNoticeLeavesTimeToRun(t *testing.T) {
	w := newStopWorld()
	w.Limits.DrainNotice = 20 * time.Second
	w.Inbox.Shutdowns = append(w.Inbox.Shutdowns, rocktable.Shutdown{})
	run(t, start, w)
	now := start.Add(4 * time.Second)
	arrive(w, now, 1)
	if out := run(t, now, w).Outbox; len(out.Answers) != 1 || out.Answers[0].Reason != rockreason.ShuttingDown || !out.Closing {
		t.Errorf("got answers %+v and closing %t, want a refusal after half of the grace", out.Answers, out.Closing)
	}
}

// Guards against a host that waits beyond its grace for a store that does not answer.
func TestHostEndsWithinItsGrace(t *testing.T) {
	w := newStopWorld()
	w.Inbox.Shutdowns = append(w.Inbox.Shutdowns, rocktable.Shutdown{})
	run(t, start, w)
	w.Claims.Put(1, rocktable.Claim{Request: 1, State: rocktable.ClaimRecording, PendingOp: 99, PendingSince: start.Add(7 * time.Second)})
	if run(t, start.Add(7500*time.Millisecond), w).Outbox.ShutdownDone {
		t.Error("the host ends with the last answers and leaves no time to record a claim")
	}
	if !run(t, start.Add(7700*time.Millisecond), w).Outbox.ShutdownDone {
		t.Error("the host waits for the record of a claim beyond its grace")
	}
}

// Guards against a host with a short grace that waits for the record of a claim until it is killed.
func TestHostEndsWithinAShortGrace(t *testing.T) {
	for _, grace := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second} {
		w := newStopWorld()
		w.Limits.StopGrace = grace
		w.Inbox.Shutdowns = append(w.Inbox.Shutdowns, rocktable.Shutdown{})
		now := start
		result := run(t, now, w)
		w.Claims.Put(1, rocktable.Claim{Request: 1, State: rocktable.ClaimRecording, PendingOp: 99, PendingSince: start})
		for !result.Outbox.ShutdownDone && now.Before(start.Add(grace)) {
			now = result.Wake
			result = run(t, now, w)
		}
		if left := grace - now.Sub(start); left < grace/32 {
			t.Errorf("grace %s: the host is done %s before its end", grace, left)
		}
	}
}
