package rockmeasure

import (
	"math/rand/v2"
	"time"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockexperiment"
	"sassafrasrock/io/rockfleet"
)

const (
	// conversationsPerHost is the number of conversations that are open at one host at the same time.
	conversationsPerHost = 40
	// turnsPerConversation is the number of requests in one conversation.
	turnsPerConversation = 8
	// systemPromptBlocks is the length in blocks of the prompt with which all conversations of a caller
	// begin. Each turn adds turnBlocks.
	systemPromptBlocks = 4
	turnBlocks         = 1
	// cacheBlocks is the size of an engine's prefix cache in blocks.
	cacheBlocks = 600
)

func prefixCache(size Size) rockexperiment.Experiment {
	const name = "prefixCache"
	return rockexperiment.Experiment{
		Name: name,
		Description: `Hit rate of the engines' prefix caches for conversations.

Two hosts; three layer ranges with four equal engines each, which have a prefix cache
of 600 blocks. Each host has 40 conversations of two callers at a time. The
conversations of a caller begin with the same 4 blocks, and each of 8 turns adds one
block. All turns of a conversation go to the same host. The hit rate is the fraction
of the prompt blocks that engines had cached. It is divided by the hit rate of a
single host with one engine for each range and an unlimited cache. The baseline
routes without prefixes.`,
		Run: func(seed uint64) ([]rockexperiment.Record, error) {
			return runPrefixCache(&recorder{name: name, seed: seed}, size)
		},
	}
}

func runPrefixCache(rec *recorder, size Size) ([]rockexperiment.Record, error) {
	from := warmUp + size.scale(10*time.Second)
	until := from + size.scale(40*time.Second)
	o := equalFleet(rec.seed, 4, 32, 2, 2)
	for i := range o.Engines {
		o.Engines[i].CacheBlocks = cacheBlocks
	}
	o.Requests = conversationLoad(rec.seed, until)
	singleHost := o
	singleHost.Hosts = hostOptions(1, oneDataCentre)
	singleHost.Engines = engineOptions(9, 3, 1, 512, harmattanKind, oneDataCentre)
	for i := range singleHost.Engines {
		singleHost.Engines[i].CacheBlocks = 1 << 20
	}
	singleHost.Requests = conversationLoad(rec.seed, until)
	for i := range singleHost.Requests {
		singleHost.Requests[i].Host = 0
	}
	unlimited, err := simulate(singleHost, until, nil)
	if err != nil {
		return nil, err
	}
	policy, baseline, err := simulateBoth(o, until, noPrefixes)
	if err != nil {
		return nil, err
	}
	rec.add(rockexperiment.Record{
		Measure: "hit rate over unlimited single host", PolicyValue: hitRate(policy) / max(1e-9, hitRate(unlimited)),
		Baseline: "noPrefixes", BaselineValue: hitRate(baseline) / max(1e-9, hitRate(unlimited)), Relation: rockexperiment.AtLeast, Target: 0.9,
	})
	rec.add(rockexperiment.Record{Measure: "hit rate", PolicyValue: hitRate(policy), Baseline: "noPrefixes", BaselineValue: hitRate(baseline)})
	rec.add(rockexperiment.Record{Measure: "hit rate of unlimited single host", PolicyValue: hitRate(unlimited)})
	return rec.records, nil
}

// conversationLoad returns the requests of conversations at two hosts. A new conversation follows each
// finished one.
func conversationLoad(seed uint64, until time.Duration) []rockfleet.Request {
	const meanPause = 4 * time.Second // mean time between turns
	var requests []rockfleet.Request
	for host := range 2 {
		for c := range conversationsPerHost {
			rng := rand.New(rand.NewPCG(seed, uint64(host*conversationsPerHost+c)+500))
			caller := c % 2
			at := warmUp + time.Duration(rng.Float64()*float64(meanPause))
			for n := 0; at < until; n++ {
				prefix := make([]uint64, 0, systemPromptBlocks+turnsPerConversation*turnBlocks)
				for b := range systemPromptBlocks {
					prefix = append(prefix, blockHash(uint64(caller), uint64(b)))
				}
				for b := range (n%turnsPerConversation + 1) * turnBlocks {
					prefix = append(prefix, blockHash(uint64(1000+host*conversationsPerHost+c), uint64(n/turnsPerConversation*turnsPerConversation*turnBlocks+b)))
				}
				requests = append(requests, rockfleet.Request{
					At: at, Host: host, Caller: caller, Rank: ordinary, PromptTokens: len(prefix) * rockfleet.BlockTokens, MaxTokens: 16, Prefix: prefix,
				})
				at += time.Duration((0.5 + rng.Float64()) * float64(meanPause))
			}
		}
	}
	sortByArrival(requests)
	return requests
}

// blockHash returns the identity of a prefix block.
func blockHash(a, b uint64) uint64 { return rand.NewPCG(a, b).Uint64() }

// hitRate returns the fraction of the prompt positions in prefix blocks that engines had cached.
func hitRate(f *rockfleet.Fleet) float64 {
	cached, all := 0, 0
	for _, e := range f.Engines.All() {
		cached += e.CachedPositions
		all += e.PrefixPositions
	}
	return float64(cached) / float64(max(1, all))
}

// noPrefixes removes the prefixes from requests before the decisions.
func noPrefixes(o *rockfleet.Options) {
	o.Systems = insertBefore("rockadmit", rocktable.System{
		Name: "forget", Description: "Removes the prefixes from requests.",
		Run: func(_ time.Time, w *rocktable.World) {
			for i := range w.Inbox.Arrivals {
				w.Inbox.Arrivals[i].Request.Prefix = nil
			}
		},
	})
}
