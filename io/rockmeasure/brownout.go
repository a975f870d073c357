package rockmeasure

import (
	"time"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockexperiment"
	"sassafrasrock/io/rockfleet"
)

func brownOut(size Size) rockexperiment.Experiment {
	const name = "brownOut"
	return rockexperiment.Experiment{
		Name: name,
		Description: `Extra work during a brown-out, and answers after it.

Three layer ranges with six equal engines each; two hosts; ordinary requests at 0.6
times the bound. For half of the time, a third of the engines fail half of their
sessions in the first step. In one case these are all engines of one range, so that
no path avoids them; in the other they are two engines of each range, so that paths
can avoid them. Extra work is the number of attempts after the first, divided by the
number of requests that started. A collapse would show in the requests that arrive
some seconds after the end of the brown-out. The baseline gives each request three
retries.`,
		Run: func(seed uint64) ([]rockexperiment.Record, error) {
			rec := &recorder{name: name, seed: seed}
			for _, c := range []struct {
				name       string
				isAffected func(e rockfleet.EngineOptions) bool
			}{
				{"one range", func(e rockfleet.EngineOptions) bool { return e.FirstLayer == 3 }},
				{"a third of each range", func(e rockfleet.EngineOptions) bool {
					i := e.Name[len(e.Name)-1]
					return i == '0' || i == '1'
				}},
			} {
				if err := rec.runBrownOut(c.name, c.isAffected, size); err != nil {
					return nil, err
				}
			}
			return rec.records, nil
		},
	}
}

func (rec *recorder) runBrownOut(name string, isAffected func(e rockfleet.EngineOptions) bool, size Size) error {
	const tokens = 32
	o := equalFleet(rec.seed, 6, 32, 2, 8)
	bound := ThroughputBound(&o, MeanRequest{PromptTokens: tokens, MaxTokens: tokens}, "ga-west-a")
	from := warmUp + size.scale(10*time.Second)
	until := from + size.scale(20*time.Second)
	end := until + size.scale(10*time.Second)
	for c := range o.Callers {
		o.Requests = append(o.Requests, generateLoad(rec.seed+uint64(c)<<32, len(o.Hosts), Source{
			Caller: c, Rank: ordinary, Rate: 0.6 * bound / tokens / float64(len(o.Callers)), From: warmUp, To: end,
			PromptTokens: tokens, MaxTokens: tokens,
		})...)
	}
	sortByArrival(o.Requests)
	setFailureFraction := func(fraction float64) func(f *rockfleet.Fleet) {
		return func(f *rockfleet.Fleet) {
			for _, e := range f.Engines.All() {
				if isAffected(e.Options) {
					e.FailureFraction = fraction
				}
			}
		}
	}
	o.Changes = []rockfleet.Change{{At: from, Apply: setFailureFraction(0.5)}, {At: until, Apply: setFailureFraction(0)}}
	policy, retries, err := simulateBoth(o, end, threeRetries)
	if err != nil {
		return err
	}
	rec.add(rockexperiment.Record{
		Measure: name + ": extra work", PolicyValue: extraAttempts(policy, from, until), Baseline: "threeRetries", BaselineValue: extraAttempts(retries, from, until),
		Relation: rockexperiment.AtMost, Target: 0.1,
	})
	measuredFrom := until + (end-until)/3
	// Requests that arrive later may still be unanswered when the run ends.
	measuredUntil := end - (end-until)/3
	rec.add(rockexperiment.Record{
		Measure: name + ": requests answered afterwards", PolicyValue: answeredFraction(policy, measuredFrom, measuredUntil),
		Baseline: "threeRetries", BaselineValue: answeredFraction(retries, measuredFrom, measuredUntil), Relation: rockexperiment.AtLeast, Target: 0.95,
	})
	rec.add(rockexperiment.Record{
		Measure: name + ": requests answered", PolicyValue: answeredFraction(policy, from, until), Baseline: "threeRetries", BaselineValue: answeredFraction(retries, from, until),
	})
	return nil
}

// exhaustedOffset is added in the baseline to the attempts of a request that has used its retries. It
// exceeds the limit of attempts in rockretry, which then ends the request; extraAttempts removes it.
const exhaustedOffset = 100

// extraAttempts returns the number of attempts after the first, divided by the number of requests that
// started. It counts the requests that arrived in an interval.
func extraAttempts(f *rockfleet.Fleet, from, until time.Duration) float64 {
	extra, started := 0, 0
	for i, a := range f.Answers {
		if at := f.Options.Requests[i].At; at < from || at >= until || a.Attempts == 0 {
			continue
		}
		started++
		extra += a.Attempts%exhaustedOffset - 1
	}
	return float64(extra) / float64(max(1, started))
}

// answeredFraction returns the fraction of the requests that arrived in an interval and got a complete
// answer.
func answeredFraction(f *rockfleet.Fleet, from, until time.Duration) float64 {
	complete, all := 0, 0
	for i, a := range f.Answers {
		if at := f.Options.Requests[i].At; at < from || at >= until {
			continue
		}
		all++
		if a.At > 0 && a.Reason == "" {
			complete++
		}
	}
	return float64(complete) / float64(max(1, all))
}

// threeRetries gives each request three retries that no retry budget limits.
func threeRetries(o *rockfleet.Options) {
	const retries, budget = 3, 1e6
	o.Systems = insertBefore("rockretry", rocktable.System{
		Name: "refill", Description: "Fills every retry budget, and allows no further attempt to a request that used its retries.",
		Run: func(_ time.Time, w *rocktable.World) {
			w.RetryBudget = budget
			for _, c := range w.Callers.All() {
				c.RetryBudget = budget
			}
			for _, s := range w.Servers.All() {
				s.RetryBudget = budget
			}
			for _, e := range w.Inbox.AttemptsEnded {
				a := w.Attempts.Get(e.Attempt)
				if a == nil {
					continue
				}
				// rockretry ends a request whose attempts reach the limit.
				if r := w.Requests.Get(a.Request); r != nil && r.Attempts > retries && e.Reason != "" {
					r.Attempts += exhaustedOffset
				}
			}
		},
	})
}
