package rockdaemon

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockcontrol"
	"sassafrasrock/io/rockengine"
	"sassafrasrock/io/rockexchange"
	"sassafrasrock/io/rockhttp"
	"sassafrasrock/io/rockmemory"
	"sassafrasrock/io/rockmetric"
	"sassafrasrock/io/rockoperator"
	"sassafrasrock/io/rockpeer"
	"sassafrasrock/io/rockplatform"
	"sassafrasrock/io/rockrelay"
	"sassafrasrock/io/rockservice"
	"sassafrasrock/io/rocksettings"
	"sassafrasrock/io/rocktraffic"
)

// answerTimeout limits the wait for callers to receive their last answers during a graceful
// shutdown.
const answerTimeout = 30 * time.Second

// stopReasonTimeout limits the wait for interrupted requests to be answered with the reason of the
// stop. An immediate stop must not take longer.
const stopReasonTimeout = 300 * time.Millisecond

// exitReserve is the time before the end of the grace at which the process ends by itself.
const exitReserve = 150 * time.Millisecond

// ErrNoPeerTLS reports settings without the certificate files of the peer protocol.
var ErrNoPeerTLS = eris.New("no certificate for the peer protocol")

// Daemon is the process of one entry host.
type Daemon struct {
	CallersAddress   string // as bound
	OperatorsAddress string // as bound
	PeersAddress     string // as bound

	settings        rocksettings.Daemon
	log             *slog.Logger
	control         *rockcontrol.Control
	exchanges       *rockexchange.Table
	traffic         *rocktraffic.Traffic
	metrics         *rockmetric.Metrics
	memory          *rockmemory.Account // of callers' requests and their answers
	controlMemory   *rockmemory.Account // of the host's own work
	platform        *rockplatform.Platform
	engine          *rockengine.Engine
	service         *rockservice.Client
	relay           *rockrelay.Relay             // nil unless engines run the full path
	callersFront    func(d *Daemon) CallersFront // nil for the product's own interface
	refuseHead      func(w http.ResponseWriter, code rockreason.Code)
	tasks           []func(ctx context.Context, d *Daemon)
	tableDecoder    TableDecoder // of the followed tables; nil unless the platform pushes them
	tableChanges    *tableChanges
	peer            *rockpeer.Peer
	callersServer   *http.Server
	operatorsServer *rockoperator.Server

	callersListener   net.Listener
	operatorsListener net.Listener

	drained     chan struct{} // closed when a graceful shutdown has no request left
	drainedOnce sync.Once
	closing     context.Context // ends when new requests are refused
	close       context.CancelFunc
}

// Option configures a Daemon in New.
type Option func(*Daemon)

// WithLogger sets the logger; without it, nothing is logged.
func WithLogger(log *slog.Logger) Option { return func(d *Daemon) { d.log = log } }

// WithPlatform replaces the client of the platform.
func WithPlatform(p *rockplatform.Platform) Option { return func(d *Daemon) { d.platform = p } }

// WithEngine replaces the client of model engines.
func WithEngine(e *rockengine.Engine) Option { return func(d *Daemon) { d.engine = e } }

// WithService replaces the client of application and plain services.
func WithService(s *rockservice.Client) Option { return func(d *Daemon) { d.service = s } }

// WithRelay makes the daemon serve requests over engines that run the full path, which means all
// stages. The function fields Open, FetchWaiting, FetchProcess and Move have to be set; the daemon sets the others.
func WithRelay(r *rockrelay.Relay) Option { return func(d *Daemon) { d.relay = r } }

// CallersFront serves callers' requests. Its fields must be safe for concurrent use.
type CallersFront struct {
	Handler http.Handler
	// RefuseHead refuses a request before the end of its head.
	RefuseHead func(w http.ResponseWriter, code rockreason.Code)
}

// WithCallersFront replaces the product's own interface for callers.
func WithCallersFront(front func(d *Daemon) CallersFront) Option {
	return func(d *Daemon) { d.callersFront = front }
}

// WithTableDecoder sets the decoder of the followed tables.
func WithTableDecoder(decode TableDecoder) Option { return func(d *Daemon) { d.tableDecoder = decode } }

// WithTask adds a function that runs in a goroutine until the daemon stops.
func WithTask(task func(ctx context.Context, d *Daemon)) Option {
	return func(d *Daemon) { d.tasks = append(d.tasks, task) }
}

