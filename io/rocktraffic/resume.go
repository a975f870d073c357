package rocktraffic

import (
	"context"
	"errors"
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/io/rockengine"
)

const (
	// maxResumesPerStage times the number of stages limits the tries to resume sessions in one attempt. A network fault
	// can affect every stage at once; if connections fail more often than that, another path is the better choice.
	maxResumesPerStage = 2
	// resumeTimeout is the longest wait for a resumption. If the backend server is down, the replay
	// starts only after it.
	resumeTimeout = 500 * time.Millisecond
	// pingDetectTime is the time within which the ping of rockengine detects a silent connection.
	pingDetectTime = 2 * time.Second
)

// silenceLimit returns the time without an answer after which a session is resumed without waiting
// for the ping, or 0 if only the ping decides. With a short step limit, no time would be left to
// resume after the ping. With a longer one, the ping is better: it distinguishes a silent
// connection from a slow engine, which waiting alone cannot.
func silenceLimit(limit time.Duration) time.Duration {
	if limit >= 2*pingDetectTime {
		return 0
	}
	return limit / 2
}

// runStage runs a step on one stage. If the connection is lost or silent, it resumes the session
// once and sends the same step again. After limit it reports the stall, and goes on waiting up to Start.WaitLimit.
func (a *attempt) runStage(ctx context.Context, limit time.Duration, i int, step rockengine.Step) (rockengine.StepReply, error) {
	ctx, cancel := context.WithTimeout(ctx, max(limit, a.start.WaitLimit))
	defer cancel()
	if limit < a.start.WaitLimit {
		defer a.watchStage(i, limit).Stop()
	}
	old := a.sessions[i]
	if !a.start.Path[i].Resume || old.Resume == nil || a.resumeTries >= maxResumesPerStage*len(a.start.Path) {
		return old.Step(ctx, step)
	}
	reply, resumed, err := a.stepOrResume(ctx, silenceLimit(limit), old, step)
	if resumed == nil {
		return reply, err
	}
	a.sessions[i] = resumed
	// An answer on the old connection is discarded: the engine answers the step again on the new one.
	return resumed.Step(ctx, step)
}

// stepOrResume runs a step and returns its answer, or the session that was resumed because the step got none.
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

// resume resumes a session, closes the old one and returns the new one. If that fails, it returns
// nil and the old session stays open.
func (a *attempt) resume(ctx context.Context, old *rockengine.Session, step rockengine.Step) *rockengine.Session {
	ctx, cancel := context.WithTimeout(ctx, resumeTimeout)
	defer cancel()
	a.resumeTries++
	resumed, err := old.Resume(ctx, step)
	if err != nil {
		return nil
	}
	old.Close()
	a.resumed = true
	a.chat.traffic.Count(rockreason.StageResumed)
	return resumed
}
