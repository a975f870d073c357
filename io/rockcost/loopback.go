package rockcost

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockpeer"
)

const (
	// packetOverhead is the length of the IPv4 and UDP headers of a packet.
	packetOverhead = 28
	// segment is the largest packet that QUIC sends without a search for the path's MTU.
	segment = 1280
	// sendEvery is longer than the delay of QUIC's acknowledgements, so that each message is acknowledged alone as between hosts that exchange one every few seconds.
	sendEvery = 40 * time.Millisecond
	// loopbackLimit bounds a measure over loopback.
	loopbackLimit = time.Minute
)

// Loopback is what messages between real peers take on the network.
type Loopback struct {
	Peers      int
	Messages   int
	Frames     float64       // bytes of one message's frame
	Wire       float64       // bytes of one message on the wire with its acknowledgement and all headers
	Packets    float64       // of one message
	Handshake  float64       // bytes of one new connection on the wire, both directions
	Processor  time.Duration // of one message, both ends
	Connecting time.Duration // processor time of one new connection, both ends
}

// counter counts the packets of several sockets.
type counter struct {
	bytes   atomic.Int64
	packets atomic.Int64
}

// socket counts what is sent; what is received was sent by a socket of the same counter.
type socket struct {
	*net.UDPConn
	c *counter
}

func (s *socket) note(n int) {
	s.c.bytes.Add(int64(n))
	s.c.packets.Add(int64((n + segment - 1) / segment))
}

// WriteMsgUDP sends one packet, or several of one size.
func (s *socket) WriteMsgUDP(b, oob []byte, addr *net.UDPAddr) (int, int, error) {
	s.note(len(b))
	return s.UDPConn.WriteMsgUDP(b, oob, addr)
}

// WriteTo sends one packet.
func (s *socket) WriteTo(b []byte, addr net.Addr) (int, error) {
	s.note(len(b))
	return s.UDPConn.WriteTo(b, addr)
}

// wire returns the bytes on the wire so far.
func (c *counter) wire() float64 {
	return float64(c.bytes.Load() + packetOverhead*c.packets.Load())
}

// cluster is a number of real peers on loopback.
type cluster struct {
	peers    []*rockpeer.Peer
	received chan struct{}
	counter  counter
}

// openCluster starts peers that run until stop is called.
func openCluster(n int) (c *cluster, stop func(), err error) {
	root, err := rockpeer.NewThrowAwayRoot(time.Now())
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	stop = func() {
		cancel()
		running.Wait()
	}
	c = &cluster{received: make(chan struct{}, 1024)}
	for range n {
		trust, err := root.Issue("entry")
		if err != nil {
			stop()
			return nil, nil, err
		}
		peer, err := rockpeer.New(rockpeer.Settings{Listen: "127.0.0.1:0", Trust: trust},
			rockpeer.WithReceive(func(rocktable.PeerMessage) { c.received <- struct{}{} }),
			rockpeer.WithSocket(func(udp *net.UDPConn) net.PacketConn { return &socket{UDPConn: udp, c: &c.counter} }))
		if err != nil {
			stop()
			return nil, nil, err
		}
		c.peers = append(c.peers, peer)
		running.Go(func() { _ = peer.Run(ctx) })
	}
	return c, stop, nil
}

// round sends one message over each pair of peers, one pair after the other, and waits for its arrival.
func (c *cluster) round(ctx context.Context, m rocktable.PeerMessage) error {
	for i, from := range c.peers {
		for _, to := range c.peers[:i] {
			if err := from.Send(ctx, to.Address, m); err != nil {
				return err
			}
			select {
			case <-c.received:
			case <-ctx.Done():
				return eris.Wrap(ctx.Err(), "waiting for a message over loopback")
			}
			// The acknowledgement follows after its delay.
			time.Sleep(sendEvery)
		}
	}
	return nil
}

// MeasureWake returns the processor time of a timer that wakes the process n times with nothing to do. On an idle machine it is a large part of what a rare message takes.
func MeasureWake(n int) time.Duration {
	start := readUsage()
	for range n {
		time.Sleep(sendEvery)
	}
	return start.since(n).Processor
}

// MeasureLoopback sends real messages of the scale between 2 to 8 peers.
func MeasureLoopback(scale Scale, seed uint64, peers, rounds int) (Loopback, error) {
	f := NewFleet(scale, seed)
	f.Run(runningStreams)
	var messages []rocktable.PeerMessage
	for len(messages) < rounds {
		messages = append(messages, f.Round()...)
	}
	c, stop, err := openCluster(peers)
	if err != nil {
		return Loopback{}, err
	}
	defer stop()
	ctx, cancel := context.WithTimeout(context.Background(), loopbackLimit)
	defer cancel()
	pairs := peers * (peers - 1) / 2
	l := Loopback{Peers: peers, Messages: rounds * pairs}

	first := readUsage()
	if err := c.round(ctx, messages[0]); err != nil {
		return l, err
	}
	opening := first.since(pairs)
	wire, packets := c.counter.wire(), c.counter.packets.Load()
	start := readUsage()
	for _, m := range messages[:rounds] {
		l.Frames += float64(len(encode(m))) / float64(rounds)
		if err := c.round(ctx, m); err != nil {
			return l, err
		}
	}
	l.Processor = start.since(l.Messages).Processor
	l.Wire = (c.counter.wire() - wire) / float64(l.Messages)
	l.Packets = float64(c.counter.packets.Load()-packets) / float64(l.Messages)
	l.Handshake = wire/float64(pairs) - l.Wire
	l.Connecting = opening.Processor - l.Processor
	return l, nil
}
