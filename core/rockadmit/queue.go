package rockadmit

import (
	"time"

	"sassafrasrock/core/rocktable"
)

// compactSlack is the number of entries of removed requests that a line may hold, in addition to one for each queued
// request, before it is compacted.
const compactSlack = 32

// enqueue adds a request to the end of its caller's line.
func enqueue(now time.Time, w *rocktable.World, r *rocktable.Request) {
	share := w.Shares.GetOrPut(shareKey(r))
	if share.Waiting == 0 {
		share.WeightedTokens = max(share.WeightedTokens, lowestWeightedTokens(w, r.Rank))
	}
	adjustCounts(now, w, r, 1)
	line := getOrAddLine(share, r.Pipeline)
	line.Queue = append(line.Queue, r.ID)
	line.Waiting++
	if line.Waiting == 1 {
		key := laneKey(r)
		byWeightedTokens(w, key, w.Lanes.Get(key)).push(r.Caller)
	}
}

// Requeue queues a request whose attempt ended, or a suspect, with precedence over the callers' lines of its lane.
func Requeue(now time.Time, w *rocktable.World, r *rocktable.Request) {
	r.State, r.InFrontQueue = rocktable.RequestQueued, true
	w.Shares.GetOrPut(shareKey(r))
	adjustCounts(now, w, r, 1)
	lane := w.Lanes.Get(laneKey(r))
	lane.FrontQueue = append(lane.FrontQueue, r.ID)
}

// Dequeue removes a request from its queue, if it is in one. Its entry in a line is skipped later.
func Dequeue(w *rocktable.World, r *rocktable.Request) {
	if !r.InQueue {
		return
	}
	adjustCounts(r.QueuedAt, w, r, -1)
	if r.InFrontQueue {
		r.InFrontQueue = false
		lane := w.Lanes.Get(laneKey(r))
		for i, id := range lane.FrontQueue {
			if id == r.ID {
				lane.FrontQueue = append(lane.FrontQueue[:i], lane.FrontQueue[i+1:]...)
				break
			}
		}
		return
	}
	share := w.Shares.Get(shareKey(r))
	line := getOrAddLine(share, r.Pipeline)
	line.Waiting--
	if len(line.Queue) > 0 && line.Queue[0] == r.ID {
		line.Queue = line.Queue[1:]
	}
	if len(line.Queue) > 2*line.Waiting+compactSlack {
		compact(w, line)
	}
	if line.Waiting == 0 {
		line.Queue = line.Queue[:0]
		key := laneKey(r)
		byWeightedTokens(w, key, w.Lanes.Get(key)).remove(r.Caller)
	}
}

// adjustCounts adds a request to every count of queued requests (sign 1) or subtracts it (sign -1).
func adjustCounts(now time.Time, w *rocktable.World, r *rocktable.Request, sign int) {
	r.InQueue, r.QueuedAt = sign > 0, now
	share := w.Shares.Get(shareKey(r))
	share.Waiting += sign
	share.QueuedTokens += float64(sign) * r.EstimatedTokens
	lane := w.Lanes.GetOrPut(laneKey(r))
	lane.Waiting += sign
	lane.QueuedTokens = max(0, lane.QueuedTokens+float64(sign)*r.EstimatedTokens)
	if lane.Waiting == 0 {
		lane.QueuedTokens = 0 // drops rounding errors
	}
	if p := w.Pipelines.Get(r.Pipeline); p != nil {
		p.Waiting += sign
	}
	rank := w.Ranks.Get(r.Rank)
	rank.Waiting += sign
	h := byWaiting(w, rank)
	switch {
	case share.HeaviestIndex == 0 && share.Waiting > 0:
		h.push(r.Caller)
	case share.HeaviestIndex > 0 && share.Waiting == 0:
		h.remove(r.Caller)
	case share.HeaviestIndex > 0:
		h.fix(r.Caller)
	}
}

func compact(w *rocktable.World, line *rocktable.Line) {
	kept := make([]rocktable.RequestID, 0, line.Waiting)
	for _, id := range line.Queue {
		if isInLine(w, id) {
			kept = append(kept, id)
		}
	}
	line.Queue = kept
}

func isInLine(w *rocktable.World, id rocktable.RequestID) bool {
	r := w.Requests.Get(id)
	return r != nil && r.InQueue && !r.InFrontQueue
}

// head returns the first queued request of a line, or nil.
func head(w *rocktable.World, line *rocktable.Line) *rocktable.Request {
	for len(line.Queue) > 0 {
		if isInLine(w, line.Queue[0]) {
			return w.Requests.Get(line.Queue[0])
		}
		line.Queue = line.Queue[1:]
	}
	return nil
}

// lowestWeightedTokens returns the lowest Share.WeightedTokens among the callers with queued requests in the rank, or
// Rank.WeightedTokensFloor if there are none. A caller that returns starts from it and thus earns no credit for idle
// time.
func lowestWeightedTokens(w *rocktable.World, rank rocktable.RankID) float64 {
	lowest, found := 0.0, false
	for id := range w.Pipelines.All() {
		lane := w.Lanes.Get(rocktable.LaneKey{Rank: rank, Pipeline: id})
		if lane == nil || len(lane.Callers) == 0 {
			continue
		}
		served := w.Shares.Get(rocktable.ShareKey{Rank: rank, Caller: lane.Callers[0]}).WeightedTokens
		if !found || served < lowest {
			lowest, found = served, true
		}
	}
	if found {
		return lowest
	}
	if row := w.Ranks.Get(rank); row != nil {
		return row.WeightedTokensFloor
	}
	return 0
}

// chargeShare adds tokens to the caller's Share.WeightedTokens and updates its position in every lane of the rank.
func chargeShare(w *rocktable.World, r *rocktable.Request, tokens float64) {
	share := w.Shares.GetOrPut(shareKey(r))
	weight := 1.0
	if c := w.Callers.Get(r.Caller); c != nil && c.Config.Weight > 0 {
		weight = c.Config.Weight
	}
	share.WeightedTokens = max(0, share.WeightedTokens+tokens/weight)
	for _, line := range share.Lines {
		if line.HeapIndex > 0 {
			key := rocktable.LaneKey{Rank: r.Rank, Pipeline: line.Pipeline}
			byWeightedTokens(w, key, w.Lanes.Get(key)).fix(r.Caller)
		}
	}
}

func shareKey(r *rocktable.Request) rocktable.ShareKey {
	return rocktable.ShareKey{Rank: r.Rank, Caller: r.Caller}
}

func laneKey(r *rocktable.Request) rocktable.LaneKey {
	return rocktable.LaneKey{Rank: r.Rank, Pipeline: r.Pipeline}
}
