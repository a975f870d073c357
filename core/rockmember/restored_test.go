package rockmember

import (
	"testing"
	"time"

	"sassafrasrock/core/rocktable"
)

// entry is the entry of a backend server that has written sequence times since its start.
func entry(name, state string, incarnation, sequence, version uint64) rocktable.ListedHost {
	e := runner(name, state, incarnation)
	e.Sequence, e.Version = sequence, version
	return e
}

// pushEra runs a tick with the list of a store in an era.
func pushEra(now time.Time, w *rocktable.World, era uint64, entries ...rocktable.ListedHost) {
	w.Inbox.HostLists = []rocktable.HostList{{OK: true, Pushed: true, Era: era, Entries: entries}}
	run(now, w)
	w.Inbox = rocktable.Inbox{}
}

func expectState(t *testing.T, w *rocktable.World, name, when string, want rocktable.State) {
	t.Helper()
	if got := state(w, name); got != want {
		t.Errorf("%s %s: state %s, want %s", name, when, got, want)
	}
}

// Guards against new work for a backend server that said that it leaves, because the restored store has the entry in
// which it was still ready.
func TestLeavingServerStaysLeavingInRestoredStore(t *testing.T) {
	w := pushedWorld()
	pushEra(startTime, w, 1, entry("a", "live", 100, 4, 11))
	pushEra(startTime.Add(time.Second), w, 1, entry("a", "leaving", 100, 9, 20))
	pushEra(startTime.Add(2*time.Second), w, 2, entry("a", "live", 100, 4, 11))
	expectState(t, w, "a", "in the copy", rocktable.StateLeaving)
	pushEra(startTime.Add(3*time.Second), w, 2, entry("a", "live", 100, 4, 11))
	expectState(t, w, "a", "in the same entry", rocktable.StateLeaving)
	pushEra(startTime.Add(4*time.Second), w, 2, entry("a", "leaving", 100, 9, 21))
	expectState(t, w, "a", "written again", rocktable.StateLeaving)
	pushEra(startTime.Add(5*time.Second), w, 2, entry("a", "live", 200, 1, 22))
	expectState(t, w, "a", "restarted", rocktable.StateLive)
}

// Guards against new work for a backend server whose entry was removed, because the restored store still has it, and
// against one that stays out of use although it wrote the entry again.
func TestRemovedEntryInRestoredStore(t *testing.T) {
	w := pushedWorld()
	other := entry("b", "live", 100, 1, 3)
	pushEra(startTime, w, 1, entry("a", "live", 100, 4, 11), other)
	pushEra(startTime.Add(time.Second), w, 1, other)
	expectState(t, w, "a", "removed", rocktable.StateLeaving)
	pushEra(startTime.Add(2*time.Second), w, 2, entry("a", "live", 100, 4, 11), other)
	expectState(t, w, "a", "in the copy", rocktable.StateLeaving)
	pushEra(startTime.Add(3*time.Second), w, 3, entry("a", "live", 100, 4, 11), other)
	expectState(t, w, "a", "in the copy of a second restoration", rocktable.StateLeaving)
	pushEra(startTime.Add(4*time.Second), w, 3, entry("a", "live", 100, 5, 14), other)
	expectState(t, w, "a", "written again", rocktable.StateLive)
}

// Guards against a restart that is taken back by the entry of the process before it.
func TestRestartedServerInRestoredStore(t *testing.T) {
	w := pushedWorld()
	pushEra(startTime, w, 1, entry("a", "leaving", 100, 40, 11))
	pushEra(startTime.Add(time.Second), w, 1, entry("a", "live", 200, 1, 12))
	pushEra(startTime.Add(2*time.Second), w, 2, entry("a", "leaving", 100, 40, 11))
	expectState(t, w, "a", "in the copy", rocktable.StateLive)
	if got := w.ServerNamed("a").Incarnation; got != 200 {
		t.Errorf("incarnation %d, want that of the restart, 200", got)
	}
}

// Guards against backend servers that are marked as leaving because the restored store lacks their entries until they
// write them again, and against one that stays out of use because it did so late and with the same count.
func TestEntriesThatRestoredStoreLacks(t *testing.T) {
	w := pushedWorld()
	a, b := entry("a", "live", 100, 4, 11), entry("b", "live", 100, 1, 3)
	pushEra(startTime, w, 1, a, b)
	restored := startTime.Add(time.Second)
	pushEra(restored, w, 2, b)
	run(restored.Add(returnGrace-time.Millisecond), w)
	expectState(t, w, "a", "before the limit", rocktable.StateLive)
	run(restored.Add(returnGrace), w)
	expectState(t, w, "a", "after the limit", rocktable.StateLeaving)
	a.Version = 14
	pushEra(restored.Add(3*time.Second), w, 2, a, b)
	expectState(t, w, "a", "written again late", rocktable.StateLive)
}

// Guards against a host that believes no entry of a backend server any more because another writer left one with a
// high count.
func TestEntryWithHighSequence(t *testing.T) {
	w := pushedWorld()
	pushEra(startTime, w, 1, entry("a", "live", 100, 1<<60, 11))
	pushEra(startTime.Add(time.Second), w, 1, entry("a", "leaving", 100, 5, 12))
	expectState(t, w, "a", "in the same era", rocktable.StateLeaving)
}

// Guards against backend servers that are marked as leaving at once by a restored store that lacks their entries,
// because one list before it had an era that the store has not reached.
func TestEntriesAfterEraThatWentBack(t *testing.T) {
	w := pushedWorld()
	a, b := entry("a", "live", 100, 4, 11), entry("b", "live", 100, 1, 3)
	pushEra(startTime, w, 1, a, b)
	pushEra(startTime.Add(time.Second), w, 900, a, b)
	pushEra(startTime.Add(2*time.Second), w, 1, a, b)
	restored := startTime.Add(10 * time.Second)
	pushEra(restored, w, 2, b)
	expectState(t, w, "a", "missing in the copy", rocktable.StateLive)
	run(restored.Add(returnGrace), w)
	expectState(t, w, "a", "after the limit", rocktable.StateLeaving)
}

// Guards against new work for a backend server whose entry was removed, because a restored store that counts its eras
// from the start again still has it.
func TestRemovedEntryInEraThatWentBack(t *testing.T) {
	w := pushedWorld()
	other := entry("b", "live", 100, 1, 3)
	pushEra(startTime, w, 3, entry("a", "live", 100, 4, 11), other)
	pushEra(startTime.Add(time.Second), w, 3, other)
	expectState(t, w, "a", "removed", rocktable.StateLeaving)
	pushEra(startTime.Add(2*time.Second), w, 1, entry("a", "live", 100, 4, 11), other)
	expectState(t, w, "a", "in the copy", rocktable.StateLeaving)
}
