package rockengine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"sassafrasrock/core/rocktable"
)

// Options are the limits of a client.
type Options struct {
	DialTimeout time.Duration
	PingAfter   time.Duration // silence of a connection after which it is pinged
	PingTimeout time.Duration // wait for the answer to a ping before the connection is closed with its calls
	MaxLine     int           // bytes of one message in either direction
	MaxMove     int           // bytes of the KV cache of one session
}

// Option changes the limits of a client.
type Option func(*Options)

// WithDialTimeout sets the longest wait for a connection.
func WithDialTimeout(d time.Duration) Option { return func(o *Options) { o.DialTimeout = d } }

// WithPing sets the silence after which a connection is pinged and the wait for the answer.
func WithPing(after, timeout time.Duration) Option {
	return func(o *Options) { o.PingAfter, o.PingTimeout = after, timeout }
}

// WithMaxLine sets the largest message, in bytes.
func WithMaxLine(n int) Option { return func(o *Options) { o.MaxLine = n } }

// DefaultOptions returns the limits of a client that is made without options.
func DefaultOptions() Options {
	return Options{
		DialTimeout: time.Second,
		// A silent connection ends after 2 s with its calls, within the first-token recovery of every rank.
		PingAfter:   time.Second,
		PingTimeout: time.Second,
		MaxLine:     4 << 20,
		MaxMove:     64 << 20,
	}
}

// idleFor ends connections that nothing uses, such as those that were replaced because they seemed silent and were not.
const idleFor = 30 * time.Second

// client holds the connections behind the fields of an Engine.
type client struct {
	options Options

	mu         sync.Mutex
	transports map[string]*http.Transport // by address; each is replaced when a session is resumed on a new connection
}

// New returns an Engine that uses HTTP/2 without TLS.
func New(options ...Option) *Engine {
	o := DefaultOptions()
	for _, option := range options {
		option(&o)
	}
	c := &client{options: o, transports: make(map[string]*http.Transport)}
	return &Engine{
		Open:        c.open,
		Status:      c.status,
		Order:       c.order,
		CacheEvents: c.cacheEvents,
		Export:      c.exportCache,
		Import:      c.importCache,
		Close:       c.closeIdle,
	}
}

func newTransport(o Options) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		DialContext: (&net.Dialer{Timeout: o.DialTimeout}).DialContext,
		Protocols:   protocols,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:  o.PingAfter,
			PingTimeout:      o.PingTimeout,
			WriteByteTimeout: o.PingAfter + o.PingTimeout,
		},
		DisableCompression: true,
		IdleConnTimeout:    idleFor,
	}
}

// transport returns the connections that new calls to an address use.
func (c *client) transport(address string) *http.Transport {
	return c.renew(address, nil)
}

// renew replaces the connections to an address if they are still those that lost a session, so that many sessions on one lost connection share one new connection.
func (c *client) renew(address string, lost *http.Transport) *http.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.transports[address] == lost {
		c.transports[address] = newTransport(c.options)
	}
	return c.transports[address]
}

func (c *client) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.transports {
		t.CloseIdleConnections()
	}
}

// traceState records how far a request got; the transport writes it from several goroutines.
type traceState struct {
	connected atomic.Bool
	wrote     atomic.Int64 // Unix time in ns
	answered  atomic.Int64 // Unix time in ns
}

// withTrace returns a context that records the progress of one request.
func withTrace(ctx context.Context) (context.Context, *traceState) {
	t := new(traceState)
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:              func(httptrace.GotConnInfo) { t.connected.Store(true) },
		WroteRequest:         func(httptrace.WroteRequestInfo) { t.wrote.Store(time.Now().UnixNano()) },
		GotFirstResponseByte: func() { t.answered.Store(time.Now().UnixNano()) },
	}), t
}

