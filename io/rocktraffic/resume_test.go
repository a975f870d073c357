package rocktraffic

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/io/rockengine"
)

// maxResumes is the limit of resumptions for a path of three stages.
const maxResumes = 3 * maxResumesPerStage

// faultyHarness is a harness in which a test replaces the steps of stage b of the first attempt.
type faultyHarness struct {
	*harness
	step         func(ctx context.Context, engine *rockengine.Session, step rockengine.Step) (rockengine.StepReply, error) // runs a step of stage b
	refuseResume bool                                                                                                      // stage b refuses to resume sessions
	resumeTries  int                                                                                                       // tries to resume a session
	resumedCount int                                                                                                       // count of StageResumed
}

func newFaultyHarness() *faultyHarness {
	h := &faultyHarness{harness: newHarness(noFailure)}
	h.canResume = true
	h.traffic.Count = func(code rockreason.Code) {
		if code == rockreason.StageResumed {
			h.resumedCount++
		}
	}
	open := h.traffic.Engine.Open
	h.traffic.Engine.Open = func(ctx context.Context, address string, req rockengine.OpenRequest) (*rockengine.Session, error) {
		s, err := open(ctx, address, req)
		if err != nil || address != "b" || req.Epoch != 1 {
			return s, err
		}
		return h.faultySession(s), nil
	}
	return h
}

// faultySession returns a session of stage b. A resumed session always answers its first step.
func (h *faultyHarness) faultySession(engine *rockengine.Session) *rockengine.Session {
	s := &rockengine.Session{Close: func() {}}
	s.Step = func(ctx context.Context, step rockengine.Step) (rockengine.StepReply, error) {
		return h.step(ctx, engine, step)
	}
	s.Resume = func(context.Context, rockengine.Step) (*rockengine.Session, error) {
		h.resumeTries++
		if h.refuseResume {
			return nil, rockengine.ErrNotStarted
		}
		next := h.faultySession(engine)
		faultyStep := next.Step
		next.Step = func(ctx context.Context, step rockengine.Step) (rockengine.StepReply, error) {
			next.Step = faultyStep
			return engine.Step(ctx, step)
		}
		return next, nil
	}
	return s
}

// loseStep returns a step function that loses the connection in the step with this index, or in every step if it is -1.
func loseStep(index int) func(context.Context, *rockengine.Session, rockengine.Step) (rockengine.StepReply, error) {
	return func(ctx context.Context, engine *rockengine.Session, step rockengine.Step) (rockengine.StepReply, error) {
		if index < 0 || step.Index == index {
			return rockengine.StepReply{}, rockengine.ErrLost
		}
		return engine.Step(ctx, step)
	}
}

// Guards against a resumption that fails the attempt, changes the answer or is not counted.
func TestLostStageResumes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		want, _ := newHarness(noFailure).answer(t, "a")
		for index := range 8 {
			h := newFaultyHarness()
			h.step = loseStep(index)
			got, ends := h.answer(t, "a")
			if got != want || ends[0].Reason != "" || !ends[0].Resumed || h.resumedCount != 1 {
				t.Errorf("connection lost in step %d: got answer %q, want %q; got end %+v and %d resumptions counted, want a resumed end and 1", index, got, want, ends[0], h.resumedCount)
			}
		}
	})
}

// Guards against a refused resumption that is tried again or reported as anything but a lost stage,
// and against trying to resume at an engine that cannot.
func TestRefusedResumptionReplays(t *testing.T) {
	for _, resume := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			want, _ := newHarness(noFailure).answer(t, "a")
			h := newFaultyHarness()
			h.step, h.refuseResume, h.canResume = loseStep(3), true, resume
			got, ends := h.answer(t, "a", "d")
			first := ends[0]
			if got != want || first.Reason != rockreason.StageDied || first.FailedServer != 2 || !first.Crashed || h.resumeTries > 0 != resume || h.resumeTries > 1 || h.resumedCount != 0 {
				t.Errorf("resume %t: got answer %q, want %q; got first end %+v after %d tries to resume and %d resumptions counted", resume, got, want, first, h.resumeTries, h.resumedCount)
			}
		})
	}
}

// Guards against an attempt that resumes for ever because its connection is lost in every step.
func TestResumptionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newFaultyHarness()
		h.step = loseStep(-1)
		_, ends := h.answer(t, "a", "a")
		if ends[0].Reason != rockreason.StageDied || ends[0].Tokens != maxResumes || h.resumedCount != maxResumes {
			t.Errorf("got end %+v after %d resumptions, want stageDied after %d", ends[0], h.resumedCount, maxResumes)
		}
	})
}

// Guards against waiting for a silent stage until the step limit has passed, and against failing a
// slow engine because it refuses to resume.
func TestSilentStageResumesWithinTheStepLimit(t *testing.T) {
	for _, refuse := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			h := newFaultyHarness()
			h.refuseResume = refuse
			h.step = func(ctx context.Context, engine *rockengine.Session, step rockengine.Step) (rockengine.StepReply, error) {
				select {
				case <-time.After(900 * time.Millisecond):
				case <-ctx.Done():
				}
				return engine.Step(ctx, step)
			}
			begun := time.Now()
			_, ends := h.answer(t, "a")
			if resumed := h.resumedCount == maxResumes; ends[0].Reason != "" || resumed == refuse {
				t.Errorf("refuse %t: got end %+v after %s with %d resumptions; want a complete answer, with the limit of resumptions reached unless they are refused", refuse, ends[0], time.Since(begun), h.resumedCount)
			}
		})
	}
}

// Guards against resuming the sessions of a slow engine although there is time for the ping, which distinguishes a slow
// engine from a silent connection.
func TestLongStepLimitLeavesSilenceToThePing(t *testing.T) {
	for limit, want := range map[time.Duration]time.Duration{2 * time.Second: time.Second, 4 * time.Second: 0, time.Minute: 0} {
		if got := silenceLimit(limit); got != want {
			t.Errorf("silenceLimit(%s): got %s, want %s", limit, got, want)
		}
	}
}
