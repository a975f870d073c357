package rocktick_test

import (
	"testing"
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// Guards against a call that is started in the tick in which its caller leaves: its row is gone at the end of the tick, and
// the backend server would count a call that never ends.
func TestCallOfACallerThatLeavesIsNotStarted(t *testing.T) {
	for _, name := range []string{"arrival", "another run"} {
		t.Run(name, func(t *testing.T) {
			w := newBudgetWorld()
			w.Inbox.Arrivals = append(w.Inbox.Arrivals, rocktable.Arrival{Request: rocktable.Request{
				ID: 1, Rank: rocktable.NoRank, MaxAttempts: 2, Deadline: start.Add(time.Second), Call: &rocktable.Call{Service: w.InternService("pool").ID, Idempotent: true, NeedsNoClaim: true},
			}})
			if name != "arrival" {
				first := run(t, start, w).Outbox.CallStarts[0]
				w.Inbox.CallsEnded = append(w.Inbox.CallsEnded, rocktable.CallEnded{Request: 1, Server: first.Server, Run: first.Run, Reason: rockreason.ServerUnreachable})
			}
			w.Inbox.CallerDisconnects = append(w.Inbox.CallerDisconnects, rocktable.CallerDisconnect{Request: 1})
			out := run(t, start.Add(10*time.Millisecond), w).Outbox
			if len(out.CallStarts) > 0 || len(out.Answers) != 1 || out.Answers[0].Reason != rockreason.CallerLeft {
				t.Errorf("got starts %+v and answers %+v, want only the end of the call", out.CallStarts, out.Answers)
			}
			for _, s := range w.Servers.All() {
				if s.InFlight != 0 {
					t.Errorf("backend server %s counts %d calls, want none", s.Name, s.InFlight)
				}
			}
		})
	}
}