// Relay returns the relay that WithRelay set, or nil.
func (d *Daemon) Relay() *rockrelay.Relay { return d.relay }

// Closing returns a context that ends when the host refuses new requests.
func (d *Daemon) Closing() context.Context { return d.closing }

// Snapshot returns the latest snapshot of the control state.
func (d *Daemon) Snapshot() *rocktable.Snapshot { return d.control.Snapshot() }

// Status returns a copy of the control state. The error is that of the context, or
// rockcontrol.ErrStopped.
func (d *Daemon) Status(ctx context.Context) (*rocktable.Status, error) { return d.control.Status(ctx) }

// Memory returns the account of the bytes that the host holds.
func (d *Daemon) Memory() *rockmemory.Account { return d.memory }

// ControlMemory returns the account of the bytes that the host holds for its own work.
func (d *Daemon) ControlMemory() *rockmemory.Account { return d.controlMemory }

// Count increments the counter of a reason.
func (d *Daemon) Count(code rockreason.Code) { d.metrics.Count(code) }

// CountStoreCall counts a call to the platform's store by table and kind, for instance "read" or "write".
func (d *Daemon) CountStoreCall(table, kind string) { d.metrics.CountStoreCall(table, kind) }

// Post lets fill add events to the inbox of the next tick.
func (d *Daemon) Post(fill func(in *rocktable.Inbox)) { d.control.Post(fill) }

// New binds the addresses of a daemon. Requests are served when Run is called.
func New(settings rocksettings.Daemon, options ...Option) (*Daemon, error) {
	if settings.PeerTLS == nil {
		return nil, eris.Wrap(ErrNoPeerTLS, "peerTls")
	}
	trust, err := rockpeer.LoadTrust(settings.PeerTLS.CertFile, settings.PeerTLS.KeyFile, settings.PeerTLS.CAFile)
	if err != nil {
		return nil, err
	}
	return NewWithTrust(settings, trust, options...)
}

// NewWithTrust is like New, with the certificates given by trust instead of the settings.
func NewWithTrust(settings rocksettings.Daemon, trust rockpeer.Trust, options ...Option) (*Daemon, error) {
	memory := rockmemory.New(rockmemory.AccountLimit(processBytes(settings)))
	controlMemory := rockmemory.New(rockmemory.ControlLimit(processBytes(settings)))
	d := &Daemon{
		settings: settings,
		log:      slog.New(slog.DiscardHandler),
		platform: rockplatform.New(settings.PlatformURL, rockplatform.WithMemory(controlMemory)),
		engine:   rockengine.New(rockengine.WithMemory(memory)),
		service:  rockservice.New(),
		metrics:  rockmetric.New(settings.Host),
		memory:   memory,

		controlMemory: controlMemory,

		drained: make(chan struct{}),

		tableChanges: newTableChanges(),
	}
	d.closing, d.close = context.WithCancel(context.Background())
	for _, option := range options {
		option(d)
	}
	if err := d.bind(trust); err != nil {
		return nil, errors.Join(err, d.closeListeners())
	}
	d.connect()
	return d, nil
}

func (d *Daemon) bind(trust rockpeer.Trust) error {
	var err error
	if d.callersListener, err = net.Listen("tcp", d.settings.CallersAddress); err != nil {
		return eris.Wrap(err, "callersAddress")
	}
	if d.operatorsListener, err = net.Listen("tcp", d.settings.OperatorsAddress); err != nil {
		return eris.Wrap(err, "operatorsAddress")
	}
	d.peer, err = rockpeer.New(rockpeer.Settings{ListenAddress: d.settings.PeersAddress, Trust: trust})
	if err != nil {
		return eris.Wrap(err, "peersAddress")
	}
	d.CallersAddress = d.callersListener.Addr().String()
	d.OperatorsAddress = d.operatorsListener.Addr().String()
	d.PeersAddress = d.peer.Address
	return nil
}

func (d *Daemon) closeListeners() error {
	var errs []error
	for _, l := range []net.Listener{d.callersListener, d.operatorsListener} {
		if l != nil {
			errs = append(errs, l.Close())
		}
	}
	return errors.Join(errs...)
}

