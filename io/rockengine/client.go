package rockengine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
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
	"sassafrasrock/io/rockmemory"
	"sassafrasrock/io/rockresponse"
)

// Options holds the limits of a client.
type Options struct {
	DialTimeout      time.Duration
	PingAfterSilence time.Duration
	PingTimeout      time.Duration       // wait for the answer to a ping; then the connection is closed and its requests fail
	MaxLineBytes     int                 // of one message in either direction
	MaxCacheBytes    int                 // of one message with the KV cache of a session
	MaxStatusBytes   int                 // of a status
	MaxHeadBytes     int64               // of the head of a response
	Memory           *rockmemory.Account // counts the lines of sessions; nil means no limit but MaxLineBytes
}

// Option changes the limits of a client.
type Option func(*Options)

// WithDialTimeout sets the longest wait for a new connection.
func WithDialTimeout(d time.Duration) Option { return func(o *Options) { o.DialTimeout = d } }

// WithPing sets the silence after which a connection is pinged and the longest wait for the answer.
func WithPing(after, timeout time.Duration) Option {
	return func(o *Options) { o.PingAfterSilence, o.PingTimeout = after, timeout }
}

// WithMemory sets Options.Memory.
func WithMemory(a *rockmemory.Account) Option { return func(o *Options) { o.Memory = a } }

// WithMaxLineBytes sets the largest message, in bytes.
func WithMaxLineBytes(n int) Option { return func(o *Options) { o.MaxLineBytes = n } }

// DefaultOptions returns the limits of a client that is created without options.
func DefaultOptions() Options {
	return Options{
		DialTimeout: time.Second,
		// A silent connection is closed after 2 s, which leaves time to recover within the
		// first-token target of every rank.
		PingAfterSilence: time.Second,
		PingTimeout:      time.Second,
		MaxLineBytes:     4 << 20,
		MaxCacheBytes:    64 << 20,
		MaxStatusBytes:   64 << 10,
		MaxHeadBytes:     64 << 10,
	}
}

// idleTimeout is the time after which unused connections are closed, such as those that were
// replaced because they seemed silent but were not.
const idleTimeout = 30 * time.Second

// client implements the functions of an Engine over HTTP/2.
type client struct {
	options Options

	mu         sync.Mutex
	transports map[string]*rockresponse.Transport // by address; replaced when a session is resumed or a status request failed
}

// New returns an Engine that uses HTTP/2 without TLS.
func New(options ...Option) *Engine {
	o := DefaultOptions()
	for _, option := range options {
		option(&o)
	}
	c := &client{options: o, transports: make(map[string]*rockresponse.Transport)}
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

func newTransport(o Options) *rockresponse.Transport {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return rockresponse.New(&http.Transport{
		DialContext: (&net.Dialer{Timeout: o.DialTimeout}).DialContext,
		Protocols:   protocols,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:  o.PingAfterSilence,
			PingTimeout:      o.PingTimeout,
			WriteByteTimeout: o.PingAfterSilence + o.PingTimeout,
		},
		DisableCompression:     true,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: o.MaxHeadBytes,
	})
}

// transport returns the transport for new requests to an address, creating it if there is none.
func (c *client) transport(address string) *rockresponse.Transport {
	return c.replaceTransport(address, nil)
}

// replaceTransport replaces the transport for an address, unless it is no longer the one that failed, and returns the
// current one. Many sessions on one lost connection thereby share one new connection.
func (c *client) replaceTransport(address string, failed *rockresponse.Transport) *rockresponse.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.transports[address] == failed {
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

// traceState records the progress of a request. The transport updates it from several goroutines.
type traceState struct {
	connectedAt atomic.Int64 // Unix time in ns; 0 without a connection
	answeredAt  atomic.Int64 // Unix time in ns
}

// withTrace returns a context that records the progress of one request in the returned state.
func withTrace(ctx context.Context) (context.Context, *traceState) {
	t := new(traceState)
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:              func(httptrace.GotConnInfo) { t.connectedAt.Store(time.Now().UnixNano()) },
		GotFirstResponseByte: func() { t.answeredAt.Store(time.Now().UnixNano()) },
	}), t
}

// classify wraps an error of the transport in ErrLost if there was a connection, and in ErrUnreachable otherwise.
func (t *traceState) classify(err error) error {
	if t.connectedAt.Load() != 0 {
		return fmt.Errorf("%w: %w", ErrLost, err)
	}
	return fmt.Errorf("%w: %w", ErrUnreachable, err)
}

