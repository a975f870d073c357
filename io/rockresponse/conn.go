package rockresponse

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"syscall"
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

// watchedConn keeps what net/http does not tell of a connection: transfer codings in HTTP/1.0, and the error of a write.
type watchedConn struct {
	net.Conn

	headMu sync.Mutex
	head   oldHead

	writeMu  sync.Mutex // held during each write
	writeErr error      // of the first write that failed
}

// connOf returns the watchedConn that carries a connection of net/http, or nil if there is none.
func connOf(conn net.Conn) *watchedConn {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	watched, _ := conn.(*watchedConn)
	return watched
}

// Read reads from the connection and looks at the head in what it read.
func (c *watchedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.headMu.Lock()
	defer c.headMu.Unlock()
	c.head.read(p[:n])
	return n, err
}

// Write writes to the connection and keeps the first error.
func (c *watchedConn) Write(p []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
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

// closeAtEnd closes the connection, from which io.EOF was read, and returns the error with which it had been aborted, or nil if
// the other side ended it in order.
//
// The kernel reports that a connection was aborted only once. If a write gets the error, the next read returns io.EOF. The write
// may not have returned yet; closing the connection ends one that is still waiting, so that an end in order is not held up.
func (c *watchedConn) closeAtEnd() error {
	_ = c.Conn.Close()
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if !isAbort(c.writeErr) {
		return nil
	}
	return c.writeErr
}

// isAbort reports whether the error of a write shows that the connection was aborted before the other side had ended it in order.
// Where a reset follows such an end, Linux returns EPIPE.
func isAbort(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}
