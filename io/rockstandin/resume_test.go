package rockstandin_test

import (
	"errors"
	"slices"
	"testing"
	"time"

	"sassafrasrock/io/rockengine"
	"sassafrasrock/io/rockstandin"
)

var (
	prefill = rockengine.Step{Prompt: prompt}
	second  = rockengine.Step{Index: 1, Position: len(rockstandin.Tokenise(prompt)), Tokens: []uint32{7}}
)

// openAndReset opens a session, runs its prefill and resets the connection.
func openAndReset(t *testing.T, e *rockengine.Engine, s *rockstandin.Standin) *rockengine.Session {
	t.Helper()
	session := mustOpen(t, e, s, "a", "r1")
	if _, err := session.Step(timeoutContext(t), prefill); err != nil {
		t.Fatal(err)
	}
	fault(t, s, rockstandin.Fault{Target: "a", Kind: rockstandin.FaultReset})
	return session
}

// Guards against a step that runs twice, or whose second reply differs, when the reply was lost and the
// router retries the step on a resumed session.
func TestLostAnswerOfStep(t *testing.T) {
	s := start(t, settings())
	e := engineClient(t)
	reference := mustOpen(t, e, s, "a", "whole")
	for _, step := range []rockengine.Step{prefill, second} {
		session := mustOpen(t, e, s, "a", "r1")
		if step.Index == 1 {
			if _, err := session.Step(timeoutContext(t), prefill); err != nil {
				t.Fatal(err)
			}
		}
		fault(t, s, rockstandin.Fault{Target: "a", Kind: rockstandin.FaultLostAnswer, Times: 1})
		if _, err := session.Step(timeoutContext(t), step); !errors.Is(err, rockengine.ErrLost) {
			t.Fatalf("step %d with a lost reply: got %v, want ErrLost", step.Index, err)
		}
		before := s.Counts().Requests["r1"]
		resumed, err := session.Resume(timeoutContext(t), step)
		if err != nil {
			t.Fatal(err)
		}
		got, err := resumed.Step(timeoutContext(t), step)
		if err != nil {
			t.Fatal(err)
		}
		if after := s.Counts().Requests["r1"]; after != before {
			t.Errorf("step %d ran again: counts %+v, before %+v", step.Index, after, before)
		}
		// The reset also ended the stream of the reference session.
		if reference, err = reference.Resume(timeoutContext(t), step); err != nil {
			t.Fatal(err)
		}
		want, err := reference.Step(timeoutContext(t), step)
		if err != nil || !slices.Equal(got.Activations, want.Activations) {
			t.Errorf("retried step %d: got %v, want %v; error %v", step.Index, got.Activations, want.Activations, err)
		}
		resumed.Close()
		eventually(t, "the end of the session", func() bool {
			// A resumption that arrives before the close takes over the session, so it has to be closed too.
			next, err := resumed.Resume(timeoutContext(t), step)
			if err == nil {
				next.Close()
			}
			return errors.Is(err, rockengine.ErrNotStarted)
		})
	}
}

// Guards against a session that can be resumed after it was canceled, and against a canceled session that
// keeps its slot.
func TestCanceledSessionCannotBeResumed(t *testing.T) {
	cfg := settings()
	cfg.Engines[0].Slots, cfg.Engines[0].QueueSize = 1, 0
	// A slot that is kept for a resumption would not become free within the timeout of the test.
	cfg.Engine.ResumeMs = 600000
	s := start(t, cfg)
	e := engineClient(t)
	session := mustOpen(t, e, s, "a", "r1")
	if _, err := session.Step(timeoutContext(t), prefill); err != nil {
		t.Fatal(err)
	}
	session.Close()
	eventually(t, "the slot of a canceled session to become free", func() bool {
		next, err := open(t, e, s, "a", "r2")
		if err == nil {
			next.Close()
		}
		return err == nil
	})
	if _, err := session.Resume(timeoutContext(t), second); !errors.Is(err, rockengine.ErrNotStarted) {
		t.Errorf("resumption of a canceled session: got %v, want %v", err, rockengine.ErrNotStarted)
	}
}

