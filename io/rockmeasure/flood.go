package rockmeasure

import (
	"math"
	"time"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockexperiment"
	"sassafrasrock/io/rockfleet"
)

func flood(size Size) rockexperiment.Experiment {
	const name = "flood"
	return rockexperiment.Experiment{
		Name: name,
		Doc: `Service by rank in a flood of 5 times the bound of the fleet.

Three ranges of layers, each held by four equal engines; two hosts. Three callers
send urgent, ordinary and background work of 0.2, 0.2 and 0.15 times the bound.
Two other callers send the flood: first background work, then urgent work. The
best goodput that the bound allows gives ordinary and background work their
floors and the rest to urgent work, each counted by the worth of its rank. Work
counts as goodput if its answer is whole and within the target.`,
		Run: func(seed uint64) ([]rockexperiment.Record, error) {
			return runFlood(&measures{name: name, seed: seed}, size)
		},
	}
}

const (
	floodPrompt = 32
	floodTokens = 32
	// fifoQueue is the bound of the baseline's queue, in requests of one host.
	fifoQueue = 500
)

func equalFleet(seed uint64, n, slots, hostCount, callerCount int) rockfleet.Options {
	return rockfleet.Options{
		Seed: seed, Layers: 9, Ranks: ranks, Callers: callers(callerCount), Kinds: kinds,
		Hosts: hosts(hostCount, oneCentre), Engines: stages(9, 3, n, slots, harmattan, oneCentre),
	}
}

func runFlood(m *measures, size Size) ([]rockexperiment.Record, error) {
	o := equalFleet(m.seed, 4, 32, 2, 5)
	bound := Bound(&o, Work{Prompt: floodPrompt, MaxTokens: floodTokens}, "ga-west-a")
	from := warmUp + size.of(10*time.Second)
	until := from + size.of(20*time.Second)
	end := until + size.of(5*time.Second)
	source := func(caller int, rank rocktable.RankID, part float64, from time.Duration) Source {
		return Source{
			Caller: caller, Rank: rank, Rate: part * bound / floodTokens, From: from, To: until,
			Prompt: floodPrompt, MaxTokens: floodTokens,
		}
	}
	base := []Source{
		source(0, urgent, 0.2, warmUp), source(1, ordinary, 0.2, warmUp), source(2, background, 0.15, warmUp),
	}
	with := func(rank rocktable.RankID) []rockfleet.Ask {
		flood := []Source{source(3, rank, 2.5, from), source(4, rank, 2.5, from)}
		return load(m.seed, len(o.Hosts), append(flood, base...)...)
	}
	// The sources of the base keep their places in the list, so that their arrivals are the same without the flood.
	quiet := o
	quiet.Load = load(m.seed, len(o.Hosts), append([]Source{{}, {}}, base...)...)
	calm, err := simulate(quiet, end, nil)
	if err != nil {
		return nil, err
	}
	alone := keptPart(calm, from, until, 0)
	backgroundFlood, urgentFlood := o, o
	backgroundFlood.Load, urgentFlood.Load = with(background), with(urgent)
	policy, fifo, err := both(backgroundFlood, end, firstInFirstOut)
	if err != nil {
		return nil, err
	}
	m.add(rockexperiment.Record{
		Measure: "background flood: urgent kept over without flood", Policy: keptPart(policy, from, until, 0) / alone,
		Baseline: "fifo", BaselineValue: keptPart(fifo, from, until, 0) / alone, Relation: rockexperiment.AtLeast, Target: 0.99,
	})
	policy, fifo, err = both(urgentFlood, end, firstInFirstOut)
	if err != nil {
		return nil, err
	}
	m.addUrgentFlood(policy, fifo, from, until, bound)
	return m.records, nil
}

