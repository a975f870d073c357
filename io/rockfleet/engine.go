package rockfleet

import (
	"cmp"
	"slices"
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

const (
	// BlockTokens is the number of prompt tokens in one prefix block.
	BlockTokens = 64
	// sampleEvery is the time between two samples of the load.
	sampleEvery = 50 * time.Millisecond
)

// Engine is a model engine.
type Engine struct {
	Options     EngineOptions
	Kind        Kind
	Down        bool
	Incarnation uint64
	FailsPart   float64 // part of the sessions that fail in their first step

	Sessions []RunKey // in order of arrival; the first by priority have slots
	Pending  map[RunKey]int
	Batch    []RunKey
	BatchEnd time.Time

	Blocks    map[uint64]int // last use of each cached block
	Uses      int
	Positions int // prompt positions of prefills
	Cached    int // those found in the cache

	Samples  []Sample // newest last
	Largest  int      // sessions that waited for a slot, at most
	QueueSum int
	QueueN   int
	Work     time.Duration // time of batches
}

// Sample is the load of an engine at a time.
type Sample struct {
	At     time.Time
	Active int
	Queued int
}

// BatchTime returns the length of a batch.
func (k Kind) BatchTime(sessions, positions int) time.Duration {
	return k.Step + k.PerSession*time.Duration(sessions-1) + k.Prefill*time.Duration(positions)
}

// Speed returns the tokens per second of a full batch.
func (k Kind) Speed(slots int) float64 { return float64(slots) / k.BatchTime(slots, 0).Seconds() }

// queued returns the sessions without a slot.
func (e *Engine) queued() int { return max(0, len(e.Sessions)-e.Options.Slots) }

func (e *Engine) open(key RunKey) bool {
	if len(e.Sessions) >= e.Options.Slots+e.Options.Queue {
		return false
	}
	e.Sessions = append(e.Sessions, key)
	return true
}

func (e *Engine) close(key RunKey) {
	if i := slices.Index(e.Sessions, key); i >= 0 {
		e.Sessions = slices.Delete(e.Sessions, i, i+1)
	}
	delete(e.Pending, key)
}

// step takes a step of a session; positions is 0 except for a prefill.
func (e *Engine) step(key RunKey, positions int) {
	if e.Pending == nil {
		e.Pending = make(map[RunKey]int)
	}
	e.Pending[key] = positions
}

// lookUp returns the prompt positions that are not cached, and caches them.
func (e *Engine) lookUp(prefix []uint64, prompt int) int {
	e.Positions += min(prompt, len(prefix)*BlockTokens)
	if e.Options.Blocks == 0 {
		return prompt
	}
	if e.Blocks == nil {
		e.Blocks = make(map[uint64]int)
	}
	hit := 0
	for _, hash := range prefix {
		if _, ok := e.Blocks[hash]; !ok {
			break
		}
		hit++
	}
	for _, hash := range prefix {
		e.Uses++
		e.Blocks[hash] = e.Uses
	}
	for len(e.Blocks) > e.Options.Blocks {
		e.evict()
	}
	e.Cached += hit * BlockTokens
	return max(1, prompt-hit*BlockTokens)
}

func (e *Engine) evict() {
	var oldest uint64
	use := e.Uses + 1
	for hash, used := range e.Blocks {
		if used < use {
			oldest, use = hash, used
		}
	}
	delete(e.Blocks, oldest)
}

func runEngines(f *Fleet) {
	for _, e := range f.Engines.All() {
		if n := len(e.Samples); n == 0 || f.Now.Sub(e.Samples[n-1].At) >= sampleEvery {
			e.sample(f)
		}
		if len(e.Batch) > 0 && !f.Now.Before(e.BatchEnd) {
			batch := e.Batch
			e.Batch = nil
			for _, key := range batch {
				f.finishStep(e, key)
			}
		}
		if len(e.Batch) == 0 && len(e.Pending) > 0 && !e.Down {
			f.formBatch(e)
		}
	}
}

func (e *Engine) sample(f *Fleet) {
	e.Samples = append(e.Samples, Sample{At: f.Now, Active: min(len(e.Sessions), e.Options.Slots), Queued: e.queued()})
	if keep := int(f.Options.ReportLag/sampleEvery) + 2; len(e.Samples) > 2*keep {
		e.Samples = slices.Clone(e.Samples[len(e.Samples)-keep:])
	}
	if f.Since() >= f.Options.StreamsFrom {
		e.Largest = max(e.Largest, len(e.Sessions))
		e.QueueSum += len(e.Sessions)
		e.QueueN++
	}
}

// report returns the load as it was before the lag.
func (e *Engine) report(f *Fleet) Sample {
	for i := len(e.Samples) - 1; i >= 0; i-- {
		if f.Now.Sub(e.Samples[i].At) >= f.Options.ReportLag {
			return e.Samples[i]
		}
	}
	return Sample{}
}

func (e *Engine) status(f *Fleet) rocktable.EngineStatus {
	load := e.report(f)
	return rocktable.EngineStatus{
		Name: e.Options.Name, Kind: e.Options.Kind, Model: model, Version: "1",
		FirstLayer: e.Options.First, LastLayer: e.Options.Last, Slots: e.Options.Slots,
		Active: load.Active, Queued: load.Queued, TokensPerSecond: e.Kind.Speed(e.Options.Slots),
		Incarnation: e.Incarnation, State: "live",
	}
}

func (f *Fleet) formBatch(e *Engine) {
	// Sessions keep their slots until they end; a waiting session gets a free slot by priority.
	held := e.Sessions
	if len(held) > e.Options.Slots {
		waiting := held[e.Options.Slots:]
		slices.SortStableFunc(waiting, func(a, b RunKey) int {
			return cmp.Compare(f.priority(a), f.priority(b))
		})
		held = held[:e.Options.Slots]
	}
	positions := 0
	for _, key := range held {
		if n, ok := e.Pending[key]; ok {
			e.Batch = append(e.Batch, key)
			positions += n
			delete(e.Pending, key)
		}
	}
	if len(e.Batch) == 0 {
		return
	}
	took := e.Kind.BatchTime(len(e.Batch), positions)
	e.Work += took
	e.BatchEnd = f.Now.Add(took)
}

func (f *Fleet) priority(key RunKey) rocktable.RankID {
	if run := f.Runs.Get(key); run != nil {
		return run.Start.Priority
	}
	return 0
}

// Kill stops an engine; its sessions break.
func (f *Fleet) Kill(name string) {
	e := f.Engines.Get(name)
	e.Down = true
	sessions := e.Sessions
	e.Sessions, e.Pending, e.Batch, e.Blocks = nil, nil, nil, nil
	for _, key := range sessions {
		if run := f.Runs.Get(key); run != nil {
			f.endRun(run, rockreason.StageDied, run.serverID(name), true)
		}
	}
}

// Revive starts an engine again.
func (f *Fleet) Revive(name string) {
	e := f.Engines.Get(name)
	e.Down = false
	e.Incarnation++
}
