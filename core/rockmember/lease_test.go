package rockmember_test

import (
	"testing"
	"time"

	"sassafrasrock/core/rocktable"
)

// newPlacedFleet returns a fleet whose configuration places a pipeline on two backend servers.
func newPlacedFleet(t *testing.T, hosts int) *fleet {
	f := newFleet(t, 1, hosts, 2)
	c := f.change("placed", 1)
	c.Configuration.Pipelines = []rocktable.PipelineConfig{{
		Name: "p", Model: "m", Version: "1", Layers: 8,
		Placements: []rocktable.Placement{{Server: "runner-0-0", LastLayer: 3}, {Server: "runner-0-1", FirstLayer: 4, LastLayer: 7}},
	}}
	waitSettled(t, f)
	f.hosts[0].put(c)
	f.run(8 * time.Second)
	return f
}

func (f *fleet) holder() *host {
	for _, h := range f.hosts {
		if !h.stopped && !h.paused && h.w.Lease.Held {
			return h
		}
	}
	return nil
}

// Guards against engines that do not run the layers of their placements, and against orders that are sent again after
// they do.
func TestOrdersApplyPlacements(t *testing.T) {
	f := newPlacedFleet(t, 3)
	f.run(10 * time.Second)
	if e := f.engines["runner-0-1"]; e.Model != "m" || e.FirstLayer != 4 || e.LastLayer != 7 {
		t.Errorf("engine is %+v, want layers 4 to 7 of m", e)
	}
	f.run(time.Minute)
	if len(f.receivedOrders) != 2 {
		t.Errorf("orders = %v, want one for each engine", f.receivedOrders)
	}
	if n := f.lease.rows["lease/dc-0"].Row.Fencing; n != 1 {
		t.Errorf("fencing number = %d after a minute with one holder, want 1", n)
	}
}

// Guards against orders from a holder that was paused past the end of its lease, and against two holders with the same
// fencing number.
func TestPausedHolderSendsNoOrder(t *testing.T) {
	f := newPlacedFleet(t, 3)
	f.run(10 * time.Second)
	old := f.holder()
	old.paused = true
	f.engines["runner-0-0"].Model = "other"
	if !f.until(time.Minute, func() bool { return f.holder() != nil }) {
		t.Fatal("no host takes over the lease within 1 min")
	}
	next, since := f.holder(), f.now
	if next.w.Lease.Fencing != old.w.Lease.Fencing+1 {
		t.Errorf("got fencing number %d after %d, want one higher", next.w.Lease.Fencing, old.w.Lease.Fencing)
	}
	f.engines["runner-0-0"].Model = "other"
	sent := len(old.orders)
	old.paused = false
	if !f.until(20*time.Second, func() bool { return len(next.orders) > 0 }) || f.now.Sub(since) < next.w.Limits.OrderTimeout {
		t.Errorf("the new holder sent %d orders within %s, want the first after the order timeout", len(next.orders), f.now.Sub(since))
	}
	f.run(20 * time.Second)
	if old.w.Lease.Held || len(old.orders) != sent {
		t.Errorf("the paused holder sent %d orders after its pause, want none", len(old.orders)-sent)
	}
	if f.engines["runner-0-0"].Model != "m" {
		t.Error("the new holder did not apply the placement to the engine")
	}
}

// Guards against a lease that is used after a short pause of its holder without being read again.
func TestLeaseIsReadAgainAfterShortPause(t *testing.T) {
	f := newPlacedFleet(t, 2)
	f.run(10 * time.Second)
	h := f.holder()
	h.paused = true
	f.run(4 * time.Second)
	h.paused = false
	f.run(step)
	if h.w.Lease.Held {
		t.Error("the lease is held right after a pause, before it was read")
	}
	f.run(2 * time.Second)
	if !h.w.Lease.Held || h.w.Lease.Fencing != 1 {
		t.Errorf("the lease after it was read again is %+v, want held with the same number", h.w.Lease)
	}
}