// addUrgentFlood adds the measures of a flood of urgent work.
func (m *measures) addUrgentFlood(policy, fifo *rockfleet.Fleet, from, until time.Duration, bound float64) {
	// Requests need some time before their tokens count.
	settled := from + (until-from)/4
	p, b := servedTokens(policy, settled, until), servedTokens(fifo, settled, until)
	for _, rank := range []rocktable.RankID{ordinary, background} {
		m.add(rockexperiment.Record{
			Measure: "urgent flood: " + ranks[rank].Name + " share of tokens over floor",
			Policy:  p.delivered[rank] / p.all / ranks[rank].Floor, Baseline: "fifo", BaselineValue: b.delivered[rank] / b.all / ranks[rank].Floor,
			Relation: rockexperiment.AtLeast, Target: 1,
		})
	}
	best := 0.0
	rest := 1.0
	for _, rank := range []rocktable.RankID{ordinary, background} {
		best += ranks[rank].Floor * ranks[rank].Worth * bound
		rest -= ranks[rank].Floor
	}
	best += rest * ranks[urgent].Worth * bound
	seconds := (until - settled).Seconds()
	m.add(rockexperiment.Record{
		Measure: "urgent flood: goodput by worth over best", Policy: p.worth / seconds / best,
		Baseline: "fifo", BaselineValue: b.worth / seconds / best, Relation: rockexperiment.AtLeast, Target: 0.95,
	})
	m.add(rockexperiment.Record{
		Measure: "urgent flood: tokens/s over bound", Policy: p.all / seconds / bound, Baseline: "fifo", BaselineValue: b.all / seconds / bound,
	})
	m.add(rockexperiment.Record{
		Measure: "urgent flood: accepted work thrown away", Policy: p.wasted, Baseline: "fifo", BaselineValue: b.wasted,
		Relation: rockexperiment.AtMost, Target: 0.01,
	})
}

// served sums the requests that ended in an interval.
type served struct {
	delivered [3]float64 // tokens by rank
	all       float64    // tokens
	worth     float64    // tokens of answers within the target, times the worth of the rank
	wasted    float64    // part of the delivered tokens whose answer was not whole
}

func servedTokens(f *rockfleet.Fleet, from, until time.Duration) served {
	var s served
	for i, a := range f.Answers {
		if a.At < from || a.At >= until {
			continue
		}
		rank := f.Options.Load[i].Rank
		tokens := float64(a.Tokens)
		s.delivered[rank] += tokens
		s.all += tokens
		if a.Reason != "" {
			s.wasted += tokens
		}
		if isKept(f, i) {
			s.worth += tokens * ranks[rank].Worth
		}
	}
	s.wasted /= math.Max(1, s.all)
	return s
}

// keptPart returns the part of a caller's requests in an interval that were served within the target.
func keptPart(f *rockfleet.Fleet, from, until time.Duration, caller int) float64 {
	kept, all := 0.0, 0.0
	for i, a := range f.Options.Load {
		if a.Caller != caller || a.At < from || a.At >= until {
			continue
		}
		all++
		if isKept(f, i) {
			kept++
		}
	}
	return kept / math.Max(1, all)
}

// both runs a fleet with the policy and with a baseline.
func both(o rockfleet.Options, until time.Duration, baseline func(o *rockfleet.Options)) (policy, other *rockfleet.Fleet, err error) {
	if policy, err = simulate(o, until, nil); err != nil {
		return nil, nil, err
	}
	other, err = simulate(o, until, baseline)
	return policy, other, err
}

// firstInFirstOut gives all requests to one caller of one rank, whose queue is bounded and which has no target.
func firstInFirstOut(o *rockfleet.Options) {
	o.Ranks = []rocktable.RankConfig{{Name: "all", FirstTokenMs: 86400000, GapMs: 10000, Worth: 1, MaxQueue: fifoQueue}}
	o.Systems = before("rockadmit", rocktable.System{
		Name: "merge", Doc: "Merges all ranks and callers.",
		Run: func(_ time.Time, w *rocktable.World) {
			for i := range w.Inbox.Arrivals {
				w.Inbox.Arrivals[i].Request.Rank, w.Inbox.Arrivals[i].Request.Caller = 0, 1
			}
		},
	})
}
