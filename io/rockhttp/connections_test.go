package rockhttp_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockhttp"
	"sassafrasrock/io/rockmemory"
	"sassafrasrock/io/rockstandin"
)

// limitedServer serves an empty answer to each request, with limits and a handler that a test may change.
type limitedServer struct {
	t        *testing.T
	limits   atomic.Pointer[rocktable.RequestLimits]
	memory   *rockmemory.Account
	listener rockstandin.ConnListener
	handle   http.HandlerFunc

	connections *rockhttp.Connections
}

func startLimitedServer(t *testing.T) *limitedServer {
	s := &limitedServer{t: t, memory: rockmemory.New(1 << 20), listener: rockstandin.ConnListener{Conns: make(chan net.Conn)}, handle: func(http.ResponseWriter, *http.Request) {}}
	s.limits.Store(&rocktable.RequestLimits{HeadTimeoutMs: 3000, IdleTimeoutMs: 15000})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.handle(w, r) })}
	front := &rockhttp.Server{Count: func(rockreason.Code) {}}
	connections := &rockhttp.Connections{Limits: func() rocktable.RequestLimits { return *s.limits.Load() }, Memory: s.memory, RefuseHead: front.RefuseHead}
	s.connections = connections
	go func() { _ = server.Serve(connections.Watch(server, s.listener)) }()
	t.Cleanup(func() {
		close(s.listener.Conns)
		_ = server.Close()
	})
	return s
}

func (s *limitedServer) dial() net.Conn {
	own, other := net.Pipe()
	s.t.Cleanup(func() { _ = own.Close() })
	s.listener.Conns <- other
	return own
}

const (
	headBegin = "GET / HTTP/1.1\r\n"
	headEnd   = "Host: h\r\n\r\n"
)

// isServed reports whether a text, which ends a head, is answered.
func isServed(conn net.Conn, text string) bool {
	if _, err := fmt.Fprint(conn, text); err != nil {
		return false
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	return err == nil && response.StatusCode == http.StatusOK
}

// Guards against connections that are closed before the configured time, which callers that reuse them see as lost
// requests, and against those that stay open for longer.
func TestIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startLimitedServer(t)
		conn := s.dial()
		for range 5 {
			time.Sleep(14900 * time.Millisecond)
			if !isServed(conn, headBegin+headEnd) {
				t.Fatal("a connection was closed after 14.9 s of 15 s")
			}
		}
		time.Sleep(time.Second)
		s.limits.Store(&rocktable.RequestLimits{IdleTimeoutMs: 1000})
		time.Sleep(13900 * time.Millisecond)
		if !isServed(conn, headBegin+headEnd) {
			t.Error("a change of the limit ended a period that had begun with the earlier one")
		}
		time.Sleep(1100 * time.Millisecond)
		if isServed(conn, headBegin+headEnd) {
			t.Error("a connection was open after 1.1 s of 1 s")
		}
	})
}

// Guards against a connection that is closed by a limit that has been raised meanwhile: a caller that knows the new limit
// reuses the connection, and its request is lost.
func TestRaisedLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startLimitedServer(t)
		idle, slow := s.dial(), s.dial()
		if _, err := fmt.Fprint(slow, headBegin); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		s.limits.Store(&rocktable.RequestLimits{HeadTimeoutMs: 9000, IdleTimeoutMs: 60000})
		time.Sleep(7 * time.Second)
		if !isServed(slow, headEnd) {
			t.Error("a head was ended after 8 s of 9 s")
		}
		time.Sleep(40 * time.Second)
		if !isServed(idle, headBegin+headEnd) {
			t.Error("an idle connection was closed before 48 s of 60 s")
		}
		time.Sleep(61 * time.Second)
		if isServed(idle, headBegin+headEnd) {
			t.Error("an idle connection was open after 61 s of 60 s")
		}
	})
}

