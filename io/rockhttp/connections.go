package rockhttp

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"sassafrasrock/core/rockreason"
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

// errRefusedHead ends a connection. net/http answers errors of reading that are no net.OpError with status 400.
var errRefusedHead = &net.OpError{Op: "read", Net: "tcp", Err: eris.New("request refused before the end of its head")}

// Connections closes callers' connections that are idle, or that take longer to send the head of a request, than the
// configuration allows. A limit that is lowered holds from the next period on. One that is raised holds at once: a caller that
// knows of it may already rely on it.
type Connections struct {
	// Limits returns the active limits. It is safe for concurrent use.
	Limits func() rocktable.RequestLimits
	// Memory counts the connections and the heads that they receive; nil means that they are not counted.
	Memory *rockmemory.Account
	// RefuseHead answers a request whose head is too long or has no room, and counts requests whose head is too slow and
	// connections closed because of MaxOpen; nil means that their connections are only closed. It must be safe for
	// concurrent use and not block.
	RefuseHead func(w http.ResponseWriter, code rockreason.Code)
	// MaxOpen limits the number of connections; 0 means no limit.
	MaxOpen int

	mu           sync.Mutex
	open         map[*watchedConn]struct{}
	byAddress    map[string]int // open connections by source address
	noVictimTill time.Time      // no connection can be closed for others before
}

// Watch returns a listener whose connections are limited while server serves it.
func (c *Connections) Watch(server *http.Server, l net.Listener) net.Listener {
	c.open, c.byAddress = make(map[*watchedConn]struct{}), make(map[string]int)
	server.ReadHeaderTimeout, server.IdleTimeout = longestHeadTimeout, longestIdleTimeout
	server.ConnState = changeState
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, conn)
	}
	return watchedListener{Listener: l, connections: c}
}

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// connectionOf returns the connection of a request, or nil if it is not watched.
func connectionOf(r *http.Request) *watchedConn {
	w, _ := r.Context().Value(connectionKey{}).(*watchedConn)
	return w
}

// note counts what ended a connection that gets no answer.
func (c *Connections) note(code rockreason.Code) {
	if c.RefuseHead != nil {
		c.RefuseHead(&headRefusal{header: make(http.Header)}, code)
	}
}

func (c *Connections) maxHeadBytes() int64 { return cmp.Or(c.Limits().MaxHeadBytes, defaultHeadBytes) }

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

// Accept returns a connection that is closed if no request begins within the limit for idle ones. It closes connections
// beyond the limit of their number.
func (l watchedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if w := l.connections.admit(conn); w != nil {
			return w, nil
		}
		l.connections.note(rockreason.ConnectionsFull)
		_ = conn.Close()
	}
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
		w.beginRequest()
		// net/http reads the body of a request that was answered without it, and has no limit for that. ReadBody sets
		// limits of its own and removes them at the end of the body.
		_ = w.SetReadDeadline(time.Now().Add(bodyTimeout))
	case http.StateHijacked, http.StateClosed:
		w.beginRequest()
		w.head.Release()
	}
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