// connect creates the control thread and connects it with the servers and the clients.
func (d *Daemon) connect() {
	now := time.Now()
	// The start time in ms increases with each restart of a host. Incarnations of different hosts
	// are never compared.
	incarnation := uint64(now.UnixMilli())
	w := rocktable.NewWorld(now,
		rocktable.Host{Name: d.settings.Host, Address: cmp.Or(d.settings.PeersAdvertisedAddress, d.PeersAddress)},
		rocktable.DataCentre{Name: d.settings.DataCentre, Region: d.settings.Region},
		incarnation, rocktable.WithLimits(tableLimits(d.settings)), rocktable.WithSeedPeers(d.settings.SeedPeers...))
	d.control = rockcontrol.New(w, rockcontrol.WithDispatcher(d.dispatch), rockcontrol.WithLogger(d.log))
	d.exchanges = &rockexchange.Table{Post: d.control.Post, NextRequestID: d.control.NextRequestID, Stopped: d.control.Done()}
	d.traffic = &rocktraffic.Traffic{
		Exchanges:       d.exchanges,
		HostIncarnation: d.settings.Host + "/" + strconv.FormatUint(incarnation, 10),
		Engine:          d.engine,
		Service:         d.service,
		PostLater:       d.control.PostLater,
		Count:           d.metrics.Count,
		Now:             time.Now,
		Log:             d.log,
	}
	if d.relay != nil {
		d.relay.Exchanges, d.relay.Snapshot, d.relay.Memory = d.exchanges, d.control.Snapshot, d.memory
		d.relay.ObserveRequest = d.metrics.ObserveRequest
		d.relay.Count, d.relay.Now, d.relay.Log = d.metrics.Count, time.Now, d.log
	}
	d.metrics.RegisterSnapshotGauges(d.control.Snapshot)
	d.metrics.RegisterGauge("heldBytes", d.memory.Used)
	d.metrics.RegisterGauge("heldControlBytes", d.controlMemory.Used)
	d.peer.CountRejected = d.metrics.Count
	d.peer.Memory = d.controlMemory
	d.peer.Receive = func(m rocktable.PeerMessage) {
		// The wait keeps a host that sends faster than the control thread works from filling the inbox.
		d.control.PostAndWait(func(in *rocktable.Inbox) { in.Peers = append(in.Peers, m) })
	}
	server := &rockhttp.Server{
		Snapshot: d.control.Snapshot, Chat: d.traffic.Chat, Call: d.traffic.Call,
		Status: d.control.Status, Count: d.metrics.Count, BodyLimitBytes: d.settings.MaxBodyBytes(), Memory: d.memory, Closing: d.closing,
	}
	d.callersServer = server.HTTPServer()
	d.refuseHead = server.RefuseHead
	if d.callersFront != nil {
		front := d.callersFront(d)
		d.callersServer.Handler, d.refuseHead = front.Handler, front.RefuseHead
	}
}

// Run serves until the context ends, then shuts down gracefully: it returns when the last request
// has ended or stopNow is closed. It also returns when a server fails.
func (d *Daemon) Run(ctx context.Context, stopNow <-chan struct{}) error {
	access, err := rockoperator.LoadAccess(d.settings)
	if err != nil {
		return errors.Join(err, d.closeListeners())
	}
	d.operatorsServer = d.newOperators(access)

	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	failed := make(chan error, 4)
	var wg sync.WaitGroup
	wg.Go(func() {
		if err := d.control.Run(running); err != nil {
			failed <- err
		}
	})
	wg.Go(func() { failed <- d.peer.Run(running) })
	wg.Go(func() { failed <- d.operatorsServer.Serve(running, d.operatorsListener) })
	if d.settings.MetricsAddress != "" {
		mux := http.NewServeMux()
		mux.Handle("GET /metrics", d.metrics.Handler())
		stopMetrics, err := d.ServeOn("metricsAddress", d.settings.MetricsAddress, mux)
		if err != nil {
			return errors.Join(err, d.closeListeners())
		}
		defer stopMetrics()
	}
	if d.tableDecoder != nil {
		wg.Go(func() { d.decodeTableChanges(running) })
	}
	for _, task := range d.tasks {
		wg.Go(func() { task(running, d) })
	}
	connections := &rockhttp.Connections{
		Limits: func() rocktable.RequestLimits { return d.control.Snapshot().Config.RequestLimits }, Memory: d.memory,
		RefuseHead: d.refuseHead, MaxOpen: rockmemory.ConnectionLimit(rockmemory.Descriptors()),
	}
	listener := connections.Watch(d.callersServer, d.callersListener)
	go func() { failed <- d.callersServer.Serve(listener) }()
	d.log.Info("daemon started", "host", d.settings.Host, "callers", d.CallersAddress, "operators", d.OperatorsAddress, "peers", d.PeersAddress)

	select {
	case err = <-failed:
	case <-ctx.Done():
		d.gracefulStop(stopNow)
	}
	stop()
	wg.Wait()
	d.sendStopReasons()
	err = errors.Join(err, ignoreClosed(d.callersServer.Close()))
	d.log.Info("daemon stopped", "host", d.settings.Host)
	return err
}

