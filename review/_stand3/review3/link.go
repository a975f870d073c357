package main

import (
	"io"
	"net"
	"sync"
)

// link is a proxy on the way to a runner. While it is cut, it holds up all bytes and ends of channels, and passes them on
// afterwards, as TCP does after a partition.
type link struct {
	addr string

	mu     sync.Mutex
	target string
	healed chan struct{} // closed unless the link is cut
}

func newLink(ip, target string) (*link, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	k := &link{addr: l.Addr().String(), target: target, healed: make(chan struct{})}
	close(k.healed)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.forward(c)
		}
	}()
	return k, nil
}

func (k *link) setTarget(target string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.target = target
}

// cut cuts the link until heal is called.
func (k *link) cut() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.healed = make(chan struct{})
}

func (k *link) heal() {
	k.mu.Lock()
	defer k.mu.Unlock()
	close(k.healed)
}

// await waits until the link is not cut.
func (k *link) await() {
	k.mu.Lock()
	healed := k.healed
	k.mu.Unlock()
	<-healed
}

func (k *link) forward(c net.Conn) {
	defer c.Close()
	k.await()
	k.mu.Lock()
	target := k.target
	k.mu.Unlock()
	s, err := net.Dial("tcp", target)
	if err != nil {
		reset(c)
		return
	}
	defer s.Close()
	done := make(chan struct{}, 2)
	go func() { k.copy(s, c); done <- struct{}{} }()
	go func() { k.copy(c, s); done <- struct{}{} }()
	<-done
	<-done
}

// copy passes bytes on, and then the end of the channel: an orderly one or a reset.
func (k *link) copy(to, from net.Conn) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		k.await()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		switch {
		case err == io.EOF:
			_ = to.(*net.TCPConn).CloseWrite()
			return
		case err != nil:
			reset(to)
			return
		}
	}
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	c.Close()
}
