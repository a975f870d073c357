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
	// packetOverhead is the length in bytes of the IPv4 and UDP headers of a packet.
	packetOverhead = 28
	// maxPacket is the size in bytes of the largest packet that QUIC sends without path MTU discovery.
	maxPacket = 1280
	// sendInterval is longer than the delay of QUIC's acknowledgements. Each message is then acknowledged
	// alone, as it is between hosts that exchange one every few seconds.
	sendInterval = 40 * time.Millisecond
	// loopbackTimeout bounds a measurement over loopback.
	loopbackTimeout = time.Minute
)

// LoopbackCost is the cost of messages between peers over real sockets. Bytes, packets and times are
// means.
type LoopbackCost struct {
	Peers          int
	Messages       int
	FrameBytes     float64       // frame of one message
	WireBytes      float64       // one message on the wire, with its acknowledgement and all headers
	Packets        float64       // for one message, with its acknowledgement
	HandshakeBytes float64       // one new connection on the wire, both directions
	CPUTime        time.Duration // for one message, both ends
	ConnectCPUTime time.Duration // for one new connection, both ends
}

// packetCounter counts the bytes and packets that several sockets send.
type packetCounter struct {
	bytes   atomic.Int64
	packets atomic.Int64
}

// countingSocket counts the packets that it sends. Received packets are not counted, because a socket
// with the same counter sent them.
type countingSocket struct {
	*net.UDPConn
	c *packetCounter
}

// count adds a write of n bytes. If it holds several packets, they are assumed to have maxPacket bytes.
func (s *countingSocket) count(n int) {
	s.c.bytes.Add(int64(n))
	s.c.packets.Add(int64((n + maxPacket - 1) / maxPacket))
}

// WriteMsgUDP counts and sends one packet, or several packets of one size (GSO).
func (s *countingSocket) WriteMsgUDP(b, oob []byte, addr *net.UDPAddr) (int, int, error) {
	s.count(len(b))
	return s.UDPConn.WriteMsgUDP(b, oob, addr)
}

// WriteTo counts and sends one packet.
func (s *countingSocket) WriteTo(b []byte, addr net.Addr) (int, error) {
	s.count(len(b))
	return s.UDPConn.WriteTo(b, addr)
}

// wireBytes returns the bytes on the wire so far, with IP and UDP headers.
func (c *packetCounter) wireBytes() float64 {
	return float64(c.bytes.Load() + packetOverhead*c.packets.Load())
}

// peerGroup is a group of peers that are connected over loopback.
type peerGroup struct {
	peers    []*rockpeer.Peer
	received chan struct{}
	counter  packetCounter
}

// startPeers starts n peers, which run until stop is called.
func startPeers(n int) (g *peerGroup, stop func(), err error) {
	root, err := rockpeer.NewEphemeralRoot(time.Now())
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	stop = func() {
		cancel()
		running.Wait()
	}
	g = &peerGroup{received: make(chan struct{}, 1024)}
	for range n {
		trust, err := root.Issue("entry")
		if err != nil {
			stop()
			return nil, nil, err
		}
		peer, err := rockpeer.New(rockpeer.Settings{ListenAddress: "127.0.0.1:0", Trust: trust},
			rockpeer.WithReceive(func(rocktable.PeerMessage) { g.received <- struct{}{} }),
			rockpeer.WithSocket(func(udp *net.UDPConn) net.PacketConn { return &countingSocket{UDPConn: udp, c: &g.counter} }))
		if err != nil {
			stop()
			return nil, nil, err
		}
		g.peers = append(g.peers, peer)
		running.Go(func() { _ = peer.Run(ctx) })
	}
	return g, stop, nil
}

// sendRound sends one message over each pair of peers in turn and waits for each to arrive.
func (g *peerGroup) sendRound(ctx context.Context, m rocktable.PeerMessage) error {
	for i, from := range g.peers {
		for _, to := range g.peers[:i] {
			if err := from.Send(ctx, to.Address, m); err != nil {
				return err
			}
			select {
			case <-g.received:
			case <-ctx.Done():
				return eris.Wrap(ctx.Err(), "wait for a message over loopback")
			}
			// The delayed acknowledgement is sent in this time.
			time.Sleep(sendInterval)
		}
	}
	return nil
}

// MeasureWakeup returns the CPU time for one wake-up of the sleeping process by a timer, as the mean of n.
// If the system is idle, it is a large part of the CPU time of a message.
func MeasureWakeup(n int) time.Duration {
	start := readUsage()
	for range n {
		time.Sleep(sendInterval)
	}
	return start.since(n).CPUTime
}

// MeasureLoopback sends the gossip messages of a host at the scale between peers over loopback. Each
// round sends one message over each pair of peers.
func MeasureLoopback(scale Scale, seed uint64, peers, rounds int) (LoopbackCost, error) {
	f := NewFixture(scale, seed)
	f.StartAttempts(runningStreams)
	var messages []rocktable.PeerMessage
	for len(messages) < rounds {
		messages = append(messages, f.RunRound()...)
	}
	c, stop, err := startPeers(peers)
	if err != nil {
		return LoopbackCost{}, err
	}
	defer stop()
	ctx, cancel := context.WithTimeout(context.Background(), loopbackTimeout)
	defer cancel()
	pairs := peers * (peers - 1) / 2
	l := LoopbackCost{Peers: peers, Messages: rounds * pairs}

	beforeConnect := readUsage()
	if err := c.sendRound(ctx, messages[0]); err != nil {
		return l, err
	}
	connecting := beforeConnect.since(pairs)
	wireBytes, packets := c.counter.wireBytes(), c.counter.packets.Load()
	start := readUsage()
	for _, m := range messages[:rounds] {
		l.FrameBytes += float64(len(encode(m))) / float64(rounds)
		if err := c.sendRound(ctx, m); err != nil {
			return l, err
		}
	}
	l.CPUTime = start.since(l.Messages).CPUTime
	l.WireBytes = (c.counter.wireBytes() - wireBytes) / float64(l.Messages)
	l.Packets = float64(c.counter.packets.Load()-packets) / float64(l.Messages)
	l.HandshakeBytes = wireBytes/float64(pairs) - l.WireBytes
	l.ConnectCPUTime = connecting.CPUTime - l.CPUTime
	return l, nil
}
