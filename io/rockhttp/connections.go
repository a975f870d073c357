package rockhttp

import (
	"net"
	"net/http"
	"sync"
	"time"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockmemory"
)

// Limits of net/http's server, which are fixed when it starts. They are far beyond those that a configuration sets and that
// Connections keeps.
const (
	longestHeadTimeout = 10 * time.Minute
	longestIdleTimeout = 24 * time.Hour
)

// Limits that hold if the configuration does not set them.
const (
	defaultHeadTimeout = 10 * time.Second
	defaultIdleTimeout = 2 * time.Minute
)

// connectionBytes is the memory for a connection without a request: its buffers and its goroutine.
const connectionBytes = 8 << 10

// Connections closes callers' connections that are idle, or that take longer to send the head of a request, than the
// configuration allows. A limit that is lowered holds from the next period on. One that is raised holds at once: a caller that
// knows of it may already rely on it.
type Connections struct {
	// Limits returns the active limits. It is safe for concurrent use.
	Limits func() rocktable.RequestLimits
	// Memory counts the connections; nil means that they are not counted.
	Memory *rockmemory.Account
}

// Watch returns a listener whose connections are limited while server serves it.
func (c *Connections) Watch(server *http.Server, l net.Listener) net.Listener {
	server.ReadHeaderTimeout, server.IdleTimeout = longestHeadTimeout, longestIdleTimeout
	server.ConnState = changeState
	return watchedListener{Listener: l, connections: c}
}

func (c *Connections) headTimeout() time.Duration {
	if d := c.Limits().HeadTimeout(); d > 0 {
		return d
	}
	return defaultHeadTimeout
}

func (c *Connections) idleTimeout() time.Duration {
	if d := c.Limits().IdleTimeout(); d > 0 {
		return d
	}
	return defaultIdleTimeout
}

type watchedListener struct {
	net.Listener
	connections *Connections
}

// Accept returns a connection that is closed if no request begins within the limit for idle ones.
func (l watchedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	w := &watchedConn{Conn: conn, connections: l.connections, held: l.connections.Memory.Open()}
	w.held.Add(connectionBytes)
	w.beginIdle()
	return w, nil
}

// changeState is told by net/http when a head is complete, when a connection has become idle and when it ends.
func changeState(conn net.Conn, state http.ConnState) {
	w, ok := conn.(*watchedConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		w.beginIdle()
	case http.StateActive:
		w.end()
		// net/http reads the body of a request that was answered without it, and has no limit for that. ReadBody sets
		// limits of its own and removes them at the end of the body.
		_ = w.SetReadDeadline(time.Now().Add(bodyTimeout))
	case http.StateHijacked, http.StateClosed:
		w.end()
	}
}

// watchedConn is a connection of a caller. Its timer closes it while it is idle or receives a head.
type watchedConn struct {
	net.Conn
	connections *Connections
	held        *rockmemory.Holding

	mu     sync.Mutex
	isIdle bool
	period int         // number of the present time limit; a timer of an earlier one has no effect
	timer  *time.Timer // nil while a request is handled
}

// Read notices the first byte of a head.
func (w *watchedConn) Read(p []byte) (int, error) {
	n, err := w.Conn.Read(p)
	if n > 0 {
		w.beginHead()
	}
	return n, err
}

// Close closes the connection, which then no longer counts.
func (w *watchedConn) Close() error {
	w.held.Close()
	return w.Conn.Close()
}

// ResetConnection resets the connection of a request, which shows the caller that its answer is broken off. The answer
// cannot be written any more.
func ResetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the connection has ended
	}
	defer conn.Close()
	inner := conn
	if watched, ok := conn.(*watchedConn); ok {
		inner = watched.Conn
	}
	if tcp, ok := inner.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

func (w *watchedConn) beginIdle() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isIdle = true
	w.limit(w.connections.idleTimeout)
}

func (w *watchedConn) beginHead() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.isIdle {
		return
	}
	w.isIdle = false
	w.limit(w.connections.headTimeout)
}

func (w *watchedConn) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isIdle = false
	w.stopTimer()
}

// limit closes the connection after the timeout unless another period begins before.
func (w *watchedConn) limit(timeout func() time.Duration) {
	w.stopTimer()
	begin, period := time.Now(), w.period
	w.timer = time.AfterFunc(timeout(), func() { w.closeAfter(period, begin, timeout) })
}

// closeAfter closes the connection if the period has not ended, or waits for the rest of a limit that has been raised.
func (w *watchedConn) closeAfter(period int, begin time.Time, timeout func() time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.period != period {
		return
	}
	if left := timeout() - time.Since(begin); left > 0 {
		w.timer.Reset(left)
		return
	}
	_ = w.Conn.Close()
}

// stopTimer ends the period.
func (w *watchedConn) stopTimer() {
	w.period++
	if w.timer != nil {
		w.timer.Stop()
		w.timer = nil
	}
}
