package rockhttp_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockhttp"
)

// bodyReader serves requests by reading their bodies, and reports the code of each and its context.
type bodyReader struct {
	server   *httptest.Server
	closing  context.Context
	close    context.CancelFunc
	codes    chan rockreason.Code
	contexts chan context.Context
	answer   chan struct{} // closed to let answers go
}

func newBodyReader(t *testing.T) *bodyReader {
	b := &bodyReader{codes: make(chan rockreason.Code, 1), contexts: make(chan context.Context, 1), answer: make(chan struct{})}
	b.closing, b.close = context.WithCancel(context.Background())
	b.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, code, err := rockhttp.ReadBody(w, r, rocktable.RequestLimits{MaxBodyBytes: 1 << 20}, nil, b.closing)
		if err != nil {
			t.Error(err)
		}
		b.codes <- code
		b.contexts <- r.Context()
		<-b.answer
		if code != "" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	t.Cleanup(b.server.Close)
	return b
}

// send sends a head that announces 10 bytes, and a part of them.
func (b *bodyReader) send(t *testing.T, part string) net.Conn {
	conn, err := net.Dial("tcp", b.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n%s", part); err != nil {
		t.Fatal(err)
	}
	return conn
}

// Guards against a body that never ends and holds up the stop of the host, or is cut without an answer.
func TestBodyThatNeverEndsIsRefusedAtAStop(t *testing.T) {
	for _, c := range []struct {
		name  string
		early bool // the host refuses new requests before the body begins
	}{{"before", false}, {"after", true}} {
		t.Run(c.name, func(t *testing.T) {
			b := newBodyReader(t)
			close(b.answer)
			if c.early {
				b.close()
			}
			conn := b.send(t, "half")
			b.close()
			if code := <-b.codes; code != rockreason.ShuttingDown {
				t.Errorf("got code %q, want %q", code, rockreason.ShuttingDown)
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
				t.Errorf("got answer %v and error %v, want status 503", resp, err)
			}
		})
	}
}

// Guards against a stop that limits the time of a request whose body has ended: net/http would take it for a caller that left.
func TestStopKeepsRequestsWhoseBodyHasEnded(t *testing.T) {
	b := newBodyReader(t)
	defer close(b.answer)
	b.send(t, "0123456789")
	if code := <-b.codes; code != "" {
		t.Fatalf("got code %q, want none", code)
	}
	ctx := <-b.contexts
	b.close()
	select {
	case <-ctx.Done():
		t.Error("the request was canceled by the stop")
	case <-time.After(1500 * time.Millisecond): // longer than the time that the stop leaves for bodies
	}
}

// deadlineRecorder records whether a read deadline was set.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	set bool
}

func (r *deadlineRecorder) SetReadDeadline(time.Time) error {
	r.set = true
	return nil
}

// Guards against a request without a body that is taken for one whose caller left: net/http waits for the end of its
// connection from the start, and a deadline of 100 ms may pass before a busy host removes it.
func TestRequestWithoutABodyHasNoDeadline(t *testing.T) {
	closing, cancel := context.WithCancel(t.Context())
	cancel()
	w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
	r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/", http.NoBody)
	if body, code, err := rockhttp.ReadBody(w, r, rocktable.RequestLimits{MaxBodyBytes: 1}, nil, closing); len(body) > 0 || code != "" || err != nil {
		t.Errorf("got body %q, code %q and error %v, want none", body, code, err)
	}
	if w.set {
		t.Error("a read deadline was set")
	}
}
