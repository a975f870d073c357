package rockstandin_test

import (
	"slices"
	"testing"
	"time"

	"sassafrasrock/io/rockengine"
	"sassafrasrock/io/rockstandin"
)

// tickHarness runs ticks in virtual time and records the ends of steps.
type tickHarness struct {
	t         *testing.T
	w         *rockstandin.World
	now       time.Time
	last      rockstandin.SessionID
	toClose   []rockstandin.SessionID // closed before the next tick
	completed []string
	durations map[string]time.Duration
}

func newTickHarness(t *testing.T, slots int) *tickHarness {
	t.Helper()
	cfg := settings()
	cfg.Engines[0].Slots, cfg.Engines[0].Queue = slots, 8
	cfg.Kinds[0].PerSessionMs = 0.5
	b := &tickHarness{t: t, now: time.Unix(1000, 0), durations: make(map[string]time.Duration)}
	var err error
	if b.w, err = rockstandin.NewWorld(b.now, cfg); err != nil {
		t.Fatal(err)
	}
	return b
}

// step posts the opening and the first step of a session of engine a.
func (b *tickHarness) step(request, prompt string, priority int, alone bool) {
	b.last++
	id, begun := b.last, b.now
	b.w.Inbox.Opens = append(b.w.Inbox.Opens, rockstandin.OpenEvent{
		Engine: "a", Session: id,
		Request: rockengine.OpenRequest{Request: request, Model: "windsock-9", LastLayer: 2, Priority: priority, Alone: alone},
		Reply: func(reply rockengine.OpenReply) {
			if !reply.Accepted {
				b.t.Errorf("%s refused: %s", request, reply.Text)
			}
		},
	})
	b.w.Inbox.Steps = append(b.w.Inbox.Steps, rockstandin.StepEvent{
		Session: id, Step: rockengine.Step{Prompt: prompt},
		Reply: func(rockengine.StepReply) {
			b.completed = append(b.completed, request)
			b.durations[request] = b.now.Sub(begun)
			b.toClose = append(b.toClose, id)
		},
	})
}

// run runs ticks until nothing is due.
func (b *tickHarness) run() {
	for range 100 {
		b.w.Inbox.Closes, b.toClose = b.toClose, nil
		_, wake := rockstandin.Tick(b.now, b.w)
		switch {
		case !wake.IsZero():
			b.now = wake
		case len(b.toClose) == 0:
			return
		}
	}
	b.t.Fatal("the ticks do not end")
}

// Guards against an engine that serves waiting sessions in order of arrival.
func TestPriorities(t *testing.T) {
	b := newTickHarness(t, 1)
	b.step("background", prompt, 2, false)
	b.step("ordinary", prompt, 1, false)
	b.step("urgent", prompt, 0, false)
	b.run()
	checkEqual(t, b.completed, []string{"urgent", "ordinary", "background"})
}

// Guards against a suspect that shares a batch, and against a batch time that ignores the number of sessions.
func TestAloneAndBatchTime(t *testing.T) {
	b := newTickHarness(t, 4)
	b.step("r1", prompt, 0, false)
	b.step("r2", prompt, 0, false)
	b.step("suspect", prompt, 0, true)
	b.run()
	want := map[string]time.Duration{"suspect": time.Millisecond, "r1": 2500 * time.Microsecond, "r2": 2500 * time.Microsecond}
	for request, d := range want {
		if b.durations[request] != d {
			t.Errorf("%s took %v, want %v", request, b.durations[request], d)
		}
	}
}

// Guards against a crash that spares the rest of the batch, which would make suspects too easy to tell.
func TestCrashEndsWholeBatch(t *testing.T) {
	b := newTickHarness(t, 4)
	b.w.Inbox.Faults = []rockstandin.FaultEvent{{
		Fault: rockstandin.Fault{Target: "a", Kind: rockstandin.FaultCrash, Text: "reef"},
		Reply: func(err error) {
			if err != nil {
				t.Error(err)
			}
		},
	}}
	b.step("r1", prompt, 0, false)
	b.step("r2", "the reef", 0, false)
	b.run()
	if len(b.completed) != 0 || b.w.Servers.Get("a").Crashes != 1 || b.w.Servers.Get("a").Down {
		t.Fatalf("ended %v, server %+v", b.completed, b.w.Servers.Get("a"))
	}
	b.step("r3", prompt, 0, false)
	b.run()
	if !slices.Equal(b.completed, []string{"r3"}) {
		t.Fatalf("ended %v after the restart, want r3", b.completed)
	}
}
