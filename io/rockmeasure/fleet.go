package rockmeasure

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/core/rocktick"
	"sassafrasrock/io/rockexperiment"
	"sassafrasrock/io/rockfleet"
)

// Size scales the durations of the experiments.
type Size struct {
	DurationFactor float64 // applies to the time that a fleet runs under load
}

// Full is the size of the measurements.
var Full = Size{DurationFactor: 1}

// scale returns a duration times the factor, in whole bins of rockfleet.Fleet.TokensByBin.
func (s Size) scale(d time.Duration) time.Duration {
	return time.Duration(s.DurationFactor * float64(d)).Truncate(rockfleet.BinWidth)
}

// warmUp is the time that hosts need to discover each other and the engines.
const warmUp = 3 * time.Second

// kinds maps the name of each kind of accelerator, from fast to slow, to its times.
var kinds = map[string]rockfleet.Kind{
	"harmattan": {Step: 5 * time.Millisecond, PerSession: time.Millisecond, Prefill: 100 * time.Microsecond},
	"levanter":  {Step: 7 * time.Millisecond, PerSession: 2 * time.Millisecond, Prefill: 200 * time.Microsecond},
	"sirocco":   {Step: 10 * time.Millisecond, PerSession: 4 * time.Millisecond, Prefill: 400 * time.Microsecond},
}

const (
	urgent     rocktable.RankID = 0
	ordinary   rocktable.RankID = 1
	background rocktable.RankID = 2
)

// ranks are those of the example configurations, with queues that are long enough for a flood.
var ranks = []rocktable.RankConfig{
	{Name: "urgent", FirstTokenMs: 730, GapMs: 250, Worth: 10, Floor: 0.2, MaxQueue: 2000},
	{Name: "ordinary", FirstTokenMs: 5000, GapMs: 500, Worth: 3, Floor: 0.1, MaxQueue: 5000},
	{Name: "background", FirstTokenMs: 600000, GapMs: 10000, Worth: 1, Floor: 0.05, MaxQueue: 20000},
}

func callerConfigs(n int) []rocktable.CallerConfig {
	list := make([]rocktable.CallerConfig, n)
	for i := range list {
		list[i].Name = fmt.Sprintf("caller-%d", i)
	}
	return list
}

func hostOptions(n int, dataCentre func(i int) string) []rockfleet.HostOptions {
	list := make([]rockfleet.HostOptions, n)
	for i := range list {
		list[i] = rockfleet.HostOptions{Name: fmt.Sprintf("entry-%d", i), DataCentre: dataCentre(i)}
	}
	return list
}

func oneDataCentre(int) string { return "ga-west-a" }

// engineOptions returns perRange engines for each of the equal ranges into which the layers are divided.
func engineOptions(layers, ranges, perRange, slots int, kind func(i int) string, dataCentre func(i int) string) []rockfleet.EngineOptions {
	var list []rockfleet.EngineOptions
	rangeLayers := layers / ranges
	for i := range perRange {
		for r := range ranges {
			list = append(list, rockfleet.EngineOptions{
				Name: fmt.Sprintf("runner-%d-%d", r, i), DataCentre: dataCentre(i), Kind: kind(i),
				FirstLayer: r * rangeLayers, LastLayer: (r+1)*rangeLayers - 1, Slots: slots, MaxQueued: slots,
			})
		}
	}
	return list
}

// Source generates requests of one caller and rank as a Poisson process.
type Source struct {
	Caller       int
	Rank         rocktable.RankID
	Rate         float64 // requests per second
	From, To     time.Duration
	PromptTokens int
	MaxTokens    int                      // mean; the requests are uniformly distributed between 0.5 and 1.5 times the mean
	PickHost     func(rng *rand.Rand) int // nil picks among all hosts with equal probability
}

// generateLoad returns the requests of all sources in order of arrival. Each source has a random number
// generator of its own, seeded by its position.
func generateLoad(seed uint64, hostCount int, sources ...Source) []rockfleet.Request {
	var requests []rockfleet.Request
	for i, s := range sources {
		rng := rand.New(rand.NewPCG(seed, uint64(i)+100))
		pick := s.PickHost
		if pick == nil {
			pick = func(rng *rand.Rand) int { return rng.IntN(hostCount) }
		}
		for at := s.From; s.Rate > 0; {
			at += time.Duration(rng.ExpFloat64() / s.Rate * float64(time.Second))
			if at >= s.To {
				break
			}
			requests = append(requests, rockfleet.Request{
				At: at, Host: pick(rng), Caller: s.Caller, Rank: s.Rank, PromptTokens: s.PromptTokens,
				MaxTokens: max(1, s.MaxTokens/2+rng.IntN(s.MaxTokens+1)),
			})
		}
	}
	sortByArrival(requests)
	return requests
}

// simulate runs a fleet until the given time. If modify is not nil, it changes the options first.
func simulate(o rockfleet.Options, until time.Duration, modify func(o *rockfleet.Options)) (*rockfleet.Fleet, error) {
	if modify != nil {
		modify(&o)
	}
	f := rockfleet.New(o)
	return f, f.Run(until)
}

// replaceSystem returns the systems of a tick, with s in place of the system of the same name.
func replaceSystem(s rocktable.System) []rocktable.System {
	list := slices.Clone(rocktick.Systems)
	for i := range list {
		if list[i].Name == s.Name {
			list[i] = s
		}
	}
	return list
}

// tokensPerSecond returns the rate of tokens delivered in an interval.
func tokensPerSecond(f *rockfleet.Fleet, from, to time.Duration) float64 {
	first, last := int(from/rockfleet.BinWidth), int(to/rockfleet.BinWidth)
	sum := 0
	for i := first; i < min(last, len(f.TokensByBin)); i++ {
		sum += f.TokensByBin[i]
	}
	return float64(sum) / (to - from).Seconds()
}

// recorder collects the records of one experiment.
type recorder struct {
	name    string
	seed    uint64
	records []rockexperiment.Record
}

func (rec *recorder) add(r rockexperiment.Record) {
	r.Experiment, r.Seed = rec.name, rec.seed
	rec.records = append(rec.records, r.Evaluate())
}

func sortByArrival(requests []rockfleet.Request) {
	slices.SortStableFunc(requests, func(a, b rockfleet.Request) int { return cmp.Compare(a.At, b.At) })
}

func harmattanKind(int) string { return "harmattan" }

// insertBefore returns the systems of a tick, with s inserted before the named one.
func insertBefore(name string, s rocktable.System) []rocktable.System {
	list := slices.Clone(rocktick.Systems)
	i := slices.IndexFunc(list, func(s rocktable.System) bool { return s.Name == name })
	return slices.Insert(list, i, s)
}

// isWithinTarget reports whether request i got a complete answer within the targets of its rank.
func isWithinTarget(f *rockfleet.Fleet, i int) bool {
	a, r := f.Answers[i], ranks[f.Options.Requests[i].Rank]
	return a.At > 0 && a.Reason == "" && a.FirstTokenDelay <= r.FirstTokenTarget() && a.LargestGap <= r.GapTarget()
}
