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
		Description: `Service by rank in a flood of 5 times the bound of the fleet.

Three layer ranges with four equal engines each; two hosts. Three callers send
urgent, ordinary and background requests at 0.2, 0.2 and 0.15 times the bound. Two
other callers send the flood: in one run background requests, in another run urgent
ones. Goodput is the tokens of complete answers within the target, each multiplied
by the worth of its rank. The best goodput that the bound allows gives ordinary and
background requests their floors and the rest to urgent requests. The baseline is a
bounded first-in first-out queue without ranks and callers.`,
		Run: func(seed uint64) ([]rockexperiment.Record, error) {
			return runFlood(&recorder{name: name, seed: seed}, size)
		},
	}
}

const (
	floodPrompt = 32
	floodTokens = 32
	// fifoQueueLimit bounds the queue of the baseline, in requests of one host.
	fifoQueueLimit = 500
)

func equalFleet(seed uint64, perRange, slots, hostCount, callerCount int) rockfleet.Options {
	return rockfleet.Options{
		Seed: seed, Layers: 9, Ranks: ranks, Callers: callerConfigs(callerCount), Kinds: kinds,
		Hosts: hostOptions(hostCount, oneDataCentre), Engines: engineOptions(9, 3, perRange, slots, harmattanKind, oneDataCentre),
	}
}

func runFlood(rec *recorder, size Size) ([]rockexperiment.Record, error) {
	o := equalFleet(rec.seed, 4, 32, 2, 5)
	bound := ThroughputBound(&o, MeanRequest{PromptTokens: floodPrompt, MaxTokens: floodTokens}, "ga-west-a")
	from := warmUp + size.scale(10*time.Second)
	until := from + size.scale(20*time.Second)
	end := until + size.scale(5*time.Second)
	source := func(caller int, rank rocktable.RankID, fraction float64, from time.Duration) Source {
		return Source{
			Caller: caller, Rank: rank, Rate: fraction * bound / floodTokens, From: from, To: until,
			PromptTokens: floodPrompt, MaxTokens: floodTokens,
		}
	}
	base := []Source{
		source(0, urgent, 0.2, warmUp), source(1, ordinary, 0.2, warmUp), source(2, background, 0.15, warmUp),
	}
	withFlood := func(rank rocktable.RankID) []rockfleet.Request {
		flood := []Source{source(3, rank, 2.5, from), source(4, rank, 2.5, from)}
		return generateLoad(rec.seed, len(o.Hosts), append(flood, base...)...)
	}
	// Two empty sources keep the positions of the base sources and so their seeds, which makes their
	// arrivals the same without the flood.
	withoutFlood := o
	withoutFlood.Requests = generateLoad(rec.seed, len(o.Hosts), append([]Source{{}, {}}, base...)...)
	reference, err := simulate(withoutFlood, end, nil)
	if err != nil {
		return nil, err
	}
	referenceFraction := callerWithinTarget(reference, from, until, 0)
	backgroundFlood, urgentFlood := o, o
	backgroundFlood.Requests, urgentFlood.Requests = withFlood(background), withFlood(urgent)
	policy, fifo, err := simulateBoth(backgroundFlood, end, firstInFirstOut)
	if err != nil {
		return nil, err
	}
	rec.add(rockexperiment.Record{
		Measure: "background flood: urgent kept over without flood", PolicyValue: callerWithinTarget(policy, from, until, 0) / referenceFraction,
		Baseline: "fifo", BaselineValue: callerWithinTarget(fifo, from, until, 0) / referenceFraction, Relation: rockexperiment.AtLeast, Target: 0.99,
	})
	policy, fifo, err = simulateBoth(urgentFlood, end, firstInFirstOut)
	if err != nil {
		return nil, err
	}
	rec.addUrgentFlood(policy, fifo, from, until, bound)
	return rec.records, nil
}

