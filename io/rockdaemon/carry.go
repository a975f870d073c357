package rockdaemon

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/rotisserie/eris"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockengine"
	"sassafrasrock/io/rockplatform"
)

const (
	probeTimeout = time.Second
	tableTimeout = 2 * time.Second
	peerTimeout  = 2 * time.Second
)

// The tables of the platform's table service.
const (
	configTable = "configuration"
	leaseTable  = "leases"
	claimTable  = "claims"
)

func newID() string { return rand.Text() }

// carry hands the actions of a tick to goroutines; it runs on the control thread and does not block.
func (d *Daemon) carry(_ time.Time, out rocktable.Outbox) {
	d.metrics.CountAll(out.Counts)
	d.metrics.ObserveAnswers(out.Answers)
	if d.relay != nil {
		d.relay.Carry(out)
	}
	d.traffic.Carry(out)
	for range out.ListReads {
		go d.readHosts()
	}
	for _, p := range out.Probes {
		go d.probe(p)
	}
	for _, s := range out.PeerSends {
		go d.sendToPeer(s)
	}
	for _, o := range out.Orders {
		go d.order(o)
	}
	for _, op := range out.ConfigOps {
		go runTable(d, configTable, op, func(in *rocktable.Inbox) *[]rocktable.TableResult[rocktable.ConfigRow] { return &in.ConfigResults })
	}
	for _, op := range out.LeaseOps {
		go runTable(d, leaseTable, op, func(in *rocktable.Inbox) *[]rocktable.TableResult[rocktable.LeaseRow] { return &in.LeaseResults })
	}
	for _, op := range out.ClaimOps {
		go runTable(d, claimTable, op, func(in *rocktable.Inbox) *[]rocktable.TableResult[rocktable.ClaimRow] { return &in.ClaimResults })
	}
	if out.ShutdownDone {
		d.once.Do(func() { close(d.drained) })
	}
}

// runTable runs one operation on the table service and posts its end.
func runTable[T any](d *Daemon, table string, op rocktable.TableOp[T], results func(in *rocktable.Inbox) *[]rocktable.TableResult[T]) {
	ctx, cancel := context.WithTimeout(context.Background(), tableTimeout)
	defer cancel()
	result := rockplatform.Do(ctx, d.platform, table, op)
	d.control.Post(func(in *rocktable.Inbox) {
		list := results(in)
		*list = append(*list, result)
	})
}

func (d *Daemon) readHosts() {
	ctx, cancel := context.WithTimeout(context.Background(), tableTimeout)
	defer cancel()
	entries, err := d.platform.Hosts(ctx)
	d.control.Post(func(in *rocktable.Inbox) {
		in.HostLists = append(in.HostLists, rocktable.HostList{OK: err == nil, Entries: entries})
	})
}

func (d *Daemon) probe(p rocktable.Probe) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	result := rocktable.ProbeResult{Server: p.Server}
	var err error
	if p.Role == rocktable.RoleModel {
		result.Status, result.RoundTrip, err = d.engine.Status(ctx, p.Address)
	} else {
		result.Status, result.RoundTrip, err = d.probeService(ctx, p.Address)
	}
	result.OK = err == nil
	d.control.Post(func(in *rocktable.Inbox) { in.Probes = append(in.Probes, result) })
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

// order sends an order, unless the lease under which it was decided is nearly over by now. Once sent it has its whole time,
// because an engine goes on with an order whose sender has given up.
func (d *Daemon) order(o rocktable.OrderSend) {
	end := rocktable.OrderEnded{Server: o.Server, Fencing: o.Fencing}
	if time.Now().Before(o.Until) {
		end.OK, end.Refused = d.sendOrder(o)
	}
	d.control.Post(func(in *rocktable.Inbox) { in.OrdersEnded = append(in.OrdersEnded, end) })
}

// sendOrder sends an order and reports whether the engine took it, and whether it refused it for its fencing number.
func (d *Daemon) sendOrder(o rocktable.OrderSend) (ok, refused bool) {
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Limits.Table().OrderTimeout)
	defer cancel()
	expects, err := d.ordersBefore(ctx, o)
	if err != nil {
		d.log.Info("order not sent", "backendServer", o.Name, "error", err.Error())
		return false, false
	}
	reply, err := d.engine.Order(ctx, o.Address, rockengine.OrderRequest{
		Order: "load", Model: o.Placement.Model, Version: o.Placement.Version,
		FirstLayer: o.Placement.FirstLayer, LastLayer: o.Placement.LastLayer, Adapter: o.Placement.Adapter, Fencing: o.Fencing,
		Server: o.Name, Expects: expects,
	})
	ok, refused = err == nil && reply.OK, err == nil && reply.Fenced
	d.log.Info("order sent", "backendServer", o.Name, "firstLayer", o.Placement.FirstLayer, "lastLayer", o.Placement.LastLayer,
		"fencing", o.Fencing, "expects", expects, "ok", ok, "reply", reply.Text, "error", err)
	return ok, refused
}

// errRestarted says that another process has taken the place of the engine that an order was meant for.
var errRestarted = eris.New("the engine has started again")

// ordersBefore returns the number of orders that an engine has accepted. An engine that compares it refuses an order that was
// decided on before another one, also when it arrives late.
func (d *Daemon) ordersBefore(ctx context.Context, o rocktable.OrderSend) (uint64, error) {
	if d.relay == nil {
		return 0, nil // engines of single stages compare fencing numbers
	}
	status, _, err := d.engine.Status(ctx, o.Address)
	if err == nil && status.Incarnation != o.Incarnation {
		err = errRestarted
	}
	return status.Sequence, err
}