// roundTrip returns the time from the connection's readiness to the first byte of the answer. The transport reports
// the end of a request in its own goroutine, which may be later than the answer.
func (t *traceState) roundTrip() time.Duration {
	return max(0, time.Duration(t.answeredAt.Load()-t.connectedAt.Load()))
}

// doJSON sends one request and decodes a JSON answer of at most limit bytes.
func doJSON[Q, R any](ctx context.Context, c *client, method, address, path string, q *Q, limit int) (R, time.Duration, error) {
	return doJSONWith[Q, R](ctx, c.transport(address), method, address, path, q, limit)
}

func doJSONWith[Q, R any](ctx context.Context, transport *rockresponse.Transport, method, address, path string, q *Q, limit int) (R, time.Duration, error) {
	var reply R
	ctx, trace := withTrace(ctx)
	var body io.Reader
	if q != nil {
		data, err := json.Marshal(q)
		if err != nil {
			return reply, 0, err
		}
		if len(data) > limit {
			return reply, 0, fmt.Errorf("%w: %d bytes, want at most %d", ErrTooLarge, len(data), limit)
		}
		// Hiding the type of the reader leaves GetBody unset, which keeps the transport from sending the body twice.
		body = io.MultiReader(bytes.NewReader(data))
	}
	req, err := http.NewRequestWithContext(ctx, method, targetURL(address, path), body)
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
		return reply, 0, fmt.Errorf("%w: answer larger than %d bytes", ErrLost, limit)
	case resp.StatusCode != http.StatusOK:
		return reply, 0, fmt.Errorf("%w: %w: %.200s", ErrNotStarted, statusError(resp.StatusCode), data)
	}
	if err := json.Unmarshal(data, &reply); err != nil {
		return reply, 0, fmt.Errorf("%w: %w", ErrLost, err)
	}
	return reply, trace.roundTrip(), nil
}

// statusError is an HTTP status that is not 200.
type statusError int

func (e statusError) Error() string { return "status " + strconv.Itoa(int(e)) }

// IsUnknownPath reports whether an HTTP status says that a server does not know the path or the method of a request. An
// engine in trouble answers with others.
func IsUnknownPath(status int) bool {
	return status == http.StatusNotFound || status == http.StatusMethodNotAllowed || status == http.StatusNotImplemented
}

func targetURL(address, path string) string { return "http://" + address + path }

// status reads an engine's status. After a failure it replaces the transport: a silent connection
// fails several requests before the ping closes it, and would make a live engine count as down.
func (c *client) status(ctx context.Context, address string) (rocktable.EngineStatus, time.Duration, error) {
	transport := c.transport(address)
	reply, roundTrip, err := doJSONWith[struct{}, rocktable.EngineStatus](ctx, transport, http.MethodGet, address, "/v1/status", nil, c.options.MaxStatusBytes)
	if err != nil {
		c.replaceTransport(address, transport)
	}
	if status := statusError(0); errors.As(err, &status) && IsUnknownPath(int(status)) {
		err = fmt.Errorf("%w: %w", ErrNoEngine, err)
	}
	return reply, roundTrip, err
}

func (c *client) order(ctx context.Context, address string, req OrderRequest) (OrderReply, error) {
	reply, _, err := doJSON[OrderRequest, OrderReply](ctx, c, http.MethodPost, address, "/v1/orders", &req, c.options.MaxLineBytes)
	return reply, err
}

func (c *client) cacheEvents(ctx context.Context, address string, after uint64) (CacheEvents, error) {
	path := "/v1/cacheEvents?" + url.Values{"after": {strconv.FormatUint(after, 10)}}.Encode()
	reply, _, err := doJSON[struct{}, CacheEvents](ctx, c, http.MethodGet, address, path, nil, c.options.MaxLineBytes)
	return reply, err
}

func (c *client) exportCache(ctx context.Context, address string, m CacheTransfer) (CacheTransfer, error) {
	reply, _, err := doJSON[CacheTransfer, CacheTransfer](ctx, c, http.MethodPost, address, "/v1/kv/export", &m, c.options.MaxCacheBytes)
	return reply, err
}

func (c *client) importCache(ctx context.Context, address string, m CacheTransfer) error {
	_, _, err := doJSON[CacheTransfer, struct{}](ctx, c, http.MethodPost, address, "/v1/kv/import", &m, c.options.MaxCacheBytes)
	return err
}
