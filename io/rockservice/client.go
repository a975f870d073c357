package rockservice

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"sassafrasrock/core/rockstream"
	"sassafrasrock/io/rockliveness"
	"sassafrasrock/io/rockmemory"
	"sassafrasrock/io/rockresponse"
	"sassafrasrock/io/rocktarget"
)

var errServerEnded = eris.New("answer ended with the process of its backend server")

// The headers that carry Call.IdempotencyKey and Call.AttemptID.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderAttempt        = "Sassafrasrock-Attempt"
)

// maxHealthBytes limits the answer to a probe.
const maxHealthBytes = 64 << 10

// Options holds the limits of a client.
type Options struct {
	DialTimeout  time.Duration
	MaxBodyBytes int   // largest body of an answer that is accepted
	MaxHeadBytes int64 // largest head of an answer that is accepted, with its interim responses
}

// Option changes Options in New.
type Option func(*Options)

// WithDialTimeout sets the time limit for opening a connection.
func WithDialTimeout(d time.Duration) Option { return func(o *Options) { o.DialTimeout = d } }

// DefaultOptions returns the limits of a client for which New gets no options.
func DefaultOptions() Options {
	return Options{DialTimeout: time.Second, MaxBodyBytes: 16 << 20, MaxHeadBytes: 64 << 10}
}

// client implements the functions of a Client.
type client struct {
	options   Options
	transport *rockresponse.Transport
}

// New returns a Client that uses HTTP/1.1.
func New(options ...Option) *Client {
	o := DefaultOptions()
	for _, option := range options {
		option(&o)
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	c := &client{options: o, transport: rockresponse.New(&http.Transport{
		DialContext: rocktarget.DialContext((&net.Dialer{Timeout: o.DialTimeout}).DialContext),
		Protocols:   protocols,
		// net/http retries a request with an Idempotency-Key header when a reused connection breaks, so
		// connections are not reused.
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: o.MaxHeadBytes,
	})}
	return &Client{Do: c.do, Probe: c.probe}
}

func (c *client) do(ctx context.Context, address string, call Call) (Reply, error) {
	return c.send(ctx, address, call, c.options.MaxBodyBytes)
}

// send sends a call and reads an answer of at most maxBodyBytes.
func (c *client) send(ctx context.Context, address string, call Call, maxBodyBytes int) (Reply, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	fail := func(err error) error {
		if connected.Load() {
			return fmt.Errorf("%w: %w", ErrLost, err)
		}
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	req, err := newRequest(ctx, address, call)
	if err != nil {
		return Reply{}, fail(err)
	}
	// RoundTrip does not follow redirects: a redirected request would be a second call.
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return Reply{}, fail(err)
	}
	defer resp.Body.Close()
	if resp.ContentLength > int64(maxBodyBytes) {
		return Reply{}, fail(fmt.Errorf("%w: more than %d bytes", ErrTooLarge, maxBodyBytes))
	}
	reader := rockmemory.Reader{Source: io.LimitReader(resp.Body, int64(maxBodyBytes)+1), Held: call.Held, Prepaid: call.Prepaid}
	body, err := reader.ReadAll(bodyLength(resp))
	if err != nil {
		return Reply{}, fail(err)
	}
	if len(body) > maxBodyBytes {
		return Reply{}, fail(fmt.Errorf("%w: more than %d bytes", ErrTooLarge, maxBodyBytes))
	}
	if rockresponse.EndsWithConnection(resp) {
		if err := confirmEnd(ctx, address); err != nil {
			return Reply{}, fail(err)
		}
	}
	return Reply{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}

// confirmEnd returns an error if the process at an address has ended, so that an answer that ended with its connection may
// be cut off.
func confirmEnd(ctx context.Context, address string) error {
	process, err := rockliveness.Find(ctx, func(ctx context.Context) (rockstream.Process, error) {
		return rockliveness.Connect(ctx, address)
	})
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case err == nil && rockstream.IsCutOff(0, process):
		return errServerEnded
	}
	return nil // a backend server that is silent may be sound
}

// bodyLength returns the length of an answer's body, or -1 if it is not known.
func bodyLength(resp *http.Response) int64 {
	if resp.Body == http.NoBody {
		return 0 // the answer to a HEAD request declares the length that a GET request would get
	}
	return resp.ContentLength
}

func newRequest(ctx context.Context, address string, call Call) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	if req, err = rocktarget.Set(req, call.Path); err != nil {
		return nil, err
	}
	// Without GetBody the transport cannot send the body a second time.
	req.GetBody = nil
	for header, value := range map[string]string{"Content-Type": call.ContentType, HeaderIdempotencyKey: call.IdempotencyKey, HeaderAttempt: call.AttemptID} {
		if value != "" {
			req.Header.Set(header, value)
		}
	}
	return req, nil
}

func (c *client) probe(ctx context.Context, address string) (Health, error) {
	var health Health
	reply, err := c.send(ctx, address, Call{Method: http.MethodGet, Path: "/healthz"}, maxHealthBytes)
	if err != nil {
		return health, err
	}
	if reply.Status != http.StatusOK {
		return health, fmt.Errorf("%w: status %d", ErrLost, reply.Status)
	}
	if err := json.Unmarshal(reply.Body, &health); err != nil {
		return health, fmt.Errorf("%w: %w", ErrLost, err)
	}
	return health, nil
}
