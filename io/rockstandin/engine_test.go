package rockstandin_test

import (
	"context"
	"errors"
	"net"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"sassafrasrock/io/rockengine"
	"sassafrasrock/io/rockstandin"
)

// Guards against an engine or a client that drops, repeats or reorders layers, positions or tokens.
func TestAnswerOverThreeStages(t *testing.T) {
	s := start(t, settings())
	e := engineClient(t)
	stages := []*rockengine.Session{mustOpen(t, e, s, "a", "r1"), mustOpen(t, e, s, "b", "r1"), mustOpen(t, e, s, "c", "r1")}
	checkEqual(t, generate(t, stages, prompt, 12), rockstandin.ExpectedTexts("windsock-9", 9, prompt, 12))
	if got := s.Counts().Requests["r1"]; got.Sessions != 3 || got.Steps != 36 {
		t.Fatalf("got counts %+v, want 3 sessions and 36 steps", got)
	}
}

// Guards against a model whose output does not depend on every layer: a skipped or repeated layer range
// would go unnoticed.
func TestExpectedDetectsWrongLayers(t *testing.T) {
	s := start(t, settings())
	e := engineClient(t)
	want := rockstandin.ExpectedTexts("windsock-9", 9, prompt, 4)
	for _, path := range []string{"ac", "abbc"} {
		var stages []*rockengine.Session
		for _, name := range strings.Split(path, "") {
			stages = append(stages, mustOpen(t, e, s, name, path))
		}
		if got := generate(t, stages, prompt, 4); slices.Equal(got, want) {
			t.Fatalf("path %s: got the answer of the correct path", path)
		}
	}
	if slices.Equal(rockstandin.ExpectedTexts("windsock-9", 9, prompt+" x", 4), want) {
		t.Fatal("two different prompts give the same answer")
	}
}

// Guards against a prefix cache that changes the answer, and against cache events whose hashes do not
// match those that the router computes from the prompt.
func TestPrefixCache(t *testing.T) {
	s := start(t, settings())
	e := engineClient(t)
	long := strings.Repeat(prompt+" ", 4)
	for _, request := range []string{"cold", "warm"} {
		stages := []*rockengine.Session{mustOpen(t, e, s, "a", request), mustOpen(t, e, s, "b", request), mustOpen(t, e, s, "c", request)}
		checkEqual(t, generate(t, stages, long, 3), rockstandin.ExpectedTexts("windsock-9", 9, long, 3))
	}
	session := mustOpen(t, e, s, "a", "warm")
	reply, err := session.Step(timeoutContext(t), rockengine.Step{Prompt: long})
	if err != nil || reply.Cached != 32 {
		t.Fatalf("got %d cached positions, want 32; error %v", reply.Cached, err)
	}
	events, err := e.CacheEvents(timeoutContext(t), s.Address("a"), 0)
	if err != nil || len(events.Events) != 2 || events.Events[0].Prefix != rockengine.PrefixHashes(long)[0] {
		t.Fatalf("got events %+v, error %v; want 2 events, the first with the hash of the first block", events, err)
	}
}

// Guards against a replay (prompt and delivered tokens in one step) or a moved KV cache that changes the
// rest of the answer.
func TestReplayAndMove(t *testing.T) {
	s := start(t, settings())
	e := engineClient(t)
	first := mustOpen(t, e, s, "a", "r1")
	before, err := first.Step(timeoutContext(t), rockengine.Step{Prompt: prompt, Tokens: []uint32{7}})
	if err != nil {
		t.Fatal(err)
	}
	move, err := e.Export(timeoutContext(t), s.Address("a"), rockengine.CacheTransfer{Request: "r1", Epoch: 3})
	if err != nil {
		t.Fatal(err)
	}
	move.Request = "r2"
	if err := e.Import(timeoutContext(t), s.Address("a"), move); err != nil {
		t.Fatal(err)
	}
	second := mustOpen(t, e, s, "a", "r2")
	step := rockengine.Step{Index: 1, Position: before.Position, Tokens: []uint32{9}}
	want, err := first.Step(timeoutContext(t), step)
	if err != nil {
		t.Fatal(err)
	}
	got, err := second.Step(timeoutContext(t), step)
	if err != nil || !slices.Equal(got.Activations, want.Activations) {
		t.Fatalf("moved session: got %v, want %v; error %v", got.Activations, want.Activations, err)
	}
	if _, err := e.Export(timeoutContext(t), s.Address("a"), rockengine.CacheTransfer{Request: "none"}); !errors.Is(err, rockengine.ErrNotStarted) {
		t.Fatalf("export of an unknown session: got %v, want ErrNotStarted", err)
	}
}

// Guards against an engine that accepts a step at a position other than the session's.
func TestStepAtWrongPosition(t *testing.T) {
	s := start(t, settings())
	session := mustOpen(t, engineClient(t), s, "a", "r1")
	if _, err := session.Step(timeoutContext(t), rockengine.Step{Position: 5, Tokens: []uint32{1}}); !errors.Is(err, rockengine.ErrOutOfStep) {
		t.Fatalf("got %v, want ErrOutOfStep", err)
	}
}

