package rockmeasure

import (
	"time"

	"sassafrasrock/core/rockroute"
	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockexperiment"
	"sassafrasrock/io/rockfleet"
)

func lateReports(size Size) rockexperiment.Experiment {
	const name = "lateReports"
	return rockexperiment.Experiment{
		Name: name,
		Doc: `Largest queue of an engine when reports of load are 1 s late.

Eight hosts in front of three ranges of layers, each held by eight equal engines
whose reports are 1 s late; ordinary requests of 0.7 times the bound. The queue of
an engine is the number of its sessions, sampled every 50 ms. The mean is over all
engines and samples. The baseline takes the engine with the least load in its last
report, and takes no account of what was sent since.`,
		Run: func(seed uint64) ([]rockexperiment.Record, error) {
			return runLateReports(&measures{name: name, seed: seed}, size)
		},
	}
}

func runLateReports(m *measures, size Size) ([]rockexperiment.Record, error) {
	const tokens = 32
	o := equalFleet(m.seed, 8, 64, 8, 8)
	bound := Bound(&o, Work{Prompt: tokens, MaxTokens: tokens}, "ga-west-a")
	from := warmUp + size.of(10*time.Second)
	until := from + size.of(30*time.Second)
	o.ReportLag, o.StreamsFrom = time.Second, from
	for c := range o.Callers {
		o.Load = append(o.Load, load(m.seed+uint64(c)<<32, len(o.Hosts), Source{
			Caller: c, Rank: ordinary, Rate: 0.7 * bound / tokens / float64(len(o.Callers)), From: warmUp, To: until,
			Prompt: tokens, MaxTokens: tokens,
		})...)
	}
	sortAsks(o.Load)
	policy, reported, err := both(o, until, func(o *rockfleet.Options) {
		o.Systems = replaced(rockroute.SystemWith(leastReported))
	})
	if err != nil {
		return nil, err
	}
	largest, mean := queues(policy)
	largestReported, meanReported := queues(reported)
	m.add(rockexperiment.Record{
		Measure: "largest queue over mean", Policy: largest / mean, Baseline: "leastReported", BaselineValue: largestReported / meanReported,
		Relation: rockexperiment.AtMost, Target: 2,
	})
	m.add(rockexperiment.Record{
		Measure: "mean queue", Unit: "sessions", Policy: mean, Baseline: "leastReported", BaselineValue: meanReported,
	})
	m.add(rockexperiment.Record{
		Measure: "requests kept", Policy: keptAll(policy, from, until), Baseline: "leastReported", BaselineValue: keptAll(reported, from, until),
	})
	return m.records, nil
}

// queues returns the largest number of sessions of an engine, and the mean.
func queues(f *rockfleet.Fleet) (largest, mean float64) {
	sum, n := 0, 0
	for _, e := range f.Engines.All() {
		largest = max(largest, float64(e.Largest))
		sum += e.QueueSum
		n += e.QueueN
	}
	return largest, float64(sum) / float64(max(1, n))
}

// keptAll returns the part of the requests answered in an interval that met their target.
func keptAll(f *rockfleet.Fleet, from, until time.Duration) float64 {
	kept, all := 0, 0
	for i, a := range f.Answers {
		if a.At < from || a.At >= until {
			continue
		}
		all++
		if isKept(f, i) {
			kept++
		}
	}
	return float64(kept) / float64(max(1, all))
}

// leastReported chooses for each stage the engine with the least load in its last report.
func leastReported(_ time.Time, w *rocktable.World, f *rockroute.Field, r *rocktable.Request) []rocktable.Stage {
	return pathBy(w, f, r, func(s *rocktable.BackendServer) float64 {
		return float64(s.Status.Active+s.Status.Queued) + w.Rand.Float64()
	})
}
