package rocktick_test

import (
	"testing"
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// fillServers sets whether other hosts use all slots of the backend servers.
func fillServers(w *rocktable.World, full bool) {
	for _, s := range w.Servers.All() {
		s.PeerInFlight = 0
		if full {
			s.PeerInFlight = s.Status.Slots
		}
	}
}

// report adds a report of each backend server, which otherwise counts as down after a while.
func report(w *rocktable.World) {
	for _, s := range w.Servers.All() {
		w.Inbox.Probes = append(w.Inbox.Probes, rocktable.ProbeResult{Server: s.ID, OK: true, RoundTrip: time.Millisecond, Status: s.Status})
	}
}

// breakBegunStream starts a stream, breaks it after two tokens and returns a world in which it waits for room.
func breakBegunStream(t *testing.T, deadline time.Time) *rocktable.World {
	t.Helper()
	w := newWorld()
	setUpPipeline(t, w)
	w.Inbox.Arrivals = append(w.Inbox.Arrivals, rocktable.Arrival{Request: rocktable.Request{
		ID: 1, Caller: w.CallerNamed("guild").ID, Pipeline: w.InternPipeline("captions").ID, ArrivedAt: start, PromptTokens: 10, MaxTokens: 5, Deadline: deadline,
	}})
	attempt := run(t, start, w).Outbox.Starts[0]
	fillServers(w, true)
	w.Inbox.AttemptsEnded = append(w.Inbox.AttemptsEnded, rocktable.AttemptEnded{
		Attempt: attempt.Attempt, Reason: rockreason.StageStalled, FailedServer: attempt.Path[0].Server, Tokens: 2, FirstTokenAt: start,
	})
	if out := run(t, start, w).Outbox; len(out.Starts)+len(out.Answers) != 0 {
		t.Fatalf("got starts %+v and answers %+v, want a stream that waits for room", out.Starts, out.Answers)
	}
	return w
}

// Guards against a begun stream that ends while it waits for room, although it has time left.
func TestBegunStreamWaitsForRoom(t *testing.T) {
	w := breakBegunStream(t, start.Add(time.Minute))
	for at := time.Second; at <= 50*time.Second; at += time.Second {
		report(w)
		if out := run(t, start.Add(at), w).Outbox; len(out.Answers) != 0 {
			t.Fatalf("got answers %+v after %s of a minute, want a stream that waits for room", out.Answers, at)
		}
	}
	fillServers(w, false)
	report(w)
	if out := run(t, start.Add(51*time.Second), w).Outbox; len(out.Starts) != 1 || out.Starts[0].Epoch != 2 {
		t.Errorf("got starts %+v and answers %+v, want a second attempt once there is room", out.Starts, out.Answers)
	}
}

// Guards against a begun stream that waits for room for ever: its deadline ends it, or the limit of its rank if it has
// none.
func TestBegunStreamEndsWithItsTime(t *testing.T) {
	for name, c := range map[string]struct {
		deadline time.Time
		end      time.Duration
		reason   rockreason.Code
	}{
		"deadline":    {start.Add(20 * time.Second), 20 * time.Second, rockreason.TimedOut},
		"no deadline": {time.Time{}, 5 * time.Second, rockreason.Stalled},
	} {
		t.Run(name, func(t *testing.T) {
			w := breakBegunStream(t, c.deadline)
			if out := run(t, start.Add(c.end-time.Millisecond), w).Outbox; len(out.Answers) != 0 {
				t.Fatalf("got answers %+v before the time was used up, want none", out.Answers)
			}
			if out := run(t, start.Add(c.end), w).Outbox; len(out.Answers) != 1 || out.Answers[0].Reason != c.reason {
				t.Errorf("got answers %+v when the time was used up, want one with reason %q", out.Answers, c.reason)
			}
		})
	}
}

// Guards against a request that ends with its first attempt because that took long, although the request has time left,
// and against one that is said to have failed although it never ran.
func TestSlowFirstAttemptIsRetriedWithinTheDeadline(t *testing.T) {
	deadline := start.Add(time.Minute)
	for _, c := range []struct {
		ended    rockreason.Code
		deadline time.Time
		answer   rockreason.Code // empty for a retry
	}{
		{rockreason.StageStalled, deadline, ""},
		{rockreason.StageDied, deadline, ""},
		{rockreason.StageRefused, deadline, rockreason.Shed}, // its target is out of reach
		{rockreason.StageStalled, time.Time{}, rockreason.Stalled},
		{rockreason.StageDied, time.Time{}, rockreason.BackendFailed},
	} {
		w := newWorld()
		setUpPipeline(t, w)
		w.Inbox.Arrivals = append(w.Inbox.Arrivals, rocktable.Arrival{Request: rocktable.Request{
			ID: 1, Caller: w.CallerNamed("guild").ID, Pipeline: w.InternPipeline("captions").ID, ArrivedAt: start, PromptTokens: 10, MaxTokens: 5, Deadline: c.deadline,
		}})
		attempt := run(t, start, w).Outbox.Starts[0]
		now := start.Add(5*time.Second + time.Millisecond) // beyond the limit of the rank for the first token
		report(w)
		w.Inbox.AttemptsEnded = append(w.Inbox.AttemptsEnded, rocktable.AttemptEnded{Attempt: attempt.Attempt, Reason: c.ended, FailedServer: attempt.Path[0].Server})
		out := run(t, now, w).Outbox
		var answer rockreason.Code
		if len(out.Answers) == 1 {
			answer = out.Answers[0].Reason
		}
		if answer != c.answer || len(out.Starts)+len(out.Answers) != 1 {
			t.Errorf("%s, deadline %v: got starts %+v and answers %+v, want answer %q, or a retry", c.ended, c.deadline, out.Starts, out.Answers, c.answer)
		}
	}
}

// stallFirstStage starts a request, reports that the first stage of its path does not answer, and returns the world, the
// start and what the tick decided.
func stallFirstStage(t *testing.T, r rocktable.Request) (*rocktable.World, rocktable.Start, rocktable.Outbox) {
	t.Helper()
	w := newWorld()
	setUpPipeline(t, w)
	r.ID, r.Caller, r.Pipeline, r.ArrivedAt, r.PromptTokens, r.MaxTokens = 1, w.CallerNamed("guild").ID, w.InternPipeline("captions").ID, start, 10, 5
	w.Inbox.Arrivals = append(w.Inbox.Arrivals, rocktable.Arrival{Request: r})
	attempt := run(t, start, w).Outbox.Starts[0]
	w.Inbox.Progress = append(w.Inbox.Progress, rocktable.Progress{Attempt: attempt.Attempt, Tokens: 1, FirstTokenAt: start})
	w.Inbox.Stalls = append(w.Inbox.Stalls, rocktable.Stall{Attempt: attempt.Attempt, Server: attempt.Path[0].Server, Session: true})
	return w, attempt, run(t, start.Add(2*time.Second), w).Outbox
}

// Guards against a session of a single stage that is given up for its silence although the request can't go on, and
// against one that is kept although it can.
func TestSilentSessionIsGivenUpIfTheRequestGoesOn(t *testing.T) {
	w, attempt, out := stallFirstStage(t, rocktable.Request{})
	server := attempt.Path[0].Server
	if len(out.Cancels) != 1 || out.Cancels[0].StalledServer != server || len(out.Answers) != 0 {
		t.Fatalf("got cancels %+v and answers %+v, want the attempt to end because of server %d", out.Cancels, out.Answers, server)
	}
	if s := w.Servers.Get(server); s.BreakerTrips != 0 {
		t.Errorf("got %d trips of the circuit breaker, want none for a stage that may only be slow", s.BreakerTrips)
	}
	w.Inbox.AttemptsEnded = append(w.Inbox.AttemptsEnded, rocktable.AttemptEnded{
		Attempt: attempt.Attempt, Reason: rockreason.StageStalled, FailedServer: server, Tokens: 1, FirstTokenAt: start,
	})
	if out = run(t, start.Add(2*time.Second), w).Outbox; len(out.Starts) != 1 {
		t.Errorf("got starts %+v and answers %+v, want a second attempt", out.Starts, out.Answers)
	}
	if _, _, out := stallFirstStage(t, rocktable.Request{MaxAttempts: 1}); len(out.Cancels)+len(out.Answers) != 0 {
		t.Errorf("got cancels %+v and answers %+v for a request without another attempt, want it to wait", out.Cancels, out.Answers)
	}
}

// Guards against a wait for a silent stage that is not limited by the request's own time.
func TestWaitLimitIsTheTimeOfTheRequest(t *testing.T) {
	for deadline, want := range map[time.Time]time.Duration{start.Add(time.Minute): time.Minute, {}: 5 * time.Second} {
		if _, attempt, _ := stallFirstStage(t, rocktable.Request{Deadline: deadline}); attempt.WaitLimit != want {
			t.Errorf("deadline %v: got a wait limit of %s, want %s", deadline, attempt.WaitLimit, want)
		}
	}
}
