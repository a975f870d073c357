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

const patience = 20 * time.Second

type end struct {
	*Peer
	got    chan rocktable.PeerMessage
	counts chan rockreason.Code
	stop   func()
	killed atomic.Bool // its socket was closed under it
}

func newRoot(t *testing.T) *Root {
	t.Helper()
	root, err := NewThrowAwayRoot(time.Now())
	if err != nil {
		t.Fatal(err)
	}
	return root
}

// open starts a peer with a certificate of the root.
func open(t *testing.T, root *Root, listen string) *end {
	t.Helper()
	trust, err := root.Issue("entry")
	if err != nil {
		t.Fatal(err)
	}
	e := &end{got: make(chan rocktable.PeerMessage, 16), counts: make(chan rockreason.Code, 16)}
	e.Peer, err = New(Settings{Listen: listen, Trust: trust},
		WithReceive(func(m rocktable.PeerMessage) { e.got <- m }),
		WithCount(func(code rockreason.Code) { e.counts <- code }))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := e.Run(ctx); err != nil && !e.killed.Load() {
			t.Errorf("run: %v", err)
		}
	}()
	e.stop = func() {
		cancel()
		<-done
	}
	t.Cleanup(e.stop)
	return e
}

func (e *end) links() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.conns)
}

func wait[T any](t *testing.T, from chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(patience):
		t.Fatal("nothing arrived")
		panic("unreachable")
	}
}

func send(t *testing.T, from, to *end, m rocktable.PeerMessage) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	return from.Send(ctx, to.Address, m)
}

// Guards against messages that are lost or changed on the way, against a second connection for the way back, and against goroutines that stay.
func TestPeersExchangeMessages(t *testing.T) {
	defer goleak.VerifyNone(t)
	root := newRoot(t)
	a, b := open(t, root, "127.0.0.1:0"), open(t, root, "127.0.0.1:0")
	for range 3 {
		if err := send(t, a, b, full()); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(full(), wait(t, b.got)); diff != "" {
			t.Errorf("the message differs (-sent +received):\n%s", diff)
		}
		if err := send(t, b, a, full()); err != nil {
			t.Fatal(err)
		}
		wait(t, a.got)
	}
	if a.links() != 1 || b.links() != 1 {
		t.Errorf("%d and %d connections, want one for both directions", a.links(), b.links())
	}
	a.stop()
	b.stop()
}

// Guards against a host of another trust root that is heard or served.
func TestOtherRootIsRefused(t *testing.T) {
	a, b := open(t, newRoot(t), "127.0.0.1:0"), open(t, newRoot(t), "127.0.0.1:0")
	if err := send(t, a, b, full()); err == nil {
		t.Error("a message to a host of another trust root was sent")
	}
	select {
	case <-b.got:
		t.Error("a message of a host of another trust root was received")
	default:
	}
}

// Guards against a restarted peer that stays unreachable because a dead connection is cached.
func TestPeerRestarts(t *testing.T) {
	root := newRoot(t)
	a, b := open(t, root, "127.0.0.1:0"), open(t, root, "127.0.0.1:0")
	if err := send(t, a, b, full()); err != nil {
		t.Fatal(err)
	}
	wait(t, b.got)
	b.stop()
	again := open(t, root, b.Address)
	deadline := time.Now().Add(patience)
	for {
		// A message right after the restart may be lost with the old connection.
		_ = send(t, a, again, full())
		select {
		case <-again.got:
			return
		case <-time.After(50 * time.Millisecond):
		}
		if time.Now().After(deadline) {
			t.Fatal("the restarted peer is not reached")
		}
	}
}

// Guards against broken frames that go unnoticed or end the connection for the ones that follow.
func TestBrokenFramesAreCounted(t *testing.T) {
	root := newRoot(t)
	a, b := open(t, root, "127.0.0.1:0"), open(t, root, "127.0.0.1:0")
	ctx, cancel := context.WithTimeout(t.Context(), patience)
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
		if err := write(ctx, conn, test.frame); err != nil {
			t.Fatal(err)
		}
		if code := wait(t, b.counts); code != test.want {
			t.Errorf("frame %x counted as %s, want %s", test.frame, code, test.want)
		}
	}
	if err := send(t, a, b, full()); err != nil {
		t.Fatal(err)
	}
	wait(t, b.got)
}

// Guards against a sender that waits for ever for a host that does not answer.
func TestSilentPeer(t *testing.T) {
	a := open(t, newRoot(t), "127.0.0.1:0")
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	// Port 9 (discard) of the loopback address is expected to be unused.
	if err := a.Send(ctx, "127.0.0.1:9", full()); err == nil {
		t.Error("a message to nobody was sent")
	}
}

// Guards against messages to a host that was killed and started again at its address: they must not go on over the dead connection, which ends after its idle limit only.
func TestRestartedPeerIsReached(t *testing.T) {
	root := newRoot(t)
	a, b := open(t, root, "127.0.0.1:0"), open(t, root, "127.0.0.1:0")
	if err := send(t, a, b, full()); err != nil {
		t.Fatal(err)
	}
	wait(t, b.got)
	b.killed.Store(true)
	_ = b.socket.Close() // no word of the end reaches a, as after a kill
	next := open(t, root, b.Address)
	if err := send(t, next, a, full()); err != nil {
		t.Fatal(err)
	}
	wait(t, a.got)
	if err := send(t, a, next, full()); err != nil {
		t.Fatal(err)
	}
	wait(t, next.got)
}