// ServeOn serves a handler on a separate address until stop is called. The field is the name of
// the setting that holds the address, for errors and log lines.
func (d *Daemon) ServeOn(field, address string, handler http.Handler) (stop func(), err error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, field)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	go func() {
		if err := ignoreClosed(server.Serve(l)); err != nil {
			d.log.Error("HTTP server of a separate address failed", "setting", field, "error", err.Error())
		}
	}()
	return func() { _ = server.Close() }, nil
}

// gracefulStop waits until every request has ended and every caller has received its answer, or
// until stopNow is closed.
func (d *Daemon) gracefulStop(stopNow <-chan struct{}) {
	d.control.Post(func(in *rocktable.Inbox) { in.Shutdowns = append(in.Shutdowns, rocktable.Shutdown{}) })
	select {
	case <-d.drained:
	case <-d.control.Done(): // it panicked
		return
	case <-stopNow:
		return
	}
	ctx, cancel := d.withinGrace(answerTimeout)
	defer cancel()
	go func() {
		select {
		case <-stopNow:
			cancel()
		case <-ctx.Done():
		}
	}()
	if err := d.callersServer.Shutdown(ctx); err != nil {
		d.log.Warn("graceful shutdown timed out before all callers received their answers", "error", err)
	}
}

// withinGrace returns a context that ends after the timeout, or earlier if the process would be ended from outside.
func (d *Daemon) withinGrace(timeout time.Duration) (context.Context, context.CancelFunc) {
	end := time.Now().Add(timeout)
	if graceEnd := d.Snapshot().GraceEnd; !graceEnd.IsZero() && graceEnd.Add(-exitReserve).Before(end) {
		end = graceEnd.Add(-exitReserve)
	}
	return context.WithDeadline(context.Background(), end)
}

// sendStopReasons waits until the requests that the end of the control thread interrupted are
// answered with the reason of the stop, for at most stopReasonTimeout.
func (d *Daemon) sendStopReasons() {
	ctx, cancel := d.withinGrace(stopReasonTimeout)
	defer cancel()
	if err := d.callersServer.Shutdown(ctx); err != nil {
		d.log.Warn("daemon stopped before all callers received the reason of the stop", "error", err)
	}
}

func (d *Daemon) newOperators(access rockoperator.Access) *rockoperator.Server {
	return &rockoperator.Server{
		Access:   access,
		Snapshot: d.control.Snapshot,
		Status:   d.control.Status,
		Change:   d.control.Change,
		Drain: func(drain rocktable.Drain) {
			d.control.Post(func(in *rocktable.Inbox) { in.Drains = append(in.Drains, drain) })
		},
		Reset: func(reset rocktable.Reset) {
			d.control.Post(func(in *rocktable.Inbox) { in.Resets = append(in.Resets, reset) })
		},
		Count:       d.metrics.Count,
		Now:         time.Now,
		NewChangeID: newID,
	}
}

// tableLimits returns the limits of the control state.
func tableLimits(settings rocksettings.Daemon) rocktable.Limits {
	limits := settings.Limits.WithDefaults()
	limits.OutcomeBytes = rockmemory.OutcomeLimit(processBytes(settings))
	return limits
}

// processBytes returns the memory that the process may use, in bytes.
func processBytes(settings rocksettings.Daemon) int64 {
	return rockmemory.ProcessBytes(int64(settings.Limits.MemoryMB * (1 << 20)))
}

func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
