package rockmember

import (
	"testing"
	"time"

	"sassafrasrock/core/rocktable"
)

var startTime = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

func pushedWorld() *rocktable.World {
	limits := rocktable.DefaultLimits()
	limits.PlatformPushes = true
	return rocktable.NewWorld(startTime, rocktable.Host{Name: "entry-1", Address: "10.0.0.1:1"}, rocktable.DataCentre{Name: "yoff"}, 1, rocktable.WithLimits(limits))
}

func runner(name, state string, incarnation uint64) rocktable.ListedHost {
	return rocktable.ListedHost{
		Name: name, Role: "model", Address: "10.0.1.1:80", DataCentre: "yoff", Service: "pool", State: state,
		Status: &rocktable.EngineStatus{Kind: "fast", Slots: 8, Incarnation: incarnation},
	}
}

// push runs a tick with a pushed list, or with an outage of the platform if there are no entries.
func push(now time.Time, w *rocktable.World, entries ...rocktable.ListedHost) {
	w.Inbox.HostLists = []rocktable.HostList{{OK: len(entries) > 0, Pushed: true, Entries: entries}}
	run(now, w)
	w.Inbox = rocktable.Inbox{}
}

func state(w *rocktable.World, name string) rocktable.State { return w.ServerNamed(name).State }

// Guards against new work for a backend server whose entry was removed without being marked as leaving first.
func TestRemovedEntryLeaves(t *testing.T) {
	w := pushedWorld()
	push(startTime, w, runner("a", "live", 1), runner("b", "live", 1))
	push(startTime.Add(time.Second), w, runner("b", "live", 1))
	if got := state(w, "a"); got != rocktable.StateLeaving {
		t.Errorf("state %s, want leaving", got)
	}
	if got := state(w, "b"); got != rocktable.StateLive {
		t.Errorf("listed backend server: state %s, want live", got)
	}
}

// Guards against backend servers that are marked as leaving because their entries lapsed during an outage of the
// platform.
func TestEntriesThatLapsedDuringOutage(t *testing.T) {
	w := pushedWorld()
	push(startTime, w, runner("a", "live", 1), runner("b", "live", 1))
	push(startTime.Add(time.Second), w)
	back := startTime.Add(9 * time.Second)
	push(back, w, runner("b", "live", 1))
	if got := state(w, "a"); got != rocktable.StateLive {
		t.Fatalf("at the return: state %s, want live", got)
	}
	run(back.Add(returnGrace-time.Millisecond), w)
	if got := state(w, "a"); got != rocktable.StateLive {
		t.Errorf("before the limit: state %s, want live", got)
	}
	run(back.Add(returnGrace), w)
	if got := state(w, "a"); got != rocktable.StateLeaving {
		t.Errorf("after the limit: state %s, want leaving", got)
	}
	push(back.Add(3*time.Second), w, runner("a", "live", 1), runner("b", "live", 1))
	if got := state(w, "a"); got != rocktable.StateLive {
		t.Errorf("listed again: state %s, want live", got)
	}
}

// Guards against a list that undoes a departure although it is older than the peer's update that reported it.
func TestOldListDoesNotUndoDeparture(t *testing.T) {
	w := pushedWorld()
	push(startTime, w, runner("a", "live", 1))
	w.Inbox.Peers = []rocktable.PeerMessage{{
		Sender: "entry-2", Address: "10.0.0.2:1", DataCentre: "yoff", Incarnation: 1, Heartbeat: 9, State: rocktable.StateLive,
		Servers: []rocktable.ServerUpdate{{Name: "a", State: rocktable.StateLeaving, StatusSeq: nextPhase(w.ServerNamed("a").StatusSeq)}},
	}}
	run(startTime.Add(100*time.Millisecond), w)
	w.Inbox = rocktable.Inbox{}
	if got := state(w, "a"); got != rocktable.StateLeaving {
		t.Fatalf("after the update: state %s, want leaving", got)
	}
	push(startTime.Add(200*time.Millisecond), w, runner("a", "live", 1))
	if got := state(w, "a"); got != rocktable.StateLeaving {
		t.Errorf("after the list: state %s, want leaving", got)
	}
	push(startTime.Add(time.Second), w, runner("a", "live", 2))
	if got := state(w, "a"); got != rocktable.StateLive {
		t.Errorf("after a restart: state %s, want live", got)
	}
}