// Guards against a lease that is held past its end, or taken over by a second host, while the platform is out.
func TestLeaseEndsWhilePlatformIsOut(t *testing.T) {
	f := newPlacedFleet(t, 3)
	f.run(10 * time.Second)
	f.lease.unreachable = true
	f.run(20 * time.Second)
	if f.holder() != nil {
		t.Error("a host holds the lease after the platform has been out for longer than the TTL")
	}
	f.lease.unreachable, f.lease.lostAnswers = false, 2
	if !f.until(40*time.Second, func() bool { return f.holder() != nil }) {
		t.Error("no host holds the lease 40 s after the platform is back")
	}
}

// Guards against an order that an engine without a fencing check carries out after the lease has ended.
func TestNoLateOrderWithoutFencingCheck(t *testing.T) {
	f := newPlacedFleet(t, 2)
	f.engines["runner-0-1"].ChecksFencing = true
	f.run(10 * time.Second)
	h := f.holder()
	f.lease.unreachable = true
	late := func() bool { return h.w.Lease.Until.Sub(f.now) < h.w.Limits.OrderTimeout-time.Second }
	f.until(20*time.Second, late)
	f.engines["runner-0-0"].Model, f.engines["runner-0-1"].Model = "other", "other"
	sent := len(h.orders)
	f.run(3 * time.Second)
	if orders := h.orders[sent:]; len(orders) != 1 || orders[0].Address != "runner-0-1" {
		t.Errorf("orders near the end of the lease = %+v, want one to the engine that checks the number", orders)
	}
}

// Guards against an order to an engine that may still be carrying out the previous one, because the answer to that
// one was lost.
func TestLostOrderAnswer(t *testing.T) {
	f := newPlacedFleet(t, 1)
	f.run(10 * time.Second)
	h := f.hosts[0]
	f.loseOrderAnswers = true
	f.engines["runner-0-0"].Model = "other"
	sent := len(h.orders)
	if !f.until(20*time.Second, func() bool { return len(h.orders) > sent }) {
		t.Fatal("no order")
	}
	c := f.change("version2", h.w.ConfigVersion)
	c.Configuration.Pipelines = []rocktable.PipelineConfig{c.Configuration.Pipelines[0]}
	c.Configuration.Pipelines[0].Placements = c.Configuration.Pipelines[0].Placements[:1]
	c.Configuration.Pipelines[0].Version = "2"
	h.put(c) // another placement does not end the order that is in progress
	f.run(h.w.Limits.OrderTimeout - time.Second)
	if n := len(h.orders) - sent; n != 1 {
		t.Errorf("got %d orders within the order timeout, want 1", n)
	}
	if !f.until(5*time.Second, func() bool { return len(h.orders) > sent+1 }) {
		t.Error("the lost order is not sent again")
	}
}

// Guards against a placement that waits for the order timeout of an order that was in progress when it arrived,
// although that order has ended.
func TestPlacementChangesUnderOrder(t *testing.T) {
	f := newPlacedFleet(t, 1)
	f.run(15 * time.Second)
	h := f.hosts[0]
	version := func(v string) {
		c := f.change("version"+v, h.w.ConfigVersion)
		c.Configuration.Pipelines = []rocktable.PipelineConfig{c.Configuration.Pipelines[0]}
		c.Configuration.Pipelines[0].Version = v
		h.put(c)
	}
	f.holdOrders = true
	sent := len(h.orders)
	version("2")
	if !f.until(5*time.Second, func() bool { return len(h.orders) == sent+2 }) {
		t.Fatal("no orders")
	}
	version("3")
	f.run(time.Second)
	f.holdOrders = false
	for _, o := range h.orders[sent:] {
		h.inbox.OrdersEnded = append(h.inbox.OrdersEnded, rocktable.OrderEnded{Server: o.Server, Fencing: o.Fencing, OK: true})
	}
	if !f.until(2*time.Second, func() bool { return f.engines["runner-0-0"].Version == "3" && f.engines["runner-0-1"].Version == "3" }) {
		t.Error("the engines do not receive the new placement within 2 s after the last order has ended")
	}
}
