package rockdaemon

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"sassafrasrock/io/rockplatform"
	"sassafrasrock/io/rockservice"
)

// startEndlessHead starts a server that answers each request with a head without end, until its caller closes the
// connection. It returns its address and the number of bytes that it could send.
func startEndlessHead(t *testing.T) (string, *atomic.Int64) {
	t.Helper()
	sent := new(atomic.Int64)
	line := []byte("X-Fill: " + strings.Repeat("x", 1000) + "\r\n")
	address := startServer(t, func(conn net.Conn) {
		_ = conn.(*net.TCPConn).SetWriteBuffer(16 << 10)
		p := []byte("HTTP/1.1 200 OK\r\n")
		var err error
		for err == nil {
			var n int
			n, err = conn.Write(p)
			sent.Add(int64(n))
			p = line
		}
	})
	return address, sent
}

// Guards against an application or a platform in trouble whose head without end takes the memory of the host.
func TestEndlessHeadIsLimited(t *testing.T) {
	const calls = 10
	// The kernel's buffers of one connection hold less than bufferBytes.
	const bufferBytes = 1 << 20
	address, sent := startEndlessHead(t)
	ctx, cancel := context.WithTimeout(t.Context(), conditionTimeout)
	defer cancel()
	service, platform := rockservice.New(), rockplatform.New("http://"+address)
	for range calls {
		if _, err := service.Do(ctx, address, rockservice.Call{Method: "GET", Path: "/x"}); err == nil {
			t.Error("a call with an endless head was answered")
		}
		if _, err := platform.Hosts(ctx); err == nil {
			t.Error("a host list with an endless head was taken")
		}
	}
	if limit := 2 * calls * (rockservice.DefaultOptions().MaxHeadBytes + bufferBytes); sent.Load() > limit {
		t.Errorf("%d calls read %d bytes of heads, want at most %d", 2*calls, sent.Load(), limit)
	}
}