// Guards against a refusal that is reported as work that may have run, and against an engine that accepts
// more sessions than it has slots and queue places.
func TestRefusals(t *testing.T) {
	cfg := settings()
	cfg.Engines[0].Slots, cfg.Engines[0].QueueSize = 1, 0
	s := start(t, cfg)
	e := engineClient(t)
	_, err := e.Open(timeoutContext(t), s.Address("b"), rockengine.OpenRequest{Request: "r1", Model: "other"})
	if !errors.Is(err, rockengine.ErrNotStarted) {
		t.Fatalf("wrong model: got %v, want ErrNotStarted", err)
	}
	held := mustOpen(t, e, s, "a", "r1")
	if _, err := open(t, e, s, "a", "r2"); !errors.Is(err, rockengine.ErrNotStarted) {
		t.Fatalf("full engine: got %v, want ErrNotStarted", err)
	}
	held.Close()
	eventually(t, "the slot of a closed session to become free", func() bool {
		session, err := open(t, e, s, "a", "r3")
		if err == nil {
			session.Close()
		}
		return err == nil
	})
	fault(t, s, rockstandin.Fault{Target: "b", Kind: rockstandin.FaultLeaving, Refuse: true})
	if _, err := open(t, e, s, "b", "r4"); !errors.Is(err, rockengine.ErrNotStarted) {
		t.Fatalf("leaving engine: got %v, want ErrNotStarted", err)
	}
	if status, _, err := e.Status(timeoutContext(t), s.Address("b")); err != nil || status.State != "leaving" {
		t.Fatalf("got status %+v, error %v; want state leaving", status, err)
	}
}

// Guards against engines that check the fencing number but accept an order from an old lease holder, and
// against such an order that is not counted at the other engines.
func TestOrders(t *testing.T) {
	s := start(t, settings())
	e := engineClient(t)
	load := rockengine.OrderRequest{Order: "load", Model: "windsock-9", Version: "2", FirstLayer: 3, LastLayer: 8}
	for _, name := range []string{"b", "c"} {
		for _, fencing := range []uint64{5, 4} {
			load.Fencing = fencing
			reply, err := e.Order(timeoutContext(t), s.Address(name), load)
			if fenced := name == "b" && fencing == 4; err != nil || reply.Fenced != fenced || reply.OK == fenced {
				t.Fatalf("engine %s, fencing number %d: got %+v, error %v; want only number 4 refused by engine b", name, fencing, reply, err)
			}
		}
	}
	if got := s.Counts().Engines["c"].StaleOrders; got != 1 {
		t.Fatalf("got %d old orders, want 1", got)
	}
	if status, _, err := e.Status(timeoutContext(t), s.Address("b")); err != nil || status.Version != "2" || status.LastLayer != 8 {
		t.Fatalf("got status %+v, error %v; want version 2 with last layer 8", status, err)
	}
}

// exclusive listens without SO_REUSEADDR, which net sets by default.
var exclusive = net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 0)
	})
	return errors.Join(err, failed)
}}

// Guards against sessions that survive a kill, a port that stays open or can be bound by another process
// meanwhile, and a restart with an unchanged incarnation.
func TestKillAndRestart(t *testing.T) {
	s := start(t, settings())
	e := engineClient(t)
	session := mustOpen(t, e, s, "a", "r1")
	before, roundTrip, err := e.Status(timeoutContext(t), s.Address("a"))
	if err != nil || roundTrip <= 0 {
		t.Fatalf("got round trip %v, error %v; want a positive round trip", roundTrip, err)
	}
	fault(t, s, rockstandin.Fault{Target: "a", Kind: rockstandin.FaultKill})
	if _, err := session.Step(timeoutContext(t), rockengine.Step{Prompt: prompt}); !errors.Is(err, rockengine.ErrLost) {
		t.Fatalf("step at a killed engine: got %v, want ErrLost", err)
	}
	eventually(t, "a refused connection", func() bool {
		_, err := open(t, e, s, "a", "r2")
		return errors.Is(err, rockengine.ErrUnreachable)
	})
	if l, err := exclusive.Listen(t.Context(), "tcp", s.Address("a")); err == nil {
		l.Close()
		t.Fatal("another listener could bind the address of a killed engine")
	}
	fault(t, s, rockstandin.Fault{Target: "a", Kind: rockstandin.FaultKill, Lift: true})
	eventually(t, "the restarted engine", func() bool {
		after, _, err := e.Status(timeoutContext(t), s.Address("a"))
		return err == nil && after.Incarnation != before.Incarnation
	})
}

// Guards against a delay that ends the session, and against a restart with an unchanged incarnation.
func TestSlowAndRestart(t *testing.T) {
	s := start(t, settings())
	e := engineClient(t)
	session := mustOpen(t, e, s, "a", "r1")
	fault(t, s, rockstandin.Fault{Target: "a", Kind: rockstandin.FaultSlow, DelayMs: 20, ForMs: 60})
	if _, err := session.Step(timeoutContext(t), rockengine.Step{Prompt: prompt}); err != nil {
		t.Fatal(err)
	}
	before := s.Counts().Servers["a"].Incarnation
	fault(t, s, rockstandin.Fault{Target: "a", Kind: rockstandin.FaultRestart})
	eventually(t, "the restarted engine", func() bool {
		status, _, err := e.Status(timeoutContext(t), s.Address("a"))
		return err == nil && status.Incarnation == before+1
	})
}