// Guards against a resumption that is accepted by a restarted engine, by an engine without resumption, for
// another request or epoch, or at a wrong position.
func TestResumeRefused(t *testing.T) {
	cfg := settings()
	cfg.Engines[1].NoResume = true
	s := start(t, cfg)
	e := engineClient(t)
	for name, want := range map[string]bool{"a": true, "b": false} {
		if status, _, err := e.Status(timeoutContext(t), s.Address(name)); err != nil || status.Resume != want {
			t.Errorf("engine %s: got resume %t, want %t; error %v", name, status.Resume, want, err)
		}
	}
	session := mustOpen(t, e, s, "b", "r1")
	fault(t, s, rockstandin.Fault{Target: "b", Kind: rockstandin.FaultReset})
	if _, err := session.Resume(timeoutContext(t), rockengine.Step{}); !errors.Is(err, rockengine.ErrNotStarted) {
		t.Errorf("engine without resumption: got %v, want ErrNotStarted", err)
	}
	session = openAndReset(t, e, s)
	for _, other := range []rockengine.OpenRequest{{Request: "r2", Epoch: 3}, {Request: "r1", Epoch: 2}} {
		other.Model, other.Version, other.LastLayer, other.Resume = "windsock-9", "1", 2, true
		// A new client has no pooled connection whose reset it has not seen yet.
		if _, err := engineClient(t).Open(timeoutContext(t), s.Address("a"), other); !errors.Is(err, rockengine.ErrNotStarted) {
			t.Errorf("request %s, epoch %d: got %v, want ErrNotStarted", other.Request, other.Epoch, err)
		}
	}
	if _, err := session.Resume(timeoutContext(t), rockengine.Step{Index: 2, Position: second.Position + 1}); !errors.Is(err, rockengine.ErrOutOfStep) {
		t.Errorf("resumption for a step that is not the next one: got %v, want ErrOutOfStep", err)
	}
	session = openAndReset(t, e, s)
	fault(t, s, rockstandin.Fault{Target: "a", Kind: rockstandin.FaultRestart})
	eventually(t, "a refusal by the restarted engine", func() bool {
		_, err := session.Resume(timeoutContext(t), second)
		if err == nil {
			t.Fatal("the restarted engine resumed a session")
		}
		return errors.Is(err, rockengine.ErrNotStarted)
	})
}

// Guards against a step that runs twice when its session is resumed on another stream meanwhile, and
// against the end of the old stream closing the resumed session.
func TestResumeDuringStep(t *testing.T) {
	h := newTickHarness(t, 1)
	h.step("r1", prompt, 0, false)
	h.tick()
	request := rockengine.OpenRequest{Request: "r1", Model: "windsock-9", LastLayer: 2, Resume: true}
	var opened rockengine.OpenReply
	answers := 0
	h.w.Inbox.Opens = append(h.w.Inbox.Opens, rockstandin.OpenEvent{
		Engine: "a", Session: 9, Request: request, Reply: func(reply rockengine.OpenReply) { opened = reply },
	})
	h.w.Inbox.Steps = append(h.w.Inbox.Steps, rockstandin.StepEvent{
		Session: 9, Step: prefill, Reply: func(rockengine.StepReply) { answers++ },
	})
	h.tick()
	h.w.Inbox.Closes = append(h.w.Inbox.Closes, 1)
	h.run()
	if count := h.w.Requests.Get("r1"); !opened.Accepted || answers != 1 || len(h.completed) != 0 || count.Steps != 1 || count.Sessions != 1 {
		t.Errorf("reply %+v, %d replies on the new stream, %d on the old one, counts %+v; want one reply on the new stream, one step", opened, answers, len(h.completed), count)
	}
}

// Guards against a lost session that expires too early or never, and against a slot that becomes free
// before the session expires.
func TestLostSessionKeepsItsSlot(t *testing.T) {
	h := newTickHarness(t, 1)
	h.step("r1", prompt, 0, false)
	h.tick()
	h.w.Inbox.LostStreams = append(h.w.Inbox.LostStreams, 1)
	h.tick()
	h.now = h.now.Add(4900 * time.Millisecond)
	h.tick()
	if load := h.w.Engines.Get("a").Load; load.Active != 1 {
		t.Errorf("load %+v before the resume time has ended, want the slot taken", load)
	}
	h.now = h.now.Add(100 * time.Millisecond)
	h.tick()
	if e := h.w.Engines.Get("a"); e.Load.Active != 0 || e.Count.ExpiredSessions != 1 {
		t.Errorf("load %+v, %d expired sessions after the resume time, want a free slot and one expired session", e.Load, e.Count.ExpiredSessions)
	}
}

// tick runs one tick without advancing the clock.
func (h *tickHarness) tick() { rockstandin.Tick(h.now, h.w) }
