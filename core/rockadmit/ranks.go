package rockadmit

import (
	"cmp"
	"slices"

	"sassafrasrock/core/rocktable"
)

// compareUrgency returns a negative number if rank a is more urgent than rank b.
func compareUrgency(a, b *rocktable.Rank) int {
	return cmp.Or(cmp.Compare(a.Position, b.Position), cmp.Compare(a.ID, b.ID))
}

// ranksByUrgency returns the ranks, the most urgent first.
func ranksByUrgency(w *rocktable.World) []*rocktable.Rank {
	ranks := make([]*rocktable.Rank, 0, w.Ranks.Len())
	for _, rank := range w.Ranks.All() {
		ranks = append(ranks, rank)
	}
	slices.SortFunc(ranks, compareUrgency)
	return ranks
}

// RemoveRank deletes the rows of a rank without requests.
func RemoveRank(w *rocktable.World, id rocktable.RankID) {
	for key := range w.Lanes.All() {
		if key.Rank == id {
			w.Lanes.Delete(key)
		}
	}
	for key := range w.Shares.All() {
		if key.Rank == id {
			w.Shares.Delete(key)
		}
	}
	for key := range w.Tallies.All() {
		if key.Rank == id {
			w.Tallies.Delete(key)
		}
	}
	w.Ranks.Delete(id)
}