// Guards against a step that is lost when the engine is frozen for less than the ping timeout.
func TestFreeze(t *testing.T) {
	s := start(t, settings())
	e := rockengine.New(rockengine.WithPing(testTimeout, testTimeout))
	t.Cleanup(e.Close)
	session := mustOpen(t, e, s, "a", "r1")
	fault(t, s, rockstandin.Fault{Target: "a", Kind: rockstandin.FaultFreeze})
	ended := make(chan error, 1)
	go func() {
		_, err := session.Step(timeoutContext(t), rockengine.Step{Prompt: prompt})
		ended <- err
	}()
	select {
	case err := <-ended:
		t.Fatalf("step at a frozen engine ended with error %v, want no end", err)
	case <-time.After(100 * time.Millisecond):
	}
	fault(t, s, rockstandin.Fault{Target: "a", Kind: rockstandin.FaultFreeze, Lift: true})
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}

// Guards against steps that hang on a silent connection, and against a client that keeps using it for new
// requests.
func TestSilentConnection(t *testing.T) {
	for _, kind := range []string{rockstandin.FaultSilent, rockstandin.FaultCut, rockstandin.FaultFreeze} {
		t.Run(kind, func(t *testing.T) {
			s := start(t, settings())
			e := engineClient(t)
			session := mustOpen(t, e, s, "a", "r1")
			other := mustOpen(t, e, s, "a", "r2")
			fault(t, s, rockstandin.Fault{Target: "a", Kind: kind})
			for _, session := range []*rockengine.Session{session, other} {
				if _, err := session.Step(timeoutContext(t), rockengine.Step{Prompt: prompt}); !errors.Is(err, rockengine.ErrLost) {
					t.Fatalf("step on a silent connection: got %v, want ErrLost", err)
				}
			}
			fault(t, s, rockstandin.Fault{Target: "a", Kind: kind, Lift: true})
			eventually(t, "a new connection", func() bool {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				_, _, err := e.Status(ctx, s.Address("a"))
				return err == nil
			})
		})
	}
}

// Guards against an engine that does not crash on the text, and against one that does not serve other
// requests after the restart.
func TestCrashOnText(t *testing.T) {
	s := start(t, settings())
	e := engineClient(t)
	fault(t, s, rockstandin.Fault{Target: "a", Kind: rockstandin.FaultCrash, Text: "reef"})
	if _, err := mustOpen(t, e, s, "a", "r1").Step(timeoutContext(t), rockengine.Step{Prompt: "the reef"}); !errors.Is(err, rockengine.ErrLost) {
		t.Fatalf("step that crashes the engine: got %v, want ErrLost", err)
	}
	eventually(t, "the restarted engine", func() bool {
		session, err := open(t, e, s, "a", "r2")
		if err != nil {
			return false
		}
		defer session.Close()
		_, err = session.Step(timeoutContext(t), rockengine.Step{Prompt: prompt})
		return err == nil
	})
	if got := s.Counts().Servers["a"].Crashes; got != 1 {
		t.Fatalf("got %d crashes, want 1", got)
	}
}

// Guards against a session that stays usable after a step timed out: a late reply would be taken for that
// of the next step.
func TestStepTimeout(t *testing.T) {
	s := start(t, settings())
	fault(t, s, rockstandin.Fault{Target: "a", Kind: rockstandin.FaultSlow, Factor: 1e6})
	session := mustOpen(t, engineClient(t), s, "a", "r1")
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := session.Step(ctx, rockengine.Step{Prompt: prompt}); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("got %v, want DeadlineExceeded", err)
	}
	if _, err := session.Step(timeoutContext(t), rockengine.Step{Prompt: prompt}); !errors.Is(err, rockengine.ErrLost) {
		t.Fatalf("got %v, want ErrLost", err)
	}
	eventually(t, "the session to end at the engine", func() bool { return s.Counts().Engines["a"].CanceledSteps == 1 })
}

// Guards against Open blocking beyond the deadline of its context while the engine does not answer.
func TestOpenTimeout(t *testing.T) {
	s := start(t, settings())
	e := rockengine.New(rockengine.WithPing(testTimeout, testTimeout))
	t.Cleanup(e.Close)
	mustOpen(t, e, s, "a", "r1")
	fault(t, s, rockstandin.Fault{Target: "a", Kind: rockstandin.FaultFreeze})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := e.Open(ctx, s.Address("a"), rockengine.OpenRequest{Request: "r2"})
	if !errors.Is(err, context.DeadlineExceeded) || !errors.Is(err, rockengine.ErrLost) {
		t.Fatalf("got %v, want ErrLost and DeadlineExceeded", err)
	}
}
