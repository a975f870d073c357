package rockcheck

import (
	"fmt"
	"slices"
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rockstream"
	"sassafrasrock/core/rocktable"
)

// Chat is a model request of a caller, from its arrival at a host to its answer.
type Chat struct {
	Name        string
	Prompt      []uint32
	MaxTokens   int
	Fingerprint uint64
	Poison      bool // crashes each engine that runs it
	Stream      rockstream.Stream
	Answer      *rocktable.Answer // nil until it is answered
	Broken      bool              // its host was killed
	Dropped     int               // tokens that rockstream refused
	At          time.Time
	AnsweredAt  time.Time
	Crashed     []string // engines

	f   *Fleet
	h   *Host
	run *run
}

// run is one attempt, as the traffic goroutines of a host carry it out.
type run struct {
	c         *Chat
	start     rocktable.Start
	input     []uint32 // of the current step
	index     int
	stage     int
	opened    []bool // by stage
	positions []int
	over      bool
}

// Ask sends a model request of a caller to a host.
func (f *Fleet) Ask(h *Host, caller string, rank rocktable.RankID, prompt []uint32, tokens int) *Chat {
	h.lastID++
	c := &Chat{
		Name: fmt.Sprintf("%s#%d/%d", h.Name, h.Incarnation, h.lastID), Prompt: prompt, MaxTokens: tokens, At: f.Now, f: f, h: h,
	}
	for _, t := range prompt {
		c.Fingerprint = mix(c.Fingerprint ^ uint64(t))
	}
	f.Chats = append(f.Chats, c)
	h.chats[h.lastID] = c
	row := rocktable.Request{
		ID: h.lastID, Caller: h.World.InternCaller(caller).ID, Rank: rank, Pipeline: h.World.InternPipeline("captions").ID,
		ArrivedAt: f.Now.Add(h.Offset), PromptTokens: len(prompt), MaxTokens: tokens, Fingerprint: c.Fingerprint,
	}
	f.trace(h.Name, "request %s", c.Name)
	f.post(h, func(in *rocktable.Inbox) { in.Arrivals = append(in.Arrivals, rocktable.Arrival{Request: row}) })
	return c
}

// begin makes an attempt the current one and opens a session on every stage.
func (c *Chat) begin(start rocktable.Start) {
	replay, ok := c.Stream.Begin(start.Epoch)
	if !ok {
		return
	}
	c.stop()
	c.f.trace(c.h.Name, "attempt %d of %s on %s, %d tokens replayed", start.Epoch, c.Name, pathText(start.Path), len(replay))
	r := &run{c: c, start: start, positions: make([]int, len(start.Path)), opened: make([]bool, len(start.Path))}
	r.input = append(append(r.input, c.Prompt...), replay...)
	c.run = r
	for i := range start.Path {
		r.open(i)
	}
	c.f.toHost(c.h, start.FirstTokenLimit, func() {
		if stage := slices.Index(r.opened, false); stage >= 0 {
			r.fail(rockreason.StageUnreachable, stage, false)
		}
	})
}

func pathText(path []rocktable.Stage) string {
	text := ""
	for _, s := range path {
		text += fmt.Sprintf(" %s[%d-%d]", s.Address, s.FirstLayer, s.LastLayer)
	}
	return text[1:]
}

// stop abandons the current attempt.
func (c *Chat) stop() {
	if c.run != nil && !c.run.over {
		c.run.finish()
	}
}

func (c *Chat) cancel(id rocktable.AttemptID) {
	if c.run != nil && c.run.start.Attempt == id {
		c.stop()
	}
}

func (r *run) open(i int) {
	f, h := r.c.f, r.c.h
	e := f.engine(r.start.Path[i].Address)
	f.After(f.delay(), func() {
		if e == nil || !f.Reaches(h.DataCentre, e.DataCentre) {
			return // the limit ends it
		}
		wait := max(0, e.FrozenUntil.Sub(f.Now))
		f.After(wait, func() {
			code := e.open(f, r, i)
			f.toHost(h, f.delay(), func() { r.takeOpened(e, i, code) })
		})
	})
}

func (r *run) takeOpened(e *Engine, i int, code rockreason.Code) {
	switch {
	case r.over:
		e.close(r)
	case code != "":
		r.fail(code, i, false)
	default:
		r.opened[i] = true
		if !slices.Contains(r.opened, false) {
			r.step(embed(r.input))
		}
	}
}

func embed(tokens []uint32) []uint64 {
	input := make([]uint64, 0, len(tokens))
	for _, t := range tokens {
		input = append(input, uint64(t))
	}
	return input
}

