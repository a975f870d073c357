package rocktraffic

import (
	"context"
	"errors"
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/io/rockengine"
)

const (
	// resumesPerStage times the stages of the path limits the tries to resume in one attempt. A fault of the network can strike every stage at once; a path whose connections fail more often is better replaced.
	resumesPerStage = 2
	// resumeLimit is the longest wait for a resumption, since a replay waits for it when the backend server itself is gone.
	resumeLimit = 500 * time.Millisecond
	// pingLimit is the time in which the ping of rockengine finds a silent connection.
	pingLimit = 2 * time.Second
)

// silentAfter returns the wait for an answer after which a stage is resumed without waiting for the ping, or 0. Under a short step limit, the ping would leave no time; under a longer one, it tells a silent connection from a slow engine, which a wait cannot.
func silentAfter(limit time.Duration) time.Duration {
	if limit >= 2*pingLimit {
		return 0
	}
	return limit / 2
}

// runStage runs a step on one stage. If the connection is lost or silent, it resumes the session once and asks for the same step again, all within limit.
func (a *attempt) runStage(ctx context.Context, limit time.Duration, i int, step rockengine.Step) (rockengine.StepReply, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	old := a.sessions[i]
	if !a.start.Path[i].Resume || old.Resume == nil || a.resumes >= resumesPerStage*len(a.start.Path) {
		return old.Step(ctx, step)
	}
	reply, resumed, err := a.stepOrResume(ctx, silentAfter(limit), old, step)
	if resumed == nil {
		return reply, err
	}
	a.sessions[i] = resumed
	// An answer on the old stream is not used: the engine answers the step again.
	return resumed.Step(ctx, step)
}

// stepOrResume runs a step and returns its answer, or the session that was resumed for it.
func (a *attempt) stepOrResume(ctx context.Context, after time.Duration, old *rockengine.Session, step rockengine.Step) (rockengine.StepReply, *rockengine.Session, error) {
	silent := make(chan *rockengine.Session, 1)
	isSilent := func() bool { return false }
	if after > 0 {
		timer := time.AfterFunc(after, func() { silent <- a.resume(ctx, old, step) })
		isSilent = func() bool { return !timer.Stop() }
	}
	reply, err := old.Step(ctx, step)
	switch {
	case isSilent():
		return reply, <-silent, err
	case errors.Is(err, rockengine.ErrLost) && ctx.Err() == nil:
		return reply, a.resume(ctx, old, step), err
	}
	return reply, nil, err
}

// resume returns the resumed session and closes the old one, or returns nil and leaves the old one as it is.
func (a *attempt) resume(ctx context.Context, old *rockengine.Session, step rockengine.Step) *rockengine.Session {
	ctx, cancel := context.WithTimeout(ctx, resumeLimit)
	defer cancel()
	a.resumes++
	resumed, err := old.Resume(ctx, step)
	if err != nil {
		return nil
	}
	old.Close()
	a.resumed = true
	a.c.t.Count(rockreason.StageResumed)
	return resumed
}
