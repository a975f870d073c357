package rockhttp_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"sassafrasrock/core/rocktable"
)

// fields returns header lines with different names and without values.
func fields(n int) string {
	var text strings.Builder
	for i := range n {
		fmt.Fprintf(&text, "A%x:\r\n", i)
	}
	return text.String()
}

// mustWrite sends a text and waits until the server has taken it.
func mustWrite(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := fmt.Fprint(conn, text); err != nil {
		t.Fatal(err)
	}
	synctest.Wait()
}

// statusOf returns the status of the answer on a connection; 0 without one.
func statusOf(conn net.Conn) int {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	return response.StatusCode
}

// Guards against heads of many short lines, whose parsed form takes many times their bytes and did not count, also where
// net/http has read them together with the request before.
func TestLinesAreCounted(t *testing.T) {
	for name, first := range map[string]string{"alone": "", "behind another request": headBegin + headEnd} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := startLimitedServer(t)
				conn := s.dial()
				synctest.Wait()
				idle := s.memory.Used()
				go func() { _, _ = fmt.Fprint(conn, first+headBegin+fields(500)) }()
				reader := bufio.NewReader(conn)
				if first != "" {
					if response, err := http.ReadResponse(reader, nil); err != nil || response.StatusCode != http.StatusOK {
						t.Fatalf("got %+v and error %v, want 200", response, err)
					}
				}
				synctest.Wait()
				if used := s.memory.Used() - idle; used < 400*150 {
					t.Errorf("500 lines count %d bytes", used)
				}
				if _, err := fmt.Fprint(conn, headEnd); err != nil {
					t.Fatal(err)
				}
				if response, err := http.ReadResponse(reader, nil); err != nil || response.StatusCode != http.StatusOK {
					t.Fatalf("got %+v and error %v, want 200", response, err)
				}
				synctest.Wait()
				if used := s.memory.Used(); used != idle {
					t.Errorf("%d bytes count after the request, want %d", used, idle)
				}
			})
		})
	}
}

// Guards against a head without end that is received beyond the configured limit.
func TestUnfinishedLongHeadIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startLimitedServer(t)
		s.limits.Store(&rocktable.RequestLimits{MaxHeadBytes: 4 << 10})
		conn := s.dial()
		go func() { _, _ = fmt.Fprint(conn, headBegin+fields(3000)) }()
		if status := statusOf(conn); status != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("got status %d, want 431", status)
		}
	})
}

// Guards against heads that stop and keep the room of others until their time is over.
func TestStoppedHeadMakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startLimitedServer(t)
		s.memory.SetLimit(200 << 10)
		long := headBegin + "X-Fill: " + strings.Repeat("x", 60_000) + "\r\n"
		stopped, other := s.dial(), s.dial()
		mustWrite(t, stopped, long)
		time.Sleep(2 * time.Second)
		refused := make(chan int)
		go func() { refused <- statusOf(stopped) }()
		if !isServed(other, long+headEnd) {
			t.Error("a head found no room beside one that had stopped")
		}
		if status := <-refused; status != http.StatusServiceUnavailable {
			t.Errorf("the head that had stopped got status %d, want 503", status)
		}
	})
}

// Guards against connections that use up the descriptors of the process, and against new callers that find no place beside
// connections without a request.
func TestConnectionsAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const most = 4 // four fifths of 5 for one address
		s := startLimitedServer(t)
		s.connections.MaxOpen = 5
		for range most {
			s.dial()
		}
		if isServed(s.dial(), headBegin+headEnd) {
			t.Error("a connection beyond the limit was served although none could be closed for it")
		}
		synctest.Wait()
		full := s.memory.Used()
		time.Sleep(2 * time.Second)
		if !isServed(s.dial(), headBegin+headEnd) {
			t.Error("a new connection was not served beside idle ones")
		}
		synctest.Wait()
		if used := s.memory.Used(); used != full {
			t.Errorf("connections count %d bytes, want %d", used, full)
		}
	})
}
