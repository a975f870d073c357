package rocklease

import (
	"testing"
	"time"

	"sassafrasrock/core/rockretry"
	"sassafrasrock/core/rocktable"
)

var startTime = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

func candidate(limits rocktable.Limits) *rocktable.World {
	w := rocktable.NewWorld(startTime, rocktable.Host{Name: "entry-1"}, rocktable.DataCentre{Name: "yoff"}, 1, rocktable.WithLimits(limits))
	w.ConfigVersion = 1
	return w
}

// Guards against thousands of reads of the lease while the table service resets connections, so
// that each read fails at once.
func TestFailedReadsAreRateLimited(t *testing.T) {
	w := candidate(rocktable.DefaultLimits())
	reads := 0
	for ms := range 10000 {
		now := startTime.Add(time.Duration(ms) * time.Millisecond)
		run(now, w)
		w.Inbox = rocktable.Inbox{}
		for _, op := range w.Outbox.LeaseOps {
			reads++
			w.Inbox.LeaseResults = append(w.Inbox.LeaseResults, rocktable.TableResult[rocktable.LeaseRow]{Op: op.Op, Key: op.Key, Status: rocktable.TableOutcomeUnknown})
		}
		w.Outbox = rocktable.Outbox{}
	}
	if reads < 5 || reads > 20 {
		t.Errorf("%d reads in 10 s, want about 1/s", reads)
	}
}

// Guards against a data centre without a holder of the lease for a whole TTL after a planned stop,
// and against reads of the row while heartbeats of its holder arrive.
func TestLeaseFollowsItsHolder(t *testing.T) {
	limits := rocktable.DefaultLimits()
	limits.PlatformPushes = true
	w := candidate(limits)
	w.Follow.Follows = true
	holder := w.InternHost("entry-2")
	holder.State, holder.Incarnation = rocktable.StateLive, 7
	w.Lease.StoredRow, w.Lease.StoredRowSince, w.Lease.Version = rocktable.LeaseRow{Holder: holderID("entry-2", 7), TTLMs: 15000}, startTime, 3
	for s := range 8 {
		now := startTime.Add(time.Duration(s) * time.Second)
		holder.HeartbeatAt = now
		run(now, w)
	}
	if n := len(w.Outbox.LeaseOps); n > 0 {
		t.Fatalf("%d reads while heartbeats of the holder arrived, want 0", n)
	}
	holder.State = rocktable.StateLeaving
	w.Inbox.Peers = []rocktable.PeerMessage{{Sender: "entry-2", Incarnation: 7, State: rocktable.StateLeaving}}
	now := startTime.Add(8 * time.Second)
	run(now, w)
	w.Inbox = rocktable.Inbox{}
	run(now.Add(holderReleaseDelay), w)
	if n := len(w.Outbox.LeaseOps); n != 1 {
		t.Errorf("%d reads after the holder reported that it leaves, want 1", n)
	}
}

// Guards against a data centre without orders for as long as the platform rejects the calls of the
// lease's holder. Its peers receive its heartbeats and would not read the row.
func TestHolderThatCannotRenewIsReplaced(t *testing.T) {
	limits := rocktable.DefaultLimits()
	limits.PlatformPushes = true
	for _, c := range []struct {
		name    string
		renewed bool // the holder renewed the lease after its report
	}{{"not renewed", false}, {"renewed since", true}} {
		t.Run(c.name, func(t *testing.T) {
			w := candidate(limits)
			w.Follow.Follows = true
			holder := w.InternHost("entry-2")
			holder.State, holder.Incarnation, holder.HeartbeatAt = rocktable.StateLive, 7, startTime.Add(time.Second)
			row := rocktable.LeaseRow{Holder: holderID("entry-2", 7), Fencing: 4, TTLMs: 15000}
			w.Lease.StoredRow, w.Lease.StoredRowSince, w.Lease.Version = row, startTime, 3
			now := startTime.Add(time.Second)
			w.Inbox.Peers = []rocktable.PeerMessage{{Sender: "entry-2", Incarnation: 7, State: rocktable.StateLive, LostLeaseVersion: 8}}
			run(now, w)
			w.Inbox = rocktable.Inbox{}
			if n := len(w.Outbox.LeaseOps); n != 1 || w.Outbox.LeaseOps[0].Write {
				t.Fatalf("%d operations after the holder's message, want 1 read", n)
			}
			version := uint64(8)
			if c.renewed {
				version, row.Renewal = 9, 1
			}
			w.Inbox.LeaseResults = []rocktable.TableResult[rocktable.LeaseRow]{{Op: w.Outbox.LeaseOps[0].Op, Found: true, Version: version, Row: row}}
			w.Outbox = rocktable.Outbox{}
			run(now, w)
			took := len(w.Outbox.LeaseOps) == 1 && w.Outbox.LeaseOps[0].Write && w.Outbox.LeaseOps[0].Expected == version
			if took == c.renewed {
				t.Errorf("operations %+v, want an acquisition: %t", w.Outbox.LeaseOps, !c.renewed)
			}
		})
	}
}

// Guards against a holder that loses its lease and does not report it to its peers.
func TestExpiredLeaseIsReported(t *testing.T) {
	w := candidate(rocktable.DefaultLimits())
	w.Lease.Held, w.Lease.Version, w.Lease.Until = true, 8, startTime
	run(startTime, w)
	if w.Lease.Held || w.Lease.LostVersion != 8 || !w.Gossip.LeaseLost {
		t.Errorf("lease %+v, reported %t; want it lost with version 8 and reported", w.Lease, w.Gossip.LeaseLost)
	}
}

// Guards against reads of the lease row that grow with the hosts of a data centre: where the platform pushes, only a
// host that follows its store may read it, also when the holder is silent.
func TestOnlyFollowersReadTheRow(t *testing.T) {
	limits := rocktable.DefaultLimits()
	limits.PlatformPushes = true
	w := candidate(limits)
	for s := range 60 {
		run(startTime.Add(time.Duration(s)*time.Second), w)
	}
	if n := len(w.Outbox.LeaseOps); n != 0 {
		t.Errorf("%d operations of a host that does not follow the store, want 0", n)
	}
	w.Follow.Follows = true
	run(startTime.Add(time.Minute), w)
	if n := len(w.Outbox.LeaseOps); n != 1 {
		t.Errorf("%d operations after it began to follow the store, want 1 read", n)
	}
}

// Guards against orders that are sent again and again to an address at which no engine answers, while its layers stay
// planned there.
func TestOrderToNoEngineClosesTheAddress(t *testing.T) {
	w := candidate(rocktable.DefaultLimits())
	s := w.InternServer("runner-1")
	w.Orders.Put(s.ID, rocktable.Order{Pending: true, Fencing: 3})
	w.Inbox.OrdersEnded = []rocktable.OrderEnded{{Server: s.ID, Fencing: 3, Foreign: true}}
	run(startTime, w)
	if !rockretry.IsForeign(startTime, s) {
		t.Error("the address counts as that of the engine")
	}
}
