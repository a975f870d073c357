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
		Description: `Gaps of streams and throughput after a fault.

Three data centres with one host and two engines for each of three layer ranges;
links of 2 ms one way between data centres. Ordinary requests arrive at each host at
1.3 times its share of the bound. After ten seconds a stage dies, the link to an
engine becomes ten times slower, a third host joins, or a data centre is cut off
from the others. The gap is the largest one after the fault in a stream that began
before it. Its limit is 2 s plus one replay, taken as the longest time from the start
of an attempt to its first token that a host has estimated at the time of the fault.
The fleet has recovered when the tokens of one second reach 0.95 of the new bound,
multiplied by the fraction of the old bound that the fleet reached before the fault.
The baseline restarts the answer from its beginning after a failure.`,
		Run: func(seed uint64) ([]rockexperiment.Record, error) {
			return runRecovery(&recorder{name: name, seed: seed}, size)
		},
	}
}

var dataCentres = []string{"ga-west-a", "ga-west-b", "ga-west-c"}

// slowLinkDataCentre is the data centre of an engine with a degraded link, for the bound after the fault.
const slowLinkDataCentre = "slow"

// faultCase is one kind of fault.
type faultCase struct {
	name       string
	hostJoins  bool // the third host starts at the time of the fault
	inject     func(f *rockfleet.Fleet)
	boundAfter func(o rockfleet.Options, mean MeanRequest) float64 // throughput bound after the fault
}

var faultCases = []faultCase{
	{
		name:   "stage dies",
		inject: func(f *rockfleet.Fleet) { f.Kill("runner-1-0") },
		boundAfter: func(o rockfleet.Options, mean MeanRequest) float64 {
			o.Engines = filterEngines(o, func(e rockfleet.EngineOptions) bool { return e.Name != "runner-1-0" })
			return ThroughputBound(&o, mean, dataCentres[0])
		},
	},
	{
		name:   "link degrades",
		inject: func(f *rockfleet.Fleet) { f.LinkFactors["runner-1-0"] = 10 },
		boundAfter: func(o rockfleet.Options, mean MeanRequest) float64 {
			o.Engines = filterEngines(o, func(rockfleet.EngineOptions) bool { return true })
			for i := range o.Engines {
				if o.Engines[i].Name == "runner-1-0" {
					o.Engines[i].DataCentre = slowLinkDataCentre
				}
			}
			return ThroughputBound(&o, mean, dataCentres[0])
		},
	},
	{
		name:       "host joins",
		hostJoins:  true,
		inject:     func(*rockfleet.Fleet) {},
		boundAfter: func(o rockfleet.Options, mean MeanRequest) float64 { return ThroughputBound(&o, mean, dataCentres[0]) },
	},
	{
		name:   "data centre cut off",
		inject: func(f *rockfleet.Fleet) { f.CutOff(dataCentres[2]) },
		boundAfter: func(o rockfleet.Options, mean MeanRequest) float64 {
			rest, cutOff := o, o
			rest.Engines = filterEngines(o, func(e rockfleet.EngineOptions) bool { return e.DataCentre != dataCentres[2] })
			cutOff.Engines = filterEngines(o, func(e rockfleet.EngineOptions) bool { return e.DataCentre == dataCentres[2] })
			return ThroughputBound(&rest, mean, dataCentres[0]) + ThroughputBound(&cutOff, mean, dataCentres[2])
		},
	},
}

func filterEngines(o rockfleet.Options, keep func(e rockfleet.EngineOptions) bool) []rockfleet.EngineOptions {
	var list []rockfleet.EngineOptions
	for _, e := range o.Engines {
		if keep(e) {
			list = append(list, e)
		}
	}
	return list
}

func linkDelay(a, b string) time.Duration {
	const within, between = 500 * time.Microsecond, 2 * time.Millisecond
	switch {
	case a == slowLinkDataCentre || b == slowLinkDataCentre:
		return 10 * within
	case a == b:
		return within
	}
	return between
}

func runRecovery(rec *recorder, size Size) ([]rockexperiment.Record, error) {
	for _, fc := range faultCases {
		if err := rec.runFaultCase(fc, size); err != nil {
			return nil, fmt.Errorf("%s: %w", fc.name, err)
		}
	}
	return rec.records, nil
}

