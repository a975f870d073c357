package rockpeer

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

const testTimeout = 20 * time.Second

type testPeer struct {
	*Peer
	received     chan rocktable.PeerMessage
	rejected     chan rockreason.Code
	stop         func()
	socketClosed atomic.Bool // the test closed the socket, so Run is expected to fail
}

func newTestRoot(t *testing.T) *Root {
	t.Helper()
	root, err := NewEphemeralRoot(time.Now())
	if err != nil {
		t.Fatal(err)
	}
	return root
}

// startPeer starts a peer with a certificate that is signed by the root.
func startPeer(t *testing.T, root *Root, listen string) *testPeer {
	t.Helper()
	trust, err := root.Issue("entry")
	if err != nil {
		t.Fatal(err)
	}
	p := &testPeer{received: make(chan rocktable.PeerMessage, 16), rejected: make(chan rockreason.Code, 16)}
	p.Peer, err = New(Settings{ListenAddress: listen, Trust: trust},
		WithReceive(func(m rocktable.PeerMessage) { p.received <- m }),
		WithCountRejected(func(code rockreason.Code) { p.rejected <- code }))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := p.Run(ctx); err != nil && !p.socketClosed.Load() {
			t.Errorf("Run: %v", err)
		}
	}()
	p.stop = func() {
		cancel()
		<-done
	}
	t.Cleanup(p.stop)
	return p
}

func (p *testPeer) connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

func receive[T any](t *testing.T, from chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(testTimeout):
		t.Fatal("nothing received before the timeout")
		panic("unreachable")
	}
}

func send(t *testing.T, from, to *testPeer, m rocktable.PeerMessage) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	return from.Send(ctx, to.Address, m)
}

// Guards against messages that are lost or changed in transit, against a second connection for the
// opposite direction, and against leaked goroutines.
func TestPeersExchangeMessages(t *testing.T) {
	defer goleak.VerifyNone(t)
	root := newTestRoot(t)
	a, b := startPeer(t, root, "127.0.0.1:0"), startPeer(t, root, "127.0.0.1:0")
	for range 3 {
		if err := send(t, a, b, fullMessage()); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(fullMessage(), receive(t, b.received)); diff != "" {
			t.Errorf("message differs (-sent +received):\n%s", diff)
		}
		if err := send(t, b, a, fullMessage()); err != nil {
			t.Fatal(err)
		}
		receive(t, a.received)
	}
	if a.connections() != 1 || b.connections() != 1 {
		t.Errorf("got %d and %d connections, want one for both directions", a.connections(), b.connections())
	}
	a.stop()
	b.stop()
}

// Guards against messages to or from a host whose certificate has another trust root.
func TestOtherRootIsRejected(t *testing.T) {
	a, b := startPeer(t, newTestRoot(t), "127.0.0.1:0"), startPeer(t, newTestRoot(t), "127.0.0.1:0")
	if err := send(t, a, b, fullMessage()); err == nil {
		t.Error("sent a message to a host of another trust root, want an error")
	}
	select {
	case <-b.received:
		t.Error("received a message from a host of another trust root")
	default:
	}
}

// Guards against a peer that stays unreachable after a clean restart because its closed connection is
// still cached.
func TestPeerReachableAfterRestart(t *testing.T) {
	root := newTestRoot(t)
	a, b := startPeer(t, root, "127.0.0.1:0"), startPeer(t, root, "127.0.0.1:0")
	if err := send(t, a, b, fullMessage()); err != nil {
		t.Fatal(err)
	}
	receive(t, b.received)
	b.stop()
	restarted := startPeer(t, root, b.Address)
	deadline := time.Now().Add(testTimeout)
	for {
		// A message right after the restart may be lost with the old connection.
		_ = send(t, a, restarted, fullMessage())
		select {
		case <-restarted.received:
			return
		case <-time.After(50 * time.Millisecond):
		}
		if time.Now().After(deadline) {
			t.Fatal("restarted peer received no message before the timeout")
		}
	}
}

// Guards against malformed frames that are not counted, or that close the connection for later frames.
func TestMalformedFramesAreCounted(t *testing.T) {
	root := newTestRoot(t)
	a, b := startPeer(t, root, "127.0.0.1:0"), startPeer(t, root, "127.0.0.1:0")
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	conn, _, err := a.connect(ctx, b.Address)
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		frame []byte
		want  rockreason.Code
	}{
		{[]byte{0, 0}, rockreason.FrameBroken},
		{[]byte{0xff, 0, 0, 0}, rockreason.FrameTooLarge},
		{frameOf([]byte{8, 9}), rockreason.FrameVersion},
	}
	for _, test := range tests {
		// The receiver rejects a frame that is too large by its length alone, so that its request to stop sending may
		// arrive before the sender has closed the stream.
		if err := writeFrame(ctx, conn, test.frame); err != nil && test.want != rockreason.FrameTooLarge {
			t.Fatal(err)
		}
		if code := receive(t, b.rejected); code != test.want {
			t.Errorf("frame %x: counted as %s, want %s", test.frame, code, test.want)
		}
	}
	if err := send(t, a, b, fullMessage()); err != nil {
		t.Fatal(err)
	}
	receive(t, b.received)
}

// Guards against a sender that waits past its deadline for a host that does not answer.
func TestSendToUnreachablePeer(t *testing.T) {
	a := startPeer(t, newTestRoot(t), "127.0.0.1:0")
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	// Port 9 (discard) of the loopback address is expected to be unused.
	if err := a.Send(ctx, "127.0.0.1:9", fullMessage()); err == nil {
		t.Error("sent a message to a port without a listener, want an error")
	}
}

// Guards against messages that are lost after a host was killed and restarted at the same address.
// They were sent over the dead connection, which stays cached until its idle timeout.
func TestRestartedPeerIsReached(t *testing.T) {
	root := newTestRoot(t)
	a, b := startPeer(t, root, "127.0.0.1:0"), startPeer(t, root, "127.0.0.1:0")
	if err := send(t, a, b, fullMessage()); err != nil {
		t.Fatal(err)
	}
	receive(t, b.received)
	b.socketClosed.Store(true)
	_ = b.socket.Close() // as after a kill, a is not notified that the connection ended
	restarted := startPeer(t, root, b.Address)
	if err := send(t, restarted, a, fullMessage()); err != nil {
		t.Fatal(err)
	}
	receive(t, a.received)
	if err := send(t, a, restarted, fullMessage()); err != nil {
		t.Fatal(err)
	}
	receive(t, restarted.received)
}
