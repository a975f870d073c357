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
		Description: `Largest queue of an engine when reports of load are 1 s late.

Eight hosts; three layer ranges with eight equal engines each, whose reports are 1 s
late; ordinary requests at 0.7 times the bound. The queue of an engine is the number
of its sessions, sampled every 50 ms. The mean is over all engines and samples. The
baseline chooses the engine with the least load in its last report, and ignores the
requests that were sent since then.`,
		Run: func(seed uint64) ([]rockexperiment.Record, error) {
			return runLateReports(&recorder{name: name, seed: seed}, size)
		},
	}
}

func runLateReports(rec *recorder, size Size) ([]rockexperiment.Record, error) {
	const tokens = 32
	o := equalFleet(rec.seed, 8, 64, 8, 8)
	bound := ThroughputBound(&o, MeanRequest{PromptTokens: tokens, MaxTokens: tokens}, "ga-west-a")
	from := warmUp + size.scale(10*time.Second)
	until := from + size.scale(30*time.Second)
	o.ReportLag, o.MeasureFrom = time.Second, from
	for c := range o.Callers {
		o.Requests = append(o.Requests, generateLoad(rec.seed+uint64(c)<<32, len(o.Hosts), Source{
			Caller: c, Rank: ordinary, Rate: 0.7 * bound / tokens / float64(len(o.Callers)), From: warmUp, To: until,
			PromptTokens: tokens, MaxTokens: tokens,
		})...)
	}
	sortByArrival(o.Requests)
	policy, baseline, err := simulateBoth(o, until, func(o *rockfleet.Options) {
		o.Systems = replaceSystem(rockroute.SystemWith(leastReported))
	})
	if err != nil {
		return nil, err
	}
	largest, mean := queueLengths(policy)
	baselineLargest, baselineMean := queueLengths(baseline)
	rec.add(rockexperiment.Record{
		Measure: "largest queue over mean", PolicyValue: largest / mean, Baseline: "leastReported", BaselineValue: baselineLargest / baselineMean,
		Relation: rockexperiment.AtMost, Target: 2,
	})
	rec.add(rockexperiment.Record{
		Measure: "mean queue", Unit: "sessions", PolicyValue: mean, Baseline: "leastReported", BaselineValue: baselineMean,
	})
	rec.add(rockexperiment.Record{
		Measure: "requests kept", PolicyValue: answeredWithinTarget(policy, from, until), Baseline: "leastReported", BaselineValue: answeredWithinTarget(baseline, from, until),
	})
	return rec.records, nil
}

// queueLengths returns the largest sampled number of sessions of an engine, and the mean over all
// engines and samples.
func queueLengths(f *rockfleet.Fleet) (largest, mean float64) {
	sum, samples := 0, 0
	for _, e := range f.Engines.All() {
		largest = max(largest, float64(e.MaxSessions))
		sum += e.SessionSum
		samples += e.SessionSamples
	}
	return largest, float64(sum) / float64(max(1, samples))
}

// answeredWithinTarget returns the fraction of the requests that ended in an interval whose answer was
// complete and within the target.
func answeredWithinTarget(f *rockfleet.Fleet, from, until time.Duration) float64 {
	withinTarget, all := 0, 0
	for i, a := range f.Answers {
		if a.At < from || a.At >= until {
			continue
		}
		all++
		if isWithinTarget(f, i) {
			withinTarget++
		}
	}
	return float64(withinTarget) / float64(max(1, all))
}

// leastReported chooses for each stage the engine with the least load in its last report.
func leastReported(_ time.Time, w *rocktable.World, g *rockroute.Graph, r *rocktable.Request) []rocktable.Stage {
	return leastCostPath(w, g, r, func(s *rocktable.BackendServer) float64 {
		return float64(s.Status.Active+s.Status.Queued) + w.Rand.Float64()
	})
}