func (rec *recorder) runFaultCase(fc faultCase, size Size) error {
	mean := MeanRequest{PromptTokens: 32, MaxTokens: 64}
	at := warmUp + size.scale(10*time.Second)
	until := at + size.scale(15*time.Second)
	o := rockfleet.Options{
		Seed: rec.seed, Layers: 9, Ranks: ranks, Callers: callerConfigs(3), Kinds: kinds, MeasureFrom: at,
		Hosts:     hostOptions(3, func(i int) string { return dataCentres[i] }),
		Engines:   engineOptions(9, 3, 6, 32, harmattanKind, func(i int) string { return dataCentres[i%3] }),
		LinkDelay: linkDelay,
	}
	bound := ThroughputBound(&o, mean, dataCentres[0])
	// Until the third host has joined, its requests go to the first two.
	hostOf := func(i int) int { return i }
	if fc.hostJoins {
		o.Hosts[2].StartAt = at
	}
	for c := range o.Callers {
		o.Requests = append(o.Requests, generateLoad(rec.seed+uint64(c)<<32, 1, Source{
			Caller: c, Rank: ordinary, Rate: 1.3 * bound / mean.MaxTokens / 3, From: warmUp, To: until,
			PromptTokens: int(mean.PromptTokens), MaxTokens: int(mean.MaxTokens),
		})...)
	}
	sortByArrival(o.Requests)
	for i := range o.Requests {
		a := &o.Requests[i]
		a.Host = hostOf(a.Caller)
		if fc.hostJoins && a.Host == 2 && a.At < at+warmUp {
			a.Host = i % 2
		}
	}
	longestReplay := time.Duration(0)
	o.Changes = []rockfleet.Change{{At: at, Apply: func(f *rockfleet.Fleet) {
		for _, h := range f.Hosts {
			for _, p := range h.World.Pipelines.All() {
				longestReplay = max(longestReplay, p.FirstTokenDelay)
			}
		}
		fc.inject(f)
	}}}
	policy, restart, err := simulateBoth(o, until, func(o *rockfleet.Options) { o.RestartAnswers = true })
	if err != nil {
		return err
	}
	recoveredFraction := 0.95 * fc.boundAfter(o, mean) / bound
	rec.add(rockexperiment.Record{
		Measure: fc.name + ": largest gap", Unit: "s", PolicyValue: largestGap(policy, at), Baseline: "restart", BaselineValue: largestGap(restart, at),
		Relation: rockexperiment.AtMost, Target: (2*time.Second + longestReplay).Seconds(),
	})
	rec.add(rockexperiment.Record{
		Measure: fc.name + ": time to 0.95 of the new bound", Unit: "s", PolicyValue: timeToFraction(policy, at, until, recoveredFraction), Baseline: "restart", BaselineValue: timeToFraction(restart, at, until, recoveredFraction),
		Relation: rockexperiment.AtMost, Target: 5,
	})
	rec.add(rockexperiment.Record{
		Measure: fc.name + ": requests broken", PolicyValue: float64(brokenRequests(policy, at)), Baseline: "restart", BaselineValue: float64(brokenRequests(restart, at)),
	})
	return nil
}

// largestGap returns the largest gap after the fault, in seconds, of streams that began before it. For
// an open stream the time since its last token counts as a gap.
func largestGap(f *rockfleet.Fleet, at time.Duration) float64 {
	largest := time.Duration(0)
	for i, gap := range f.LargestGaps {
		if f.Options.Requests[i].At < at {
			largest = max(largest, gap)
		}
	}
	for _, s := range f.Streams.All() {
		if !s.FirstTokenAt.IsZero() && f.Options.Requests[s.RequestIndex].At < at {
			largest = max(largest, f.Now.Sub(s.LastTokenAt))
		}
	}
	return largest.Seconds()
}

// brokenRequests returns the number of requests that arrived before the fault, failed after it and may
// have run.
func brokenRequests(f *rockfleet.Fleet, at time.Duration) int {
	n := 0
	for i, a := range f.Answers {
		if f.Options.Requests[i].At < at && a.At >= at && a.Reason != "" && a.MayHaveRun {
			n++
		}
	}
	return n
}

// timeToFraction returns the seconds from the fault to the end of the first window of 1 s in which the
// token rate reaches a fraction of that before the fault.
func timeToFraction(f *rockfleet.Fleet, at, until time.Duration, fraction float64) float64 {
	const window = time.Second
	rateBefore := tokensPerSecond(f, at-(at-warmUp)/2, at)
	for t := at; t+window <= until; t += rockfleet.BinWidth {
		if tokensPerSecond(f, t, t+window) >= fraction*rateBefore {
			return (t + window - at).Seconds()
		}
	}
	return (until - at).Seconds()
}
