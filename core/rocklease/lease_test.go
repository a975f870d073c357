package rocklease

import (
	"testing"
	"time"

	"sassafrasrock/core/rocktable"
)

var epoch = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

func candidate(limits rocktable.Limits) *rocktable.World {
	w := rocktable.NewWorld(epoch, rocktable.Host{Name: "entry-1"}, rocktable.DataCentre{Name: "yoff"}, 1, rocktable.WithLimits(limits))
	w.ConfigVersion = 1
	return w
}

// Guards against thousands of reads of the lease while the table service resets connections: each answer is lost at once.
func TestLostReadsArePaced(t *testing.T) {
	w := candidate(rocktable.DefaultLimits())
	reads := 0
	for ms := range 10000 {
		now := epoch.Add(time.Duration(ms) * time.Millisecond)
		run(now, w)
		w.Inbox = rocktable.Inbox{}
		for _, op := range w.Outbox.LeaseOps {
			reads++
			w.Inbox.LeaseResults = append(w.Inbox.LeaseResults, rocktable.TableResult[rocktable.LeaseRow]{Op: op.Op, Key: op.Key, Status: rocktable.TableUnclear})
		}
		w.Outbox = rocktable.Outbox{}
	}
	if reads < 5 || reads > 20 {
		t.Errorf("%d reads in 10 s, want about one a second", reads)
	}
}

// Guards against a data centre without a holder of the lease for a whole TTL after a planned stop, and against reads of the row
// while its holder is heard.
func TestLeaseFollowsItsHolder(t *testing.T) {
	limits := rocktable.DefaultLimits()
	limits.Pushed = true
	w := candidate(limits)
	holder := w.InternHost("entry-2")
	holder.State, holder.Incarnation = rocktable.StateLive, 7
	w.Lease.Seen, w.Lease.SeenAt, w.Lease.Version = rocktable.LeaseRow{Holder: holderOf("entry-2", 7), TTLMs: 15000}, epoch, 3
	for s := range 8 {
		now := epoch.Add(time.Duration(s) * time.Second)
		holder.HeardAt = now
		run(now, w)
	}
	if n := len(w.Outbox.LeaseOps); n > 0 {
		t.Fatalf("%d reads while the holder was heard", n)
	}
	holder.State = rocktable.StateLeaving
	w.Inbox.Peers = []rocktable.PeerMessage{{Sender: "entry-2", Incarnation: 7, State: rocktable.StateLeaving}}
	now := epoch.Add(8 * time.Second)
	run(now, w)
	w.Inbox = rocktable.Inbox{}
	run(now.Add(leavingDelay), w)
	if n := len(w.Outbox.LeaseOps); n != 1 {
		t.Errorf("%d reads after the holder's notice, want 1", n)
	}
}
