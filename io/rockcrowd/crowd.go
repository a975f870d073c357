package rockcrowd

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// reconnectPause is the time after which a client whose connection was closed opens another one.
	reconnectPause = 500 * time.Millisecond
	// trickleInterval is the time between two bytes of a client that sends them one by one.
	trickleInterval = 100 * time.Millisecond
	dialTimeout     = 5 * time.Second
)

// Target is what a crowd sends to.
type Target struct {
	Address string
	// Head is the begin of a valid request with method POST: the request line and header fields, without the empty line and
	// without a length.
	Head string
}

// Client is one connection of a crowd.
type Client struct {
	net.Conn
	Target Target
	Number int // from 0
}

// Crowd is a kind of clients.
type Crowd struct {
	Name        string
	Connections int
	// Send sends on one connection what this kind of clients sends. It returns at an error, or when the client only keeps
	// its connection open.
	Send func(c *Client)
}

// Open opens the connections of a crowd, and opens them again when the host closes them, until stop is called.
func (c Crowd) Open(target Target) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range c.Connections {
		wg.Go(func() {
			for ctx.Err() == nil {
				c.connect(ctx, target, i)
				pause(ctx, reconnectPause)
			}
		})
	}
	return func() { cancel(); wg.Wait() }
}

// connect opens one connection and returns when it is closed or the context ends.
func (c Crowd) connect(ctx context.Context, target Target, number int) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", target.Address)
	if err != nil {
		return
	}
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	var sending sync.WaitGroup
	sending.Go(func() { c.Send(&Client{Conn: conn, Target: target, Number: number}) })
	_, _ = io.Copy(io.Discard, conn) // ends when the host closes the connection
	_ = conn.Close()
	sending.Wait()
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
