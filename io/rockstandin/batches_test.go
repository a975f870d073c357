package rockstandin_test

import (
	"slices"
	"testing"
	"time"

	"sassafrasrock/io/rockengine"
	"sassafrasrock/io/rockstandin"
)

// tickHarness runs ticks in virtual time and records the completed steps.
type tickHarness struct {
	t         *testing.T
	w         *rockstandin.World
	now       time.Time
	last      rockstandin.SessionID
	toClose   []rockstandin.SessionID // sessions to close before the next tick
	completed []string
	durations map[string]time.Duration
}

func newTickHarness(t *testing.T, slots int) *tickHarness {
	t.Helper()
	cfg := settings()
	cfg.Engines[0].Slots, cfg.Engines[0].QueueSize = slots, 8
	cfg.Kinds[0].PerSessionMs = 0.5
	h := &tickHarness{t: t, now: time.Unix(1000, 0), durations: make(map[string]time.Duration)}
	var err error
	if h.w, err = rockstandin.NewWorld(h.now, cfg); err != nil {
		t.Fatal(err)
	}
	return h
}

// step posts the opening and the first step of a session of engine a. The session is closed when the step
// has completed.
func (h *tickHarness) step(request, prompt string, priority int, alone bool) {
	h.last++
	id, begun := h.last, h.now
	h.w.Inbox.Opens = append(h.w.Inbox.Opens, rockstandin.OpenEvent{
		Engine: "a", Session: id,
		Request: rockengine.OpenRequest{Request: request, Model: "windsock-9", LastLayer: 2, Priority: priority, Alone: alone},
		Reply: func(reply rockengine.OpenReply) {
			if !reply.Accepted {
				h.t.Errorf("%s refused: %s", request, reply.Text)
			}
		},
	})
	h.w.Inbox.Steps = append(h.w.Inbox.Steps, rockstandin.StepEvent{
		Session: id, Step: rockengine.Step{Prompt: prompt},
		Reply: func(rockengine.StepReply) {
			h.completed = append(h.completed, request)
			h.durations[request] = h.now.Sub(begun)
			h.toClose = append(h.toClose, id)
		},
	})
}

// run runs ticks until nothing is scheduled.
func (h *tickHarness) run() {
	for range 100 {
		h.w.Inbox.Closes, h.toClose = h.toClose, nil
		_, wake := rockstandin.Tick(h.now, h.w)
		switch {
		case !wake.IsZero():
			h.now = wake
		case len(h.toClose) == 0:
			return
		}
	}
	h.t.Fatal("still work scheduled after 100 ticks")
}

// Guards against an engine that serves waiting sessions in the order of arrival instead of by priority.
func TestPriorities(t *testing.T) {
	h := newTickHarness(t, 1)
	h.step("background", prompt, 2, false)
	h.step("ordinary", prompt, 1, false)
	h.step("urgent", prompt, 0, false)
	h.run()
	checkEqual(t, h.completed, []string{"urgent", "ordinary", "background"})
}

// Guards against a suspect request that shares a batch with others, and against a batch time that does
// not depend on the number of sessions.
func TestAloneAndBatchTime(t *testing.T) {
	h := newTickHarness(t, 4)
	h.step("r1", prompt, 0, false)
	h.step("r2", prompt, 0, false)
	h.step("suspect", prompt, 0, true)
	h.run()
	want := map[string]time.Duration{"suspect": time.Millisecond, "r1": 2500 * time.Microsecond, "r2": 2500 * time.Microsecond}
	for request, d := range want {
		if h.durations[request] != d {
			t.Errorf("%s: got duration %v, want %v", request, h.durations[request], d)
		}
	}
}

// Guards against a crash that leaves the other requests of the batch running. The router could then
// identify a suspect more easily than with a real engine.
func TestCrashEndsWholeBatch(t *testing.T) {
	h := newTickHarness(t, 4)
	h.w.Inbox.Faults = []rockstandin.FaultEvent{{
		Fault: rockstandin.Fault{Target: "a", Kind: rockstandin.FaultCrash, Text: "reef"},
		Reply: func(err error) {
			if err != nil {
				t.Error(err)
			}
		},
	}}
	h.step("r1", prompt, 0, false)
	h.step("r2", "the reef", 0, false)
	h.run()
	if len(h.completed) != 0 || h.w.Servers.Get("a").Crashes != 1 || h.w.Servers.Get("a").Down {
		t.Fatalf("completed %v, want none; server %+v, want one crash and a restart", h.completed, h.w.Servers.Get("a"))
	}
	h.step("r3", prompt, 0, false)
	h.run()
	if !slices.Equal(h.completed, []string{"r3"}) {
		t.Fatalf("completed %v after the restart, want r3", h.completed)
	}
}
