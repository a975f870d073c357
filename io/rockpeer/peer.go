package rockpeer

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockmemory"
)

const (
	// idleTimeout is the time without packets after which a connection is closed. It is longer than
	// the time between two messages to one peer.
	idleTimeout = 30 * time.Second
	// keepAlivePeriod is the time without packets after which QUIC sends a keep-alive packet. It is
	// shorter than idleTimeout.
	keepAlivePeriod = 12 * time.Second
	// handshakeTimeout bounds the handshake with a peer that does not answer.
	handshakeTimeout = 3 * time.Second
	// readTimeout bounds the time in which a peer must send one complete frame.
	readTimeout = 10 * time.Second
	// maxIncomingStreams limits the frames that one peer sends concurrently.
	maxIncomingStreams = 16
)

// QUIC application error codes with which connections are closed and streams reset.
const (
	codeNoError  quic.ApplicationErrorCode = 0
	codeRejected quic.StreamErrorCode      = 1
	codeCanceled quic.StreamErrorCode      = 2
)

// Settings are the listen address and the certificates of a host for the peer protocol.
type Settings struct {
	ListenAddress string // UDP; with port 0 the kernel chooses a port
	Trust         Trust
}

// Peer is a host's endpoint of the peer protocol. It sends messages to other hosts and receives theirs.
type Peer struct {
	// Send sends a message to the host at an address of IP and UDP port. It returns when the message
	// is written, which does not mean that the host has received it.
	Send func(ctx context.Context, address string, m rocktable.PeerMessage) error
	// Receive is called with each message of another host, from several goroutines at once. While it runs, the message counts
	// towards Memory and the streams of its sender. It must be set before Run.
	Receive func(m rocktable.PeerMessage)
	// CountRejected is called with the reason code of each rejected frame. It must be set before Run.
	CountRejected func(code rockreason.Code)
	// Memory counts the frames that are received, until Receive returns; nil means no limit. It must be set before Run.
	Memory *rockmemory.Account
	// Address is the UDP address that the socket is bound to.
	Address string

	settings   Settings
	socket     net.PacketConn
	wrapSocket func(*net.UDPConn) net.PacketConn
	transport  *quic.Transport
	listener   *quic.Listener

	mu    sync.Mutex
	conns map[string]*connection // by remote address; nil once the peer is closed
	tasks sync.WaitGroup
}

// connection is an entry of the connection cache: an open connection, or one whose handshake is in progress.
type connection struct {
	ready chan struct{} // closed once conn or err is set
	conn  *quic.Conn
	err   error
}

// Option changes a Peer during New.
type Option func(*Peer)

// WithReceive sets Peer.Receive.
func WithReceive(receive func(m rocktable.PeerMessage)) Option {
	return func(p *Peer) { p.Receive = receive }
}

// WithCountRejected sets Peer.CountRejected.
func WithCountRejected(count func(code rockreason.Code)) Option {
	return func(p *Peer) { p.CountRejected = count }
}

// WithSocket wraps the UDP socket that packets are sent through, for instance to count them.
func WithSocket(wrapSocket func(*net.UDPConn) net.PacketConn) Option {
	return func(p *Peer) { p.wrapSocket = wrapSocket }
}

// New returns a Peer whose socket is bound to the listen address. Messages are received once Run is called.
func New(settings Settings, options ...Option) (*Peer, error) {
	p := &Peer{
		Receive:       func(rocktable.PeerMessage) {},
		CountRejected: func(rockreason.Code) {},
		settings:      settings,
		conns:         make(map[string]*connection),
	}
	p.Send = p.send
	for _, option := range options {
		option(p)
	}
	socket, err := net.ListenPacket("udp", settings.ListenAddress)
	if err != nil {
		return nil, eris.Wrapf(err, "binding the peer address %s", settings.ListenAddress)
	}
	p.socket, p.Address = socket, socket.LocalAddr().String()
	// Incoming and outgoing connections share one socket, so the source address of a connection is
	// the address at which its peer listens.
	p.transport = &quic.Transport{Conn: p.packetConn(socket)}
	p.listener, err = p.transport.Listen(settings.Trust.tlsConfig(), quicConfig())
	if err != nil {
		_ = p.transport.Close()
		_ = socket.Close()
		return nil, eris.Wrapf(err, "listening on %s", p.Address)
	}
	return p, nil
}

func (p *Peer) packetConn(socket net.PacketConn) net.PacketConn {
	if udp, ok := socket.(*net.UDPConn); ok && p.wrapSocket != nil {
		return p.wrapSocket(udp)
	}
	return socket
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 idleTimeout,
		KeepAlivePeriod:                keepAlivePeriod,
		DisablePathMTUDiscovery:        true, // a gossip message fits one packet, and discovery sends probe packets
		MaxIncomingStreams:             -1,
		MaxIncomingUniStreams:          maxIncomingStreams,
		InitialStreamReceiveWindow:     16 << 10,
		MaxStreamReceiveWindow:         MaxFrameBytes,
		InitialConnectionReceiveWindow: 64 << 10,
		MaxConnectionReceiveWindow:     2 * MaxFrameBytes,
	}
}

// Run receives messages until the context ends, then closes every connection and the socket.
func (p *Peer) Run(ctx context.Context) error {
	for {
		conn, err := p.listener.Accept(ctx)
		if err != nil {
			p.close()
			if ctx.Err() != nil {
				return nil
			}
			return eris.Wrap(err, "accepting a peer connection")
		}
		p.cacheIncoming(conn)
		p.acceptStreams(ctx, conn)
	}
}

