package rockdaemon

import (
	"context"
	"crypto/rand"
	"errors"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"sassafrasrock/core/rockstream"
	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockengine"
	"sassafrasrock/io/rockguard"
	"sassafrasrock/io/rockliveness"
	"sassafrasrock/io/rockplatform"
)

const (
	probeTimeout    = time.Second
	platformTimeout = 2 * time.Second
	peerTimeout     = 2 * time.Second
	// crashCheckTimeout is short because requests wait for the answer. A process that has crashed refuses at once.
	crashCheckTimeout = 300 * time.Millisecond
)

// The tables of the platform's table service.
const (
	configTable = "configuration"
	leaseTable  = "leases"
	claimTable  = "claims"
	partsTable  = "parts"
)

// errPanicked is the error of an operation that ended by a panic.
var errPanicked = eris.New("operation panicked")

func newID() string { return rand.Text() }

// dispatch starts the actions of a tick in goroutines. It runs on the control thread and does not
// block.
func (d *Daemon) dispatch(_ time.Time, out rocktable.Outbox) {
	d.metrics.CountAll(out.Counts)
	d.metrics.ObserveAnswers(out.Answers)
	d.exchanges.Dispatch(out)
	for range out.ListReads {
		go d.readHostList()
	}
	for _, r := range out.TableReads {
		go d.readTable(r)
	}
	d.tableChanges.add(out.TableChanges)
	for _, p := range out.Probes {
		go d.probe(p)
	}
	for _, q := range out.CrashChecks {
		go d.checkCrash(q)
	}
	for _, s := range out.PeerSends {
		go d.guard().Do(func() { d.sendToPeer(s) })
	}
	for _, o := range out.Orders {
		go d.runOrder(o)
	}
	for _, op := range out.ConfigOps {
		go runTableOp(d, configTable, op, func(in *rocktable.Inbox) *[]rocktable.TableResult[rocktable.ConfigRow] { return &in.ConfigResults })
	}
	for _, op := range out.LeaseOps {
		go runTableOp(d, leaseTable, op, func(in *rocktable.Inbox) *[]rocktable.TableResult[rocktable.LeaseRow] { return &in.LeaseResults })
	}
	for _, op := range out.ClaimOps {
		go runTableOp(d, claimTable, op, func(in *rocktable.Inbox) *[]rocktable.TableResult[rocktable.ClaimRow] { return &in.ClaimResults })
	}
	for _, op := range out.PartOps {
		go runTableOp(d, partsTable, op, func(in *rocktable.Inbox) *[]rocktable.TableResult[rocktable.PartsRow] { return &in.PartResults })
	}
	if out.Closing {
		d.close()
	}
	if out.ShutdownDone {
		d.drainedOnce.Do(func() { close(d.drained) })
	}
}

// runTableOp runs one operation on the table service and posts its result.
func runTableOp[T any](d *Daemon, table string, op rocktable.TableOp[T], results func(in *rocktable.Inbox) *[]rocktable.TableResult[T]) {
	ctx, cancel := context.WithTimeout(context.Background(), platformTimeout)
	defer cancel()
	result := rocktable.TableResult[T]{Op: op.Op, Key: op.Key, Write: op.Write, Status: rocktable.TableOutcomeUnknown}
	d.guard().Do(func() { result = rockplatform.Do(ctx, d.platform, table, op) }, "table", table)
	d.control.Post(func(in *rocktable.Inbox) {
		list := results(in)
		*list = append(*list, result)
	})
}

func (d *Daemon) guard() rockguard.Guard { return rockguard.Guard{Log: d.log, Count: d.metrics.Count} }

func (d *Daemon) readHostList() {
	ctx, cancel := context.WithTimeout(context.Background(), platformTimeout)
	defer cancel()
	var entries []rocktable.ListedHost
	err := errPanicked
	d.guard().Do(func() { entries, err = d.platform.Hosts(ctx) })
	d.control.Post(func(in *rocktable.Inbox) {
		in.HostLists = append(in.HostLists, rocktable.HostList{OK: err == nil, Entries: entries})
	})
}

func (d *Daemon) probe(p rocktable.Probe) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	result := rocktable.ProbeResult{Server: p.Server}
	err := errPanicked
	d.guard().Do(func() {
		if p.Role == rocktable.RoleModel {
			result.Status, result.RoundTrip, err = d.engine.Status(ctx, p.Address)
			return
		}
		result.Status, result.RoundTrip, err = d.probeService(ctx, p.Address)
	})
	result.OK = err == nil
	d.control.Post(func(in *rocktable.Inbox) { in.Probes = append(in.Probes, result) })
}