// addUrgentFlood adds the records of a flood of urgent requests.
func (rec *recorder) addUrgentFlood(policy, fifo *rockfleet.Fleet, from, until time.Duration, bound float64) {
	// Tokens are counted when their request ends, so the interval begins some time after the flood.
	measuredFrom := from + (until-from)/4
	p, b := sumInterval(policy, measuredFrom, until), sumInterval(fifo, measuredFrom, until)
	for _, rank := range []rocktable.RankID{ordinary, background} {
		rec.add(rockexperiment.Record{
			Measure:     "urgent flood: " + ranks[rank].Name + " share of tokens over floor",
			PolicyValue: p.tokensByRank[rank] / p.tokens / ranks[rank].Floor, Baseline: "fifo", BaselineValue: b.tokensByRank[rank] / b.tokens / ranks[rank].Floor,
			Relation: rockexperiment.AtLeast, Target: 1,
		})
	}
	maxGoodput := 0.0
	rest := 1.0
	for _, rank := range []rocktable.RankID{ordinary, background} {
		maxGoodput += ranks[rank].Floor * ranks[rank].Worth * bound
		rest -= ranks[rank].Floor
	}
	maxGoodput += rest * ranks[urgent].Worth * bound
	seconds := (until - measuredFrom).Seconds()
	rec.add(rockexperiment.Record{
		Measure: "urgent flood: goodput by worth over best", PolicyValue: p.goodput / seconds / maxGoodput,
		Baseline: "fifo", BaselineValue: b.goodput / seconds / maxGoodput, Relation: rockexperiment.AtLeast, Target: 0.95,
	})
	rec.add(rockexperiment.Record{
		Measure: "urgent flood: tokens/s over bound", PolicyValue: p.tokens / seconds / bound, Baseline: "fifo", BaselineValue: b.tokens / seconds / bound,
	})
	rec.add(rockexperiment.Record{
		Measure: "urgent flood: accepted work thrown away", PolicyValue: p.wastedFraction, Baseline: "fifo", BaselineValue: b.wastedFraction,
		Relation: rockexperiment.AtMost, Target: 0.01,
	})
}

// intervalTotals holds sums over the requests that ended in an interval.
type intervalTotals struct {
	tokensByRank   [3]float64
	tokens         float64
	goodput        float64 // tokens of complete answers within the target, times the worth of the rank
	wastedFraction float64 // of the delivered tokens; their answers were not complete
}

func sumInterval(f *rockfleet.Fleet, from, until time.Duration) intervalTotals {
	var s intervalTotals
	for i, a := range f.Answers {
		if a.At < from || a.At >= until {
			continue
		}
		rank := f.Options.Requests[i].Rank
		tokens := float64(a.Tokens)
		s.tokensByRank[rank] += tokens
		s.tokens += tokens
		if a.Reason != "" {
			s.wastedFraction += tokens
		}
		if isWithinTarget(f, i) {
			s.goodput += tokens * ranks[rank].Worth
		}
	}
	s.wastedFraction /= math.Max(1, s.tokens)
	return s
}

// callerWithinTarget returns the fraction of a caller's requests that were answered within the target,
// of those that arrived in an interval.
func callerWithinTarget(f *rockfleet.Fleet, from, until time.Duration, caller int) float64 {
	withinTarget, all := 0.0, 0.0
	for i, a := range f.Options.Requests {
		if a.Caller != caller || a.At < from || a.At >= until {
			continue
		}
		all++
		if isWithinTarget(f, i) {
			withinTarget++
		}
	}
	return withinTarget / math.Max(1, all)
}

// simulateBoth runs a fleet with the policy, and again with the options of a baseline.
func simulateBoth(o rockfleet.Options, until time.Duration, modify func(o *rockfleet.Options)) (policy, baseline *rockfleet.Fleet, err error) {
	if policy, err = simulate(o, until, nil); err != nil {
		return nil, nil, err
	}
	baseline, err = simulate(o, until, modify)
	return policy, baseline, err
}

// firstInFirstOut assigns all requests to one caller and one rank. The rank has a bounded queue and a
// first-token target of 24 hours, which has no effect here.
func firstInFirstOut(o *rockfleet.Options) {
	o.Ranks = []rocktable.RankConfig{{Name: "all", FirstTokenMs: 86400000, GapMs: 10000, Worth: 1, MaxQueue: fifoQueueLimit}}
	o.Systems = insertBefore("rockadmit", rocktable.System{
		Name: "merge", Description: "Assigns all requests to one rank and one caller.",
		Run: func(_ time.Time, w *rocktable.World) {
			for i := range w.Inbox.Arrivals {
				w.Inbox.Arrivals[i].Request.Rank, w.Inbox.Arrivals[i].Request.Caller = 0, 1
			}
		},
	})
}
