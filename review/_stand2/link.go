package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// link is a proxy that plays the network between the entry hosts and a runner. While it is cut, it holds up all bytes and
// the ends of channels, and opens no channel. After the cut it delivers what it has held up, as TCP does. A cut of one way
// holds up only what goes to the runner. If only is set, a cut concerns only the channels of that entry host.
type link struct {
	address string
	target  string
	oneWay  bool
	only    *entry

	mu   sync.Mutex
	open chan struct{} // closed while the link is not cut
}

func newLink(target string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{address: l.Addr().String(), target: target, open: make(chan struct{})}
	close(k.open)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go k.serve(conn)
		}
	}()
	return k, nil
}

func (k *link) cut() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.open = make(chan struct{})
}

func (k *link) heal() {
	k.mu.Lock()
	defer k.mu.Unlock()
	close(k.open)
}

// wait returns when the link is not cut.
func (k *link) wait() {
	k.mu.Lock()
	open := k.open
	k.mu.Unlock()
	<-open
}

func (k *link) serve(conn net.Conn) {
	defer conn.Close()
	concerned := k.only == nil || k.only.owns(conn.RemoteAddr().String(), k.address)
	if concerned {
		k.wait()
	}
	upstream, err := net.DialTimeout("tcp", k.target, time.Second)
	if err != nil {
		_ = conn.(*net.TCPConn).SetLinger(0) // nothing listens there: the channel is reset
		return
	}
	defer upstream.Close()
	go func() {
		_ = k.pump(upstream, conn, concerned)
		_ = upstream.(*net.TCPConn).CloseWrite()
	}()
	if err := k.pump(conn, upstream, concerned && !k.oneWay); err != nil {
		_ = conn.(*net.TCPConn).SetLinger(0) // a reset goes on as one
		return
	}
	_ = conn.(*net.TCPConn).CloseWrite()
}

// pump copies until the source ends, and waits while the link is cut if isCut is set. The error is that of the source.
func (k *link) pump(to, from net.Conn, isCut bool) error {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if isCut {
			k.wait()
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return nil
			}
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}
