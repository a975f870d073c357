package rocktraffic

import (
	"context"
	"errors"
	"sync"
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockengine"
	"sassafrasrock/io/rockexchange"
	"sassafrasrock/io/rockmemory"
)

// minProgressInterval is the least time between two progress reports of an attempt. A report for each token would wake
// the control thread too often.
const minProgressInterval = 250 * time.Millisecond

// attempt is one run of a request over the stages of a path.
type attempt struct {
	chat        *chat
	start       rocktable.Start
	replay      []uint32 // tokens delivered by earlier attempts
	sessions    []*rockengine.Session
	positions   []int     // number of positions in the KV cache of each stage
	resumeTries int       // over all stages
	resumed     bool      // at least one session was resumed
	progressAt  time.Time // last progress report; zero before the first
}

// failure describes why an attempt ended without a complete answer.
type failure struct {
	reason  rockreason.Code
	server  rocktable.BackendServerID
	crashed bool
	tooLong bool // a message exceeded the largest size that is allowed
}

// run executes a start and reports the end of the attempt.
func (c *chat) run(_ context.Context, start rocktable.Start) {
	replay, ok := c.stream.BeginAttempt(start.Epoch)
	if !ok {
		return
	}
	ctx, cancel := c.Begin(c.ctx, start.Attempt)
	defer cancel()
	a := &attempt{chat: c, start: start, replay: replay}
	defer c.traffic.guard().Recover(func() {
		a.closeSessions()
		c.Abort()
	}, "request", c.name())
	fail := a.openSessions(ctx)
	if fail == nil {
		fail = a.runSteps(ctx)
	}
	a.closeSessions()
	if c.ctx.Err() != nil {
		fail = &failure{reason: rockreason.CallerLeft}
	}
	a.reportEnd(fail)
	if c.emitErr != nil {
		c.Leave()
	}
}

// openSessions opens the sessions on all stages concurrently.
func (a *attempt) openSessions(ctx context.Context) *failure {
	ctx, cancel := context.WithTimeout(ctx, a.start.FirstTokenLimit)
	defer cancel()
	n := len(a.start.Path)
	a.sessions, a.positions = make([]*rockengine.Session, n), make([]int, n)
	fails := make([]*failure, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { a.sessions[i], fails[i] = a.openStage(ctx, i) })
	}
	wg.Wait()
	for _, fail := range fails {
		if fail != nil {
			return fail
		}
	}
	return nil
}

func (a *attempt) openStage(ctx context.Context, i int) (*rockengine.Session, *failure) {
	stage, p := a.start.Path[i], a.start.Pipeline
	s, err := a.chat.traffic.Engine.Open(ctx, stage.Address, rockengine.OpenRequest{
		Request: a.chat.name(), Epoch: a.start.Epoch, Model: p.Model, Version: p.Version,
		FirstLayer: stage.FirstLayer, LastLayer: stage.LastLayer, Priority: a.start.Priority,
		Fingerprint: Fingerprint(a.chat.req.Prompt), Alone: a.start.Alone, MaxTokens: a.chat.req.MaxTokens - len(a.replay),
	})
	a.chat.traffic.logMalformed(a.chat.name(), stage.Name, err)
	switch {
	case err == nil:
		return s, nil
	case errors.Is(err, rockengine.ErrNotStarted):
		return nil, &failure{reason: rockreason.StageRefused, server: stage.Server}
	default:
		// Nothing runs before the first step, so a session lost here counts as one that was never opened.
		return nil, &failure{reason: rockreason.StageUnreachable, server: stage.Server, crashed: errors.Is(err, rockengine.ErrLost)}
	}
}

// runSteps runs the prefill, which yields the first token, and then one step for each further token.
func (a *attempt) runSteps(ctx context.Context) *failure {
	tokens := a.replay
	for index := 0; ; index++ {
		reply, fail := a.runStep(ctx, index, tokens)
		if fail != nil {
			return fail
		}
		code, delivered := a.chat.acceptToken(a.start.Epoch, index, reply.Token, reply.Text)
		if code != "" {
			a.chat.traffic.Count(code)
			return &failure{reason: rockreason.StageMisstep}
		}
		if a.chat.emitErr != nil {
			return &failure{reason: rockreason.CallerLeft}
		}
		a.reportProgress()
		if reply.Done || delivered >= a.chat.req.MaxTokens {
			return nil
		}
		tokens = []uint32{reply.Token}
	}
}