// checkCrash asks a backend server whether the process that worked for this host still runs.
func (d *Daemon) checkCrash(q rocktable.CrashQuestion) {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	var process rockstream.Process
	err := errPanicked
	d.guard().Do(func() { process, err = d.findProcess(ctx, q) })
	answer := rocktable.CrashAnswer{Server: q.Server, Gone: process.Gone || errors.Is(err, syscall.ECONNREFUSED), Incarnation: process.Incarnation}
	d.log.Info("backend server checked for a crash", "address", q.Address, "gone", answer.Gone, "incarnation", answer.Incarnation, "error", err)
	d.control.Post(func(in *rocktable.Inbox) { in.CrashChecks = append(in.CrashChecks, answer) })
}

// findProcess returns the process of a backend server. Engines tell their incarnation in their status. An application is
// only connected to: it may take any request for a call.
func (d *Daemon) findProcess(ctx context.Context, q rocktable.CrashQuestion) (rockstream.Process, error) {
	if q.Role == rocktable.RoleApplication {
		return rockliveness.Find(ctx, func(ctx context.Context) (rockstream.Process, error) { return rockliveness.Connect(ctx, q.Address) })
	}
	status, _, err := d.engine.Status(ctx, q.Address)
	return rockstream.Process{Incarnation: status.Incarnation}, err
}

func (d *Daemon) probeService(ctx context.Context, address string) (rocktable.EngineStatus, time.Duration, error) {
	begin := time.Now()
	health, err := d.service.Probe(ctx, address)
	return rocktable.EngineStatus{State: health.State, Incarnation: health.Incarnation}, time.Since(begin), err
}

func (d *Daemon) sendToPeer(s rocktable.PeerSend) {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	if err := d.peer.Send(ctx, s.Address, s.Message); err != nil {
		d.control.Post(func(in *rocktable.Inbox) {
			in.PeerFailures = append(in.PeerFailures, rocktable.PeerFailure{Host: s.Host})
		})
	}
}

// runOrder sends an order, unless the time o.Until has passed. The lease under which the order was
// decided does not permit sending it later. A sent order gets the full order timeout even if the
// lease ends first, because an engine continues an order whose sender has given up.
func (d *Daemon) runOrder(o rocktable.OrderSend) {
	end := rocktable.OrderEnded{Server: o.Server, Fencing: o.Fencing}
	if time.Now().Before(o.Until) {
		d.guard().Do(func() { d.sendOrder(o, &end) }, "backendServer", o.Name)
	}
	d.control.Post(func(in *rocktable.Inbox) { in.OrdersEnded = append(in.OrdersEnded, end) })
}

// sendOrder sends an order and reports its end.
func (d *Daemon) sendOrder(o rocktable.OrderSend, end *rocktable.OrderEnded) {
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Limits.WithDefaults().OrderTimeout)
	defer cancel()
	expects, err := d.acceptedOrders(ctx, o)
	if err != nil {
		end.Foreign = errors.Is(err, rockengine.ErrNoEngine)
		d.log.Info("order not sent", "backendServer", o.Name, "foreign", end.Foreign, "error", err.Error())
		return
	}
	reply, err := d.engine.Order(ctx, o.Address, rockengine.OrderRequest{
		Order: "load", Model: o.Placement.Model, Version: o.Placement.Version,
		FirstLayer: o.Placement.FirstLayer, LastLayer: o.Placement.LastLayer, Adapter: o.Placement.Adapter, Fencing: o.Fencing,
		ServerName: o.Name, AcceptedOrders: expects,
	})
	end.OK, end.Refused = err == nil && reply.OK, err == nil && reply.Fenced
	d.log.Info("order sent", "backendServer", o.Name, "firstLayer", o.Placement.FirstLayer, "lastLayer", o.Placement.LastLayer,
		"fencing", o.Fencing, "expects", expects, "ok", end.OK, "reply", reply.Text, "error", err)
}

// errEngineRestarted reports that the engine has restarted since the order was decided.
var errEngineRestarted = eris.New("engine has restarted since the order was decided")

// acceptedOrders returns the number of orders that an engine has accepted. An engine that compares
// this number with the one in an order refuses a late order if it has accepted another one since.
func (d *Daemon) acceptedOrders(ctx context.Context, o rocktable.OrderSend) (uint64, error) {
	if d.relay == nil {
		return 0, nil // engines of single stages compare fencing numbers
	}
	status, _, err := d.engine.Status(ctx, o.Address)
	if err == nil && status.Incarnation != o.Incarnation {
		err = errEngineRestarted
	}
	return status.Sequence, err
}
