package rockresponse_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"sassafrasrock/io/rockresponse"
)

// requestTimeout limits the requests of these tests, of which each ends at once.
const requestTimeout = 10 * time.Second

// abortedConn is a connection whose server ends it during a write. The kernel reports the end to the write first, but the write
// returns only after the client has read the end of the response and closed the connection.
type abortedConn struct {
	net.Conn
	err            error // of the write
	failed, closed chan struct{}
	failOnce       sync.Once
	closeOnce      sync.Once
}

func (c *abortedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.failOnce.Do(func() { close(c.failed) })
		<-c.closed
		err = c.err
	}
	return n, err
}

func (c *abortedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		<-c.failed
	}
	return n, err
}

func (c *abortedConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// newAbortedClient returns a client whose server answers a request with a text before it has read its body, and then ends the
// connection. The write that is under way then fails with an error. server makes the server's side of a connection.
func newAbortedClient(t *testing.T, transport *http.Transport, server func(net.Conn) net.Conn, text string, err error) *http.Client {
	t.Helper()
	transport.DialContext = func(context.Context, string, string) (net.Conn, error) {
		client, raw := net.Pipe()
		go func() {
			defer raw.Close() // a tls.Conn would tell the client of its end
			conn := server(raw)
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, text)
			}
		}()
		return &abortedConn{Conn: client, err: err, failed: make(chan struct{}), closed: make(chan struct{})}, nil
	}
	c := &http.Client{Transport: rockresponse.New(transport), Timeout: requestTimeout}
	t.Cleanup(c.CloseIdleConnections)
	return c
}

// upload sends a request with a long body and returns the body of the response, or an error.
func upload(t *testing.T, c *http.Client, url string) (string, error) {
	t.Helper()
	resp, err := c.Post(url, "", strings.NewReader(strings.Repeat("x", 1<<20)))
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// Guards against a part of a response without a length that passes for the whole, where a write got the error of the connection
// and the read that followed an ordinary end; and against a whole response that is lost, or whose end waits for a write.
func TestResponseDuringItsRequest(t *testing.T) {
	certified := httptest.NewUnstartedServer(http.NotFoundHandler())
	certified.StartTLS()
	defer certified.Close()
	heads := map[string]struct {
		head, end string
		unframed  bool
	}{
		"no length": {"HTTP/1.1 200 OK\r\n\r\n", "", true},
		"HTTP/1.0":  {"HTTP/1.0 200 OK\r\n\r\n", "", true},
		"gzip":      {"HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n\r\n", "", true}, // which net/http may expand
		"length":    {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", "", false},
		"chunks":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n", "\r\n0\r\n\r\n", false},
	}
	writes := map[string]struct {
		err     error
		aborted bool
	}{
		"reset":                    {syscall.ECONNRESET, true},
		"no answer to keep-alives": {syscall.ETIMEDOUT, true},
		"closed by the own host":   {syscall.ECONNABORTED, true},
		"no route":                 {syscall.EHOSTUNREACH, true},
		"reset after its end":      {syscall.EPIPE, false},
		"closed by the client":     {net.ErrClosed, false},
	}
	for framing, h := range heads {
		for cause, w := range writes {
			for _, secure := range []bool{false, true} {
				err := &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", w.err)}
				transport, server, url := new(http.Transport), func(conn net.Conn) net.Conn { return conn }, "http://server.example/"
				if secure {
					transport.TLSClientConfig = certified.Client().Transport.(*http.Transport).TLSClientConfig.Clone()
					server = func(conn net.Conn) net.Conn { return tls.Server(conn, certified.TLS) }
					url = "https://example.com/"
				}
				body, got := upload(t, newAbortedClient(t, transport, server, h.head+"ok"+h.end, err), url)
				switch cut := h.unframed && w.aborted; {
				case cut && (!errors.Is(got, io.ErrUnexpectedEOF) || !errors.Is(got, w.err)):
					t.Errorf("%s, %s, TLS %v: got body %q and error %v, want io.ErrUnexpectedEOF and %v", framing, cause, secure, body, got, w.err)
				case !cut && (got != nil || body != "ok"):
					t.Errorf("%s, %s, TLS %v: got body %q and error %v, want the whole response", framing, cause, secure, body, got)
				}
			}
		}
	}
}