// Guards against a head that is sent a byte now and then and keeps its connection, and against the limit of a head that is
// applied to the idle time before it.
func TestSlowHeads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startLimitedServer(t)
		for _, c := range []struct {
			pause time.Duration
			want  bool
		}{{2900 * time.Millisecond, true}, {3100 * time.Millisecond, false}} {
			conn := s.dial()
			for i := range 2 {
				time.Sleep(12 * time.Second)
				if _, err := fmt.Fprint(conn, headBegin); err != nil {
					t.Fatal(err)
				}
				time.Sleep(c.pause)
				if got := isServed(conn, headEnd); got != c.want {
					t.Errorf("head %d that took %s: got served %v, want %v", i, c.pause, got, c.want)
				}
				if !c.want {
					break
				}
			}
		}
	})
}

// Guards against connections without a request that take memory and do not count, or count after their end.
func TestConnectionsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startLimitedServer(t)
		left, idle := s.dial(), s.dial()
		if !isServed(idle, headBegin+headEnd) {
			t.Fatal("not served")
		}
		synctest.Wait()
		both := s.memory.Used()
		_ = left.Close()
		synctest.Wait()
		if one := s.memory.Used(); one == 0 || both != 2*one {
			t.Errorf("two connections count %d bytes and one %d", both, one)
		}
		time.Sleep(16 * time.Second)
		if used := s.memory.Used(); used != 0 {
			t.Errorf("%d bytes count after an idle connection was closed", used)
		}
	})
}

// Guards against heads that take memory while they are received and do not count, or count after their end, and against one
// without room whose caller gets no answer.
func TestHeadsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startLimitedServer(t)
		field := "X-Fill: " + strings.Repeat("x", 4000) + "\r\n"
		conn := s.dial()
		for range 2 {
			synctest.Wait() // the server counts the connection after it has accepted it
			idle := s.memory.Used()
			if idle == 0 {
				t.Fatal("the idle connection does not count")
			}
			if _, err := fmt.Fprint(conn, headBegin+strings.Repeat(field, 10)); err != nil {
				t.Fatal(err)
			}
			synctest.Wait()
			if used := s.memory.Used() - idle; used < 2*9*4000 || used > 2*11*4000 {
				t.Errorf("40,000 bytes of a head count %d bytes", used)
			}
			if !isServed(conn, headEnd) {
				t.Fatal("not served")
			}
			synctest.Wait()
			if used := s.memory.Used(); used != idle {
				t.Errorf("%d bytes count after the head, want %d", used, idle)
			}
		}
		s.memory.SetLimit(40 << 10)
		go func() { _, _ = fmt.Fprint(conn, headBegin+strings.Repeat(field, 20)) }()
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
			t.Errorf("got %+v and error %v for a head without room, want status 503 and Retry-After", response, err)
		}
		time.Sleep(3 * time.Second)
		if used := s.memory.Used(); used != 0 {
			t.Errorf("%d bytes count after a refused head, want the connection closed", used)
		}
	})
}

// Guards against a caller whose request is answered without its body and that never sends it: net/http waits for the body
// before it sends the answer, and the connection stayed open for good.
func TestUnreadBodyEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startLimitedServer(t)
		conn := s.dial()
		if _, err := fmt.Fprint(conn, "POST / HTTP/1.1\r\nContent-Length: 10\r\n"+headEnd); err != nil {
			t.Fatal(err)
		}
		go func() { _, _ = io.Copy(io.Discard, conn) }()
		time.Sleep(time.Minute)
		synctest.Wait()
		if used := s.memory.Used(); used != 0 {
			t.Errorf("the connection counts %d bytes after a minute, want it closed", used)
		}
	})
}

// Guards against a limit for bodies that ends a request whose body has arrived, as if its caller had left.
func TestLongRequestsGoOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startLimitedServer(t)
		s.handle = func(w http.ResponseWriter, r *http.Request) {
			body, code, err := rockhttp.ReadBody(w, r, rocktable.RequestLimits{MaxBodyBytes: 10}, nil, nil)
			if err != nil || code != "" {
				t.Errorf("got body %q, code %q and error %v", body, code, err)
			}
			time.Sleep(5 * time.Minute)
			if err := r.Context().Err(); err != nil {
				t.Error("the request was canceled: ", err)
			}
		}
		conn := s.dial()
		for _, body := range []string{"", "body"} {
			if !isServed(conn, headBegin+fmt.Sprintf("Content-Length: %d\r\n", len(body))+headEnd+body) {
				t.Errorf("a request with body %q was not served", body)
			}
		}
	})
}
