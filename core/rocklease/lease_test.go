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

// Guards against orders that an engine refuses because it has not ended the last one, and against a fixed wait after a
// refusal although the engine has reported since.
func TestOrderFitsTheLastReport(t *testing.T) {
	first, second := rocktable.Placement{Server: "runner-1", Model: "m", LastLayer: 3}, rocktable.Placement{Server: "runner-1", Model: "m", LastLayer: 7}
	for name, c := range map[string]struct {
		ok     bool // the first order is accepted
		next   rocktable.Placement
		report func(s *rocktable.BackendServer) // 0.5 s after the first order
		wait   time.Duration                    // after the report until the next order; 0 for none within 4 s
	}{
		"begun, other plan":                {true, second, nil, 0},
		"begun, same plan":                 {true, first, nil, 0},
		"begun, other plan, carried out":   {true, second, func(s *rocktable.BackendServer) { s.Status.Model, s.Status.LastLayer = "m", 3 }, reconcileInterval},
		"begun, restarted":                 {true, first, func(s *rocktable.BackendServer) { s.Incarnation++ }, reconcileInterval},
		"refused, nothing new":             {false, first, nil, 0},
		"refused, other layers":            {false, first, func(s *rocktable.BackendServer) { s.Status.Model, s.Status.LastLayer = "m", 1 }, reconcileInterval},
		"refused, entry written again":     {false, first, func(s *rocktable.BackendServer) { s.ListedSequence++ }, orderRetryDelay},
		"refused, other plan, nothing new": {false, second, nil, 0},
		"refused, other layers, but it leaves": {false, first, func(s *rocktable.BackendServer) {
			s.Status.Model, s.Status.LastLayer, s.State = "m", 1, rocktable.StateLeaving
		}, 0},
	} {
		w := candidate(rocktable.DefaultLimits())
		w.Lease.Held, w.Lease.Fencing, w.Lease.Until = true, 1, startTime.Add(time.Hour)
		s := w.InternServer("runner-1")
		s.State, s.StatusAt, s.Status, s.DataCentre = rocktable.StateLive, startTime, rocktable.EngineStatus{ChecksFencing: true, LastLayer: -1}, w.SelfHost().DataCentre
		w.Plan.Put(s.ID, first)
		run(startTime, w)
		if len(w.Outbox.Orders) != 1 {
			t.Fatalf("%s: got %d first orders, want 1", name, len(w.Outbox.Orders))
		}
		w.Inbox.OrdersEnded = []rocktable.OrderEnded{{Server: s.ID, Fencing: 1, OK: c.ok}}
		wait := time.Duration(0)
		for ms := time.Duration(50); ms <= 4500 && wait == 0; ms += 50 {
			w.Outbox = rocktable.Outbox{}
			if ms == 500 {
				w.Plan.Put(s.ID, c.next)
				if c.report != nil {
					c.report(s)
				}
			}
			run(startTime.Add(ms*time.Millisecond), w)
			w.Inbox = rocktable.Inbox{}
			if len(w.Outbox.Orders) > 0 {
				wait = max((ms-500)*time.Millisecond, 1)
			}
		}
		if (wait > 0) != (c.wait > 0) || wait > c.wait {
			t.Errorf("%s: next order after %s, want within %s", name, wait, c.wait)
		}
	}
}
