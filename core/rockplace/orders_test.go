package rockplace

import (
	"strings"
	"testing"
	"time"

	"sassafrasrock/core/rocklease"
	"sassafrasrock/core/rocktable"
)

const (
	loadTime  = 3 * time.Second        // from an accepted order until the layers are loaded
	reportLag = 200 * time.Millisecond // of reports behind the engines
	graceTime = 4 * time.Second        // from the report that an engine leaves until it ends
)

// testEngine is a model of an engine. It refuses an order while another one is in progress, and serves the layers that it
// keeps until the new ones are loaded.
type testEngine struct {
	held, next        layerRange
	busyUntil, goneAt time.Time
	accepted, refused int
}

// orderTrial runs the planner, the orders and the engines of a data centre in virtual time.
type orderTrial struct {
	cfg     rocktable.PipelineConfig
	w       *rocktable.World
	now     time.Time
	engines map[rocktable.BackendServerID]*testEngine
	due     []func(now time.Time) bool // reports on the way
	gap     time.Duration              // sum over the layers of the time without a holder
}

// newOrderTrial returns a data centre that has started and gets requests.
func newOrderTrial(counts map[string]int) *orderTrial {
	tr := &orderTrial{cfg: pipelineConfig(), now: start, engines: make(map[rocktable.BackendServerID]*testEngine)}
	tr.w = planner(tr.cfg, counts)
	tr.w.ConfigVersion, tr.w.Lease.Fencing, tr.w.Lease.Until = 1, 1, start.Add(time.Hour)
	for id, s := range tr.w.Servers.All() {
		s.StatusAt, s.Status.ChecksFencing, tr.engines[id] = start, true, &testEngine{}
	}
	tr.run(8 * time.Second)
	tr.w.PlanState.RequestsArrived, tr.gap = true, 0
	return tr
}

func (tr *orderTrial) join(kind, name string) {
	s := addServer(tr.w, tr.cfg, kind, name)
	s.StatusAt, s.Status.ChecksFencing, tr.engines[s.ID] = tr.now, true, &testEngine{}
}

func (tr *orderTrial) leave(name string) {
	s := tr.w.ServerNamed(name)
	s.State, s.ListedLeaving, s.LeavingSince = rocktable.StateLeaving, true, tr.now
	tr.engines[s.ID].goneAt = tr.now.Add(graceTime)
}

func (tr *orderTrial) report(id rocktable.BackendServerID, held layerRange) {
	at := tr.now.Add(reportLag)
	tr.due = append(tr.due, func(now time.Time) bool {
		if now.Before(at) {
			return false
		}
		s := tr.w.Servers.Get(id)
		s.Status.Model, s.Status.FirstLayer, s.Status.LastLayer = "", 0, -1
		if held.to > held.from {
			s.Status.Model, s.Status.FirstLayer, s.Status.LastLayer = tr.cfg.Model, held.from, held.to-1
		}
		return true
	})
}

func (tr *orderTrial) order(o rocktable.OrderSend) {
	e := tr.engines[o.Server]
	end := rocktable.OrderEnded{Server: o.Server, Fencing: o.Fencing}
	if e.busyUntil.IsZero() {
		end.OK = true
		e.accepted, e.busyUntil, e.next = e.accepted+1, tr.now.Add(loadTime), layerRange{o.Placement.FirstLayer, o.Placement.LastLayer + 1}
		e.held = layerRange{max(e.held.from, e.next.from), min(e.held.to, e.next.to)}
		tr.report(o.Server, e.held)
	} else {
		e.refused++
	}
	tr.w.Inbox.OrdersEnded = append(tr.w.Inbox.OrdersEnded, end)
}

