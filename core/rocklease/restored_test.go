package rocklease

import (
	"testing"
	"time"

	"sassafrasrock/core/rocktable"
)

// service is a model of the table service with one lease row, which can be restored from a copy.
type service struct {
	era, version uint64
	row          rocktable.LeaseRow
	found        bool
}

func (s *service) run(op rocktable.TableOp[rocktable.LeaseRow]) rocktable.TableResult[rocktable.LeaseRow] {
	r := rocktable.TableResult[rocktable.LeaseRow]{Op: op.Op, Key: op.Key, Write: op.Write, Era: s.era}
	switch {
	case op.Write && op.Expected != s.version:
		r.Status = rocktable.TableConflict
	case op.Write:
		s.version++
		s.row, s.found = op.Row, true
	}
	r.Found, r.Version, r.Row = s.found, s.version, s.row
	if !s.found {
		r.Version = 0
	}
	return r
}

// restore takes the service back to a copy, in a new era.
func (s *service) restore(copied service) {
	copied.era = s.era + 1
	*s = copied
}

// trial is one host or more that follow the store, in virtual time.
type trial struct {
	t     *testing.T
	now   time.Time
	s     *service
	hosts []*rocktable.World
	cut   map[*rocktable.World]bool // its calls are not answered
}

func newTrial(t *testing.T, names ...string) *trial {
	tr := &trial{t: t, now: startTime, s: &service{era: 1}, cut: make(map[*rocktable.World]bool)}
	for _, name := range names {
		tr.add(name)
	}
	return tr
}

func (tr *trial) add(name string) *rocktable.World {
	limits := rocktable.DefaultLimits()
	limits.PlatformPushes, limits.LeaseTTL = true, 5*time.Second
	w := rocktable.NewWorld(tr.now, rocktable.Host{Name: name}, rocktable.DataCentre{Name: "yoff"}, 1, rocktable.WithLimits(limits))
	w.ConfigVersion, w.Follow.Follows = 1, true
	tr.hosts = append(tr.hosts, w)
	return w
}

// run runs ticks and checks that at most one host holds the lease, and that fencing numbers do not go back.
func (tr *trial) run(d time.Duration) {
	tr.t.Helper()
	for end := tr.now.Add(d); tr.now.Before(end); {
		tr.now = tr.now.Add(50 * time.Millisecond)
		var holder *rocktable.World
		for _, w := range tr.hosts {
			tr.tick(w)
			if !w.Lease.Held {
				continue
			}
			if holder != nil {
				tr.t.Fatalf("%s: %s and %s both hold the lease", tr.now.Sub(startTime), holder.SelfHost().Name, w.SelfHost().Name)
			}
			holder = w
		}
	}
}

func (tr *trial) tick(w *rocktable.World) {
	run(tr.now, w)
	w.Inbox = rocktable.Inbox{}
	for _, op := range w.Outbox.LeaseOps {
		if !tr.cut[w] {
			w.Inbox.LeaseResults = append(w.Inbox.LeaseResults, tr.s.run(op))
		}
	}
	w.Outbox = rocktable.Outbox{}
}

func (tr *trial) holder() *rocktable.World {
	for _, w := range tr.hosts {
		if w.Lease.Held {
			return w
		}
	}
	return nil
}

// Guards against a data centre without orders because its holder takes the restored row, which has an earlier renewal,
// for that of another holder.
func TestHolderGoesOnInRestoredStore(t *testing.T) {
	for _, copied := range []service{{}, {version: 2, found: true, row: rocktable.LeaseRow{Holder: "entry-9#1", Fencing: 1 << eraShift, Era: 1, TTLMs: 5000}}} {
		tr := newTrial(t, "entry-1")
		tr.run(10 * time.Second)
		w := tr.holder()
		if w == nil {
			t.Fatal("nobody holds the lease")
		}
		fencing := w.Lease.Fencing
		tr.s.restore(copied)
		for range 60 {
			tr.run(50 * time.Millisecond)
			if !w.Lease.Held {
				t.Fatal("the holder lost its lease")
			}
		}
		if w.Lease.Fencing <= fencing || tr.s.row.Holder != ownHolderID(w) || tr.s.row.Era != 2 {
			t.Errorf("fencing number %d after %d, row %+v; want a new acquisition", w.Lease.Fencing, fencing, tr.s.row)
		}
	}
}

