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
)

const (
	// idleLimit closes a connection on which nothing arrived; it is longer than the time between messages to one peer.
	idleLimit = 30 * time.Second
	// keepAlive is sent on a connection that would otherwise be closed.
	keepAlive = 12 * time.Second
	// handshakeLimit bounds a handshake with a peer that does not answer.
	handshakeLimit = 3 * time.Second
	// readLimit bounds the time that a peer has for one frame.
	readLimit = 10 * time.Second
	// maxStreams limits the frames that one peer has under way.
	maxStreams = 16
)

// The codes with which streams and connections are closed.
const (
	codeDone   quic.ApplicationErrorCode = 0
	codeFrame  quic.StreamErrorCode      = 1
	codeCancel quic.StreamErrorCode      = 2
)

// Settings are the address and the certificates of a host's peer protocol.
type Settings struct {
	Listen string // UDP address; port 0 lets the kernel choose
	Trust  Trust
}

// Peer sends messages to other hosts and receives theirs.
type Peer struct {
	// Send hands a message to the host at the address, IP and UDP port; it returns when the message is written.
	Send func(ctx context.Context, address string, m rocktable.PeerMessage) error
	// Receive takes the messages of other hosts, from several goroutines; set it before Run.
	Receive func(m rocktable.PeerMessage)
	// Count counts frames that are refused; set it before Run.
	Count func(code rockreason.Code)
	// Address is the UDP address that is bound.
	Address string

	settings  Settings
	socket    net.PacketConn
	wrap      func(*net.UDPConn) net.PacketConn
	transport *quic.Transport
	listener  *quic.Listener

	mu    sync.Mutex
	conns map[string]*link // by address
	tasks sync.WaitGroup
}

// link is a connection to a peer, or the attempt to open one.
type link struct {
	ready chan struct{} // closed when conn or err is set
	conn  *quic.Conn
	err   error
}

// Option changes a Peer while it is made.
type Option func(*Peer)

// WithReceive sets the function that takes messages.
func WithReceive(receive func(m rocktable.PeerMessage)) Option {
	return func(p *Peer) { p.Receive = receive }
}

// WithCount sets the function that counts frames that are refused.
func WithCount(count func(code rockreason.Code)) Option {
	return func(p *Peer) { p.Count = count }
}

// WithSocket replaces the socket through which packets are sent, for instance by one that counts them.
func WithSocket(wrap func(*net.UDPConn) net.PacketConn) Option {
	return func(p *Peer) { p.wrap = wrap }
}

// New binds the address; messages are received when Run is called.
func New(settings Settings, options ...Option) (*Peer, error) {
	p := &Peer{
		Receive:  func(rocktable.PeerMessage) {},
		Count:    func(rockreason.Code) {},
		settings: settings,
		conns:    make(map[string]*link),
	}
	p.Send = p.send
	for _, option := range options {
		option(p)
	}
	socket, err := net.ListenPacket("udp", settings.Listen)
	if err != nil {
		return nil, eris.Wrapf(err, "binding the peer address %s", settings.Listen)
	}
	p.socket, p.Address = socket, socket.LocalAddr().String()
	// One socket for both directions: the source address of a connection is then the peer's own address.
	p.transport = &quic.Transport{Conn: p.wrapped(socket)}
	p.listener, err = p.transport.Listen(settings.Trust.tlsConfig(), quicConfig())
	if err != nil {
		_ = p.transport.Close()
		_ = socket.Close()
		return nil, eris.Wrapf(err, "listening on %s", p.Address)
	}
	return p, nil
}

func (p *Peer) wrapped(socket net.PacketConn) net.PacketConn {
	if udp, ok := socket.(*net.UDPConn); ok && p.wrap != nil {
		return p.wrap(udp)
	}
	return socket
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeLimit,
		MaxIdleTimeout:                 idleLimit,
		KeepAlivePeriod:                keepAlive,
		DisablePathMTUDiscovery:        true, // a message fits one packet, and the search sends packets of its own
		MaxIncomingStreams:             -1,
		MaxIncomingUniStreams:          maxStreams,
		InitialStreamReceiveWindow:     16 << 10,
		MaxStreamReceiveWindow:         MaxFrame,
		InitialConnectionReceiveWindow: 64 << 10,
		MaxConnectionReceiveWindow:     2 * MaxFrame,
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
			return eris.Wrap(err, "accepting peers")
		}
		p.adopt(conn)
		p.serve(ctx, conn)
	}
}