func (p *Peer) close() {
	p.mu.Lock()
	for address, c := range p.conns {
		if c.conn != nil {
			_ = c.conn.CloseWithError(codeNoError, "shutdown")
		}
		delete(p.conns, address)
	}
	p.conns = nil
	p.mu.Unlock()
	_ = p.listener.Close()
	_ = p.transport.Close()
	_ = p.socket.Close()
	p.tasks.Wait()
}

// cacheIncoming stores a connection that a peer opened and replaces an earlier one to the same address.
// A peer with a working connection does not open a second one, so the earlier one usually belongs to
// a process that has died. Without the replacement, messages would be lost until the idle timeout.
func (p *Peer) cacheIncoming(conn *quic.Conn) {
	address := conn.RemoteAddr().String()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns == nil {
		return
	}
	c := &connection{ready: make(chan struct{}), conn: conn}
	close(c.ready)
	p.conns[address] = c
}

// acceptStreams reads the frames of a connection in the background, each stream in a goroutine of its own.
func (p *Peer) acceptStreams(ctx context.Context, conn *quic.Conn) {
	p.tasks.Go(func() {
		for {
			stream, err := conn.AcceptUniStream(ctx)
			if err != nil {
				_ = conn.CloseWithError(codeNoError, "")
				p.evict(conn)
				return
			}
			p.tasks.Go(func() { p.readMessage(conn, stream) })
		}
	})
}

func (p *Peer) readMessage(conn *quic.Conn, stream *quic.ReceiveStream) {
	held := p.Memory.Open(rockmemory.Owner{Kind: rockmemory.Peer, Name: conn.RemoteAddr().String()})
	defer held.Close()
	defer func() {
		if recover() != nil { // a frame that the decoder did not expect must not end the process
			stream.CancelRead(codeRejected)
			p.CountRejected(rockreason.FrameBroken)
		}
	}()
	_ = stream.SetReadDeadline(time.Now().Add(readTimeout))
	m, err := readFrame(stream, held)
	if err != nil {
		stream.CancelRead(codeRejected)
		p.CountRejected(reasonOf(err))
		return
	}
	p.Receive(m)
}

func reasonOf(err error) rockreason.Code {
	switch {
	case errors.Is(err, ErrFrameTooLarge):
		return rockreason.FrameTooLarge
	case errors.Is(err, rockmemory.ErrNoRoom):
		return rockreason.MemoryFull
	case errors.Is(err, ErrFrameVersion):
		return rockreason.FrameVersion
	}
	return rockreason.FrameBroken
}

func (p *Peer) evict(conn *quic.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, c := range p.conns {
		if c.conn == conn {
			delete(p.conns, address)
		}
	}
}

// send writes a message to the cached connection or a new one. If the cached connection turns out to
// be closed, it retries once on a new connection.
func (p *Peer) send(ctx context.Context, address string, m rocktable.PeerMessage) error {
	frame, err := EncodeFrame(m)
	if err != nil {
		return err
	}
	conn, isNew, err := p.connect(ctx, address)
	if err != nil {
		return err
	}
	err = writeFrame(ctx, conn, frame)
	if err == nil {
		return nil
	}
	p.evict(conn)
	if isNew || ctx.Err() != nil {
		return eris.Wrapf(err, "sending to peer %s", address)
	}
	if conn, _, err = p.connect(ctx, address); err != nil {
		return err
	}
	return eris.Wrapf(writeFrame(ctx, conn, frame), "sending to peer %s", address)
}

func writeFrame(ctx context.Context, conn *quic.Conn, frame []byte) error {
	stream, err := conn.OpenUniStreamSync(ctx)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { stream.CancelWrite(codeCanceled) })
	defer stop()
	if _, err := stream.Write(frame); err != nil {
		stream.CancelWrite(codeCanceled)
		return err
	}
	return stream.Close()
}

// connect returns the cached connection to an address or opens one, and reports whether it is new.
// Concurrent senders to one address share one handshake.
func (p *Peer) connect(ctx context.Context, address string) (*quic.Conn, bool, error) {
	target, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, false, eris.Wrapf(err, "resolving peer address %s", address)
	}
	key := target.String()
	p.mu.Lock()
	if p.conns == nil {
		p.mu.Unlock()
		return nil, false, eris.Wrapf(net.ErrClosed, "sending to peer %s", address)
	}
	c := p.conns[key]
	isNew := c == nil
	if isNew {
		c = &connection{ready: make(chan struct{})}
		p.conns[key] = c
		p.tasks.Go(func() { p.dial(key, target, c) })
	}
	p.mu.Unlock()
	select {
	case <-c.ready:
		return c.conn, isNew, c.err
	case <-ctx.Done():
		return nil, false, eris.Wrapf(ctx.Err(), "connecting to peer %s", address)
	}
}

// dial opens a connection and then reads its frames. It does not end when the sender that started it
// gives up, because other senders may wait for the same connection.
func (p *Peer) dial(key string, target net.Addr, c *connection) {
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	conn, err := p.transport.Dial(ctx, target, p.settings.Trust.tlsConfig(), quicConfig())
	p.mu.Lock()
	c.conn, c.err = conn, eris.Wrapf(err, "connecting to peer %s", key)
	if err != nil && p.conns[key] == c {
		delete(p.conns, key)
	}
	closed := p.conns == nil
	p.mu.Unlock()
	close(c.ready)
	switch {
	case err != nil:
	case closed:
		_ = conn.CloseWithError(codeNoError, "shutdown")
	default:
		p.acceptStreams(conn.Context(), conn)
	}
}
