package rockstandin

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockengine"
)

// maxCacheEvents is the largest number of cache events that an engine keeps.
const maxCacheEvents = 4096

func newCache() rocktable.Table[uint64, CacheBlock] { return rocktable.Table[uint64, CacheBlock]{} }

// initialDigest returns the digest of a session without inputs. It depends on the model and the layer
// range, so different ones share no cache blocks.
func initialDigest(kv KVCache) uint64 {
	return mix(xxhash.Sum64String(kv.Model+"\n"+kv.Version) ^ uint64(kv.FirstLayer)<<32 ^ uint64(kv.LastLayer))
}

// loadCachedPrefix copies the longest cached prefix of a session's first step into the pending step.
func loadCachedPrefix(w *World, e *Engine, session *Session, pending *PendingStep) {
	pending.KV = session.KV
	pending.KV.Layers = slices.Clone(session.KV.Layers)
	if session.KV.Position != 0 {
		return
	}
	pending.KV.Digest = initialDigest(session.KV)
	digest := pending.KV.Digest
	// The last position is always computed, as engines do: its result is the next token.
	for i := 0; i < len(pending.Inputs)-1; i++ {
		digest = mix(digest ^ pending.Inputs[i])
		if (i+1)%rockengine.PrefixBlock != 0 {
			continue
		}
		block := e.Cache.Get(digest)
		if block == nil {
			return
		}
		e.CacheTick++
		block.LastUsed = e.CacheTick
		pending.Cached = i + 1
		pending.Activations = append(pending.Activations, block.Activations...)
		pending.KV.Digest, pending.KV.Position = digest, i+1
		copy(pending.KV.Layers, block.Layers)
	}
}

// runInputs computes the positions that were not cached, adds complete blocks to the prefix cache and
// returns the activations of all positions of the step.
func runInputs(now time.Time, w *World, e *Engine, pending *PendingStep) []uint64 {
	out, kv := pending.Activations, &pending.KV
	for _, input := range pending.Inputs[pending.Cached:] {
		out = append(out, runLayers(e.Seeds, kv.Layers, input))
		kv.Digest = mix(kv.Digest ^ input)
		kv.Position++
		if kv.Position%rockengine.PrefixBlock == 0 && len(out) >= rockengine.PrefixBlock {
			storeBlock(now, w, e, pending, out)
		}
	}
	return out
}

func storeBlock(now time.Time, w *World, e *Engine, pending *PendingStep, out []uint64) {
	if e.Settings.CacheBlocks == 0 || e.Cache.Get(pending.KV.Digest) != nil {
		return
	}
	prefix := pending.KV.Digest
	if i := pending.KV.Position/rockengine.PrefixBlock - 1; i < len(pending.PrefixHashes) {
		prefix = pending.PrefixHashes[i]
	}
	e.CacheTick++
	e.Cache.Put(pending.KV.Digest, CacheBlock{
		Layers:      slices.Clone(pending.KV.Layers),
		Activations: slices.Clone(out[len(out)-rockengine.PrefixBlock:]),
		Prefix:      prefix,
		LastUsed:    e.CacheTick,
	})
	addCacheEvent(now, w, e, prefix, true)
	if e.Cache.Len() > e.Settings.CacheBlocks {
		evict(now, w, e)
	}
}

// evict removes the least recently used block.
func evict(now time.Time, w *World, e *Engine) {
	var oldest uint64
	var block *CacheBlock
	for key, b := range e.Cache.All() {
		if block == nil || b.LastUsed < block.LastUsed {
			oldest, block = key, b
		}
	}
	addCacheEvent(now, w, e, block.Prefix, false)
	e.Cache.Delete(oldest)
}

// addCacheEvent queues a cache event. With the probability EventGaps it only uses up a sequence number,
// so the router sees a gap.
func addCacheEvent(now time.Time, w *World, e *Engine, prefix uint64, stored bool) {
	e.LastEvent++
	if w.Rand.Float64() < w.Settings.Engine.EventGaps {
		return
	}
	e.Events = append(e.Events, DelayedEvent{
		Event: rockengine.CacheEvent{Seq: e.LastEvent, Prefix: prefix, Stored: stored},
		At:    now.Add(milliseconds(w.Settings.Engine.EventDelayMs)),
	})
	if len(e.Events) > maxCacheEvents {
		e.Events = slices.Delete(e.Events, 0, maxCacheEvents/4)
	}
}

// cacheEventsAfter returns the published events with a sequence number above after.
func cacheEventsAfter(now time.Time, e *Engine, after uint64) rockengine.CacheEvents {
	page := rockengine.CacheEvents{Next: after}
	for _, delayed := range e.Events {
		if delayed.Event.Seq > after && !now.Before(delayed.At) {
			page.Events = append(page.Events, delayed.Event)
			page.Next = delayed.Event.Seq
		}
	}
	return page
}
