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
	// sampleInterval is the time between two samples of an engine's load.
	sampleInterval = 50 * time.Millisecond
)

// Engine is the state of a simulated model engine.
type Engine struct {
	Options         EngineOptions
	Kind            Kind
	Down            bool
	Incarnation     uint64
	FailureFraction float64 // fraction of the sessions that fail in their first step

	Sessions     []AttemptKey       // the first Options.Slots have a slot, the others wait by priority and arrival
	PendingSteps map[AttemptKey]int // steps that wait for a batch, with the positions of a prefill or 0
	Batch        []AttemptKey
	BatchEndsAt  time.Time

	BlockUses       map[uint64]int // UseSeq at the last use of each cached block
	UseSeq          int
	PrefixPositions int // prompt positions of all prefills that belong to prefix blocks
	CachedPositions int // those of PrefixPositions that were found in the cache

	LoadSamples    []Sample      // newest last
	MaxSessions    int           // highest number of open sessions, with and without a slot
	SessionSum     int           // sum of open sessions over the samples
	SessionSamples int           // number of samples in SessionSum
	BusyTime       time.Duration // sum of batch times
}

// Sample is the load of an engine at one point in time.
type Sample struct {
	At     time.Time
	Active int // sessions with a slot
	Queued int // sessions without a slot
}

// BatchTime returns the time that a batch takes.
func (k Kind) BatchTime(sessions, positions int) time.Duration {
	return k.Step + k.PerSession*time.Duration(sessions-1) + k.Prefill*time.Duration(positions)
}

// TokensPerSecond returns the throughput of batches with a session in each slot.
func (k Kind) TokensPerSecond(slots int) float64 {
	return float64(slots) / k.BatchTime(slots, 0).Seconds()
}

// queued returns the number of sessions without a slot.
func (e *Engine) queued() int { return max(0, len(e.Sessions)-e.Options.Slots) }

func (e *Engine) openSession(key AttemptKey) bool {
	if len(e.Sessions) >= e.Options.Slots+e.Options.MaxQueued {
		return false
	}
	e.Sessions = append(e.Sessions, key)
	return true
}

func (e *Engine) closeSession(key AttemptKey) {
	if i := slices.Index(e.Sessions, key); i >= 0 {
		e.Sessions = slices.Delete(e.Sessions, i, i+1)
	}
	delete(e.PendingSteps, key)
}

// queueStep adds a step of a session to the next batch. positions is 0 except for a prefill.
func (e *Engine) queueStep(key AttemptKey, positions int) {
	if e.PendingSteps == nil {
		e.PendingSteps = make(map[AttemptKey]int)
	}
	e.PendingSteps[key] = positions
}

// lookUpPrefix returns the number of prompt positions that are not cached and need a prefill, at
// least 1. It caches the blocks of the prefix.
func (e *Engine) lookUpPrefix(prefix []uint64, prompt int) int {
	e.PrefixPositions += min(prompt, len(prefix)*BlockTokens)
	if e.Options.CacheBlocks == 0 {
		return prompt
	}
	if e.BlockUses == nil {
		e.BlockUses = make(map[uint64]int)
	}
	hit := 0
	for _, hash := range prefix {
		if _, ok := e.BlockUses[hash]; !ok {
			break
		}
		hit++
	}
	for _, hash := range prefix {
		e.UseSeq++
		e.BlockUses[hash] = e.UseSeq
	}
	for len(e.BlockUses) > e.Options.CacheBlocks {
		e.evict()
	}
	e.CachedPositions += hit * BlockTokens
	return max(1, prompt-hit*BlockTokens)
}

func (e *Engine) evict() {
	var leastRecent uint64
	lowest := e.UseSeq + 1
	for hash, used := range e.BlockUses {
		if used < lowest {
			leastRecent, lowest = hash, used
		}
	}
	delete(e.BlockUses, leastRecent)
}

