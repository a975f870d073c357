package rockclaim

import (
	"testing"
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// foreignEnd is the end of a call that another server answered.
func foreignEnd(id rocktable.RequestID, s *rocktable.BackendServer) rocktable.CallEnded {
	return rocktable.CallEnded{Request: id, Server: s.ID, Reason: rockreason.OutcomeUnknown, Sent: true, Foreign: true}
}

// Guards against calls that go on to an address at which another server answers, also when it is the only one that is
// listed, and against a call that runs twice because of such an answer.
func TestForeignAddressGetsNoCalls(t *testing.T) {
	w := newTestWorld(2)
	stranger := w.ServerNamed(runArrival(startTime, w, 1, false))
	if next, reason := runEnd(startTime, w, foreignEnd(1, stranger)); next != "" || reason != rockreason.OutcomeUnknown {
		t.Errorf("got dispatch to %q and reason %q, want no second dispatch and %q", next, reason, rockreason.OutcomeUnknown)
	}
	for id := range rocktable.RequestID(20) {
		if got := runArrival(startTime.Add(900*time.Millisecond), w, 2+id, false); got == stranger.Name || got == "" {
			t.Fatalf("call %d was dispatched to %q, want the other backend server", 2+id, got)
		}
	}
	for _, s := range w.Servers.All() {
		if s != stranger {
			s.State = rocktable.StateDown
		}
	}
	if got := runArrival(startTime.Add(900*time.Millisecond), w, 30, false); got != "" || w.Outbox.Answers[0].Reason != rockreason.NoServer {
		t.Errorf("call was dispatched to %q, want a refusal with %q", got, rockreason.NoServer)
	}
}

// Guards against a backend server that stays without work after a single strange answer, and against an address that
// gets a call each second for ever.
func TestForeignAddressIsTriedAgain(t *testing.T) {
	w := newTestWorld(1)
	s := w.ServerNamed("a")
	now, id := startTime, rocktable.RequestID(0)
	triedWithin := func(limit time.Duration) time.Duration {
		for wait := time.Duration(0); wait <= limit; wait += 100 * time.Millisecond {
			id++
			if runArrival(now.Add(wait), w, id, false) == "a" {
				now = now.Add(wait)
				return wait
			}
		}
		t.Fatalf("the address got no call within %s", limit)
		return 0
	}
	triedWithin(0)
	for _, want := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second} {
		runEnd(now, w, foreignEnd(id, s))
		if got := triedWithin(want); got != want {
			t.Errorf("the address got a call after %s, want %s", got, want)
		}
	}
	runEnd(now, w, rocktable.CallEnded{Request: id, Server: s.ID, Status: 200, Sent: true})
	triedWithin(0)
	runEnd(now, w, foreignEnd(id, s))
	if got := triedWithin(time.Second); got != time.Second {
		t.Errorf("after a proved answer and a foreign one, the address got a call after %s, want 1 s", got)
	}
	for name, change := range map[string]func(){"address": func() { s.Address = "b:80" }, "start": func() { s.Incarnation++ }} {
		runEnd(now, w, foreignEnd(id, s))
		change()
		if got := triedWithin(0); got != 0 {
			t.Errorf("a new %s got a call after %s, want at once", name, got)
		}
	}
}
