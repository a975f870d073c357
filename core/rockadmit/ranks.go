package rockadmit

import (
	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// RenumberRanks gives ranks new ids after a change of the configuration, and removes the ranks that are not in moves.
// The id of a rank is its position in the configuration, so a rank that is inserted or removed changes the ids of those
// behind it.
func RenumberRanks(w *rocktable.World, moves map[rocktable.RankID]rocktable.RankID) {
	for id := range w.Ranks.All() {
		if _, kept := moves[id]; !kept {
			removeRank(w, id)
		}
	}
	for _, r := range w.Requests.All() {
		if id, moved := moves[r.Rank]; moved {
			r.Rank = id
		}
	}
	rekey(&w.Ranks, func(id rocktable.RankID) rocktable.RankID { return moves[id] })
	for id, rank := range w.Ranks.All() {
		rank.ID = id
	}
	rekey(&w.Lanes, func(key rocktable.LaneKey) rocktable.LaneKey {
		return rocktable.LaneKey{Rank: moves[key.Rank], Pipeline: key.Pipeline}
	})
	moveShare := func(key rocktable.ShareKey) rocktable.ShareKey {
		if key.Rank == rocktable.NoRank {
			return key
		}
		return rocktable.ShareKey{Rank: moves[key.Rank], Caller: key.Caller}
	}
	rekey(&w.Shares, moveShare)
	rekey(&w.Tallies, moveShare)
}

// removeRank ends the queued requests of a rank and deletes its rows. Running requests continue without a rank.
func removeRank(w *rocktable.World, id rocktable.RankID) {
	for _, r := range w.Requests.All() {
		if r.Rank != id {
			continue
		}
		if r.InQueue {
			Dequeue(w, r)
			w.Answer(r.ID, removalReason(r, rockreason.UnknownRank))
		}
		r.Rank = rocktable.NoRank
	}
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

// removalReason returns the reason with which a queued request ends whose rank or pipeline was removed from the
// configuration.
func removalReason(r *rocktable.Request, code rockreason.Code) rockreason.Code {
	if r.MayHaveRun {
		return rockreason.BackendFailed
	}
	return code
}

// rekey moves every row of a table to a new key. No two rows may get the same key.
func rekey[K comparable, T any](t *rocktable.Table[K, T], move func(K) K) {
	var moved rocktable.Table[K, T]
	for key, row := range t.All() {
		moved.Put(move(key), *row)
	}
	*t = moved
}
