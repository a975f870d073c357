package rockmeasure

import (
	"fmt"
	"time"

	"sassafrasrock/io/rockexperiment"
	"sassafrasrock/io/rockfleet"
)

func recovery(size Size) rockexperiment.Experiment {
	const name = "recovery"
	return rockexperiment.Experiment{
		Name: name,
		Doc: `Gaps of streams and goodput after a fault.

Three data centres with one host and two engines for each of three ranges; links
of 2 ms one way between data centres. Ordinary requests arrive at each host at 1.3
times its part of the bound. Ten seconds later a stage dies, the link to an engine
becomes ten times slower, a third host joins, or a data centre is cut off from the
others. The gap is the largest one after the fault in a stream that began before
it; its limit is 2 s and one replay, which is the longest time from the start of an
attempt to its first token that a host knows before the fault. The time to
recovery ends when the tokens of one second reach 0.95 of the new bound times the
part of the old bound that the fleet reached before the fault. The baseline gives
the answer from the beginning after a failure.`,
		Run: func(seed uint64) ([]rockexperiment.Record, error) {
			return runRecovery(&measures{name: name, seed: seed}, size)
		},
	}
}

var centres = []string{"ga-west-a", "ga-west-b", "ga-west-c"}

// slowCentre stands for the place of an engine with a degraded link in the calculation of the bound.
const slowCentre = "slow"

// breakage is one kind of fault.
type breakage struct {
	name  string
	late  bool // the third host joins at the time of the fault
	fault func(f *rockfleet.Fleet)
	after func(o rockfleet.Options, work Work) float64 // bound after the fault
}

var breakages = []breakage{
	{
		name:  "stage dies",
		fault: func(f *rockfleet.Fleet) { f.Kill("runner-1-0") },
		after: func(o rockfleet.Options, work Work) float64 {
			o.Engines = engines(o, func(e rockfleet.EngineOptions) bool { return e.Name != "runner-1-0" })
			return Bound(&o, work, centres[0])
		},
	},
	{
		name:  "link degrades",
		fault: func(f *rockfleet.Fleet) { f.Slow["runner-1-0"] = 10 },
		after: func(o rockfleet.Options, work Work) float64 {
			o.Engines = engines(o, func(rockfleet.EngineOptions) bool { return true })
			for i := range o.Engines {
				if o.Engines[i].Name == "runner-1-0" {
					o.Engines[i].DataCentre = slowCentre
				}
			}
			return Bound(&o, work, centres[0])
		},
	},
	{
		name:  "host joins",
		late:  true,
		fault: func(*rockfleet.Fleet) {},
		after: func(o rockfleet.Options, work Work) float64 { return Bound(&o, work, centres[0]) },
	},
	{
		name:  "data centre cut off",
		fault: func(f *rockfleet.Fleet) { f.CutOff(centres[2]) },
		after: func(o rockfleet.Options, work Work) float64 {
			near, far := o, o
			near.Engines = engines(o, func(e rockfleet.EngineOptions) bool { return e.DataCentre != centres[2] })
			far.Engines = engines(o, func(e rockfleet.EngineOptions) bool { return e.DataCentre == centres[2] })
			return Bound(&near, work, centres[0]) + Bound(&far, work, centres[2])
		},
	},
}

func engines(o rockfleet.Options, keep func(e rockfleet.EngineOptions) bool) []rockfleet.EngineOptions {
	var list []rockfleet.EngineOptions
	for _, e := range o.Engines {
		if keep(e) {
			list = append(list, e)
		}
	}
	return list
}

func regionLinks(a, b string) time.Duration {
	const near, far = 500 * time.Microsecond, 2 * time.Millisecond
	switch {
	case a == slowCentre || b == slowCentre:
		return 10 * near
	case a == b:
		return near
	}
	return far
}

func runRecovery(m *measures, size Size) ([]rockexperiment.Record, error) {
	for _, b := range breakages {
		if err := m.runBreakage(b, size); err != nil {
			return nil, fmt.Errorf("%s: %w", b.name, err)
		}
	}
	return m.records, nil
}

