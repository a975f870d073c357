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
	// smallPart is the demand of a small caller as a part of the bound.
	smallPart = 0.02
	// largeFactor is the demand of a large caller over that of a small one.
	largeFactor = 50
)

func fairness(size Size) rockexperiment.Experiment {
	const name = "fairness"
	return rockexperiment.Experiment{
		Name: name,
		Doc: `Service of small callers beside large ones that ask 50 times as much.

Three ranges of layers, each held by four equal engines; four hosts. Ten small
callers ask for 2% of the bound each, each at one host. Two large callers ask for
100% of it each, one split over all hosts and one at a single host. All work is
ordinary. What a small caller gets alone is measured in a run without the large
callers. Jain's index is over the tokens that each caller got, as a part of its
demand or, for a large caller, of an equal part of what the small ones left.`,
		Run: func(seed uint64) ([]rockexperiment.Record, error) {
			return runFairness(&measures{name: name, seed: seed}, size)
		},
	}
}

func runFairness(m *measures, size Size) ([]rockexperiment.Record, error) {
	const tokens = 32
	o := equalFleet(m.seed, 4, 96, 4, smallCallers+largeCallers)
	bound := Bound(&o, Work{Prompt: tokens, MaxTokens: tokens}, "ga-west-a")
	from := warmUp + size.of(10*time.Second)
	until := from + size.of(40*time.Second)
	end := until + size.of(8*time.Second)
	var small, all []Source
	for c := range smallCallers + largeCallers {
		s := Source{
			Caller: c, Rank: ordinary, Rate: smallPart * bound / tokens, From: warmUp, To: until,
			Prompt: tokens, MaxTokens: tokens, Host: func(*rand.Rand) int { return c % len(o.Hosts) },
		}
		if c < smallCallers {
			small = append(small, s)
			all = append(all, s)
			continue
		}
		s.Rate *= largeFactor
		if c == smallCallers {
			s.Host = nil
		}
		all = append(all, s)
	}
	alone := o
	alone.Load = load(m.seed, len(o.Hosts), small...)
	quiet, err := simulate(alone, end, nil)
	if err != nil {
		return nil, err
	}
	o.Load = load(m.seed, len(o.Hosts), all...)
	policy, merged, err := both(o, end, oneCaller)
	if err != nil {
		return nil, err
	}
	m.add(rockexperiment.Record{
		Measure: "small caller with least: kept over alone", Policy: leastKept(policy, quiet, from, until),
		Baseline: "noSharing", BaselineValue: leastKept(merged, quiet, from, until), Relation: rockexperiment.AtLeast, Target: 0.97,
	})
	m.add(rockexperiment.Record{
		Measure: "tokens/s over bound", Policy: tokensIn(policy, from, until) / bound,
		Baseline: "noSharing", BaselineValue: tokensIn(merged, from, until) / bound, Relation: rockexperiment.AtLeast, Target: 0.9,
	})
	m.add(rockexperiment.Record{
		Measure: "Jain's index", Policy: jain(policy, from, until), Baseline: "noSharing", BaselineValue: jain(merged, from, until),
	})
	return m.records, nil
}

// leastKept returns the least ratio of a small caller's service to that without the large callers.
func leastKept(f, alone *rockfleet.Fleet, from, until time.Duration) float64 {
	least := 1.0
	for c := range smallCallers {
		if before := keptPart(alone, from, until, c); before > 0 {
			least = min(least, keptPart(f, from, until, c)/before)
		}
	}
	return least
}

// jain returns Jain's index of what callers got of their demand, or of an equal part of what the small callers left.
func jain(f *rockfleet.Fleet, from, until time.Duration) float64 {
	var got, asked [smallCallers + largeCallers]float64
	rest := 0.0
	for i, a := range f.Options.Load {
		if a.At < from || a.At >= until {
			continue
		}
		asked[a.Caller] += float64(a.MaxTokens)
		got[a.Caller] += float64(f.Answers[i].Tokens)
		if a.Caller >= smallCallers {
			rest += float64(f.Answers[i].Tokens)
		}
	}
	sum, squares := 0.0, 0.0
	for c := range got {
		part := asked[c]
		if c >= smallCallers {
			part = min(part, rest/largeCallers)
		}
		x := got[c] / max(1, part)
		sum += x
		squares += x * x
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (float64(len(got)) * squares)
}

// oneCaller gives all requests to one caller.
func oneCaller(o *rockfleet.Options) {
	o.Systems = before("rockadmit", rocktable.System{
		Name: "merge", Doc: "Merges all callers.",
		Run: func(_ time.Time, w *rocktable.World) {
			for i := range w.Inbox.Arrivals {
				w.Inbox.Arrivals[i].Request.Caller = 1
			}
		},
	})
}
