package rockfleet

import (
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

const (
	// progressInterval is the minimum time between two progress reports of an attempt, as in
	// rocktraffic.
	progressInterval = 250 * time.Millisecond
	// silenceTimeout is the time after which a connection without data is closed with its calls,
	// and dialTimeout limits the wait for a new connection, as in rockengine.
	silenceTimeout = 2 * time.Second
	dialTimeout    = time.Second
)

// AttemptKey identifies an attempt in the fleet.
type AttemptKey struct {
	Host    int
	Attempt rocktable.AttemptID
}

// Attempt is an attempt that has not ended.
type Attempt struct {
	Key             AttemptKey
	Start           rocktable.Start
	Stage           int           // position in Start.Path of the stage that runs the current step
	StepIndex       int           // current step; 0 is the prefill
	ReplayTokens    int           // tokens of earlier attempts that the prefill replays
	DeliveredTokens int           // tokens that this attempt delivered
	SkipTokens      int           // tokens that are generated again after a restart and not delivered
	Deadline        time.Time     // of the next check of the step
	Limit           time.Duration // of the step, after which its stall is reported; 0 for the prefill at the first stage
	WaitedSince     time.Time     // when the step began
	ReportedAt      time.Time
	Opening         bool // its sessions are not open yet
}

func (r *Attempt) serverID(engine string) rocktable.BackendServerID {
	for _, stage := range r.Start.Path {
		if stage.Address == engine+addressSuffix {
			return stage.Server
		}
	}
	return 0
}

func (f *Fleet) engine(stage rocktable.Stage) *Engine {
	return f.Engines.Get(stage.Address[:len(stage.Address)-len(addressSuffix)])
}

func (f *Fleet) startAttempt(host int, s rocktable.Start) {
	key := AttemptKey{Host: host, Attempt: s.Attempt}
	attempt := f.Attempts.Put(key, Attempt{Key: key, Start: s, Deadline: f.Now.Add(s.FirstTokenLimit), Opening: true})
	f.StartedAttempts++
	stream := f.Streams.Get(StreamKey{Host: host, Request: s.Request})
	if f.Options.RestartAnswers {
		attempt.SkipTokens = stream.Tokens
	} else {
		attempt.ReplayTokens = stream.Tokens
	}
	slowest := time.Duration(0)
	for i, stage := range s.Path {
		d, ok := f.link(f.Hosts[host], f.engine(stage))
		if !ok {
			attempt.Stage = i
			f.failUnopened(key, stage)
			return
		}
		slowest = max(slowest, d)
	}
	f.deliverAfter(slowest, func(f *Fleet) { f.openSessions(key, slowest) })
}

// openSessions opens a session at the engine of every stage. It sends the first step after
// returnDelay, the delay of the slowest answer.
func (f *Fleet) openSessions(key AttemptKey, returnDelay time.Duration) {
	attempt := f.Attempts.Get(key)
	if attempt == nil {
		return
	}
	for _, stage := range attempt.Start.Path {
		e := f.engine(stage)
		if e.Down {
			f.endAttempt(attempt, rockreason.StageUnreachable, stage.Server, true)
			return
		}
		if !e.openSession(key) {
			f.endAttempt(attempt, rockreason.StageRefused, stage.Server, false)
			return
		}
	}
	attempt.Opening = false
	f.deliverAfter(returnDelay, func(f *Fleet) { f.sendStep(key) })
}

// sendStep sends the current step to the engine of its stage.
func (f *Fleet) sendStep(key AttemptKey) {
	attempt := f.Attempts.Get(key)
	if attempt == nil {
		return
	}
	// The prefill at the first stage keeps the deadline that startAttempt set, which covers the opening
	// of the sessions.
	if attempt.StepIndex > 0 || attempt.Stage > 0 && attempt.StepIndex == 0 {
		limit := attempt.Start.StepLimit
		if attempt.StepIndex == 0 {
			limit = attempt.Start.FirstTokenLimit
		}
		attempt.Deadline, attempt.Limit, attempt.WaitedSince = f.Now.Add(limit), limit, f.Now
	}
	e := f.engine(attempt.Start.Path[attempt.Stage])
	d, ok := f.link(f.Hosts[key.Host], e)
	if !ok {
		f.failLostStep(attempt)
		return
	}
	f.deliverAfter(d, func(f *Fleet) { f.receiveStep(key, e) })
}

// failLostStep ends an attempt whose step or result was lost, after the timeout that closes its
// silent connection.
func (f *Fleet) failLostStep(attempt *Attempt) {
	key, stage, index := attempt.Key, attempt.Stage, attempt.StepIndex
	f.deliverAfter(silenceTimeout, func(f *Fleet) {
		attempt := f.Attempts.Get(key)
		if attempt == nil || attempt.Stage != stage || attempt.StepIndex != index {
			return
		}
		f.endAttempt(attempt, rockreason.StageDied, attempt.Start.Path[stage].Server, true)
	})
}

// failUnopened ends an attempt that cannot open a session because its host and the engine are
// disconnected. It waits for the timeout of the old connection while that is still open, and
// otherwise for the timeout of a new one.
func (f *Fleet) failUnopened(key AttemptKey, stage rocktable.Stage) {
	onOldConnection := f.Now.Sub(f.CutOffAt) < silenceTimeout
	wait := dialTimeout
	if onOldConnection {
		wait = silenceTimeout
	}
	f.deliverAfter(wait, func(f *Fleet) {
		if attempt := f.Attempts.Get(key); attempt != nil {
			f.endAttempt(attempt, rockreason.StageUnreachable, stage.Server, onOldConnection)
		}
	})
}

func (f *Fleet) receiveStep(key AttemptKey, e *Engine) {
	attempt := f.Attempts.Get(key)
	if attempt == nil || e.Down {
		return
	}
	if attempt.StepIndex > 0 {
		e.queueStep(key, 0)
		return
	}
	if e.FailureFraction > 0 && f.Rand.Float64() < e.FailureFraction {
		f.endAttempt(attempt, rockreason.StageDied, attempt.Start.Path[attempt.Stage].Server, false)
		return
	}
	ask := f.Options.Requests[f.Streams.Get(StreamKey{Host: key.Host, Request: attempt.Start.Request}).RequestIndex]
	e.queueStep(key, e.lookUpPrefix(ask.Prefix, ask.PromptTokens)+attempt.ReplayTokens)
}

// sendResult sends the result of a step back to the host.
func (f *Fleet) sendResult(e *Engine, key AttemptKey) {
	attempt := f.Attempts.Get(key)
	if attempt == nil {
		return
	}
	d, ok := f.link(f.Hosts[key.Host], e)
	if !ok {
		f.failLostStep(attempt)
		return
	}
	f.deliverAfter(d, func(f *Fleet) { f.receiveResult(key) })
}

func (f *Fleet) receiveResult(key AttemptKey) {
	attempt := f.Attempts.Get(key)
	if attempt == nil {
		return
	}
	attempt.Stage++
	if attempt.Stage < len(attempt.Start.Path) {
		f.sendStep(key)
		return
	}
	attempt.Stage = 0
	attempt.StepIndex++
	f.deliverToken(attempt)
	if attempt.ReplayTokens+attempt.StepIndex >= f.request(attempt).MaxTokens {
		f.endAttempt(attempt, "", 0, false)
		return
	}
	f.sendStep(key)
}

func (f *Fleet) stream(attempt *Attempt) *Stream {
	return f.Streams.Get(StreamKey{Host: attempt.Key.Host, Request: attempt.Start.Request})
}

func (f *Fleet) request(attempt *Attempt) *Request {
	return &f.Options.Requests[f.stream(attempt).RequestIndex]
}

func (f *Fleet) deliverToken(attempt *Attempt) {
	s := f.stream(attempt)
	if attempt.StepIndex <= attempt.SkipTokens {
		return // the caller received this token from an earlier attempt
	}
	attempt.DeliveredTokens++
	s.Tokens++
	if s.FirstTokenAt.IsZero() {
		s.FirstTokenAt = f.Now
	} else if f.Since() >= f.Options.MeasureFrom {
		s.LargestGap = max(s.LargestGap, f.Now.Sub(s.LastTokenAt))
		f.LargestGaps[s.RequestIndex] = s.LargestGap
	}
	s.LastTokenAt = f.Now
	bin := int(f.Since() / BinWidth)
	for len(f.TokensByBin) <= bin {
		f.TokensByBin = append(f.TokensByBin, 0)
	}
	f.TokensByBin[bin]++
	if !attempt.ReportedAt.IsZero() && f.Now.Sub(attempt.ReportedAt) < progressInterval {
		return
	}
	attempt.ReportedAt = f.Now
	in := &f.Hosts[attempt.Key.Host].Inbox
	in.Progress = append(in.Progress, rocktable.Progress{
		Attempt: attempt.Start.Attempt, Tokens: attempt.DeliveredTokens, FirstTokenAt: s.FirstTokenAt, LargestGap: s.LargestGap,
	})
}

// endAttempt reports the end of an attempt to its host, closes its sessions and deletes it.
func (f *Fleet) endAttempt(attempt *Attempt, reason rockreason.Code, server rocktable.BackendServerID, crashed bool) {
	s := f.stream(attempt)
	in := &f.Hosts[attempt.Key.Host].Inbox
	in.AttemptsEnded = append(in.AttemptsEnded, rocktable.AttemptEnded{
		Attempt: attempt.Start.Attempt, Reason: reason, FailedServer: server, Crashed: crashed,
		Tokens: attempt.DeliveredTokens, FirstTokenAt: s.FirstTokenAt, LargestGap: s.LargestGap,
	})
	f.closeAttempt(attempt)
}

func (f *Fleet) closeAttempt(attempt *Attempt) {
	for _, stage := range attempt.Start.Path {
		f.engine(stage).closeSession(attempt.Key)
	}
	f.Attempts.Delete(attempt.Key)
}

// cancelAttempt ends an attempt. One that ends because of a silent backend server reports its end.
func (f *Fleet) cancelAttempt(attempt *Attempt, c rocktable.Cancel) {
	if c.StalledServer != 0 {
		f.endAttempt(attempt, rockreason.StageStalled, c.StalledServer, false)
		return
	}
	f.closeAttempt(attempt)
}

// handleSilence reports a stall of an attempt whose step is not answered within its limit, or ends the attempt once it
// has waited for as long as it may.
func (f *Fleet) handleSilence(attempt *Attempt) {
	server := attempt.Start.Path[attempt.Stage].Server
	if attempt.Opening {
		f.endAttempt(attempt, rockreason.StageUnreachable, server, false)
		return
	}
	if attempt.Limit == 0 || f.Now.Sub(attempt.WaitedSince) > attempt.Start.WaitLimit {
		f.endAttempt(attempt, rockreason.StageStalled, server, false)
		return
	}
	in := &f.Hosts[attempt.Key.Host].Inbox
	in.Stalls = append(in.Stalls, rocktable.Stall{Attempt: attempt.Start.Attempt, Server: server, Session: true})
	attempt.Deadline = f.Now.Add(min(attempt.Limit, attempt.Start.WaitLimit-f.Now.Sub(attempt.WaitedSince)))
}

func runLimits(f *Fleet) {
	// A check every 10 ticks is sufficient: the time limits are seconds long.
	if f.Since()%(10*Tick) != 0 {
		return
	}
	for _, attempt := range f.Attempts.All() {
		if f.Now.After(attempt.Deadline) {
			f.handleSilence(attempt)
		}
	}
}
