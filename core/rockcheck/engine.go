package rockcheck

import (
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// Engine is a fake model engine that holds a range of layers.
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
	StepsRun      map[string]int // by name of the request
	sessions      []*session
}

// session is the KV cache of one attempt at one engine.
type session struct {
	attempt    *attempt
	stage      int
	firstLayer int
	cache      []uint64 // by layer of the stage
	position   int
}

func (f *Fleet) addEngine(name, dc string, first int) {
	f.Engines = append(f.Engines, &Engine{
		Name: name, DataCentre: dc, FirstLayer: first, LastLayer: first + layersPerEngine - 1, Loaded: true,
		Incarnation: 1, Up: true, StepsRun: make(map[string]int), ChecksFencing: len(f.Engines)%2 == 0,
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

// mix is the finaliser of a hash function: every input bit changes about half of the output bits.
func mix(x uint64) uint64 {
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// runLayers returns the activation of one position after the layers. It depends on every earlier
// position.
func runLayers(cache []uint64, first int, x uint64) uint64 {
	for i := range cache {
		cache[i] = mix(cache[i] ^ x)
		x = mix(x + cache[i] + uint64(first+i))
	}
	return x
}

// ReferenceTokens returns the tokens that a run of a prompt without faults yields.
func ReferenceTokens(prompt []uint32, tokens int) []uint32 {
	cache := make([]uint64, Layers)
	var last uint64
	for _, t := range prompt {
		last = runLayers(cache, 0, uint64(t))
	}
	answer := []uint32{uint32(last)}
	for len(answer) < tokens {
		answer = append(answer, uint32(runLayers(cache, 0, uint64(answer[len(answer)-1]))))
	}
	return answer
}

// open creates a session, or returns the reason of the refusal.
func (e *Engine) open(f *Fleet, r *attempt, i int) rockreason.Code {
	stage := r.start.Path[i]
	switch {
	case !e.Up:
		return rockreason.StageUnreachable
	case !e.Loaded, f.Now.Before(e.RefuseUntil), stage.FirstLayer != e.FirstLayer, stage.LastLayer > e.LastLayer:
		return rockreason.StageRefused
	}
	e.sessions = append(e.sessions, &session{attempt: r, stage: i, firstLayer: stage.FirstLayer, cache: make([]uint64, stage.LastLayer-stage.FirstLayer+1)})
	return ""
}

func (e *Engine) findSession(r *attempt) *session {
	for _, s := range e.sessions {
		if s.attempt == r {
			return s
		}
	}
	return nil
}

// step runs one step of a session and returns its activations, or false if the position does not
// match.
func (e *Engine) step(f *Fleet, s *session, position int, input []uint64) ([]uint64, bool) {
	if position != s.position {
		return nil, false
	}
	e.StepsRun[s.attempt.chat.Name]++
	output := make([]uint64, 0, len(input))
	for _, x := range input {
		output = append(output, runLayers(s.cache, s.firstLayer, x))
	}
	s.position += len(input)
	return output, true
}

func (e *Engine) close(r *attempt) {
	kept := e.sessions[:0]
	for _, s := range e.sessions {
		if s.attempt != r {
			kept = append(kept, s)
		}
	}
	e.sessions = kept
}

// Crash stops an engine and ends its sessions. The engine restarts after the given time.
func (f *Fleet) Crash(e *Engine, down time.Duration) {
	if !e.Up {
		return
	}
	f.trace(e.Name, "engine stops")
	e.Up, e.Leaving = false, false
	if f.Options.LoseLayersOnRestart {
		e.Loaded = false
	}
	lost := e.sessions
	e.sessions = nil
	for _, s := range lost {
		f.deliverToHost(s.attempt.chat.host, f.delay(), func() {
			if f.Reaches(s.attempt.chat.host.DataCentre, e.DataCentre) {
				s.attempt.fail(rockreason.StageDied, s.stage, true)
			}
		})
	}
	f.AfterFunc(down, func() {
		e.Up, e.FrozenUntil = true, time.Time{}
		e.Incarnation++
	})
}

func (e *Engine) status() rocktable.EngineStatus {
	s := rocktable.EngineStatus{
		Name: e.Name, Kind: "k", Slots: slotsPerEngine, Active: len(e.sessions), TokensPerSecond: 600,
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
	roundTrip := 2 * f.delay()
	silent := !f.Reaches(h.DataCentre, dc) || f.Now.Before(frozenUntil) || f.chance(0.01)
	result := rocktable.ProbeResult{Server: p.Server, OK: up && !silent && roundTrip < probeTimeout, RoundTrip: roundTrip}
	if result.OK {
		result.Status = status()
	}
	if silent {
		roundTrip = probeTimeout
	}
	f.deliverToHost(h, roundTrip, func() {
		f.post(h, func(in *rocktable.Inbox) { in.Probes = append(in.Probes, result) })
	})
}

// order sends an order to an engine, unless its time limit has passed by the host's clock.
func (f *Fleet) order(h *Host, o rocktable.OrderSend) {
	f.deliverToHost(h, time.Millisecond, func() {
		e := f.engine(o.Address)
		if e == nil || !f.Now.Add(h.Offset).Before(o.Until) {
			return
		}
		f.AfterFunc(f.delay(), func() {
			end := rocktable.OrderEnded{Server: o.Server, Fencing: o.Fencing}
			switch {
			case !e.Up || !f.Reaches(h.DataCentre, e.DataCentre) || f.Now.Before(e.FrozenUntil):
			case e.ChecksFencing && o.Fencing < e.Fencing:
				end.Refused = true
			default:
				if o.Fencing < e.Fencing {
					f.AddViolation("orders", "%s accepted fencing number %d of %s after %d", e.Name, o.Fencing, h.Name, e.Fencing)
				}
				e.Loaded, e.Fencing, end.OK = true, o.Fencing, true
			}
			f.deliverToHost(h, f.delay(), func() {
				f.post(h, func(in *rocktable.Inbox) { in.OrdersEnded = append(in.OrdersEnded, end) })
			})
		})
	})
}
