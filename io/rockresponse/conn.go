package rockresponse

import (
	"context"
	"net"
	"sync"
)

// dialFunc opens a connection, as net.Dialer.DialContext does.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// watchConns returns a function whose connections are watchedConns. A nil dial stands for that of net/http.
func watchConns(dial dialFunc) dialFunc {
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &watchedConn{Conn: conn}, nil
	}
}

// watchedConn keeps what net/http does not tell of a connection: transfer codings of HTTP/1.0.
type watchedConn struct {
	net.Conn

	headMu sync.Mutex
	head   oldHead
}

// Read reads from the connection and looks at the head in what it read.
func (c *watchedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.headMu.Lock()
	defer c.headMu.Unlock()
	c.head.read(p[:n])
	return n, err
}

// expectHead begins with the response to a new request.
func (c *watchedConn) expectHead() {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	c.head = oldHead{}
}

// hasCoding reports whether the response is one of HTTP/1.0 with a transfer coding.
func (c *watchedConn) hasCoding() bool {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	return c.head.hasCoding
}
