package rocktraffic

import (
	"context"
	"errors"
	"sync"
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockengine"
)

// progressEvery is the least time between two reports of progress, since a report for each token would wake the control thread too often.
const progressEvery = 250 * time.Millisecond

// attempt is one run of a request over the stages of a path.
type attempt struct {
	c         *chat
	start     rocktable.Start
	replay    []uint32 // tokens that earlier attempts delivered
	sessions  []*rockengine.Session
	positions []int // that each stage's KV cache holds
	resumes   int   // tries to resume a session
	resumed   bool  // a session was resumed
	reported  time.Time
}

// failure is the end of an attempt that gave no whole answer.
type failure struct {
	reason  rockreason.Code
	server  rocktable.BackendServerID
	crashed bool
}

// run carries out a start and reports its end.
func (c *chat) run(start rocktable.Start) {
	ctx, replay, ok := c.begin(start)
	if !ok {
		return
	}
	a := &attempt{c: c, start: start, replay: replay}
	fail := a.open(ctx)
	if fail == nil {
		fail = a.steps(ctx)
	}
	a.close()
	if c.ctx.Err() != nil {
		return // the caller has left, which ends the request
	}
	a.end(fail)
}

// open opens a session on every stage at once.
func (a *attempt) open(ctx context.Context) *failure {
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
	s, err := a.c.t.Engine.Open(ctx, stage.Address, rockengine.OpenRequest{
		Request: a.c.name(), Epoch: a.start.Epoch, Model: p.Model, Version: p.Version,
		FirstLayer: stage.FirstLayer, LastLayer: stage.LastLayer, Priority: int(a.start.Priority),
		Fingerprint: Fingerprint(a.c.req.Prompt), Alone: a.start.Alone, MaxTokens: a.c.req.MaxTokens - len(a.replay),
	})
	switch {
	case err == nil:
		return s, nil
	case errors.Is(err, rockengine.ErrNotStarted):
		return nil, &failure{reason: rockreason.StageRefused, server: stage.Server}
	default:
		// Nothing runs before the first step, so that a session lost here is as good as one never opened.
		return nil, &failure{reason: rockreason.StageUnreachable, server: stage.Server, crashed: errors.Is(err, rockengine.ErrLost)}
	}
}

// steps runs the prefill and then one step for each further token.
func (a *attempt) steps(ctx context.Context) *failure {
	tokens := a.replay
	for index := 0; ; index++ {
		reply, fail := a.step(ctx, index, tokens)
		if fail != nil {
			return fail
		}
		code, delivered := a.c.take(a.start.Epoch, index, reply.Token, reply.Text)
		if code != "" {
			a.c.t.Count(code)
			return &failure{reason: rockreason.StageMisstep}
		}
		a.progress()
		if reply.Done || delivered >= a.c.req.MaxTokens {
			return nil
		}
		tokens = []uint32{reply.Token}
	}
}

// step runs one step through every stage in order and returns the last stage's reply.
func (a *attempt) step(ctx context.Context, index int, tokens []uint32) (rockengine.StepReply, *failure) {
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
				step.Prompt = a.c.req.Prompt
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
		return &failure{reason: rockreason.StageStalled}
	case errors.Is(err, context.DeadlineExceeded):
		return &failure{reason: rockreason.StageStalled, server: server}
	case errors.Is(err, rockengine.ErrMisstep):
		return &failure{reason: rockreason.StageMisstep, server: server}
	default:
		return &failure{reason: rockreason.StageDied, server: server, crashed: true}
	}
}

// progress reports the first token at once and later ones from time to time. The later ones can wait for other events:
// 190 streams report 760 times a second, and as many ticks would cost more than the requests themselves.
func (a *attempt) progress() {
	now := a.c.t.Now()
	if !a.reported.IsZero() && now.Sub(a.reported) < progressEvery {
		return
	}
	post := a.c.t.Post
	if !a.reported.IsZero() && a.c.t.PostLater != nil {
		post = a.c.t.PostLater
	}
	a.reported = now
	a.c.mu.Lock()
	p := rocktable.Progress{
		Attempt: a.start.Attempt, Tokens: a.c.stream.Delivered(),
		FirstToken: a.c.stream.FirstToken, LargestGap: a.c.stream.LargestGap, Resumed: a.resumed,
	}
	a.c.mu.Unlock()
	post(func(in *rocktable.Inbox) { in.Progress = append(in.Progress, p) })
}

func (a *attempt) end(fail *failure) {
	a.c.mu.Lock()
	e := rocktable.Ended{
		Attempt: a.start.Attempt, Tokens: a.c.stream.Delivered(),
		FirstToken: a.c.stream.FirstToken, LargestGap: a.c.stream.LargestGap, Resumed: a.resumed,
	}
	a.c.mu.Unlock()
	if fail != nil {
		e.Reason, e.FailedServer, e.Crashed = fail.reason, fail.server, fail.crashed
	}
	a.c.t.Post(func(in *rocktable.Inbox) { in.Ended = append(in.Ended, e) })
}

func (a *attempt) close() {
	for _, s := range a.sessions {
		if s != nil {
			s.Close()
		}
	}
}