func (m *measures) runBreakage(b breakage, size Size) error {
	work := Work{Prompt: 32, MaxTokens: 64}
	at := warmUp + size.of(10*time.Second)
	until := at + size.of(15*time.Second)
	o := rockfleet.Options{
		Seed: m.seed, Layers: 9, Ranks: ranks, Callers: callers(3), Kinds: kinds, StreamsFrom: at,
		Hosts:   hosts(3, func(i int) string { return centres[i] }),
		Engines: stages(9, 3, 6, 32, harmattan, func(i int) string { return centres[i%3] }),
		Links:   regionLinks,
	}
	bound := Bound(&o, work, centres[0])
	// Requests that go to the third host before it starts go to the first two.
	pick := func(i int) int { return i }
	if b.late {
		o.Hosts[2].From = at
	}
	for c := range o.Callers {
		o.Load = append(o.Load, load(m.seed+uint64(c)<<32, 1, Source{
			Caller: c, Rank: ordinary, Rate: 1.3 * bound / work.MaxTokens / 3, From: warmUp, To: until,
			Prompt: int(work.Prompt), MaxTokens: int(work.MaxTokens),
		})...)
	}
	sortAsks(o.Load)
	for i := range o.Load {
		a := &o.Load[i]
		a.Host = pick(a.Caller)
		if b.late && a.Host == 2 && a.At < at+warmUp {
			a.Host = i % 2
		}
	}
	replay := time.Duration(0)
	o.Plan = []rockfleet.Planned{{At: at, Do: func(f *rockfleet.Fleet) {
		for _, h := range f.Hosts {
			for _, p := range h.W.Pipelines.All() {
				replay = max(replay, p.FirstTokenDelay)
			}
		}
		b.fault(f)
	}}}
	policy, restart, err := both(o, until, func(o *rockfleet.Options) { o.Restart = true })
	if err != nil {
		return err
	}
	goal := 0.95 * b.after(o, work) / bound
	m.add(rockexperiment.Record{
		Measure: b.name + ": largest gap", Unit: "s", Policy: largestGap(policy, at), Baseline: "restart", BaselineValue: largestGap(restart, at),
		Relation: rockexperiment.AtMost, Target: (2*time.Second + replay).Seconds(),
	})
	m.add(rockexperiment.Record{
		Measure: b.name + ": time to 0.95 of the new bound", Unit: "s", Policy: timeTo(policy, at, until, goal), Baseline: "restart", BaselineValue: timeTo(restart, at, until, goal),
		Relation: rockexperiment.AtMost, Target: 5,
	})
	m.add(rockexperiment.Record{
		Measure: b.name + ": requests broken", Policy: float64(broken(policy, at)), Baseline: "restart", BaselineValue: float64(broken(restart, at)),
	})
	return nil
}

// largestGap returns the largest gap after the fault in seconds, of streams that are still open too.
func largestGap(f *rockfleet.Fleet, at time.Duration) float64 {
	largest := time.Duration(0)
	for i, gap := range f.Gaps {
		if f.Options.Load[i].At < at {
			largest = max(largest, gap)
		}
	}
	for _, s := range f.Streams.All() {
		if !s.First.IsZero() && f.Options.Load[s.Ask].At < at {
			largest = max(largest, f.Now.Sub(s.Last))
		}
	}
	return largest.Seconds()
}

// broken counts the requests that arrived before the fault, may have run and got no whole answer.
func broken(f *rockfleet.Fleet, at time.Duration) int {
	n := 0
	for i, a := range f.Answers {
		if f.Options.Load[i].At < at && a.At >= at && a.Reason != "" && a.MayHaveRun {
			n++
		}
	}
	return n
}

// timeTo returns the seconds from the fault to the end of the first second whose tokens reach a part of those before the fault.
func timeTo(f *rockfleet.Fleet, at, until time.Duration, part float64) float64 {
	const window = time.Second
	before := tokensIn(f, at-(at-warmUp)/2, at)
	for t := at; t+window <= until; t += rockfleet.BinWidth {
		if tokensIn(f, t, t+window) >= part*before {
			return (t + window - at).Seconds()
		}
	}
	return (until - at).Seconds()
}