// Guards against two holders: the restored row names a former holder, which would renew it while the present one does
// not know of the restoration yet.
func TestFormerHolderDoesNotRenewRestoredRow(t *testing.T) {
	tr := newTrial(t, "entry-1")
	tr.run(10 * time.Second)
	copied := *tr.s
	former := tr.hosts[0]
	tr.cut[former] = true
	second := tr.add("entry-2")
	tr.run(12 * time.Second)
	if tr.holder() != second {
		t.Fatal("the second host has not taken the lease over")
	}
	tr.cut[former] = false
	tr.run(time.Second)
	tr.s.restore(copied)
	tr.cut[second] = true
	former.Lease.NextOp = tr.now
	tr.run(20 * time.Second)
	if tr.holder() != former {
		t.Error("nobody took the lease over after the present holder was cut off")
	}
}

// Guards against a fencing number below one that an engine has seen, given out by a host that started after the
// restoration lost the row, and against its lease beside that of the holder before it.
func TestFencingNumberNeverGoesBack(t *testing.T) {
	tr := newTrial(t, "entry-1")
	tr.run(10 * time.Second)
	former := tr.hosts[0]
	seen := former.Lease.Fencing
	tr.s.restore(service{})
	tr.cut[former] = true
	tr.add("entry-2")
	tr.run(15 * time.Second)
	w := tr.holder()
	if w == nil || w == former {
		t.Fatal("the host that started has not taken the lease over")
	}
	if w.Lease.Fencing <= seen {
		t.Errorf("fencing number %d, want one above %d", w.Lease.Fencing, seen)
	}
}

// Guards against a lease that counts as renewed although the write took effect on another row, whose version was given
// out again, or was answered by the old store.
func TestAnswerOfOtherEraConfirmsNothing(t *testing.T) {
	for name, era := range map[string]uint64{"later era": 3, "earlier era": 1} {
		tr := newTrial(t, "entry-1")
		tr.s.era = 2
		tr.run(10 * time.Second)
		w := tr.hosts[0]
		until := w.Lease.Until
		for len(w.Outbox.LeaseOps) == 0 {
			tr.now = tr.now.Add(50 * time.Millisecond)
			run(tr.now, w)
			w.Inbox = rocktable.Inbox{}
		}
		op := w.Outbox.LeaseOps[0]
		w.Outbox = rocktable.Outbox{}
		w.Inbox.LeaseResults = []rocktable.TableResult[rocktable.LeaseRow]{{Op: op.Op, Write: true, Found: true, Era: era, Version: 99}}
		run(tr.now, w)
		if !w.Lease.Until.Equal(until) {
			t.Errorf("%s: the lease was renewed", name)
		}
		if n := len(w.Outbox.LeaseOps); n != 1 || w.Outbox.LeaseOps[0].Write {
			t.Errorf("%s: operations %+v, want a read", name, w.Outbox.LeaseOps)
		}
	}
}

// Guards against a host that takes the lease of a live holder, because a peer lost it in an earlier era at a version
// that was given out again.
func TestLossReportedInEarlierEra(t *testing.T) {
	tr := newTrial(t, "entry-2")
	w := tr.hosts[0]
	row := rocktable.LeaseRow{Holder: holderID("entry-1", 7), Fencing: 2<<eraShift + 1, Era: 2, TTLMs: 5000}
	*tr.s = service{era: 2, version: 8, found: true, row: row}
	w.Lease.StoredRow, w.Lease.Version, w.Lease.Era = row, 8, 2
	w.Inbox.Peers = []rocktable.PeerMessage{{Sender: "entry-1", Incarnation: 7, State: rocktable.StateLive, LostLeaseEra: 1, LostLeaseVersion: 8}}
	tr.run(3 * time.Second)
	if w.Lease.Held {
		t.Error("the host took the lease of a live holder")
	}
}

// Guards against a data centre without orders for good, because one answer had an era that the table service has not
// reached, or because the service began to count its eras again.
func TestLeaseAfterEraThatWentBack(t *testing.T) {
	for _, copied := range []service{{}, {version: 2, found: true, row: rocktable.LeaseRow{Holder: "entry-1#1", Fencing: 1 << eraShift, Era: 1, TTLMs: 5000}}} {
		tr := newTrial(t, "entry-1", "entry-2")
		tr.s.era = 3
		tr.run(20 * time.Second)
		for _, era := range []uint64{900, 2, 1} {
			if era == 1 {
				*tr.s = copied
			}
			tr.s.era = era
			before := *tr.s
			tr.run(20 * time.Second)
			w := tr.holder()
			if w == nil {
				t.Fatalf("era %d after the row %+v: nobody holds the lease 20 s later", era, before.row)
			}
		}
	}
}