// classify adds ErrUnreachable or ErrLost to an error of the transport.
func (t *traceState) classify(err error) error {
	if t.connected.Load() {
		return fmt.Errorf("%w: %w", ErrLost, err)
	}
	return fmt.Errorf("%w: %w", ErrUnreachable, err)
}

// roundTrip returns the time from the end of the request to the first byte of the answer.
func (t *traceState) roundTrip() time.Duration {
	return max(0, time.Duration(t.answered.Load()-t.wrote.Load()))
}

// call sends one request and decodes a JSON answer of at most limit bytes.
func call[Q, R any](ctx context.Context, c *client, method, address, path string, q *Q, limit int) (R, time.Duration, error) {
	return callOver[Q, R](ctx, c.transport(address), method, address, path, q, limit)
}

func callOver[Q, R any](ctx context.Context, transport *http.Transport, method, address, path string, q *Q, limit int) (R, time.Duration, error) {
	var reply R
	ctx, trace := withTrace(ctx)
	var body io.Reader
	if q != nil {
		data, err := json.Marshal(q)
		if err != nil {
			return reply, 0, err
		}
		if len(data) > limit {
			return reply, 0, fmt.Errorf("%w: %d bytes, at most %d", ErrTooLarge, len(data), limit)
		}
		// Hiding the reader's type leaves GetBody unset, so that the transport cannot send the body twice.
		body = io.MultiReader(bytes.NewReader(data))
	}
	req, err := http.NewRequestWithContext(ctx, method, target(address, path), body)
	if err != nil {
		return reply, 0, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return reply, 0, trace.classify(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, int64(limit)+1))
	switch {
	case err != nil:
		return reply, 0, fmt.Errorf("%w: %w", ErrLost, err)
	case len(data) > limit:
		return reply, 0, fmt.Errorf("%w: the answer has more than %d bytes", ErrLost, limit)
	case resp.StatusCode != http.StatusOK:
		return reply, 0, fmt.Errorf("%w: status %d: %.200s", ErrNotStarted, resp.StatusCode, data)
	}
	if err := json.Unmarshal(data, &reply); err != nil {
		return reply, 0, fmt.Errorf("%w: %w", ErrLost, err)
	}
	return reply, trace.roundTrip(), nil
}

func target(address, path string) string { return "http://" + address + path }

// status replaces the connections to an engine after a failure: one that went silent fails several calls before its ping
// limit closes it, and must not make the engine count as down.
func (c *client) status(ctx context.Context, address string) (rocktable.EngineStatus, time.Duration, error) {
	transport := c.transport(address)
	reply, roundTrip, err := callOver[struct{}, rocktable.EngineStatus](ctx, transport, http.MethodGet, address, "/v1/status", nil, c.options.MaxLine)
	if err != nil {
		c.renew(address, transport)
	}
	return reply, roundTrip, err
}

func (c *client) order(ctx context.Context, address string, req OrderRequest) (OrderReply, error) {
	reply, _, err := call[OrderRequest, OrderReply](ctx, c, http.MethodPost, address, "/v1/orders", &req, c.options.MaxLine)
	return reply, err
}

func (c *client) cacheEvents(ctx context.Context, address string, after uint64) (CacheEvents, error) {
	path := "/v1/cacheEvents?" + url.Values{"after": {strconv.FormatUint(after, 10)}}.Encode()
	reply, _, err := call[struct{}, CacheEvents](ctx, c, http.MethodGet, address, path, nil, c.options.MaxLine)
	return reply, err
}

func (c *client) exportCache(ctx context.Context, address string, m Move) (Move, error) {
	reply, _, err := call[Move, Move](ctx, c, http.MethodPost, address, "/v1/kv/export", &m, c.options.MaxMove)
	return reply, err
}

func (c *client) importCache(ctx context.Context, address string, m Move) error {
	_, _, err := call[Move, struct{}](ctx, c, http.MethodPost, address, "/v1/kv/import", &m, c.options.MaxMove)
	return err
}