// runStep runs one step through every stage in order and returns the last stage's reply.
func (a *attempt) runStep(ctx context.Context, index int, tokens []uint32) (rockengine.StepReply, *failure) {
	limit := a.start.StepLimit
	if index == 0 {
		limit = a.start.FirstTokenLimit
	}
	var reply rockengine.StepReply
	for i := range a.sessions {
		step := rockengine.Step{Index: index, Position: a.positions[i]}
		if i == 0 {
			step.Tokens = tokens
			if index == 0 {
				step.Prompt = a.chat.req.Prompt
			}
		} else {
			step.Activations = reply.Activations
		}
		var err error
		reply, err = a.runStage(ctx, limit, i, step)
		if err != nil {
			return reply, a.stepFailure(ctx, i, err)
		}
		a.positions[i] = reply.Position
	}
	return reply, nil
}

func (a *attempt) stepFailure(ctx context.Context, i int, err error) *failure {
	server := a.start.Path[i].Server
	switch {
	case ctx.Err() != nil:
		return &failure{reason: rockreason.StageStalled, server: a.chat.SilentServer()}
	case errors.Is(err, context.DeadlineExceeded):
		return &failure{reason: rockreason.StageStalled, server: server}
	case errors.Is(err, rockengine.ErrOutOfStep):
		return &failure{reason: rockreason.StageMisstep, server: server}
	case errors.Is(err, rockengine.ErrTooLarge):
		return &failure{reason: rockreason.StageMisstep, server: server, tooLong: !errors.Is(err, rockmemory.ErrNoRoom)}
	default:
		return &failure{reason: rockreason.StageDied, server: server, crashed: true}
	}
}

// reportProgress reports the first token at once and later ones at most every minProgressInterval. Later reports share
// the next tick: 190 streams report 760 times a second, and as many ticks would cost more than the requests themselves.
func (a *attempt) reportProgress() {
	now := a.chat.traffic.Now()
	if !a.progressAt.IsZero() && now.Sub(a.progressAt) < minProgressInterval {
		return
	}
	post := a.chat.Post
	if !a.progressAt.IsZero() && a.chat.traffic.PostLater != nil {
		post = a.chat.traffic.PostLater
	}
	a.progressAt = now
	p := rocktable.Progress{
		Attempt: a.start.Attempt, Tokens: a.chat.stream.AttemptTokens(),
		FirstTokenAt: a.chat.stream.FirstTokenAt, LargestGap: a.chat.stream.LargestGap, Resumed: a.resumed,
	}
	post(func(in *rocktable.Inbox) { in.Progress = append(in.Progress, p) })
}

// watchStage begins to watch a stage that does not answer a step. The control thread ends the attempt once the request can
// go on with another one.
func (a *attempt) watchStage(stage int, limit time.Duration) *rockexchange.Watch {
	server := a.start.Path[stage].Server
	w := &rockexchange.Watch{
		Guard: a.chat.traffic.guard(),
		FindCause: func() rockexchange.SilenceCause {
			return rockexchange.SilenceCause{FailedServer: server, AtFirstStage: true}
		},
		Report: func(rocktable.BackendServerID, bool) {
			a.chat.Stall(rocktable.Stall{Attempt: a.start.Attempt, Server: server, Session: true})
		},
		SilenceLimit: limit,
	}
	w.Start(limit)
	return w
}

func (a *attempt) reportEnd(fail *failure) {
	e := rocktable.AttemptEnded{
		Attempt: a.start.Attempt, Tokens: a.chat.stream.AttemptTokens(),
		FirstTokenAt: a.chat.stream.FirstTokenAt, LargestGap: a.chat.stream.LargestGap, Resumed: a.resumed,
	}
	if fail != nil {
		e.Reason, e.FailedServer, e.Crashed, e.TooLong = fail.reason, fail.server, fail.crashed, fail.tooLong
	}
	a.chat.EndAttempt(e)
}

func (a *attempt) closeSessions() {
	for _, s := range a.sessions {
		if s != nil {
			s.Close()
		}
	}
}
