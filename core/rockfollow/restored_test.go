package rockfollow_test

import (
	"fmt"
	"testing"
	"time"

	"sassafrasrock/core/rocktable"
)

// writeSome writes some changes, which a restoration loses.
func (f *fleet) writeSome(n int) {
	for i := range n {
		f.store.write(rocktable.BackendServersTable, fmt.Sprintf("lost-%d", i), false)
	}
	f.store.write(rocktable.ConfigurationTable, "config", false)
}

// restoreStore has the store away for a time and restores it from its last copy.
func (f *fleet) restoreStore(away time.Duration) {
	f.silenceConnections()
	f.store.refuses = func(*host) bool { return true }
	f.run(away)
	f.store.refuses = func(*host) bool { return false }
	f.store.restore()
}

func (f *fleet) expectCurrent(within time.Duration, what string) {
	f.t.Helper()
	f.run(within)
	if late := f.lagging(); len(late) > 0 {
		f.t.Fatalf("%s: %d tables differ from the store after %s: %s", what, len(late), within, late[0])
	}
}

// Guards against hosts that ignore a restored store for as long as its versions are below those of their copies.
func TestRestoredStoreIsFollowed(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 9)
	f.run(settlingTime)
	f.store.copyRows()
	f.run(2 * time.Second)
	f.writeSome(50)
	f.run(4 * time.Second)
	f.restoreStore(2 * time.Second)
	f.expectCurrent(contactLimit, "restored")
	f.change()
	f.expectCurrent(contactLimit, "changed since")
}

// Guards against hosts that merge the changes of a restored store into the rows of the old one, because its counter has
// passed their version before the next read, which then is not refused. Nothing tells them of an outage.
func TestRestoredStoreThatPassedTheOldVersion(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 9)
	f.run(settlingTime)
	f.store.copyRows()
	f.writeSome(5)
	f.run(4 * time.Second)
	f.store.restore()
	for i := range 60 {
		f.store.write(rocktable.BackendServersTable, fmt.Sprintf("since-%d", i), false)
	}
	f.store.write(rocktable.ConfigurationTable, "config", false)
	// A read of the table of hosts waits for 10 s.
	f.expectCurrent(13*time.Second, "restored")
}

// Guards against hosts that stay with the first of two restorations which follow each other.
func TestStoreIsRestoredTwice(t *testing.T) {
	t.Parallel()
	for _, gap := range []time.Duration{step, time.Second, 3 * time.Second} {
		f := newFleet(t, 3, 9)
		f.run(settlingTime)
		f.store.copyRows()
		f.writeSome(50)
		f.run(4 * time.Second)
		f.restoreStore(time.Second)
		f.run(gap)
		f.writeSome(70)
		f.run(gap)
		f.restoreStore(time.Second)
		f.expectCurrent(contactLimit, "restored twice "+gap.String()+" apart")
	}
}

// Guards against an answer of the old store that arrives late and takes a host back to the old era.
func TestLateAnswerOfTheOldEra(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 4)
	f.run(settlingTime)
	f.store.copyRows()
	f.writeSome(50)
	f.run(4 * time.Second)
	for _, h := range f.hosts {
		for i := range h.reads {
			p := &h.reads[i]
			p.late, p.lateAt = f.result(h, *p), f.now.Add(2500*time.Millisecond)
			p.late.Version += 40
			if p.read.Table == rocktable.BackendServersTable {
				p.late.Rows = []rocktable.TableRow{{Key: "late", Version: p.late.Version, Value: []byte("late")}}
			}
		}
	}
	f.store.restore()
	// Hosts that learn of the new era through peers do so before the late answers arrive: one reads at once.
	f.addHost(9, 0)
	f.expectCurrent(6*time.Second, "late answers")
}

// Guards against a host that was cut off during a restoration, and a peer that tells it of old versions afterwards.
func TestHostCutOffDuringRestoration(t *testing.T) {
	t.Parallel()
	for cut := range 9 {
		f := newFleet(t, 3, 9)
		f.run(settlingTime)
		f.store.copyRows()
		f.writeSome(50)
		f.run(4 * time.Second)
		h := f.hosts[cut]
		h.alone, h.cut = true, true
		f.run(500 * time.Millisecond)
		f.restoreStore(time.Second)
		f.run(3 * time.Second)
		f.writeSome(20)
		f.run(time.Second)
		h.alone = false // peers first: they must neither believe it nor be refused by it
		f.expectCurrent(5*time.Second, h.w.SelfHost().Name+" is back among its peers")
		h.cut = false
		f.change()
		f.expectCurrent(contactLimit, h.w.SelfHost().Name+" is back at the store")
	}
}

