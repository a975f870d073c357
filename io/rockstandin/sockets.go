package rockstandin

import (
	"errors"
	"net"
	"sync"
	"time"
)

// serverSockets owns the listener and the connections of one server and injects faults into them.
type serverSockets struct {
	mu       sync.Mutex
	listener net.Listener
	reserved *port // keeps the address while the port is closed
	conns    map[*socketConn]bool
	thawed   chan struct{} // closed channel while the server is not frozen
	cut      bool          // new connections are blackholed
	delay    time.Duration
}

// socketConn is a connection whose traffic its owner can stop or discard.
type socketConn struct {
	net.Conn
	owner      *serverSockets
	closed     chan struct{}
	once       sync.Once
	blackholed bool // discards all traffic; guarded by owner.mu
}

// socketListener registers accepted connections with their owner.
type socketListener struct {
	net.Listener
	owner *serverSockets
}

func newServerSockets() *serverSockets {
	s := &serverSockets{conns: make(map[*socketConn]bool), thawed: make(chan struct{})}
	close(s.thawed)
	return s
}

// open opens the port and returns the listener to serve, or nil if the port is already open.
func (s *serverSockets) open(address string) (net.Listener, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		return nil, nil
	}
	reserved := s.reserved
	s.reserved = nil
	l, err := listenOn(reserved, address)
	if err != nil {
		return nil, err
	}
	s.listener = l
	return &socketListener{Listener: l, owner: s}, nil
}

func listenOn(reserved *port, address string) (net.Listener, error) {
	if reserved != nil {
		return reserved.listen()
	}
	return net.Listen("tcp", address)
}

// Accept returns the next connection, or net.ErrClosed if the port has been closed meanwhile.
func (l *socketListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &socketConn{Conn: conn, owner: l.owner, closed: make(chan struct{})}
	l.owner.mu.Lock()
	defer l.owner.mu.Unlock()
	if l.owner.listener != l.Listener {
		reset(conn)
		return nil, net.ErrClosed
	}
	c.blackholed = l.owner.cut
	l.owner.conns[c] = true
	return c, nil
}

// reset closes a connection with a TCP reset, as the kernel does when a process with unread data ends.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// change applies an action of the control thread, except SocketOpen.
func (s *serverSockets) change(action SocketAction) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch action.Change {
	case SocketClose:
		s.closeLocked()
	case SocketFreeze:
		s.freezeLocked()
	case SocketThaw:
		s.thawLocked()
	case SocketCut:
		s.cut = true
		s.blackholeLocked()
	case SocketHeal:
		s.cut = false
		for c := range s.conns {
			if c.blackholed {
				reset(c.Conn)
			}
		}
	case SocketBlackhole:
		s.blackholeLocked()
	case SocketReset:
		for c := range s.conns {
			reset(c.Conn)
		}
	case SocketDelay:
		s.delay = action.Delay
	}
}

func (s *serverSockets) blackholeLocked() {
	for c := range s.conns {
		c.blackholed = true
	}
}

func (s *serverSockets) freezeLocked() {
	select {
	case <-s.thawed:
		s.thawed = make(chan struct{})
	default:
	}
}

func (s *serverSockets) thawLocked() {
	select {
	case <-s.thawed:
	default:
		close(s.thawed)
	}
}

// release closes the port and releases its address.
func (s *serverSockets) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeLocked()
	if s.reserved != nil {
		s.reserved.release()
		s.reserved = nil
	}
}

func (s *serverSockets) closeLocked() {
	if s.listener != nil {
		address := s.listener.Addr().String()
		_ = s.listener.Close()
		s.listener = nil
		// If the address cannot be reserved, open listens on it like on a new one.
		s.reserved, _ = reservePort(address)
	}
	for c := range s.conns {
		reset(c.Conn)
	}
	s.thawLocked()
}

// state returns the channel that is closed unless the server is frozen, and whether the connection
// discards its traffic.
func (c *socketConn) state() (thawed chan struct{}, blackholed bool) {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	return c.owner.thawed, c.blackholed
}

// answerDelay returns the delay of FaultSlow for each request and each reply to a step.
func (s *serverSockets) answerDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.delay
}

// awaitThaw waits while the server is frozen, and returns whether the connection discards its traffic.
// Its error is net.ErrClosed if the connection is closed meanwhile.
func (c *socketConn) awaitThaw() (blackholed bool, err error) {
	for {
		thawed, blackholed := c.state()
		select {
		case <-thawed:
			return blackholed, nil
		default:
		}
		select {
		case <-thawed:
		case <-c.closed:
			return false, net.ErrClosed
		}
	}
}

// Read reads data, or discards it while the connection is blackholed.
func (c *socketConn) Read(b []byte) (int, error) {
	for {
		if _, err := c.awaitThaw(); err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(b)
		blackholed, closed := c.awaitThaw()
		if closed != nil {
			return 0, closed
		}
		if err != nil || !blackholed {
			return n, err
		}
	}
}

// Write writes data, or discards it while the connection is blackholed.
func (c *socketConn) Write(b []byte) (int, error) {
	blackholed, err := c.awaitThaw()
	switch {
	case err != nil:
		return 0, err
	case blackholed:
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection and removes it from its owner. Further calls have no effect.
func (c *socketConn) Close() error {
	err := net.ErrClosed
	c.once.Do(func() {
		close(c.closed)
		c.owner.mu.Lock()
		delete(c.owner.conns, c)
		c.owner.mu.Unlock()
		err = c.Conn.Close()
	})
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
