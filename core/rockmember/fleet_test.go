package rockmember_test

import (
	"fmt"
	"testing"
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
	"sassafrasrock/core/rocktick"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

const step = 50 * time.Millisecond

// rows is a stand-in for one table of the table service.
type rows[T any] struct {
	rows        map[string]rocktable.TableResult[T]
	unreachable bool // operations do not reach it
	lostAnswers int  // answers to writes that are lost after the write took effect
	lostWrites  int  // writes that are lost before they took effect
	version     uint64
}

func (s *rows[T]) do(op rocktable.TableOp[T]) rocktable.TableResult[T] {
	if s.unreachable {
		return rocktable.TableResult[T]{Op: op.Op, Key: op.Key, Write: op.Write, Status: rocktable.TableUnavailable}
	}
	if op.Write && s.lostWrites > 0 {
		s.lostWrites--
		return rocktable.TableResult[T]{Op: op.Op, Key: op.Key, Write: true, Status: rocktable.TableOutcomeUnknown}
	}
	r := s.rows[op.Key]
	r.Op, r.Key, r.Write = op.Op, op.Key, op.Write
	if !op.Write {
		return r
	}
	if r.Version != op.Expected {
		r.Status = rocktable.TableConflict
		return r
	}
	if s.rows == nil {
		s.rows = make(map[string]rocktable.TableResult[T])
	}
	s.version++
	r.Found, r.Version, r.Row = true, s.version, op.Row
	s.rows[op.Key] = r
	if s.lostAnswers > 0 {
		s.lostAnswers--
		return rocktable.TableResult[T]{Op: op.Op, Key: op.Key, Write: true, Status: rocktable.TableOutcomeUnknown}
	}
	return r
}

// host is one World of a fleet.
type host struct {
	w       *rocktable.World
	name    string
	dc      string
	paused  bool
	stopped bool
	inbox   rocktable.Inbox // events for the next step
	answers map[rocktable.RequestID]rocktable.Answer
	ends    []rocktable.ConfigEnd
	orders  []rocktable.OrderSend
	calls   []rocktable.CallStart
	done    bool
}

// fleet connects several Worlds in memory.
type fleet struct {
	t                *testing.T
	now              time.Time
	hosts            []*host
	byName           map[string]*host
	config           rows[rocktable.ConfigRow]
	lease            rows[rocktable.LeaseRow]
	claims           rows[rocktable.ClaimRow]
	list             []rocktable.ListedHost
	listOut          bool
	listReads        int
	engines          map[string]*rocktable.EngineStatus
	cut              func(a, b *host) bool
	receivedOrders   []string // by engines: name/fencing
	loseOrderAnswers bool     // engines receive orders, but their answers are lost
	holdOrders       bool     // engines receive orders, but never end them
}

// newFleet returns a fleet of dcs data centres, each with the given numbers of hosts and of backend servers for models,
// and two backend servers for applications.
func newFleet(t *testing.T, dcs, hosts, runners int) *fleet {
	f := &fleet{
		t: t, now: start, byName: make(map[string]*host), engines: make(map[string]*rocktable.EngineStatus),
		cut: func(_, _ *host) bool { return false },
	}
	cfg := rocktable.Configuration{
		Ranks:    []rocktable.RankConfig{{Name: "urgent", FirstTokenMs: 1000, GapMs: 100, Worth: 1}},
		Callers:  []rocktable.CallerConfig{{Name: "guild", TokensPerSecond: 1000}},
		Services: []rocktable.ServiceConfig{{Name: "ledger", Servers: []string{"app-1", "app-2"}, TimeoutMs: 5000}},
	}
	f.config.do(rocktable.TableOp[rocktable.ConfigRow]{
		Key: "configuration", Write: true, Row: rocktable.ConfigRow{ChangeID: "first", Configuration: cfg},
	})
	for dc := range dcs {
		name := fmt.Sprintf("dc-%d", dc)
		for i := range runners {
			f.addServer(fmt.Sprintf("runner-%d-%d", dc, i), name, "model")
		}
		for i := range hosts {
			f.addHost(fmt.Sprintf("entry-%d-%d", dc, i), name, 1)
		}
	}
	f.addServer("app-1", "dc-0", "application")
	f.addServer("app-2", "dc-0", "application")
	return f
}

func (f *fleet) addServer(name, dc, role string) {
	f.engines[name] = &rocktable.EngineStatus{Name: name, Kind: "k1", Slots: 4, Incarnation: 1, State: "live"}
	f.list = append(f.list, rocktable.ListedHost{Name: name, Role: role, Address: name, DataCentre: dc, Region: "r", State: "live"})
}

// addHost starts a host, or restarts it with a higher incarnation.
func (f *fleet) addHost(name, dc string, incarnation uint64) *host {
	h := f.byName[name]
	if h == nil {
		h = &host{name: name, dc: dc}
		f.byName[name] = h
		f.hosts = append(f.hosts, h)
		f.list = append(f.list, rocktable.ListedHost{Name: name, Role: "entry", Address: name, DataCentre: dc, Region: "r", State: "live"})
	}
	seed := incarnation*1000 + uint64(len(f.hosts))
	h.w = rocktable.NewWorld(f.now, rocktable.Host{Name: name, Address: name}, rocktable.DataCentre{Name: dc, Region: "r"},
		incarnation, rocktable.WithSeed(seed))
	h.inbox, h.stopped = rocktable.Inbox{}, false
	h.answers = make(map[rocktable.RequestID]rocktable.Answer)
	return h
}

func (f *fleet) entry(name string) *rocktable.ListedHost {
	for i := range f.list {
		if f.list[i].Name == name {
			return &f.list[i]
		}
	}
	f.t.Fatalf("no list entry %s", name)
	return nil
}

// run advances the fleet by a duration.
func (f *fleet) run(d time.Duration) {
	f.t.Helper()
	f.until(d, func() bool { return false })
}

// until advances the fleet until the condition holds, and reports whether it did within the duration.
func (f *fleet) until(d time.Duration, done func() bool) bool {
	f.t.Helper()
	for end := f.now.Add(d); f.now.Before(end); {
		if done() {
			return true
		}
		f.now = f.now.Add(step)
		for _, h := range f.hosts {
			f.tick(h)
		}
	}
	return done()
}

func (f *fleet) tick(h *host) {
	f.t.Helper()
	if h.stopped || h.paused {
		return
	}
	h.w.Inbox, h.inbox = h.inbox, rocktable.Inbox{}
	result := rocktick.Run(f.now, h.w)
	for _, v := range result.Violations {
		f.t.Errorf("%s: invariant %s: %v", h.name, v.Invariant, v.Err)
	}
	f.deliver(h, result.Outbox)
}

func (f *fleet) deliver(h *host, out rocktable.Outbox) {
	in := &h.inbox
	for _, s := range out.PeerSends {
		if to := f.byName[s.Address]; to != nil && !to.stopped && !f.cut(h, to) {
			to.inbox.Peers = append(to.inbox.Peers, s.Message)
		}
	}
	for _, op := range out.ConfigOps {
		in.ConfigResults = append(in.ConfigResults, f.config.do(op))
	}
	for _, op := range out.LeaseOps {
		in.LeaseResults = append(in.LeaseResults, f.lease.do(op))
	}
	for _, op := range out.ClaimOps {
		in.ClaimResults = append(in.ClaimResults, f.claims.do(op))
	}
	for range out.ListReads {
		f.listReads++
		in.HostLists = append(in.HostLists, rocktable.HostList{OK: !f.listOut, Entries: append([]rocktable.ListedHost(nil), f.list...)})
	}
	for _, p := range out.Probes {
		e := f.engines[p.Address]
		result := rocktable.ProbeResult{Server: p.Server, OK: e != nil}
		if e != nil {
			result.Status = *e
		}
		in.Probes = append(in.Probes, result)
	}
	h.orders = append(h.orders, out.Orders...)
	for _, o := range out.Orders {
		f.receivedOrders = append(f.receivedOrders, fmt.Sprintf("%s/%d", o.Address, o.Fencing))
		if f.loseOrderAnswers {
			in.OrdersEnded = append(in.OrdersEnded, rocktable.OrderEnded{Server: o.Server, Fencing: o.Fencing})
		}
		if f.loseOrderAnswers || f.holdOrders {
			continue
		}
		e := f.engines[o.Address]
		e.Model, e.Version, e.FirstLayer, e.LastLayer = o.Placement.Model, o.Placement.Version, o.Placement.FirstLayer, o.Placement.LastLayer
		in.OrdersEnded = append(in.OrdersEnded, rocktable.OrderEnded{Server: o.Server, Fencing: o.Fencing, OK: true})
	}
	for _, a := range out.Answers {
		h.answers[a.Request] = a
	}
	h.calls = append(h.calls, out.CallStarts...)
	h.ends = append(h.ends, out.ConfigEnds...)
	h.done = h.done || out.ShutdownDone
}

// state returns the state of a backend server as this host knows it.
func (h *host) state(server string) rocktable.State {
	if s := h.w.ServerNamed(server); s != nil {
		return s.State
	}
	return rocktable.StateUnknown
}

func (f *fleet) all(check func(h *host) bool) bool {
	for _, h := range f.hosts {
		if !h.stopped && !check(h) {
			return false
		}
	}
	return true
}

// call sends a non-idempotent call to a host.
func (f *fleet) call(h *host, id rocktable.RequestID, key string, digest uint64) {
	h.inbox.Arrivals = append(h.inbox.Arrivals, rocktable.Arrival{Request: rocktable.Request{
		ID: id, Caller: h.w.CallerNamed("guild").ID, ArrivedAt: f.now,
		Call: &rocktable.Call{Service: h.w.InternService("ledger").ID, Method: "POST", IdempotencyKey: key, Digest: digest},
	}})
}

func (h *host) reason(id rocktable.RequestID) rockreason.Code { return h.answers[id].Reason }