// Guards against a host that ignores the store because a peer told it of an era which the store has never reached.
func TestEraThatTheStoreHasNotReached(t *testing.T) {
	t.Parallel()
	for _, era := range []uint64{2, 1 << 40} {
		f := newFleet(t, 2, 8)
		f.run(settlingTime)
		for _, h := range f.hosts {
			from := f.hosts[0]
			if h == from {
				from = f.hosts[2]
			}
			f.tellBogus(from, h, era)
		}
		f.run(step)
		for _, h := range f.hosts {
			if h.eras[rocktable.BackendServersTable] == era {
				delete(h.eras, rocktable.BackendServersTable) // a wrong era is left for a lower one
			}
		}
		f.run(5 * time.Second)
		f.change()
		f.expectCurrent(contactLimit, fmt.Sprintf("era %d", era))
	}
}

// tellBogus delivers a complete table of an era in the name of a peer.
func (f *fleet) tellBogus(from, to *host, era uint64) {
	to.inbox.Peers = append(to.inbox.Peers, rocktable.PeerMessage{
		Sender: from.w.SelfHost().Name, Address: from.w.SelfHost().Name, DataCentre: f.dataCentreOf(from.w.SelfHost().Name), Region: "dakar",
		Incarnation: from.w.Incarnation, Heartbeat: from.w.SelfHost().Heartbeat + 1, State: rocktable.StateLive, Reply: true,
		Tables: []rocktable.TableUpdate{{
			Table: rocktable.BackendServersTable, Era: era, Version: 7, Digest: 7, Full: true,
			Rows: []rocktable.TableRow{{Key: "bogus", Version: 7, Value: []byte("bogus")}},
		}},
	})
}

// Guards against hosts that cost the store many reads when it is restored: those that do not follow it learn from peers.
func TestRestorationCostsFewCalls(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, 40)
	f.run(settlingTime)
	f.store.copyRows()
	f.writeSome(50)
	f.run(4 * time.Second)
	f.restoreStore(time.Second)
	calls := f.store.calls
	f.expectCurrent(contactLimit, "restored")
	// Up to six followers of each data centre read three tables, and their changes for 3 s.
	if n := f.store.calls - calls; n > 40*3 {
		t.Errorf("%d calls in %s after the restoration, want at most 3 for each host", n, contactLimit)
	}
}

// Guards against hosts that ignore a peer of an older program, which sends no era, and against one that is taken back to
// the old era by such a peer after a restoration.
func TestPeerThatSendsNoEra(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 3)
	f.run(settlingTime)
	to, from := f.hosts[0], f.hosts[1]
	table := to.w.FollowedTables.Get(rocktable.BackendServersTable)
	tell := func(version uint64) {
		f.tellBogus(from, to, 0)
		to.inbox.Peers[len(to.inbox.Peers)-1].Tables[0].Version = version
		f.run(step)
	}
	version := table.Version + 5
	tell(version)
	if table.Version != version {
		t.Errorf("version %d before a restoration, want that of the peer, %d", table.Version, version)
	}
	f.store.copyRows()
	f.restoreStore(time.Second)
	f.expectCurrent(contactLimit, "restored")
	tell(table.Version + 5)
	if late := f.lagging(); len(late) > 0 {
		t.Errorf("a peer without an era changed a copy after the restoration: %s", late)
	}
}

// Guards against hosts that all read the complete tables 2 s after a restoration, because one peer that follows the store
// learned of it a moment later than another.
func TestFollowerThatLearnsOfRestorationLater(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 40)
	f.run(settlingTime)
	f.store.copyRows()
	f.writeSome(50)
	f.run(4 * time.Second)
	late := f.followers()[1]
	f.store.restore()
	read := make(map[string]bool)
	for i := range 60 {
		late.cut = i < 15
		f.run(step)
		for _, h := range f.hosts {
			if n := len(h.reads); !h.w.Follow.Follows && n > 0 && h.reads[n-1].sentAt.Equal(f.now) {
				read[h.w.SelfHost().Name] = true
			}
		}
	}
	if len(read) > 0 {
		t.Errorf("%d of %d hosts read the store although they do not follow it", len(read), len(f.hosts))
	}
	f.expectCurrent(contactLimit, "restored")
}

// Guards against entries that count as those of an unknown era, which takes departures back, because a host reaches the
// store again in the moment in which it leaves an era that the store has not reached.
func TestReconnectionWhileCopyIsForgotten(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 3)
	f.run(settlingTime)
	h := f.followers()[0]
	h.cut, h.alone = true, true
	f.run(6 * time.Second)
	f.tellBogus(f.hosts[2], h, 5)
	f.run(step)
	if h.eras[rocktable.BackendServersTable] != 5 || !h.w.Follow.Disconnected {
		t.Fatal("want a host without the store that has a wrong era")
	}
	h.cut, h.alone = false, false
	for range 30 {
		f.run(step) // fails if decoded rows go from era 5 to 0
		if h.w.Follow.Era == 1 && h.eras[rocktable.BackendServersTable] == 5 {
			delete(h.eras, rocktable.BackendServersTable) // the wrong era is left for a lower one
		}
	}
	if h.w.Follow.Disconnected {
		t.Error("the host has not reached the store again")
	}
	f.expectCurrent(contactLimit, "reached again")
}
