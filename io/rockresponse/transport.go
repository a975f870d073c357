package rockresponse

import (
	"fmt"
	"net/http"
	"net/http/httptrace"

	"github.com/rotisserie/eris"
)

// MaxHeadBytes limits the head of a response, and those of all its interim responses together. The default of net/http,
// 10 MB, is too much for hosts with 184 MB and hundreds of attempts.
const MaxHeadBytes = 64 << 10

// ErrTooLong reports a response whose body, or whose interim responses, are longer than allowed.
var ErrTooLong = eris.New("response is too long")

// Transport is an http.RoundTripper whose responses are valid HTTP and have limited heads and bodies, whatever their status. A body
// whose connection was aborted ends with io.ErrUnexpectedEOF.
type Transport struct {
	base         *http.Transport
	maxBodyBytes int64 // 0 means no limit
}

// Option changes a Transport in New.
type Option func(*Transport)

// WithMaxBodyBytes sets the limit of bodies. Reading more of a body returns ErrTooLong.
func WithMaxBodyBytes(n int64) Option { return func(t *Transport) { t.maxBodyBytes = n } }

// New returns a Transport that sends requests through base, which it takes over. The default limit of heads is MaxHeadBytes.
func New(base *http.Transport, options ...Option) *Transport {
	t := &Transport{base: base}
	for _, option := range options {
		option(t)
	}
	if base.MaxResponseHeaderBytes == 0 {
		base.MaxResponseHeaderBytes = MaxHeadBytes
	}
	// A short compressed body may be long, and net/http does not tell how the end of a body that it expands is marked.
	base.DisableCompression = true
	if !t.isHTTP2Only() {
		base.DialContext = watchConns(base.DialContext)
	}
	return t
}

// RoundTrip sends one request. Its errors are ErrMalformed, ErrTooLong for interim responses without end, and those of
// http.Transport.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	w := &watch{interim: interimResponses{left: t.base.MaxResponseHeaderBytes}}
	resp, err := t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), w.trace())))
	if err != nil {
		return nil, err
	}
	if err := t.check(resp, w); err != nil {
		resp.Body.Close()
		// The connection of a response without a body may be idle already. What follows on it is not known.
		t.base.CloseIdleConnections()
		return nil, err
	}
	if resp.Body != http.NoBody { // callers compare with it
		t.wrapBody(resp, w)
	}
	return resp, nil
}

// watch collects what net/http shows of a request beside its response.
type watch struct {
	interim interimResponses
	conn    *watchedConn // that the response came on; nil if the transport speaks HTTP/2 only
}

// trace returns the hooks that fill the watch.
func (w *watch) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		Got1xxResponse: w.interim.check,
		GotConn: func(info httptrace.GotConnInfo) {
			w.conn = connOf(info.Conn)
			if w.conn != nil && info.Reused { // a new connection may have received the beginning of the head already
				w.conn.expectHead()
			}
		},
	}
}

// check returns ErrMalformed for a response that is not valid HTTP.
func (t *Transport) check(resp *http.Response, w *watch) error {
	if w.conn != nil && resp.TLS == nil && w.conn.hasCoding() { // with TLS, the bytes of the connection are encrypted
		return fmt.Errorf("%w: transfer coding in HTTP/1.0", ErrMalformed)
	}
	return checkHead(resp, t.majorVersion(resp))
}

// wrapBody makes the body of a response end with an error if its connection was aborted, its trailer is invalid or it is longer
// than allowed.
func (t *Transport) wrapBody(resp *http.Response, w *watch) {
	switch {
	case len(resp.TransferEncoding) > 0:
		resp.Body = &trailedBody{ReadCloser: resp.Body, resp: resp, transport: t.base}
	case w.conn != nil && EndsWithConnection(resp):
		resp.Body = &unframedBody{ReadCloser: resp.Body, conn: w.conn}
	}
	if t.maxBodyBytes > 0 {
		resp.Body = &limitedBody{ReadCloser: resp.Body, left: t.maxBodyBytes}
	}
}

// majorVersion returns the major version of HTTP that the connection of a response speaks. The version in a response of
// HTTP/1 is only a text of its server.
func (t *Transport) majorVersion(resp *http.Response) int {
	if t.isHTTP2Only() || resp.TLS != nil && resp.TLS.NegotiatedProtocol == "h2" {
		return 2
	}
	return 1
}

// isHTTP2Only reports whether connections without TLS speak HTTP/2.
func (t *Transport) isHTTP2Only() bool {
	protocols := t.base.Protocols
	return protocols != nil && protocols.UnencryptedHTTP2() && !protocols.HTTP1()
}

// CloseIdleConnections closes the connections that are not in use.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
