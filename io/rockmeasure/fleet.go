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

// Size scales the experiments.
type Size struct {
	Fleet float64 // factor of the time that a fleet runs under load
}

// Full is the size of the measurements.
var Full = Size{Fleet: 1}

func (s Size) of(d time.Duration) time.Duration {
	return time.Duration(s.Fleet * float64(d)).Truncate(rockfleet.BinWidth)
}

// warmUp is the time in which hosts learn of each other and of the engines.
const warmUp = 3 * time.Second

// kinds are the accelerators of the fleets, from fast to slow.
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

// ranks are those of the examples, with a queue that holds a flood.
var ranks = []rocktable.RankConfig{
	{Name: "urgent", FirstTokenMs: 730, GapMs: 250, Worth: 10, Floor: 0.2, MaxQueue: 2000},
	{Name: "ordinary", FirstTokenMs: 5000, GapMs: 500, Worth: 3, Floor: 0.1, MaxQueue: 5000},
	{Name: "background", FirstTokenMs: 600000, GapMs: 10000, Worth: 1, Floor: 0.05, MaxQueue: 20000},
}

func callers(n int) []rocktable.CallerConfig {
	list := make([]rocktable.CallerConfig, n)
	for i := range list {
		list[i].Name = fmt.Sprintf("caller-%d", i)
	}
	return list
}

func hosts(n int, centre func(i int) string) []rockfleet.HostOptions {
	list := make([]rockfleet.HostOptions, n)
	for i := range list {
		list[i] = rockfleet.HostOptions{Name: fmt.Sprintf("entry-%d", i), DataCentre: centre(i)}
	}
	return list
}

func oneCentre(int) string { return "ga-west-a" }

// stages returns n engines of a kind for each range of layers.
func stages(layers, ranges, n, slots int, kind func(i int) string, centre func(i int) string) []rockfleet.EngineOptions {
	var list []rockfleet.EngineOptions
	width := layers / ranges
	for i := range n {
		for r := range ranges {
			list = append(list, rockfleet.EngineOptions{
				Name: fmt.Sprintf("runner-%d-%d", r, i), DataCentre: centre(i), Kind: kind(i),
				First: r * width, Last: (r+1)*width - 1, Slots: slots, Queue: slots,
			})
		}
	}
	return list
}

// Source is a Poisson stream of requests.
type Source struct {
	Caller    int
	Rank      rocktable.RankID
	Rate      float64 // requests per second
	From, To  time.Duration
	Prompt    int // tokens
	MaxTokens int // on average; each request has from half to one and a half times as much
	Host      func(rng *rand.Rand) int
}

// load returns the requests of all sources in order of arrival.
func load(seed uint64, hosts int, sources ...Source) []rockfleet.Ask {
	var asks []rockfleet.Ask
	for i, s := range sources {
		rng := rand.New(rand.NewPCG(seed, uint64(i)+100))
		pick := s.Host
		if pick == nil {
			pick = func(rng *rand.Rand) int { return rng.IntN(hosts) }
		}
		for at := s.From; s.Rate > 0; {
			at += time.Duration(rng.ExpFloat64() / s.Rate * float64(time.Second))
			if at >= s.To {
				break
			}
			asks = append(asks, rockfleet.Ask{
				At: at, Host: pick(rng), Caller: s.Caller, Rank: s.Rank, Prompt: s.Prompt,
				MaxTokens: max(1, s.MaxTokens/2+rng.IntN(s.MaxTokens+1)),
			})
		}
	}
	sortAsks(asks)
	return asks
}

// simulate runs a fleet until a time with a list of systems.
func simulate(o rockfleet.Options, until time.Duration, change func(o *rockfleet.Options)) (*rockfleet.Fleet, error) {
	if change != nil {
		change(&o)
	}
	f := rockfleet.New(o)
	return f, f.Run(until)
}

// replaced returns the systems of a tick with one of them replaced.
func replaced(s rocktable.System) []rocktable.System {
	list := slices.Clone(rocktick.Systems)
	for i := range list {
		if list[i].Name == s.Name {
			list[i] = s
		}
	}
	return list
}

// tokensIn returns the tokens per second delivered between two times.
func tokensIn(f *rockfleet.Fleet, from, to time.Duration) float64 {
	first, last := int(from/rockfleet.BinWidth), int(to/rockfleet.BinWidth)
	sum := 0
	for i := first; i < min(last, len(f.Tokens)); i++ {
		sum += f.Tokens[i]
	}
	return float64(sum) / (to - from).Seconds()
}

// measures collects the records of one experiment.
type measures struct {
	name    string
	seed    uint64
	records []rockexperiment.Record
}

func (m *measures) add(r rockexperiment.Record) {
	r.Experiment, r.Seed = m.name, m.seed
	m.records = append(m.records, r.Judge())
}

func sortAsks(asks []rockfleet.Ask) {
	slices.SortStableFunc(asks, func(a, b rockfleet.Ask) int { return cmp.Compare(a.At, b.At) })
}

func harmattan(int) string { return "harmattan" }

// before returns the systems of a tick with another one before the named one.
func before(name string, s rocktable.System) []rocktable.System {
	list := slices.Clone(rocktick.Systems)
	i := slices.IndexFunc(list, func(s rocktable.System) bool { return s.Name == name })
	return slices.Insert(list, i, s)
}

// isKept reports whether a request was served: whole and within the target of its rank.
func isKept(f *rockfleet.Fleet, i int) bool {
	a, r := f.Answers[i], ranks[f.Options.Load[i].Rank]
	return a.At > 0 && a.Reason == "" && a.FirstToken <= r.FirstToken() && a.LargestGap <= r.Gap()
}
