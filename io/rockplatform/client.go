package rockplatform

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
	"strings"
	"sync/atomic"
	"time"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockmemory"
	"sassafrasrock/io/rockresponse"
)

// Options are the limits of a client.
type Options struct {
	DialTimeout  time.Duration
	CallTimeout  time.Duration       // of one operation; an earlier deadline of its context takes precedence
	MaxBodyBytes int                 // of a response
	MaxHeadBytes int64               // of a response, with its interim responses
	Memory       *rockmemory.Account // counts the bodies of responses; nil means no limit but MaxBodyBytes
}

// Option changes the limits of a client.
type Option func(*Options)

// WithCallTimeout sets Options.CallTimeout.
func WithCallTimeout(d time.Duration) Option { return func(o *Options) { o.CallTimeout = d } }

// WithDialTimeout sets Options.DialTimeout.
func WithDialTimeout(d time.Duration) Option { return func(o *Options) { o.DialTimeout = d } }

// WithMemory sets Options.Memory.
func WithMemory(a *rockmemory.Account) Option { return func(o *Options) { o.Memory = a } }

// DefaultOptions returns the limits of a client that is created without options.
func DefaultOptions() Options {
	return Options{DialTimeout: time.Second, CallTimeout: 5 * time.Second, MaxBodyBytes: 8 << 20, MaxHeadBytes: 64 << 10}
}

// client implements the function fields of a Platform.
type client struct {
	base      string
	options   Options
	transport *rockresponse.Transport
}

// New returns a Platform whose function fields send requests to the URL.
func New(url string, options ...Option) *Platform {
	o := DefaultOptions()
	for _, option := range options {
		option(&o)
	}
	c := &client{
		base:    strings.TrimSuffix(url, "/"),
		options: o,
		transport: rockresponse.New(&http.Transport{
			DialContext:            (&net.Dialer{Timeout: o.DialTimeout}).DialContext,
			MaxIdleConnsPerHost:    8,
			IdleConnTimeout:        30 * time.Second,
			MaxResponseHeaderBytes: o.MaxHeadBytes,
		}),
	}
	return &Platform{
		Hosts:     c.hosts,
		Get:       c.get,
		Put:       c.put,
		GetObject: c.getObject,
		PutObject: c.putObject,
		Close:     c.transport.CloseIdleConnections,
	}
}

// response is a complete HTTP response.
type response struct {
	status int
	body   []byte
}

// call sends one request. A write that was assigned a connection but received no complete response
// fails with ErrOutcomeUnknown, since the service may have executed it. Other failures are ErrUnavailable.
func (c *client) call(ctx context.Context, method, path string, body []byte) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	var gotConn atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// net/http retries a write only if none of it was sent, so each retry resets gotConn.
		GetConn: func(string) { gotConn.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { gotConn.Store(true) },
	})
	wrapError := func(err error) error {
		if ctx.Err() != nil {
			// If one connection stops responding, the idle ones usually have too, and each would let
			// another operation time out.
			c.transport.CloseIdleConnections()
		}
		if gotConn.Load() && method != http.MethodGet {
			return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
		}
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return response{}, wrapError(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return response{}, wrapError(err)
	}
	defer resp.Body.Close()
	held := c.options.Memory.Open()
	defer held.Close()
	reader := rockmemory.Reader{Source: io.LimitReader(resp.Body, int64(c.options.MaxBodyBytes)+1), Held: held}
	data, err := reader.ReadAll(-1)
	if err != nil {
		return response{}, wrapError(err)
	}
	if len(data) > c.options.MaxBodyBytes {
		return response{}, wrapError(fmt.Errorf("response body longer than %d bytes", c.options.MaxBodyBytes))
	}
	return response{status: resp.StatusCode, body: data}, statusError(resp.StatusCode, data, wrapError)
}

// statusError returns nil for the statuses that operations handle themselves, and an error for all others.
func statusError(status int, body []byte, wrapError func(error) error) error {
	switch {
	case status == http.StatusOK, status == http.StatusNotFound, status == http.StatusConflict:
		return nil
	case status == http.StatusServiceUnavailable, status < http.StatusInternalServerError:
		// With these statuses the service reports that it did not execute the operation.
		return fmt.Errorf("%w: status %d: %.200s", ErrUnavailable, status, body)
	default:
		return wrapError(fmt.Errorf("status %d: %.200s", status, body))
	}
}

