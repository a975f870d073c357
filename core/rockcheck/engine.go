package rockcheck

import (
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// Engine stands in for a model engine that holds a range of layers.
type Engine struct {
	Name          string
	DataCentre    string
	FirstLayer    int
	LastLayer     int
	Loaded        bool
	Incarnation   uint64
	Up            bool
	Leaving       bool
	FrozenUntil   time.Time
	RefuseUntil   time.Time
	ChecksFencing bool
	Fencing       uint64
	Runs          map[string]int // steps by name of the request
	sessions      []*session
}

// session is the KV cache of one attempt at one engine.
type session struct {
	run      *run
	stage    int
	first    int
	cache    []uint64 // by layer of the stage
	position int
}

func (f *Fleet) addEngine(name, dc string, first int) {
	f.Engines = append(f.Engines, &Engine{
		Name: name, DataCentre: dc, FirstLayer: first, LastLayer: first + layersEach - 1, Loaded: true,
		Incarnation: 1, Up: true, Runs: make(map[string]int), ChecksFencing: len(f.Engines)%2 == 0,
	})
}

func (f *Fleet) engine(name string) *Engine {
	for _, e := range f.Engines {
		if e.Name == name {
			return e
		}
	}
	return nil
}

// mix is a finaliser of the bits of a word; every input bit changes about half of the output.
func mix(x uint64) uint64 {
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// pass sends the activation of one position through layers; the result depends on every position before it.
func pass(cache []uint64, first int, x uint64) uint64 {
	for i := range cache {
		cache[i] = mix(cache[i] ^ x)
		x = mix(x + cache[i] + uint64(first+i))
	}
	return x
}

// Reference returns the tokens of an undisturbed run.
func Reference(prompt []uint32, tokens int) []uint32 {
	cache := make([]uint64, Layers)
	var last uint64
	for _, t := range prompt {
		last = pass(cache, 0, uint64(t))
	}
	answer := []uint32{uint32(last)}
	for len(answer) < tokens {
		answer = append(answer, uint32(pass(cache, 0, uint64(answer[len(answer)-1]))))
	}
	return answer
}

// open creates a session, or returns why the engine did not.
func (e *Engine) open(f *Fleet, r *run, i int) rockreason.Code {
	stage := r.start.Path[i]
	switch {
	case !e.Up:
		return rockreason.StageUnreachable
	case !e.Loaded, f.Now.Before(e.RefuseUntil), stage.FirstLayer != e.FirstLayer, stage.LastLayer > e.LastLayer:
		return rockreason.StageRefused
	}
	e.sessions = append(e.sessions, &session{run: r, stage: i, first: stage.FirstLayer, cache: make([]uint64, stage.LastLayer-stage.FirstLayer+1)})
	return ""
}

func (e *Engine) find(r *run) *session {
	for _, s := range e.sessions {
		if s.run == r {
			return s
		}
	}
	return nil
}

// step runs one step of a session and returns its activations; a poisonous request crashes the engine.
func (e *Engine) step(f *Fleet, s *session, position int, input []uint64) ([]uint64, bool) {
	if position != s.position {
		return nil, false
	}
	e.Runs[s.run.c.Name]++
	output := make([]uint64, 0, len(input))
	for _, x := range input {
		output = append(output, pass(s.cache, s.first, x))
	}
	s.position += len(input)
	return output, true
}

func (e *Engine) close(r *run) {
	kept := e.sessions[:0]
	for _, s := range e.sessions {
		if s.run != r {
			kept = append(kept, s)
		}
	}
	e.sessions = kept
}

// Crash ends an engine's sessions; it starts again after a while.
func (f *Fleet) Crash(e *Engine, down time.Duration) {
	if !e.Up {
		return
	}
	f.trace(e.Name, "engine stops")
	e.Up, e.Leaving = false, false
	if f.Options.Placements {
		e.Loaded = false
	}
	lost := e.sessions
	e.sessions = nil
	for _, s := range lost {
		f.toHost(s.run.c.h, f.delay(), func() {
			if f.Reaches(s.run.c.h.DataCentre, e.DataCentre) {
				s.run.fail(rockreason.StageDied, s.stage, true)
			}
		})
	}
	f.After(down, func() {
		e.Up, e.FrozenUntil = true, time.Time{}
		e.Incarnation++
	})
}

func (e *Engine) status() rocktable.EngineStatus {
	s := rocktable.EngineStatus{
		Name: e.Name, Kind: "k", Slots: slots, Active: len(e.sessions), TokensPerSecond: 600,
		Incarnation: e.Incarnation, State: "live", Fencing: e.Fencing, ChecksFencing: e.ChecksFencing,
	}
	if e.Loaded {
		s.Model, s.Version, s.FirstLayer, s.LastLayer = "m", "1", e.FirstLayer, e.LastLayer
	}
	if e.Leaving {
		s.State = "leaving"
	}
	return s
}

func (f *Fleet) probe(h *Host, p rocktable.Probe) {
	if a := f.application(p.Address); a != nil {
		f.answerProbe(h, p, a.DataCentre, a.Up, a.FrozenUntil, func() rocktable.EngineStatus {
			return rocktable.EngineStatus{State: "live", Incarnation: a.Incarnation}
		})
		return
	}
	if e := f.engine(p.Address); e != nil {
		f.answerProbe(h, p, e.DataCentre, e.Up, e.FrozenUntil, e.status)
	}
}

func (f *Fleet) answerProbe(h *Host, p rocktable.Probe, dc string, up bool, frozenUntil time.Time, status func() rocktable.EngineStatus) {
	trip := 2 * f.delay()
	silent := !f.Reaches(h.DataCentre, dc) || f.Now.Before(frozenUntil) || f.chance(0.01)
	result := rocktable.ProbeResult{Server: p.Server, OK: up && !silent && trip < probeTimeout, RoundTrip: trip}
	if result.OK {
		result.Status = status()
	}
	if silent {
		trip = probeTimeout
	}
	f.toHost(h, trip, func() {
		f.post(h, func(in *rocktable.Inbox) { in.Probes = append(in.Probes, result) })
	})
}

// order carries an order to an engine, unless the lease is nearly over by the host's clock.
func (f *Fleet) order(h *Host, o rocktable.OrderSend) {
	f.toHost(h, time.Millisecond, func() {
		e := f.engine(o.Address)
		if e == nil || !f.Now.Add(h.Offset).Before(o.Until) {
			return
		}
		f.After(f.delay(), func() {
			end := rocktable.OrderEnded{Server: o.Server, Fencing: o.Fencing}
			switch {
			case !e.Up || !f.Reaches(h.DataCentre, e.DataCentre) || f.Now.Before(e.FrozenUntil):
			case e.ChecksFencing && o.Fencing < e.Fencing:
				end.Refused = true
			default:
				if o.Fencing < e.Fencing {
					f.Violate("orders", "%s took fencing number %d of %s after %d", e.Name, o.Fencing, h.Name, e.Fencing)
				}
				e.Loaded, e.Fencing, end.OK = true, o.Fencing, true
			}
			f.toHost(h, f.delay(), func() {
				f.post(h, func(in *rocktable.Inbox) { in.OrdersEnded = append(in.OrdersEnded, end) })
			})
		})
	})
}