func runEngines(f *Fleet) {
	for _, e := range f.Engines.All() {
		if n := len(e.LoadSamples); n == 0 || f.Now.Sub(e.LoadSamples[n-1].At) >= sampleInterval {
			e.recordSample(f)
		}
		if len(e.Batch) > 0 && !f.Now.Before(e.BatchEndsAt) {
			batch := e.Batch
			e.Batch = nil
			for _, key := range batch {
				f.sendResult(e, key)
			}
		}
		if len(e.Batch) == 0 && len(e.PendingSteps) > 0 && !e.Down {
			f.formBatch(e)
		}
	}
}

func (e *Engine) recordSample(f *Fleet) {
	e.LoadSamples = append(e.LoadSamples, Sample{At: f.Now, Active: min(len(e.Sessions), e.Options.Slots), Queued: e.queued()})
	if maxSamples := int(f.Options.ReportLag/sampleInterval) + 2; len(e.LoadSamples) > 2*maxSamples {
		e.LoadSamples = slices.Clone(e.LoadSamples[len(e.LoadSamples)-maxSamples:])
	}
	if f.Since() >= f.Options.MeasureFrom {
		e.MaxSessions = max(e.MaxSessions, len(e.Sessions))
		e.SessionSum += len(e.Sessions)
		e.SessionSamples++
	}
}

// reportedLoad returns the load that the engine reports now: the newest sample that is at least
// Options.ReportLag old.
func (e *Engine) reportedLoad(f *Fleet) Sample {
	for i := len(e.LoadSamples) - 1; i >= 0; i-- {
		if f.Now.Sub(e.LoadSamples[i].At) >= f.Options.ReportLag {
			return e.LoadSamples[i]
		}
	}
	return Sample{}
}

func (e *Engine) status(f *Fleet) rocktable.EngineStatus {
	load := e.reportedLoad(f)
	return rocktable.EngineStatus{
		Name: e.Options.Name, Kind: e.Options.Kind, Model: model, Version: "1",
		FirstLayer: e.Options.FirstLayer, LastLayer: e.Options.LastLayer, Slots: e.Options.Slots,
		Active: load.Active, Queued: load.Queued, TokensPerSecond: e.Kind.TokensPerSecond(e.Options.Slots),
		Incarnation: e.Incarnation, State: "live",
	}
}

func (f *Fleet) formBatch(e *Engine) {
	// Sessions keep their slots until they end. A free slot goes to the waiting session with the
	// highest priority.
	active := e.Sessions
	if len(active) > e.Options.Slots {
		waiting := active[e.Options.Slots:]
		slices.SortStableFunc(waiting, func(a, b AttemptKey) int {
			return cmp.Compare(f.priority(a), f.priority(b))
		})
		active = active[:e.Options.Slots]
	}
	positions := 0
	for _, key := range active {
		if n, ok := e.PendingSteps[key]; ok {
			e.Batch = append(e.Batch, key)
			positions += n
			delete(e.PendingSteps, key)
		}
	}
	if len(e.Batch) == 0 {
		return
	}
	batchTime := e.Kind.BatchTime(len(e.Batch), positions)
	e.BusyTime += batchTime
	e.BatchEndsAt = f.Now.Add(batchTime)
}

func (f *Fleet) priority(key AttemptKey) int {
	if attempt := f.Attempts.Get(key); attempt != nil {
		return attempt.Start.Priority
	}
	return 0
}

// Kill stops an engine and ends the attempts of its sessions.
func (f *Fleet) Kill(name string) {
	e := f.Engines.Get(name)
	e.Down = true
	sessions := e.Sessions
	e.Sessions, e.PendingSteps, e.Batch, e.BlockUses = nil, nil, nil, nil
	for _, key := range sessions {
		if attempt := f.Attempts.Get(key); attempt != nil {
			f.endAttempt(attempt, rockreason.StageDied, attempt.serverID(name), true)
		}
	}
}

// Revive restarts an engine with the next incarnation.
func (f *Fleet) Revive(name string) {
	e := f.Engines.Get(name)
	e.Down = false
	e.Incarnation++
}
