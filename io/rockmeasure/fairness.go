package rockmeasure

import (
	"math/rand/v2"
	"time"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockexperiment"
	"sassafrasrock/io/rockfleet"
)

const (
	smallCallers = 10
	largeCallers = 2
	// smallFraction is the demand of a small caller as a fraction of the bound.
	smallFraction = 0.02
	// largeMultiple is the ratio of a large caller's demand to that of a small one.
	largeMultiple = 50
)

func fairness(size Size) rockexperiment.Experiment {
	const name = "fairness"
	return rockexperiment.Experiment{
		Name: name,
		Description: `Service of small callers next to large callers with 50 times their demand.

Three layer ranges with four equal engines each; four hosts. Each of ten small
callers sends requests for 2% of the bound to one host. Each of two large callers
sends requests for 100% of the bound, one to all hosts and one to a single host. All
requests are ordinary. The service of a small caller alone is measured in a run
without the large callers. Jain's index is computed over the tokens that each caller
got, divided by its demand. For a large caller the divisor is at most an equal share
of the tokens that both large callers got. The baseline treats all callers as one.`,
		Run: func(seed uint64) ([]rockexperiment.Record, error) {
			return runFairness(&recorder{name: name, seed: seed}, size)
		},
	}
}

func runFairness(rec *recorder, size Size) ([]rockexperiment.Record, error) {
	const tokens = 32
	o := equalFleet(rec.seed, 4, 96, 4, smallCallers+largeCallers)
	bound := ThroughputBound(&o, MeanRequest{PromptTokens: tokens, MaxTokens: tokens}, "ga-west-a")
	from := warmUp + size.scale(10*time.Second)
	until := from + size.scale(40*time.Second)
	end := until + size.scale(8*time.Second)
	var small, all []Source
	for c := range smallCallers + largeCallers {
		s := Source{
			Caller: c, Rank: ordinary, Rate: smallFraction * bound / tokens, From: warmUp, To: until,
			PromptTokens: tokens, MaxTokens: tokens, PickHost: func(*rand.Rand) int { return c % len(o.Hosts) },
		}
		if c < smallCallers {
			small = append(small, s)
			all = append(all, s)
			continue
		}
		s.Rate *= largeMultiple
		if c == smallCallers {
			s.PickHost = nil
		}
		all = append(all, s)
	}
	smallOnly := o
	smallOnly.Requests = generateLoad(rec.seed, len(o.Hosts), small...)
	reference, err := simulate(smallOnly, end, nil)
	if err != nil {
		return nil, err
	}
	o.Requests = generateLoad(rec.seed, len(o.Hosts), all...)
	policy, baseline, err := simulateBoth(o, end, mergeCallers)
	if err != nil {
		return nil, err
	}
	rec.add(rockexperiment.Record{
		Measure: "small caller with least: kept over alone", PolicyValue: minWithinTargetRatio(policy, reference, from, until),
		Baseline: "noSharing", BaselineValue: minWithinTargetRatio(baseline, reference, from, until), Relation: rockexperiment.AtLeast, Target: 0.97,
	})
	rec.add(rockexperiment.Record{
		Measure: "tokens/s over bound", PolicyValue: tokensPerSecond(policy, from, until) / bound,
		Baseline: "noSharing", BaselineValue: tokensPerSecond(baseline, from, until) / bound, Relation: rockexperiment.AtLeast, Target: 0.9,
	})
	rec.add(rockexperiment.Record{
		Measure: "Jain's index", PolicyValue: jainIndex(policy, from, until), Baseline: "noSharing", BaselineValue: jainIndex(baseline, from, until),
	})
	return rec.records, nil
}

// minWithinTargetRatio returns the minimum over the small callers of the fraction of requests that were
// answered within the target, relative to that in the reference run without the large callers.
func minWithinTargetRatio(f, reference *rockfleet.Fleet, from, until time.Duration) float64 {
	least := 1.0
	for c := range smallCallers {
		if alone := callerWithinTarget(reference, from, until, c); alone > 0 {
			least = min(least, callerWithinTarget(f, from, until, c)/alone)
		}
	}
	return least
}

// jainIndex returns Jain's fairness index of the tokens delivered to each caller relative to its
// demand. For a large caller the demand counts up to an equal share of the tokens that the large
// callers got.
func jainIndex(f *rockfleet.Fleet, from, until time.Duration) float64 {
	var delivered, demanded [smallCallers + largeCallers]float64
	largeTokens := 0.0
	for i, a := range f.Options.Requests {
		if a.At < from || a.At >= until {
			continue
		}
		demanded[a.Caller] += float64(a.MaxTokens)
		delivered[a.Caller] += float64(f.Answers[i].Tokens)
		if a.Caller >= smallCallers {
			largeTokens += float64(f.Answers[i].Tokens)
		}
	}
	sum, squares := 0.0, 0.0
	for c := range delivered {
		share := demanded[c]
		if c >= smallCallers {
			share = min(share, largeTokens/largeCallers)
		}
		ratio := delivered[c] / max(1, share)
		sum += ratio
		squares += ratio * ratio
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (float64(len(delivered)) * squares)
}

// mergeCallers assigns all requests to one caller.
func mergeCallers(o *rockfleet.Options) {
	o.Systems = insertBefore("rockadmit", rocktable.System{
		Name: "merge", Description: "Assigns all requests to one caller.",
		Run: func(_ time.Time, w *rocktable.World) {
			for i := range w.Inbox.Arrivals {
				w.Inbox.Arrivals[i].Request.Caller = 1
			}
		},
	})
}