func (tr *orderTrial) run(d time.Duration) {
	const step = 50 * time.Millisecond
	for end := tr.now.Add(d); tr.now.Before(end); {
		tr.now = tr.now.Add(step)
		for len(tr.due) > 0 && tr.due[0](tr.now) {
			tr.due = tr.due[1:]
		}
		holders := make([]int, tr.cfg.Layers)
		for id, e := range tr.engines {
			if !e.busyUntil.IsZero() && !tr.now.Before(e.busyUntil) {
				e.held, e.busyUntil = e.next, time.Time{}
				tr.report(id, e.held)
			}
			for l := e.held.from; l < e.held.to && (e.goneAt.IsZero() || tr.now.Before(e.goneAt)); l++ {
				holders[l]++
			}
		}
		for _, n := range holders {
			if n == 0 {
				tr.gap += step
			}
		}
		run(tr.now, tr.w)
		rocklease.System.Run(tr.now, tr.w)
		tr.w.Inbox = rocktable.Inbox{}
		for _, o := range tr.w.Outbox.Orders {
			tr.order(o)
		}
		tr.w.Outbox = rocktable.Outbox{}
	}
}

// Guards against orders to engines that still carry out the last one, because the plan changes with each departure and
// arrival, and against layers without a holder until they may be ordered again.
func TestReleaseHasNoRefusedOrder(t *testing.T) {
	for name, c := range map[string]struct {
		leaving string
		orders  int
	}{"calm start": {"", 15}, "four replaced": {"middle-1 middle-3 middle-5 slow-1", 25}} {
		tr := newOrderTrial(map[string]int{"fast": 1, "middle": 10, "slow": 4})
		for _, server := range strings.Fields(c.leaving) {
			tr.leave(server)
			tr.run(1500 * time.Millisecond)
			tr.join(server[:len(server)-2], "new-"+server)
			tr.run(500 * time.Millisecond)
		}
		tr.run(30 * time.Second)
		accepted, refused := 0, 0
		for _, e := range tr.engines {
			accepted, refused = accepted+e.accepted, refused+e.refused
		}
		if refused > 0 || tr.gap > 0 || accepted > c.orders {
			t.Errorf("%s: %d orders accepted and %d refused, layers without a holder for %s; want at most %d, 0 and 0", name, accepted, refused, tr.gap, c.orders)
		}
	}
}

// Guards against a holder of the lease that orders an engine to hold other layers than the order in flight does, which is
// its predecessor's or its own from before a pause, because the engine reports none while it loads them.
func TestOrderInFlightIsKept(t *testing.T) {
	for name, successor := range map[string]bool{"successor": true, "same holder after a pause": false} {
		tr := newOrderTrial(map[string]int{"fast": 1, "middle": 10, "slow": 4})
		tr.leave("middle-3")
		tr.run(500 * time.Millisecond)
		var moved *testEngine
		for _, e := range tr.engines {
			if !e.busyUntil.IsZero() {
				moved = e
			}
		}
		if moved == nil {
			t.Fatal("no engine was ordered to take the layers of the leaving one")
		}
		accepted, layers, refusals := moved.accepted, moved.next, 0
		tr.w.Plan = rocktable.Table[rocktable.BackendServerID, rocktable.Placement]{}
		if successor {
			tr.w.Orders, refusals = rocktable.Table[rocktable.BackendServerID, rocktable.Order]{}, 1
			tr.w.Lease.Fencing++
		}
		tr.run(20 * time.Second)
		if moved.accepted != accepted || moved.held != layers || moved.refused > refusals {
			t.Errorf("%s: the engine accepted %d further orders, refused %d and holds %+v; want 0, at most %d and %+v",
				name, moved.accepted-accepted, moved.refused, moved.held, refusals, layers)
		}
	}
}

// Guards against a backend server that joins where there is room, while the requests wait for layers whose holders are
// full.
func TestJoinedServerTakesTheFullestLayers(t *testing.T) {
	tr := newOrderTrial(map[string]int{"fast": 1, "middle": 10, "slow": 4})
	full := tr.w.ServerNamed("middle-7")
	full.PeerReservedMemory = 1e12
	tr.join("middle", "joined")
	tr.run(time.Second)
	p := tr.w.Plan.Get(tr.w.ServerNamed("joined").ID)
	if p == nil || p.LastLayer < full.Status.FirstLayer || p.FirstLayer > full.Status.LastLayer {
		t.Errorf("the joined backend server gets %+v, want layers of %d to %d", p, full.Status.FirstLayer, full.Status.LastLayer)
	}
}
