package rocktraffic

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/io/rockengine"
)

// tries is the bound of resumptions for a path of three stages.
const tries = 3 * resumesPerStage

// disturbed is a harness whose stage b treats steps as a test tells.
type disturbed struct {
	*harness
	step   func(ctx context.Context, next *rockengine.Session, step rockengine.Step) (rockengine.StepReply, error) // of a stream
	refuse bool                                                                                                    // resumptions
	opened int                                                                                                     // resumptions tried
	counts int                                                                                                     // of StageResumed
}

func newDisturbed() *disturbed {
	d := &disturbed{harness: newHarness(never)}
	d.resume = true
	d.traffic.Count = func(code rockreason.Code) {
		if code == rockreason.StageResumed {
			d.counts++
		}
	}
	open := d.traffic.Engine.Open
	d.traffic.Engine.Open = func(ctx context.Context, address string, req rockengine.OpenRequest) (*rockengine.Session, error) {
		s, err := open(ctx, address, req)
		if err != nil || address != "b" || req.Epoch != 1 {
			return s, err
		}
		return d.stream(s), nil
	}
	return d
}

// stream returns a stream of stage b; one that is resumed answers its first step.
func (d *disturbed) stream(engine *rockengine.Session) *rockengine.Session {
	s := &rockengine.Session{Close: func() {}}
	s.Step = func(ctx context.Context, step rockengine.Step) (rockengine.StepReply, error) {
		return d.step(ctx, engine, step)
	}
	s.Resume = func(context.Context, rockengine.Step) (*rockengine.Session, error) {
		d.opened++
		if d.refuse {
			return nil, rockengine.ErrNotStarted
		}
		next := d.stream(engine)
		disturbedStep := next.Step
		next.Step = func(ctx context.Context, step rockengine.Step) (rockengine.StepReply, error) {
			next.Step = disturbedStep
			return engine.Step(ctx, step)
		}
		return next, nil
	}
	return s
}

// lost loses the step with an index, or every step if the index is -1.
func lost(index int) func(context.Context, *rockengine.Session, rockengine.Step) (rockengine.StepReply, error) {
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
		want, _ := newHarness(never).answer(t, "a")
		for index := range 8 {
			d := newDisturbed()
			d.step = lost(index)
			got, ends := d.answer(t, "a")
			if got != want || ends[0].Reason != "" || !ends[0].Resumed || d.counts != 1 {
				t.Errorf("lost in step %d: answer %q, want %q; end %+v, %d counted", index, got, want, ends[0], d.counts)
			}
		}
	})
}

// Guards against a refused resumption that is told as another end than a lost stage, or is tried twice, and against a try at an engine that cannot resume.
func TestRefusedResumptionReplays(t *testing.T) {
	for _, resume := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			want, _ := newHarness(never).answer(t, "a")
			d := newDisturbed()
			d.step, d.refuse, d.resume = lost(3), true, resume
			got, ends := d.answer(t, "a", "d")
			first := ends[0]
			if got != want || first.Reason != rockreason.StageDied || first.FailedServer != 2 || !first.Crashed || d.opened > 0 != resume || d.opened > 1 || d.counts != 0 {
				t.Errorf("resume %t: answer %q, want %q; first end %+v, %d tried, %d counted", resume, got, want, first, d.opened, d.counts)
			}
		})
	}
}

// Guards against an attempt that resumes for ever on a connection that is lost in every step.
func TestResumptionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDisturbed()
		d.step = lost(-1)
		_, ends := d.answer(t, "a", "a")
		if ends[0].Reason != rockreason.StageDied || ends[0].Tokens != tries || d.counts != tries {
			t.Errorf("end %+v, %d resumed, want %d and the death of the stage", ends[0], d.counts, tries)
		}
	})
}

// Guards against a silent stage that is left until the step limit has passed, and against a slow engine that is given up when it refuses to resume.
func TestSilentStageResumesWithinTheStepLimit(t *testing.T) {
	for _, refuse := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			d := newDisturbed()
			d.refuse = refuse
			d.step = func(ctx context.Context, engine *rockengine.Session, step rockengine.Step) (rockengine.StepReply, error) {
				select {
				case <-time.After(900 * time.Millisecond):
				case <-ctx.Done():
				}
				return engine.Step(ctx, step)
			}
			begun := time.Now()
			_, ends := d.answer(t, "a")
			if resumed := d.counts == tries; ends[0].Reason != "" || resumed == refuse {
				t.Errorf("refuse %t: end %+v after %s, %d resumed", refuse, ends[0], time.Since(begun), d.counts)
			}
		})
	}
}

// Guards against a slow engine whose sessions are resumed although the ping has the time to tell it from a silent connection.
func TestLongStepLimitLeavesSilenceToThePing(t *testing.T) {
	for limit, want := range map[time.Duration]time.Duration{2 * time.Second: time.Second, 4 * time.Second: 0, time.Minute: 0} {
		if got := silentAfter(limit); got != want {
			t.Errorf("silentAfter(%s) = %s, want %s", limit, got, want)
		}
	}
}
