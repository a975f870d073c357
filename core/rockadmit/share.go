package rockadmit

import (
	"sassafrasrock/core/rockcapacity"
	"sassafrasrock/core/rocktable"
)

// Load that this answers: a burst, or the loss of backend servers, while each of many hosts has few requests. A host with
// only background work then takes the last capacity although urgent requests arrive elsewhere. Trunk reservation keeps a
// part of each backend server free for more urgent ranks without a queue that all hosts share.

// CapacityShare returns the fraction of a backend server's capacity that a request may fill: all of it while capacity is
// not short, for a rank that has not had its floor, for a request that has begun, and where the settings reserve none.
func CapacityShare(w *rocktable.World, r *rocktable.Request) float64 {
	if r.MayHaveRun {
		return 1
	}
	rank := w.Ranks.Get(r.Rank)
	if w.Limits.RankReserve == 0 || rank == nil || !rockcapacity.IsShort(w, r.Pipeline) || isBelowFloor(w, r.Pipeline, rank) {
		return 1
	}
	most := 0.0
	for _, other := range w.Ranks.All() {
		if other.RemovedAt.IsZero() {
			most = max(most, other.Config.Worth)
		}
	}
	if most <= rank.Config.Worth {
		return 1
	}
	return 1 - w.Limits.RankReserve*(1-rank.Config.Worth/most)
}

// isBelowFloor reports whether a rank has started less of a pipeline's tokens at this host than its floor, or, if it has a
// floor, less than one token. A host without other work would never find it below a fraction of what it starts.
func isBelowFloor(w *rocktable.World, p rocktable.PipelineID, rank *rocktable.Rank) bool {
	own, total := 0.0, 0.0
	for id := range w.Ranks.All() {
		if lane := w.Lanes.Get(rocktable.LaneKey{Rank: id, Pipeline: p}); lane != nil {
			total += lane.StartedTokens
			if id == rank.ID {
				own = lane.StartedTokens
			}
		}
	}
	return own < rank.Config.Floor*total || rank.Config.Floor > 0 && own < 1
}
