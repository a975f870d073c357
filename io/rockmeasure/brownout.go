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
		Doc: `Extra work in a brown-out, and service after it.

Three ranges of layers, each held by six equal engines; two hosts; ordinary
requests of 0.6 times the bound. For half of the time, a third of the engines fail
half of their sessions in the first step: all engines of one range, so that no path
avoids them, and two engines of each range, so that paths can. Extra work is
attempts beyond one for each request that started. A collapse would
show in the requests that arrive some seconds after the end of the brown-out. The
baseline gives each request three retries.`,
		Run: func(seed uint64) ([]rockexperiment.Record, error) {
			m := &measures{name: name, seed: seed}
			for _, c := range []struct {
				name  string
				fails func(e rockfleet.EngineOptions) bool
			}{
				{"one range", func(e rockfleet.EngineOptions) bool { return e.First == 3 }},
				{"a third of each range", func(e rockfleet.EngineOptions) bool {
					i := e.Name[len(e.Name)-1]
					return i == '0' || i == '1'
				}},
			} {
				if err := m.runBrownOut(c.name, c.fails, size); err != nil {
					return nil, err
				}
			}
			return m.records, nil
		},
	}
}

func (m *measures) runBrownOut(name string, fails func(e rockfleet.EngineOptions) bool, size Size) error {
	const tokens = 32
	o := equalFleet(m.seed, 6, 32, 2, 8)
	bound := Bound(&o, Work{Prompt: tokens, MaxTokens: tokens}, "ga-west-a")
	from := warmUp + size.of(10*time.Second)
	until := from + size.of(20*time.Second)
	end := until + size.of(10*time.Second)
	for c := range o.Callers {
		o.Load = append(o.Load, load(m.seed+uint64(c)<<32, len(o.Hosts), Source{
			Caller: c, Rank: ordinary, Rate: 0.6 * bound / tokens / float64(len(o.Callers)), From: warmUp, To: end,
			Prompt: tokens, MaxTokens: tokens,
		})...)
	}
	sortAsks(o.Load)
	fail := func(part float64) func(f *rockfleet.Fleet) {
		return func(f *rockfleet.Fleet) {
			for _, e := range f.Engines.All() {
				if fails(e.Options) {
					e.FailsPart = part
				}
			}
		}
	}
	o.Plan = []rockfleet.Planned{{At: from, Do: fail(0.5)}, {At: until, Do: fail(0)}}
	policy, retries, err := both(o, end, threeRetries)
	if err != nil {
		return err
	}
	m.add(rockexperiment.Record{
		Measure: name + ": extra work", Policy: extraWork(policy, from, until), Baseline: "threeRetries", BaselineValue: extraWork(retries, from, until),
		Relation: rockexperiment.AtMost, Target: 0.1,
	})
	settled := until + (end-until)/3
	// Requests need some time to be answered.
	last := end - (end-until)/3
	m.add(rockexperiment.Record{
		Measure: name + ": requests answered afterwards", Policy: answered(policy, settled, last),
		Baseline: "threeRetries", BaselineValue: answered(retries, settled, last), Relation: rockexperiment.AtLeast, Target: 0.95,
	})
	m.add(rockexperiment.Record{
		Measure: name + ": requests answered", Policy: answered(policy, from, until), Baseline: "threeRetries", BaselineValue: answered(retries, from, until),
	})
	return nil
}

// lastAttempt is added to the attempts of a request whose retries are used up in the baseline.
const lastAttempt = 100

// extraWork returns the attempts beyond the first, over the requests that started, of those that arrived in an interval.
func extraWork(f *rockfleet.Fleet, from, until time.Duration) float64 {
	extra, started := 0, 0
	for i, a := range f.Answers {
		if at := f.Options.Load[i].At; at < from || at >= until || a.Attempts == 0 {
			continue
		}
		started++
		extra += a.Attempts%lastAttempt - 1
	}
	return float64(extra) / float64(max(1, started))
}

// answered returns the part of the requests of an interval whose answer was whole.
func answered(f *rockfleet.Fleet, from, until time.Duration) float64 {
	whole, all := 0, 0
	for i, a := range f.Answers {
		if at := f.Options.Load[i].At; at < from || at >= until {
			continue
		}
		all++
		if a.At > 0 && a.Reason == "" {
			whole++
		}
	}
	return float64(whole) / float64(max(1, all))
}

// threeRetries gives each request three retries without a budget.
func threeRetries(o *rockfleet.Options) {
	const retries, savings = 3, 1e6
	o.Systems = before("rockretry", rocktable.System{
		Name: "refill", Doc: "Fills every retry budget, and takes further attempts from a request that used its retries.",
		Run: func(_ time.Time, w *rocktable.World) {
			w.RetryBudget = savings
			for _, c := range w.Callers.All() {
				c.RetryBudget = savings
			}
			for _, s := range w.Servers.All() {
				s.RetryBudget = savings
			}
			for _, e := range w.Inbox.Ended {
				a := w.Attempts.Get(e.Attempt)
				if a == nil {
					continue
				}
				// rockretry ends a request whose attempts reach its limit.
				if r := w.Requests.Get(a.Request); r != nil && r.Attempts > retries && e.Reason != "" {
					r.Attempts += lastAttempt
				}
			}
		},
	})
}