func (c *client) hosts(ctx context.Context) ([]rocktable.ListedHost, error) {
	resp, err := c.call(ctx, http.MethodGet, "/v1/hosts", nil)
	if err != nil {
		return nil, err
	}
	if resp.status != http.StatusOK {
		return nil, fmt.Errorf("%w: status %d", ErrUnavailable, resp.status)
	}
	var list HostList
	if err := json.Unmarshal(resp.body, &list); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return list.Hosts, nil
}

func rowPath(table, key string) string {
	return "/v1/tables/" + url.PathEscape(table) + "/" + url.PathEscape(key)
}

func (c *client) get(ctx context.Context, table, key string) (Row, error) {
	resp, err := c.call(ctx, http.MethodGet, rowPath(table, key), nil)
	if err != nil || resp.status == http.StatusNotFound {
		return Row{}, err
	}
	var row Row
	if err := json.Unmarshal(resp.body, &row); err != nil {
		return Row{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return row, nil
}

func (c *client) put(ctx context.Context, table, key string, req PutRequest) (Row, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return Row{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	resp, err := c.call(ctx, http.MethodPut, rowPath(table, key), body)
	if err != nil {
		return Row{}, err
	}
	if resp.status == http.StatusNotFound {
		return Row{}, fmt.Errorf("%w: status %d", ErrUnavailable, resp.status)
	}
	var row Row
	err = json.Unmarshal(resp.body, &row)
	switch {
	case resp.status == http.StatusConflict:
		return row, ErrConflict
	case err != nil:
		return Row{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	case row.Version <= req.ExpectedVersion:
		return Row{}, fmt.Errorf("%w: version %d after %d", ErrOutcomeUnknown, row.Version, req.ExpectedVersion)
	}
	row.Value = req.Value
	return row, nil
}

func (c *client) getObject(ctx context.Context, name string) ([]byte, error) {
	resp, err := c.call(ctx, http.MethodGet, "/v1/objects/"+url.PathEscape(name), nil)
	if err != nil {
		return nil, err
	}
	if resp.status != http.StatusOK {
		return nil, fmt.Errorf("%w: %s", ErrNotFound, name)
	}
	return resp.body, nil
}

func (c *client) putObject(ctx context.Context, name string, body []byte) error {
	resp, err := c.call(ctx, http.MethodPut, "/v1/objects/"+url.PathEscape(name), body)
	if err == nil && resp.status != http.StatusOK {
		err = fmt.Errorf("%w: status %d", ErrUnavailable, resp.status)
	}
	return err
}

// Do executes an operation on a table whose rows have type T and returns its result.
func Do[T any](ctx context.Context, p *Platform, table string, op rocktable.TableOp[T]) rocktable.TableResult[T] {
	result := rocktable.TableResult[T]{Op: op.Op, Key: op.Key, Write: op.Write}
	row, err := runOp(ctx, p, table, op)
	result.Status = StatusOf(err)
	if result.Status != rocktable.TableOK && result.Status != rocktable.TableConflict {
		return result
	}
	result.Era, result.Version, result.Found = row.Era, row.Version, row.Version != 0
	if !result.Found || len(row.Value) == 0 {
		return result
	}
	if err := json.Unmarshal(row.Value, &result.Row); err != nil && !op.Write {
		// A row that does not decode exists, so it must not be reported as not found.
		return rocktable.TableResult[T]{Op: op.Op, Key: op.Key, Status: rocktable.TableUnavailable}
	}
	return result
}

func runOp[T any](ctx context.Context, p *Platform, table string, op rocktable.TableOp[T]) (Row, error) {
	if !op.Write {
		return p.Get(ctx, table, op.Key)
	}
	value, err := json.Marshal(op.Row)
	if err != nil {
		return Row{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return p.Put(ctx, table, op.Key, PutRequest{Value: value, ExpectedVersion: op.Expected})
}

// StatusOf returns the status of a table operation that ended with an error of Platform.Get or Platform.Put.
func StatusOf(err error) rocktable.TableStatus {
	switch {
	case err == nil:
		return rocktable.TableOK
	case errors.Is(err, ErrConflict):
		return rocktable.TableConflict
	case errors.Is(err, ErrUnavailable):
		return rocktable.TableUnavailable
	default:
		return rocktable.TableOutcomeUnknown
	}
}
