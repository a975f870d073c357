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
)

// Options are the limits of a client.
type Options struct {
	DialTimeout time.Duration
	CallTimeout time.Duration // of one operation, if the context ends no earlier
	MaxBody     int           // bytes of an answer
}

// Option changes the limits of a client.
type Option func(*Options)

// WithCallTimeout sets the longest wait for one operation.
func WithCallTimeout(d time.Duration) Option { return func(o *Options) { o.CallTimeout = d } }

// WithDialTimeout sets the longest wait for a connection.
func WithDialTimeout(d time.Duration) Option { return func(o *Options) { o.DialTimeout = d } }

// DefaultOptions returns the limits of a client that is made without options.
func DefaultOptions() Options {
	return Options{DialTimeout: time.Second, CallTimeout: 5 * time.Second, MaxBody: 64 << 20}
}

// client holds the connections behind the fields of a Platform.
type client struct {
	base      string
	options   Options
	transport *http.Transport
}

// New returns a Platform at the URL.
func New(url string, options ...Option) *Platform {
	o := DefaultOptions()
	for _, option := range options {
		option(&o)
	}
	c := &client{
		base:    strings.TrimSuffix(url, "/"),
		options: o,
		transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: o.DialTimeout}).DialContext,
			MaxIdleConnsPerHost: 8,
			IdleConnTimeout:     30 * time.Second,
		},
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

// answer is a whole HTTP answer.
type answer struct {
	status int
	body   []byte
}

// call sends one request; a write that got a connection and no whole answer is ErrUnclear, every other failure ErrUnavailable.
func (c *client) call(ctx context.Context, method, path string, body []byte) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	var handed atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// net/http starts over only when nothing of a write was sent, so each start clears the mark.
		GetConn: func(string) { handed.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { handed.Store(true) },
	})
	fail := func(err error) error {
		if ctx.Err() != nil {
			// A connection that went silent is most often not the only one; each of the others would cost an operation its whole time.
			c.transport.CloseIdleConnections()
		}
		if handed.Load() && method != http.MethodGet {
			return fmt.Errorf("%w: %w", ErrUnclear, err)
		}
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, fail(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return answer{}, fail(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, int64(c.options.MaxBody)+1))
	if err != nil {
		return answer{}, fail(err)
	}
	if len(data) > c.options.MaxBody {
		return answer{}, fail(fmt.Errorf("the answer has more than %d bytes", c.options.MaxBody))
	}
	return answer{status: resp.StatusCode, body: data}, refusal(resp.StatusCode, data, fail)
}

// refusal returns an error for a status that no operation expects.
func refusal(status int, body []byte, fail func(error) error) error {
	switch {
	case status == http.StatusOK, status == http.StatusNotFound, status == http.StatusConflict:
		return nil
	case status == http.StatusServiceUnavailable, status < http.StatusInternalServerError:
		// The service says that it did nothing.
		return fmt.Errorf("%w: status %d: %.200s", ErrUnavailable, status, body)
	default:
		return fail(fmt.Errorf("status %d: %.200s", status, body))
	}
}

func (c *client) hosts(ctx context.Context) ([]rocktable.ListedHost, error) {
	a, err := c.call(ctx, http.MethodGet, "/v1/hosts", nil)
	if err != nil {
		return nil, err
	}
	if a.status != http.StatusOK {
		return nil, fmt.Errorf("%w: status %d", ErrUnavailable, a.status)
	}
	var list HostList
	if err := json.Unmarshal(a.body, &list); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return list.Hosts, nil
}

func rowPath(table, key string) string {
	return "/v1/tables/" + url.PathEscape(table) + "/" + url.PathEscape(key)
}

func (c *client) get(ctx context.Context, table, key string) (Row, error) {
	a, err := c.call(ctx, http.MethodGet, rowPath(table, key), nil)
	if err != nil || a.status == http.StatusNotFound {
		return Row{}, err
	}
	var row Row
	if err := json.Unmarshal(a.body, &row); err != nil {
		return Row{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return row, nil
}

func (c *client) put(ctx context.Context, table, key string, req PutRequest) (Row, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return Row{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	a, err := c.call(ctx, http.MethodPut, rowPath(table, key), body)
	if err != nil {
		return Row{}, err
	}
	if a.status == http.StatusNotFound {
		return Row{}, fmt.Errorf("%w: status %d", ErrUnavailable, a.status)
	}
	var row Row
	err = json.Unmarshal(a.body, &row)
	switch {
	case a.status == http.StatusConflict:
		return row, ErrConflict
	case err != nil:
		return Row{}, fmt.Errorf("%w: %w", ErrUnclear, err)
	case row.Version <= req.ExpectedVersion:
		return Row{}, fmt.Errorf("%w: version %d after %d", ErrUnclear, row.Version, req.ExpectedVersion)
	}
	row.Value = req.Value
	return row, nil
}

func (c *client) getObject(ctx context.Context, name string) ([]byte, error) {
	a, err := c.call(ctx, http.MethodGet, "/v1/objects/"+url.PathEscape(name), nil)
	if err != nil {
		return nil, err
	}
	if a.status != http.StatusOK {
		return nil, fmt.Errorf("%w: %s", ErrNotFound, name)
	}
	return a.body, nil
}

func (c *client) putObject(ctx context.Context, name string, body []byte) error {
	a, err := c.call(ctx, http.MethodPut, "/v1/objects/"+url.PathEscape(name), body)
	if err == nil && a.status != http.StatusOK {
		err = fmt.Errorf("%w: status %d", ErrUnavailable, a.status)
	}
	return err
}

// Do runs an operation on a table whose rows have type T.
func Do[T any](ctx context.Context, p *Platform, table string, op rocktable.TableOp[T]) rocktable.TableResult[T] {
	result := rocktable.TableResult[T]{Op: op.Op, Key: op.Key, Write: op.Write}
	row, err := run(ctx, p, table, op)
	result.Status = StatusOf(err)
	if result.Status != rocktable.TableOK && result.Status != rocktable.TableConflict {
		return result
	}
	result.Version, result.Found = row.Version, row.Version != 0
	if !result.Found || len(row.Value) == 0 {
		return result
	}
	if err := json.Unmarshal(row.Value, &result.Row); err != nil && !op.Write {
		// A row of a form that is not known is not taken for a row that does not exist.
		return rocktable.TableResult[T]{Op: op.Op, Key: op.Key, Status: rocktable.TableUnavailable}
	}
	return result
}

func run[T any](ctx context.Context, p *Platform, table string, op rocktable.TableOp[T]) (Row, error) {
	if !op.Write {
		return p.Get(ctx, table, op.Key)
	}
	value, err := json.Marshal(op.Row)
	if err != nil {
		return Row{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return p.Put(ctx, table, op.Key, PutRequest{Value: value, ExpectedVersion: op.Expected})
}

// StatusOf returns the end of a table operation that an error stands for.
func StatusOf(err error) rocktable.TableStatus {
	switch {
	case err == nil:
		return rocktable.TableOK
	case errors.Is(err, ErrConflict):
		return rocktable.TableConflict
	case errors.Is(err, ErrUnavailable):
		return rocktable.TableUnavailable
	default:
		return rocktable.TableUnclear
	}
}
