package rockmeasure

import (
	"time"

	"sassafrasrock/core/rockroute"
	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockexperiment"
	"sassafrasrock/io/rockfleet"
)

func throughput(size Size) rockexperiment.Experiment {
	const name = "throughput"
	return rockexperiment.Experiment{
		Name: name,
		Description: `Tokens per second of an overloaded fleet, divided by its bound.

Three layer ranges with six engines each, of three kinds and in three data centres
with slow links (2 ms, 8 ms and 20 ms one way). Background requests arrive at twice
the bound.

The bound is the smaller of two limits. The first is the maximum flow over the layer
ranges. The capacity of an engine is the highest rate x with b(x) + x c ≤ slots. Here
b(x) = x (s - p) / (1 - x p) is the number of sessions in the engine's batches, where
s is the time of a batch of one session and p the time of each further session, both
with the prefill time of a session spread over its tokens; c is the shortest time
that a step spends on links and at the other stages. The second limit is the highest
flow whose sessions fit in the slots of each range, because a session holds a slot in
every range. The number of sessions is the sum over all ranges of the sessions in
batches, b(x), and on links, at the division of the flow among the engines of the
range that needs the fewest.

The baselines choose each stage at random, or choose the engine with the fewest
attempts of the host.`,
		Run: func(seed uint64) ([]rockexperiment.Record, error) {
			return runThroughput(&recorder{name: name, seed: seed}, size)
		},
	}
}

var mixedLinkDelays = map[string]time.Duration{
	"ga-west-a": 2 * time.Millisecond, "ga-west-b": 8 * time.Millisecond, "ga-west-c": 20 * time.Millisecond,
}

func mixedFleet(seed uint64) rockfleet.Options {
	kindNames := []string{"harmattan", "levanter", "sirocco"}
	dataCentres := []string{"ga-west-a", "ga-west-b", "ga-west-c"}
	return rockfleet.Options{
		Seed: seed, Layers: 9, Ranks: ranks, Callers: callerConfigs(4), Kinds: kinds,
		Hosts: hostOptions(2, oneDataCentre),
		Engines: engineOptions(9, 3, 6, 128,
			func(i int) string { return kindNames[i%3] }, func(i int) string { return dataCentres[(i+i/3)%3] }),
		LinkDelay: func(a, b string) time.Duration { return max(mixedLinkDelays[a], mixedLinkDelays[b]) },
	}
}

func runThroughput(rec *recorder, size Size) ([]rockexperiment.Record, error) {
	o := mixedFleet(rec.seed)
	mean := MeanRequest{PromptTokens: 32, MaxTokens: 32}
	bound := ThroughputBound(&o, mean, "ga-west-a")
	from := warmUp + size.scale(20*time.Second)
	until := from + size.scale(30*time.Second)
	for c := range o.Callers {
		o.Requests = append(o.Requests, generateLoad(rec.seed+uint64(c)<<32, len(o.Hosts), Source{
			Caller: c, Rank: background, Rate: 2 * bound / mean.MaxTokens / float64(len(o.Callers)),
			From: warmUp, To: until, PromptTokens: int(mean.PromptTokens), MaxTokens: int(mean.MaxTokens),
		})...)
	}
	sortByArrival(o.Requests)
	policy, err := simulate(o, until, nil)
	if err != nil {
		return nil, err
	}
	ratio := tokensPerSecond(policy, from, until) / bound
	rec.add(rockexperiment.Record{Measure: "bound", Unit: "tokens/s", PolicyValue: bound})
	for _, b := range []struct {
		name     string
		findPath rockroute.PathFunc
	}{{"random", randomPath}, {"leastOutstanding", leastOutstanding}} {
		f, err := simulate(o, until, func(o *rockfleet.Options) { o.Systems = replaceSystem(rockroute.SystemWith(b.findPath)) })
		if err != nil {
			return nil, err
		}
		rec.add(rockexperiment.Record{
			Measure: "tokens/s over bound", PolicyValue: ratio, Baseline: b.name, BaselineValue: tokensPerSecond(f, from, until) / bound,
			Relation: rockexperiment.AtLeast, Target: 0.9,
		})
	}
	return rec.records, nil
}

// randomPath chooses the engine of each stage at random among those with free capacity.
func randomPath(_ time.Time, w *rocktable.World, g *rockroute.Graph, r *rocktable.Request) []rocktable.Stage {
	return leastCostPath(w, g, r, func(*rocktable.BackendServer) float64 { return w.Rand.Float64() })
}

// leastOutstanding chooses for each stage the engine with the fewest attempts of this host in flight,
// at random among equals.
func leastOutstanding(_ time.Time, w *rocktable.World, g *rockroute.Graph, r *rocktable.Request) []rocktable.Stage {
	return leastCostPath(w, g, r, func(s *rocktable.BackendServer) float64 { return float64(s.InFlight) + w.Rand.Float64() })
}

// leastCostPath chooses for each range the engine of least cost among those with free capacity. The
// ranges must not overlap. It returns nil if a range has no such engine.
func leastCostPath(w *rocktable.World, g *rockroute.Graph, r *rocktable.Request, cost func(s *rocktable.BackendServer) float64) []rocktable.Stage {
	var path []rocktable.Stage
	for from := 0; from < len(g.Boundaries)-1; from++ {
		var best *rocktable.BackendServer
		least := 0.0
		for _, i := range g.ServersFrom[from] {
			s := g.Servers[i]
			if !rockroute.HasCapacity(w, s, r) {
				continue
			}
			if c := cost(s); best == nil || c < least {
				best, least = s, c
			}
		}
		if best == nil {
			return nil
		}
		path = append(path, rocktable.Stage{
			Server: best.ID, Address: best.Address, FirstLayer: best.Status.FirstLayer, LastLayer: best.Status.LastLayer, Incarnation: best.Incarnation,
		})
	}
	return path
}