func (p *Peer) close() {
	p.mu.Lock()
	for address, l := range p.conns {
		if l.conn != nil {
			_ = l.conn.CloseWithError(codeDone, "shutdown")
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

// adopt makes a connection that a peer opened the one for messages to it. A peer with a working connection opens no second
// one, so that an earlier one is most often to a process that has died, which shows only after the idle limit.
func (p *Peer) adopt(conn *quic.Conn) {
	address := conn.RemoteAddr().String()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns == nil {
		return
	}
	l := &link{ready: make(chan struct{}), conn: conn}
	close(l.ready)
	p.conns[address] = l
}

// serve receives the frames of a connection in the background.
func (p *Peer) serve(ctx context.Context, conn *quic.Conn) {
	p.tasks.Go(func() {
		for {
			stream, err := conn.AcceptUniStream(ctx)
			if err != nil {
				_ = conn.CloseWithError(codeDone, "")
				p.forget(conn)
				return
			}
			p.tasks.Go(func() { p.read(stream) })
		}
	})
}

func (p *Peer) read(stream *quic.ReceiveStream) {
	_ = stream.SetReadDeadline(time.Now().Add(readLimit))
	m, err := ReadFrame(stream)
	if err != nil {
		stream.CancelRead(codeFrame)
		p.Count(frameReason(err))
		return
	}
	p.Receive(m)
}

func frameReason(err error) rockreason.Code {
	switch {
	case errors.Is(err, ErrFrameTooLarge):
		return rockreason.FrameTooLarge
	case errors.Is(err, ErrFrameVersion):
		return rockreason.FrameVersion
	}
	return rockreason.FrameBroken
}

func (p *Peer) forget(conn *quic.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, l := range p.conns {
		if l.conn == conn {
			delete(p.conns, address)
		}
	}
}

// send writes a message, and once more on a new connection if the cached one was closed meanwhile.
func (p *Peer) send(ctx context.Context, address string, m rocktable.PeerMessage) error {
	frame, err := EncodeFrame(m)
	if err != nil {
		return err
	}
	conn, fresh, err := p.connect(ctx, address)
	if err != nil {
		return err
	}
	err = write(ctx, conn, frame)
	if err == nil {
		return nil
	}
	p.forget(conn)
	if fresh || ctx.Err() != nil {
		return eris.Wrapf(err, "sending to peer %s", address)
	}
	if conn, _, err = p.connect(ctx, address); err != nil {
		return err
	}
	return eris.Wrapf(write(ctx, conn, frame), "sending to peer %s", address)
}

func write(ctx context.Context, conn *quic.Conn, frame []byte) error {
	stream, err := conn.OpenUniStreamSync(ctx)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { stream.CancelWrite(codeCancel) })
	defer stop()
	if _, err := stream.Write(frame); err != nil {
		stream.CancelWrite(codeCancel)
		return err
	}
	return stream.Close()
}

// connect returns the cached connection to an address or opens one, and reports whether it is new. Senders to one address share an attempt.
func (p *Peer) connect(ctx context.Context, address string) (*quic.Conn, bool, error) {
	target, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, false, eris.Wrapf(err, "peer address %s", address)
	}
	key := target.String()
	p.mu.Lock()
	if p.conns == nil {
		p.mu.Unlock()
		return nil, false, eris.Wrapf(net.ErrClosed, "sending to peer %s", address)
	}
	l := p.conns[key]
	opens := l == nil
	if opens {
		l = &link{ready: make(chan struct{})}
		p.conns[key] = l
		p.tasks.Go(func() { p.dial(key, target, l) })
	}
	p.mu.Unlock()
	select {
	case <-l.ready:
		return l.conn, opens, l.err
	case <-ctx.Done():
		return nil, false, eris.Wrapf(ctx.Err(), "connecting to peer %s", address)
	}
}

// dial opens a connection; it goes on when the sender that asked for it gives up, because others may wait for it.
func (p *Peer) dial(key string, target net.Addr, l *link) {
	ctx, cancel := context.WithTimeout(context.Background(), handshakeLimit)
	defer cancel()
	conn, err := p.transport.Dial(ctx, target, p.settings.Trust.tlsConfig(), quicConfig())
	p.mu.Lock()
	l.conn, l.err = conn, eris.Wrapf(err, "connecting to peer %s", key)
	if err != nil && p.conns[key] == l {
		delete(p.conns, key)
	}
	closed := p.conns == nil
	p.mu.Unlock()
	close(l.ready)
	switch {
	case err != nil:
	case closed:
		_ = conn.CloseWithError(codeDone, "shutdown")
	default:
		p.serve(conn.Context(), conn)
	}
}
