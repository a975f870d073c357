package rockstandin

import "net"

// ServeConns accepts connections on a loopback port that the kernel assigns. It handles each in a goroutine of its own and
// then closes it. Closing the listener ends it.
func ServeConns(handle func(net.Conn)) (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				handle(conn)
			}()
		}
	}()
	return l, nil
}

// ConnListener accepts the connections of a channel, such as those of net.Pipe, which follow the virtual time of a test. Closing
// the channel ends it.
type ConnListener struct{ Conns chan net.Conn }

// Accept returns the next connection, or net.ErrClosed.
func (l ConnListener) Accept() (net.Conn, error) {
	conn, ok := <-l.Conns
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

// Close has no effect.
func (l ConnListener) Close() error { return nil }

// Addr returns an empty address.
func (l ConnListener) Addr() net.Addr { return &net.TCPAddr{} }
