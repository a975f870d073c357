package rockmeasure

import (
	"math/rand/v2"
	"time"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockexperiment"
	"sassafrasrock/io/rockfleet"
)

const (
	// conversations is the number of conversations that are open at the same time at one host.
	conversations = 40
	// turns is the number of requests of one conversation.
	turns = 8
	// systemBlocks is the length in blocks of the prompt that all conversations of a caller begin with, and turnBlocks what each turn adds.
	systemBlocks = 4
	turnBlocks   = 1
	// cacheBlocks is the memory of an engine's prefix cache, in blocks.
	cacheBlocks = 600
)

func prefixCache(size Size) rockexperiment.Experiment {
	const name = "prefixCache"
	return rockexperiment.Experiment{
		Name: name,
		Doc: `Hit rate of the engines' prefix caches for conversations.

Two hosts in front of three ranges of layers, each held by four equal engines with
600 blocks of prefix cache. Each host has 40 conversations of two callers at a
time; a caller's conversations begin with the same 4 blocks, and each of 8 turns
adds one block. The turns of a conversation come to the same host. The hit rate is
the part of the prompt blocks that engines had cached. It is divided by that of a
single host with one engine for each range and an unlimited cache. The baseline
knows no prefixes.`,
		Run: func(seed uint64) ([]rockexperiment.Record, error) {
			return runPrefixCache(&measures{name: name, seed: seed}, size)
		},
	}
}

func runPrefixCache(m *measures, size Size) ([]rockexperiment.Record, error) {
	from := warmUp + size.of(10*time.Second)
	until := from + size.of(40*time.Second)
	o := equalFleet(m.seed, 4, 32, 2, 2)
	for i := range o.Engines {
		o.Engines[i].Blocks = cacheBlocks
	}
	o.Load = talk(m.seed, until)
	single := o
	single.Hosts = hosts(1, oneCentre)
	single.Engines = stages(9, 3, 1, 512, harmattan, oneCentre)
	for i := range single.Engines {
		single.Engines[i].Blocks = 1 << 20
	}
	single.Load = talk(m.seed, until)
	for i := range single.Load {
		single.Load[i].Host = 0
	}
	best, err := simulate(single, until, nil)
	if err != nil {
		return nil, err
	}
	policy, blind, err := both(o, until, noPrefixes)
	if err != nil {
		return nil, err
	}
	m.add(rockexperiment.Record{
		Measure: "hit rate over unlimited single host", Policy: hitRate(policy) / max(1e-9, hitRate(best)),
		Baseline: "noPrefixes", BaselineValue: hitRate(blind) / max(1e-9, hitRate(best)), Relation: rockexperiment.AtLeast, Target: 0.9,
	})
	m.add(rockexperiment.Record{Measure: "hit rate", Policy: hitRate(policy), Baseline: "noPrefixes", BaselineValue: hitRate(blind)})
	m.add(rockexperiment.Record{Measure: "hit rate of unlimited single host", Policy: hitRate(best)})
	return m.records, nil
}

// talk returns the turns of conversations; a finished conversation is followed by a new one.
func talk(seed uint64, until time.Duration) []rockfleet.Ask {
	const pause = 4 * time.Second // mean time between turns
	var asks []rockfleet.Ask
	for host := range 2 {
		for c := range conversations {
			rng := rand.New(rand.NewPCG(seed, uint64(host*conversations+c)+500))
			caller := c % 2
			at := warmUp + time.Duration(rng.Float64()*float64(pause))
			for n := 0; at < until; n++ {
				prefix := make([]uint64, 0, systemBlocks+turns*turnBlocks)
				for b := range systemBlocks {
					prefix = append(prefix, hash(uint64(caller), uint64(b)))
				}
				for b := range (n%turns + 1) * turnBlocks {
					prefix = append(prefix, hash(uint64(1000+host*conversations+c), uint64(n/turns*turns*turnBlocks+b)))
				}
				asks = append(asks, rockfleet.Ask{
					At: at, Host: host, Caller: caller, Rank: ordinary, Prompt: len(prefix) * rockfleet.BlockTokens, MaxTokens: 16, Prefix: prefix,
				})
				at += time.Duration((0.5 + rng.Float64()) * float64(pause))
			}
		}
	}
	sortAsks(asks)
	return asks
}

// hash names a prefix block.
func hash(a, b uint64) uint64 { return rand.NewPCG(a, b).Uint64() }

// hitRate returns the part of the prompt positions in blocks that engines had cached.
func hitRate(f *rockfleet.Fleet) float64 {
	cached, all := 0, 0
	for _, e := range f.Engines.All() {
		cached += e.Cached
		all += e.Positions
	}
	return float64(cached) / float64(max(1, all))
}

// noPrefixes hides the prefixes of prompts from the decisions.
func noPrefixes(o *rockfleet.Options) {
	o.Systems = before("rockadmit", rocktable.System{
		Name: "forget", Doc: "Forgets the prefixes of prompts.",
		Run: func(_ time.Time, w *rocktable.World) {
			for i := range w.Inbox.Arrivals {
				w.Inbox.Arrivals[i].Request.Prefix = nil
			}
		},
	})
}
