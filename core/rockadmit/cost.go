package rockadmit

import (
	"time"

	"sassafrasrock/core/rockend"
	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// Load that this answers: a host has more requests than it may hold. What is turned away is what costs callers least.

const (
	// lateWorth is the fraction of its worth that a request keeps if its first token comes after the target.
	lateWorth = 0.3
	// shedCandidates limits the requests of one line that are compared, the newest ones, so that a long line costs no more.
	shedCandidates = 16
)

// refusalCost returns what the caller of a request loses if it is refused, for each token. The worth of a rank is that of
// a token, so that the work that a request needs decides only between equal costs.
func refusalCost(now time.Time, w *rocktable.World, r *rocktable.Request) float64 {
	worth := w.Ranks.Get(r.Rank).Config.Worth
	if now.After(LatestStart(w, r)) {
		return lateWorth * worth
	}
	return worth
}

// isCheaper reports whether refusing request a costs callers less than refusing b: by the cost of a token, then by the work
// that it needs, because one long request leaves room for several short ones, then the newer one.
func isCheaper(now time.Time, w *rocktable.World, a, b *rocktable.Request) bool {
	costA, costB := refusalCost(now, w, a), refusalCost(now, w, b)
	switch {
	case costA != costB:
		return costA < costB
	case a.EstimatedTokens != b.EstimatedTokens:
		return a.EstimatedTokens > b.EstimatedTokens
	}
	return a.ID > b.ID
}

// shedCheaper sheds the queued request whose refusal costs least, if that is less for each token than refusing r.
func shedCheaper(now time.Time, w *rocktable.World, r *rocktable.Request) bool {
	var least *rocktable.Request
	for _, rank := range w.Ranks.All() {
		if c := cheapestOf(now, w, rank); c != nil && (least == nil || isCheaper(now, w, c, least)) {
			least = c
		}
	}
	if least == nil || refusalCost(now, w, least) >= refusalCost(now, w, r) {
		return false
	}
	shed(w, least)
	return true
}

// shedFrom sheds the queued request of a rank whose refusal costs least, from the caller with the most queued requests.
func shedFrom(now time.Time, w *rocktable.World, rank *rocktable.Rank) bool {
	r := cheapestOf(now, w, rank)
	if r == nil {
		return false
	}
	shed(w, r)
	return true
}

func shed(w *rocktable.World, r *rocktable.Request) {
	Dequeue(w, r)
	rockend.Refuse(w, r.ID, rockreason.Shed, 0)
}

// cheapestOf returns the request whose refusal costs least among the newest ones in the longest line of the caller with
// the most queued requests in the rank, or nil.
func cheapestOf(now time.Time, w *rocktable.World, rank *rocktable.Rank) *rocktable.Request {
	if len(rank.Heaviest) == 0 {
		return nil
	}
	share := w.Shares.Get(rocktable.ShareKey{Rank: rank.ID, Caller: rank.Heaviest[0]})
	var longest *rocktable.Line
	for i := range share.Lines {
		if line := &share.Lines[i]; line.Waiting > 0 && (longest == nil || line.Waiting > longest.Waiting) {
			longest = line
		}
	}
	if longest == nil {
		return nil
	}
	var least *rocktable.Request
	for i, compared := len(longest.Queue)-1, 0; i >= 0 && compared < shedCandidates; i-- {
		if !isInLine(w, longest.Queue[i]) {
			continue
		}
		compared++
		if r := w.Requests.Get(longest.Queue[i]); least == nil || isCheaper(now, w, r, least) {
			least = r
		}
	}
	return least
}
