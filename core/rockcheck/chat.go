package rockcheck

import (
	"fmt"
	"slices"
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rockstream"
	"sassafrasrock/core/rocktable"
)

// Chat is a model request sent to one host.
type Chat struct {
	Name           string
	Prompt         []uint32
	MaxTokens      int
	Fingerprint    uint64
	Poison         bool // crashes every engine that runs it
	Stream         rockstream.Stream
	Answer         *rocktable.Answer // nil until it is answered
	HostKilled     bool
	DroppedTokens  int // late or repeated tokens
	SentAt         time.Time
	AnsweredAt     time.Time
	CrashedEngines []string // by name

	fleet   *Fleet
	host    *Host
	attempt *attempt
}

// attempt is one attempt of a request, executed as the traffic goroutines of a host do.
type attempt struct {
	chat      *Chat
	start     rocktable.Start
	input     []uint32 // tokens of the prefill
	index     int      // of the current step
	stage     int      // of the current step
	isOpen    []bool   // by stage
	positions []int    // in the KV cache, by stage
	ended     bool
}

// SendChat sends a model request to a host.
func (f *Fleet) SendChat(h *Host, caller string, rank rocktable.RankID, prompt []uint32, tokens int) *Chat {
	h.lastID++
	c := &Chat{
		Name: fmt.Sprintf("%s#%d/%d", h.Name, h.Incarnation, h.lastID), Prompt: prompt, MaxTokens: tokens, SentAt: f.Now, fleet: f, host: h,
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

// begin makes an attempt the current one and opens a session on every stage. An attempt with an old
// epoch is ignored.
func (c *Chat) begin(start rocktable.Start) {
	replay, ok := c.Stream.BeginAttempt(start.Epoch)
	if !ok {
		return
	}
	c.stop()
	c.fleet.trace(c.host.Name, "attempt %d of %s on %s, %d tokens replayed", start.Epoch, c.Name, pathText(start.Path), len(replay))
	r := &attempt{chat: c, start: start, positions: make([]int, len(start.Path)), isOpen: make([]bool, len(start.Path))}
	r.input = append(append(r.input, c.Prompt...), replay...)
	c.attempt = r
	for i := range start.Path {
		r.open(i)
	}
	c.fleet.deliverToHost(c.host, start.FirstTokenLimit, func() {
		if stage := slices.Index(r.isOpen, false); stage >= 0 {
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

// stop cancels the current attempt.
func (c *Chat) stop() {
	if c.attempt != nil && !c.attempt.ended {
		c.attempt.closeSessions()
	}
}

// cancel ends an attempt. One that ends because of a silent backend server reports its end.
func (c *Chat) cancel(cancel rocktable.Cancel) {
	r := c.attempt
	if r == nil || r.start.Attempt != cancel.Attempt {
		return
	}
	isStalled := func(s rocktable.Stage) bool { return s.Server == cancel.StalledServer }
	if stage := slices.IndexFunc(r.start.Path, isStalled); stage >= 0 {
		r.fail(rockreason.StageStalled, stage, false)
		return
	}
	c.stop()
}

func (r *attempt) open(i int) {
	f, h := r.chat.fleet, r.chat.host
	e := f.engine(r.start.Path[i].Address)
	f.AfterFunc(f.delay(), func() {
		if e == nil || !f.Reaches(h.DataCentre, e.DataCentre) {
			return // the first-token limit ends the attempt
		}
		wait := max(0, e.FrozenUntil.Sub(f.Now))
		f.AfterFunc(wait, func() {
			code := e.open(f, r, i)
			f.deliverToHost(h, f.delay(), func() { r.handleOpened(e, i, code) })
		})
	})
}

func (r *attempt) handleOpened(e *Engine, i int, code rockreason.Code) {
	switch {
	case r.ended:
		e.close(r)
	case code != "":
		r.fail(code, i, false)
	default:
		r.isOpen[i] = true
		if !slices.Contains(r.isOpen, false) {
			r.sendStep(embed(r.input))
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

// sendStep sends the current step to the current stage.
func (r *attempt) sendStep(input []uint64) {
	f, h, index, stage := r.chat.fleet, r.chat.host, r.index, r.stage
	position := r.positions[stage]
	e := f.engine(r.start.Path[stage].Address)
	limit := r.start.StepLimit
	if index == 0 {
		limit = r.start.FirstTokenLimit
	}
	r.watchStep(index, stage, limit, max(limit, r.start.WaitLimit))
	f.AfterFunc(f.delay(), func() {
		if !f.Reaches(h.DataCentre, e.DataCentre) {
			return
		}
		f.AfterFunc(max(0, e.FrozenUntil.Sub(f.Now))+f.between(time.Millisecond, 4*time.Millisecond), func() { r.runStepAt(e, index, stage, position, input) })
	})
}

// watchStep reports a step that is not answered within limit as a stall, and again after each further limit. It ends the
// attempt after the time that is left.
func (r *attempt) watchStep(index, stage int, limit, left time.Duration) {
	f, h := r.chat.fleet, r.chat.host
	f.deliverToHost(h, min(limit, left), func() {
		switch {
		case r.ended || r.index != index || r.stage != stage:
		case left <= limit:
			r.fail(rockreason.StageStalled, stage, false)
		default:
			stall := rocktable.Stall{Attempt: r.start.Attempt, Server: r.start.Path[stage].Server, Session: true}
			f.post(h, func(in *rocktable.Inbox) { in.Stalls = append(in.Stalls, stall) })
			r.watchStep(index, stage, limit, left-limit)
		}
	})
}

// runStepAt runs the step on the engine. The answer may arrive late or twice.
func (r *attempt) runStepAt(e *Engine, index, stage, position int, input []uint64) {
	f := r.chat.fleet
	s := e.findSession(r)
	if s == nil {
		return // Crash already reported the loss of the session
	}
	output, ok := e.step(f, s, position, input)
	if r.chat.Poison {
		r.chat.CrashedEngines = append(r.chat.CrashedEngines, e.Name)
		f.Crash(e, f.between(500*time.Millisecond, 2*time.Second))
		return
	}
	copies := 1
	if f.chance(0.01) {
		copies = 2
	}
	for range copies {
		answerDelay := f.delay()
		if f.chance(0.002) {
			answerDelay = f.between(time.Second, 4*time.Second)
		}
		f.deliverToHost(r.chat.host, answerDelay, func() {
			if f.Reaches(r.chat.host.DataCentre, e.DataCentre) {
				r.handleStep(index, stage, output, ok)
			}
		})
	}
}

// handleStep handles the answer to a step. It continues with the next stage or, after the last one,
// passes the token to the caller's stream, which drops late and repeated tokens.
func (r *attempt) handleStep(index, stage int, output []uint64, ok bool) {
	if stage < len(r.start.Path)-1 {
		if r.ended || r.index != index || r.stage != stage {
			return
		}
		if !ok {
			r.fail(rockreason.StageMisstep, stage, false)
			return
		}
		r.positions[stage] += len(output)
		r.stage++
		r.sendStep(output)
		return
	}
	if !ok || !r.chat.acceptToken(r, index, uint32(output[len(output)-1])) || r.ended {
		return
	}
	r.positions[stage] += len(output)
	r.stage, r.index = 0, index+1
	if len(r.chat.Stream.Tokens) >= r.chat.MaxTokens {
		r.end(rocktable.AttemptEnded{})
		return
	}
	r.reportProgress()
	r.sendStep(embed(r.chat.Stream.Tokens[len(r.chat.Stream.Tokens)-1:]))
}

// acceptToken adds a token to the caller's stream and reports whether the attempt continues with it.
func (c *Chat) acceptToken(r *attempt, index int, token uint32) bool {
	now := c.fleet.Now.Add(c.host.Offset)
	if c.fleet.Options.AcceptAnyToken {
		c.Stream.Tokens = append(c.Stream.Tokens, token)
		return !r.ended && r.index == index
	}
	// The goroutine of an ended attempt reads no more answers. Tokens of older epochs are rejected
	// by rockstream.
	ended := r.ended && c.attempt == r
	if c.Answer != nil || c.HostKilled || ended || c.Stream.Accept(now, r.start.Epoch, index, token) != "" {
		c.DroppedTokens++
		return false
	}
	return true
}

// reportProgress reports every fourth token.
func (r *attempt) reportProgress() {
	s := &r.chat.Stream
	if len(s.Tokens)%4 != 1 {
		return
	}
	p := rocktable.Progress{Attempt: r.start.Attempt, Tokens: s.AttemptTokens(), FirstTokenAt: s.FirstTokenAt, LargestGap: s.LargestGap}
	r.chat.fleet.post(r.chat.host, func(in *rocktable.Inbox) { in.Progress = append(in.Progress, p) })
}

func (r *attempt) fail(code rockreason.Code, stage int, crashed bool) {
	if r.ended {
		return
	}
	r.chat.fleet.trace(r.chat.host.Name, "attempt %d of %s ends: %s at %s", r.start.Epoch, r.chat.Name, code, r.start.Path[stage].Address)
	r.end(rocktable.AttemptEnded{Reason: code, FailedServer: r.start.Path[stage].Server, Crashed: crashed})
}

// end reports the end of the attempt, sometimes twice.
func (r *attempt) end(e rocktable.AttemptEnded) {
	f, s := r.chat.fleet, &r.chat.Stream
	e.Attempt, e.Tokens, e.FirstTokenAt, e.LargestGap = r.start.Attempt, s.AttemptTokens(), s.FirstTokenAt, s.LargestGap
	r.closeSessions()
	fill := func(in *rocktable.Inbox) { in.AttemptsEnded = append(in.AttemptsEnded, e) }
	f.post(r.chat.host, fill)
	if f.chance(0.02) {
		f.deliverToHost(r.chat.host, f.delay(), func() { f.post(r.chat.host, fill) })
	}
}

// closeSessions ends the attempt and closes its sessions.
func (r *attempt) closeSessions() {
	r.ended = true
	for _, stage := range r.start.Path {
		if e := r.chat.fleet.engine(stage.Address); e != nil {
			r.chat.fleet.AfterFunc(r.chat.fleet.delay(), func() { e.close(r) })
		}
	}
}
