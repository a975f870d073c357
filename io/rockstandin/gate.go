package rockstandin

import (
	"errors"
	"net"
	"sync"
	"time"
)

// gate owns the sockets of one server and can disturb them.
type gate struct {
	mu       sync.Mutex
	listener net.Listener
	reserved *port // while the port is closed
	conns    map[*gateConn]bool
	thawed   chan struct{} // closed while the server is not frozen
	cut      bool
	delay    time.Duration
}

// gateConn is a connection whose traffic the gate can stop or drop.
type gateConn struct {
	net.Conn
	gate   *gate
	closed chan struct{}
	once   sync.Once
	mute   bool // guarded by gate.mu
}

// gateListener hands connections to the gate.
type gateListener struct {
	net.Listener
	gate *gate
}

func newGate() *gate {
	g := &gate{conns: make(map[*gateConn]bool), thawed: make(chan struct{})}
	close(g.thawed)
	return g
}

// open opens the port and returns the listener to serve; it is nil if the port is open already.
func (g *gate) open(address string) (net.Listener, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.listener != nil {
		return nil, nil
	}
	reserved := g.reserved
	g.reserved = nil
	l, err := listenOn(reserved, address)
	if err != nil {
		return nil, err
	}
	g.listener = l
	return &gateListener{Listener: l, gate: g}, nil
}

func listenOn(reserved *port, address string) (net.Listener, error) {
	if reserved != nil {
		return reserved.listen()
	}
	return net.Listen("tcp", address)
}

// Accept returns the next connection.
func (l *gateListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &gateConn{Conn: conn, gate: l.gate, closed: make(chan struct{})}
	l.gate.mu.Lock()
	defer l.gate.mu.Unlock()
	if l.gate.listener != l.Listener {
		reset(conn)
		return nil, net.ErrClosed
	}
	c.mute = l.gate.cut
	l.gate.conns[c] = true
	return c, nil
}

// reset closes a connection with a TCP reset, as the end of a process does with unread data.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// change applies an action of the control thread, other than GateOpen.
func (g *gate) change(action GateAction) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch action.Do {
	case GateClose:
		g.closeLocked()
	case GateFreeze:
		g.freezeLocked()
	case GateThaw:
		g.thawLocked()
	case GateCut:
		g.cut = true
		g.muteLocked()
	case GateHeal:
		g.cut = false
		for c := range g.conns {
			if c.mute {
				reset(c.Conn)
			}
		}
	case GateMute:
		g.muteLocked()
	case GateReset:
		for c := range g.conns {
			reset(c.Conn)
		}
	case GateDelay:
		g.delay = action.Delay
	}
}

func (g *gate) muteLocked() {
	for c := range g.conns {
		c.mute = true
	}
}

func (g *gate) freezeLocked() {
	select {
	case <-g.thawed:
		g.thawed = make(chan struct{})
	default:
	}
}

func (g *gate) thawLocked() {
	select {
	case <-g.thawed:
	default:
		close(g.thawed)
	}
}

// release closes the port and gives its address back.
func (g *gate) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closeLocked()
	if g.reserved != nil {
		g.reserved.release()
		g.reserved = nil
	}
}

func (g *gate) closeLocked() {
	if g.listener != nil {
		address := g.listener.Addr().String()
		_ = g.listener.Close()
		g.listener = nil
		// If the address cannot be reserved, the port is opened like a new one.
		g.reserved, _ = reservePort(address)
	}
	for c := range g.conns {
		reset(c.Conn)
	}
	g.thawLocked()
}

// state returns how a connection behaves now.
func (c *gateConn) state() (thawed chan struct{}, mute bool) {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	return c.gate.thawed, c.mute
}

// delayNow returns the delay of each answer.
func (g *gate) delayNow() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.delay
}

// awaitThaw waits while the server is frozen, and returns whether the connection drops its traffic.
func (c *gateConn) awaitThaw() (mute bool, err error) {
	for {
		thawed, mute := c.state()
		select {
		case <-thawed:
			return mute, nil
		default:
		}
		select {
		case <-thawed:
		case <-c.closed:
			return false, net.ErrClosed
		}
	}
}

// Read reads data, or drops it while the connection is mute.
func (c *gateConn) Read(b []byte) (int, error) {
	for {
		if _, err := c.awaitThaw(); err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(b)
		mute, frozen := c.awaitThaw()
		if frozen != nil {
			return 0, frozen
		}
		if err != nil || !mute {
			return n, err
		}
	}
}

// Write writes data, or drops it while the connection is mute.
func (c *gateConn) Write(b []byte) (int, error) {
	mute, err := c.awaitThaw()
	switch {
	case err != nil:
		return 0, err
	case mute:
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection and forgets it.
func (c *gateConn) Close() error {
	err := net.ErrClosed
	c.once.Do(func() {
		close(c.closed)
		c.gate.mu.Lock()
		delete(c.gate.conns, c)
		c.gate.mu.Unlock()
		err = c.Conn.Close()
	})
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
