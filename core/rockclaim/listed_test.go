package rockclaim

import (
	"testing"
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

var epoch = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

// desk returns a ready World with a listed service of n backend servers.
func desk(n int) *rocktable.World {
	w := rocktable.NewWorld(epoch, rocktable.Host{Name: "entry-1"}, rocktable.DataCentre{Name: "yoff"}, 1)
	w.Ready = true
	w.InternService("desk").Config = rocktable.ServiceConfig{Name: "desk", Listed: true}
	for i := range n {
		s := w.InternServer(string(rune('a' + i)))
		s.Address, s.ListedService, s.Role, s.State = s.Name+":80", "desk", rocktable.RoleApplication, rocktable.StateLive
		s.DataCentre, s.Status.Slots = w.SelfHost().DataCentre, 4
	}
	return w
}

// call runs a tick with the arrival of a call and returns the name of the backend server that it goes to.
func call(now time.Time, w *rocktable.World, id rocktable.RequestID, repeatable bool) string {
	w.Outbox = rocktable.Outbox{}
	w.Inbox = rocktable.Inbox{Arrivals: []rocktable.Arrival{{Request: rocktable.Request{
		ID: id, Rank: rocktable.NoRank, MaxAttempts: 2, Call: &rocktable.Call{Service: 1, NeedsNoClaim: true, Idempotent: repeatable},
	}}}}
	run(now, w)
	if len(w.Outbox.CallStarts) == 0 {
		return ""
	}
	return w.Outbox.CallStarts[0].Name
}

// end runs a tick with the end of a call and returns the backend server that it goes to next, and the reason of its answer.
func end(now time.Time, w *rocktable.World, e rocktable.CallEnded) (string, rockreason.Code) {
	w.Outbox = rocktable.Outbox{}
	w.Inbox = rocktable.Inbox{CallsEnded: []rocktable.CallEnded{e}}
	run(now, w)
	name, reason := "", rockreason.Code("")
	if len(w.Outbox.CallStarts) > 0 {
		name = w.Outbox.CallStarts[0].Name
	}
	if len(w.Outbox.Answers) > 0 {
		reason = w.Outbox.Answers[0].Reason
	}
	return name, reason
}

// Guards against a call that runs twice though its route forbids that: after any end but "not handed over" it is not sent again.
func TestCallIsHandedOverOnce(t *testing.T) {
	w := desk(3)
	first := call(epoch, w, 1, false)
	next, reason := end(epoch, w, rocktable.CallEnded{Request: 1, Server: w.ServerNamed(first).ID, Reason: rockreason.OutcomeUnknown, Sent: true})
	if next != "" || reason != rockreason.OutcomeUnknown {
		t.Errorf("sent to %q, answered with %q; want no second send and %q", next, reason, rockreason.OutcomeUnknown)
	}
}

// Guards against a call that fails though another backend server could take it, and against "may have run" for one that did not.
func TestCallThatWasNotHandedOverGoesElsewhere(t *testing.T) {
	w := desk(2)
	first := call(epoch, w, 1, false)
	second, _ := end(epoch, w, rocktable.CallEnded{Request: 1, Server: w.ServerNamed(first).ID, Reason: rockreason.ServerUnreachable})
	if second == "" || second == first {
		t.Fatalf("after %q sent to %q", first, second)
	}
	next, reason := end(epoch, w, rocktable.CallEnded{Request: 1, Server: w.ServerNamed(second).ID, Reason: rockreason.ServerUnreachable})
	if next != "" || reason != rockreason.NoServer {
		t.Errorf("sent to %q, answered with %q; want %q", next, reason, rockreason.NoServer)
	}
}

// Guards against calls that each wait for the same backend server that cannot be reached, and against one that is never tried again.
func TestUnreachableServerRests(t *testing.T) {
	w := desk(2)
	dead := call(epoch, w, 1, false)
	end(epoch, w, rocktable.CallEnded{Request: 1, Server: w.ServerNamed(dead).ID, Reason: rockreason.ServerUnreachable})
	for id := range rocktable.RequestID(3) {
		if got := call(epoch.Add(100*time.Millisecond), w, 2+id, false); got == dead {
			t.Fatalf("call %d goes to the backend server that could not be reached", 2+id)
		}
	}
	tried := false
	for id := range rocktable.RequestID(4) {
		tried = tried || call(epoch.Add(2*time.Second), w, 10+id, false) == dead
	}
	if !tried {
		t.Error("the backend server is not tried again")
	}
}