// step sends the current step to the current stage.
func (r *run) step(input []uint64) {
	f, h, index, stage := r.c.f, r.c.h, r.index, r.stage
	position := r.positions[stage]
	e := f.engine(r.start.Path[stage].Address)
	limit := r.start.StepLimit
	if index == 0 {
		limit = r.start.FirstTokenLimit
	}
	f.toHost(h, limit, func() {
		if r.index == index && r.stage == stage {
			r.fail(rockreason.StageStalled, stage, false)
		}
	})
	f.After(f.delay(), func() {
		if !f.Reaches(h.DataCentre, e.DataCentre) {
			return
		}
		f.After(max(0, e.FrozenUntil.Sub(f.Now))+f.between(time.Millisecond, 4*time.Millisecond), func() { r.runStep(e, index, stage, position, input) })
	})
}

// runStep runs the step at the engine; its answer may come late or twice.
func (r *run) runStep(e *Engine, index, stage, position int, input []uint64) {
	f := r.c.f
	s := e.find(r)
	if s == nil {
		return // the loss of the session was told when the engine stopped
	}
	output, ok := e.step(f, s, position, input)
	if r.c.Poison {
		r.c.Crashed = append(r.c.Crashed, e.Name)
		f.Crash(e, f.between(500*time.Millisecond, 2*time.Second))
		return
	}
	copies := 1
	if f.chance(0.01) {
		copies = 2
	}
	for range copies {
		back := f.delay()
		if f.chance(0.002) {
			back = f.between(time.Second, 4*time.Second)
		}
		f.toHost(r.c.h, back, func() {
			if f.Reaches(r.c.h.DataCentre, e.DataCentre) {
				r.takeStep(index, stage, output, ok)
			}
		})
	}
}

// takeStep goes on to the next stage, or hands the token to the caller's stream, which drops what is late or repeated.
func (r *run) takeStep(index, stage int, output []uint64, ok bool) {
	if stage < len(r.start.Path)-1 {
		if r.over || r.index != index || r.stage != stage {
			return
		}
		if !ok {
			r.fail(rockreason.StageMisstep, stage, false)
			return
		}
		r.positions[stage] += len(output)
		r.stage++
		r.step(output)
		return
	}
	if !ok || !r.c.take(r, index, uint32(output[len(output)-1])) || r.over {
		return
	}
	r.positions[stage] += len(output)
	r.stage, r.index = 0, index+1
	if len(r.c.Stream.Tokens) >= r.c.MaxTokens {
		r.end(rocktable.Ended{})
		return
	}
	r.progress()
	r.step(embed(r.c.Stream.Tokens[len(r.c.Stream.Tokens)-1:]))
}

// take accepts a token for the caller.
func (c *Chat) take(r *run, index int, token uint32) bool {
	now := c.f.Now.Add(c.h.Offset)
	if c.f.Options.TakeAny {
		c.Stream.Tokens = append(c.Stream.Tokens, token)
		return !r.over && r.index == index
	}
	// The goroutine of an attempt that ended takes no more answers; those of older epochs are left to rockstream.
	ended := r.over && c.run == r
	if c.Answer != nil || c.Broken || ended || c.Stream.Take(now, r.start.Epoch, index, token) != "" {
		c.Dropped++
		return false
	}
	return true
}

// progress reports every fourth token.
func (r *run) progress() {
	s := &r.c.Stream
	if len(s.Tokens)%4 != 1 {
		return
	}
	p := rocktable.Progress{Attempt: r.start.Attempt, Tokens: s.Delivered(), FirstToken: s.FirstToken, LargestGap: s.LargestGap}
	r.c.f.post(r.c.h, func(in *rocktable.Inbox) { in.Progress = append(in.Progress, p) })
}

func (r *run) fail(code rockreason.Code, stage int, crashed bool) {
	if r.over {
		return
	}
	r.c.f.trace(r.c.h.Name, "attempt %d of %s ends: %s at %s", r.start.Epoch, r.c.Name, code, r.start.Path[stage].Address)
	r.end(rocktable.Ended{Reason: code, FailedServer: r.start.Path[stage].Server, Crashed: crashed})
}

// end reports the end of the attempt, now and then twice.
func (r *run) end(e rocktable.Ended) {
	f, s := r.c.f, &r.c.Stream
	e.Attempt, e.Tokens, e.FirstToken, e.LargestGap = r.start.Attempt, s.Delivered(), s.FirstToken, s.LargestGap
	r.finish()
	fill := func(in *rocktable.Inbox) { in.Ended = append(in.Ended, e) }
	f.post(r.c.h, fill)
	if f.chance(0.02) {
		f.toHost(r.c.h, f.delay(), func() { f.post(r.c.h, fill) })
	}
}

// finish closes the sessions.
func (r *run) finish() {
	r.over = true
	for _, stage := range r.start.Path {
		if e := r.c.f.engine(stage.Address); e != nil {
			r.c.f.After(r.c.f.delay(), func() { e.close(r) })
		}
	}
}
