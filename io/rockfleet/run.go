package rockfleet

import (
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

const (
	// progressEvery is the least time between two reports of progress, as in rocktraffic.
	progressEvery = 250 * time.Millisecond
	// silence is the time after which a silent connection is closed with its calls, and dialTimeout the wait for a new one, as in rockengine.
	silence     = 2 * time.Second
	dialTimeout = time.Second
)

// RunKey identifies an attempt within the fleet.
type RunKey struct {
	Host    int
	Attempt rocktable.AttemptID
}

// Run is an attempt under way.
type Run struct {
	Key      RunKey
	Start    rocktable.Start
	Stage    int // that has the current step
	Index    int // of the current step
	Replay   int // tokens that earlier attempts delivered
	Tokens   int // delivered by this attempt
	Skip     int // tokens that the caller has already, after a restart
	Deadline time.Time
	Reported time.Time
	Opening  bool // its sessions are being opened
}

func (r *Run) serverID(engine string) rocktable.BackendServerID {
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

func (f *Fleet) startRun(host int, s rocktable.Start) {
	key := RunKey{Host: host, Attempt: s.Attempt}
	run := f.Runs.Put(key, Run{Key: key, Start: s, Deadline: f.Now.Add(s.FirstTokenLimit), Opening: true})
	f.Started++
	stream := f.Streams.Get(StreamKey{Host: host, Request: s.Request})
	if f.Options.Restart {
		run.Skip = stream.Tokens
	} else {
		run.Replay = stream.Tokens
	}
	slowest := time.Duration(0)
	for i, stage := range s.Path {
		d, ok := f.link(f.Hosts[host], f.engine(stage))
		if !ok {
			run.Stage = i
			f.loseOpening(key, stage)
			return
		}
		slowest = max(slowest, d)
	}
	f.after(slowest, func(f *Fleet) { f.openRun(key, slowest) })
}

// openRun opens the sessions of every stage, and sends the first step after the slowest answer.
func (f *Fleet) openRun(key RunKey, back time.Duration) {
	run := f.Runs.Get(key)
	if run == nil {
		return
	}
	for _, stage := range run.Start.Path {
		e := f.engine(stage)
		if e.Down {
			f.endRun(run, rockreason.StageUnreachable, stage.Server, true)
			return
		}
		if !e.open(key) {
			f.endRun(run, rockreason.StageRefused, stage.Server, false)
			return
		}
	}
	run.Opening = false
	f.after(back, func(f *Fleet) { f.sendStep(key) })
}

// sendStep sends the current step to its stage.
func (f *Fleet) sendStep(key RunKey) {
	run := f.Runs.Get(key)
	if run == nil {
		return
	}
	if run.Index > 0 || run.Stage > 0 && run.Index == 0 {
		limit := run.Start.StepLimit
		if run.Index == 0 {
			limit = run.Start.FirstTokenLimit
		}
		run.Deadline = f.Now.Add(limit)
	}
	e := f.engine(run.Start.Path[run.Stage])
	d, ok := f.link(f.Hosts[key.Host], e)
	if !ok {
		f.loseStep(run)
		return
	}
	f.after(d, func(f *Fleet) { f.takeStep(key, e) })
}

// loseStep ends a run whose step or answer was lost, when its connection is found silent.
func (f *Fleet) loseStep(run *Run) {
	key, stage, index := run.Key, run.Stage, run.Index
	f.after(silence, func(f *Fleet) {
		run := f.Runs.Get(key)
		if run == nil || run.Stage != stage || run.Index != index {
			return
		}
		f.endRun(run, rockreason.StageDied, run.Start.Path[stage].Server, true)
	})
}

// loseOpening ends a run that can't open a session: the first ones use the silent connection, later ones dial.
func (f *Fleet) loseOpening(key RunKey, stage rocktable.Stage) {
	lost := f.Now.Sub(f.CutAt) < silence
	wait := dialTimeout
	if lost {
		wait = silence
	}
	f.after(wait, func(f *Fleet) {
		if run := f.Runs.Get(key); run != nil {
			f.endRun(run, rockreason.StageUnreachable, stage.Server, lost)
		}
	})
}

func (f *Fleet) takeStep(key RunKey, e *Engine) {
	run := f.Runs.Get(key)
	if run == nil || e.Down {
		return
	}
	if run.Index > 0 {
		e.step(key, 0)
		return
	}
	if e.FailsPart > 0 && f.Rand.Float64() < e.FailsPart {
		f.endRun(run, rockreason.StageDied, run.Start.Path[run.Stage].Server, false)
		return
	}
	ask := f.Options.Load[f.Streams.Get(StreamKey{Host: key.Host, Request: run.Start.Request}).Ask]
	e.step(key, e.lookUp(ask.Prefix, ask.Prompt)+run.Replay)
}

// finishStep sends the result of a step back to the host.
func (f *Fleet) finishStep(e *Engine, key RunKey) {
	run := f.Runs.Get(key)
	if run == nil {
		return
	}
	d, ok := f.link(f.Hosts[key.Host], e)
	if !ok {
		f.loseStep(run)
		return
	}
	f.after(d, func(f *Fleet) { f.takeResult(key) })
}

func (f *Fleet) takeResult(key RunKey) {
	run := f.Runs.Get(key)
	if run == nil {
		return
	}
	run.Stage++
	if run.Stage < len(run.Start.Path) {
		f.sendStep(key)
		return
	}
	run.Stage = 0
	run.Index++
	f.takeToken(run)
	if run.Replay+run.Index >= f.asks(run).MaxTokens {
		f.endRun(run, "", 0, false)
		return
	}
	f.sendStep(key)
}

func (f *Fleet) stream(run *Run) *Stream {
	return f.Streams.Get(StreamKey{Host: run.Key.Host, Request: run.Start.Request})
}

func (f *Fleet) asks(run *Run) *Ask { return &f.Options.Load[f.stream(run).Ask] }

func (f *Fleet) takeToken(run *Run) {
	s := f.stream(run)
	if run.Index <= run.Skip {
		return // a restart repeats what the caller has
	}
	run.Tokens++
	s.Tokens++
	if s.First.IsZero() {
		s.First = f.Now
	} else if f.Since() >= f.Options.StreamsFrom {
		s.Largest = max(s.Largest, f.Now.Sub(s.Last))
		f.Gaps[s.Ask] = s.Largest
	}
	s.Last = f.Now
	bin := int(f.Since() / BinWidth)
	for len(f.Tokens) <= bin {
		f.Tokens = append(f.Tokens, 0)
	}
	f.Tokens[bin]++
	if !run.Reported.IsZero() && f.Now.Sub(run.Reported) < progressEvery {
		return
	}
	run.Reported = f.Now
	in := &f.Hosts[run.Key.Host].Inbox
	in.Progress = append(in.Progress, rocktable.Progress{
		Attempt: run.Start.Attempt, Tokens: run.Tokens, FirstTokenAt: s.First, LargestGap: s.Largest,
	})
}

// endRun reports the end of an attempt to its host and closes its sessions.
func (f *Fleet) endRun(run *Run, reason rockreason.Code, server rocktable.BackendServerID, crashed bool) {
	s := f.stream(run)
	in := &f.Hosts[run.Key.Host].Inbox
	in.Ended = append(in.Ended, rocktable.Ended{
		Attempt: run.Start.Attempt, Reason: reason, FailedServer: server, Crashed: crashed,
		Tokens: run.Tokens, FirstTokenAt: s.First, LargestGap: s.Largest,
	})
	f.closeRun(run)
}

func (f *Fleet) closeRun(run *Run) {
	for _, stage := range run.Start.Path {
		f.engine(stage).close(run.Key)
	}
	f.Runs.Delete(run.Key)
}

func runLimits(f *Fleet) {
	// Stall limits are seconds long.
	if f.Since()%(10*Tick) != 0 {
		return
	}
	for _, run := range f.Runs.All() {
		if f.Now.After(run.Deadline) {
			reason := rockreason.StageStalled
			if run.Opening {
				reason = rockreason.StageUnreachable
			}
			f.endRun(run, reason, run.Start.Path[run.Stage].Server, false)
		}
	}
}
