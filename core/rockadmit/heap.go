package rockadmit

import "sassafrasrock/core/rocktable"

// heap is a binary heap of callers. index returns a pointer to the stored position of a caller plus one, which is
// needed to move or remove the caller. The stored value is 0 for a caller that is not in the heap.
type heap struct {
	callers *[]rocktable.CallerID
	less    func(a, b rocktable.CallerID) bool
	index   func(c rocktable.CallerID) *int
}

func (h heap) push(c rocktable.CallerID) {
	*h.callers = append(*h.callers, c)
	i := len(*h.callers) - 1
	*h.index(c) = i + 1
	h.up(i)
}

func (h heap) remove(c rocktable.CallerID) {
	i := *h.index(c) - 1
	last := len(*h.callers) - 1
	h.swap(i, last)
	*h.callers = (*h.callers)[:last]
	*h.index(c) = 0
	if i < last {
		h.down(i)
		h.up(i)
	}
}

func (h heap) fix(c rocktable.CallerID) {
	i := *h.index(c) - 1
	h.down(i)
	h.up(*h.index(c) - 1)
}

func (h heap) up(i int) {
	s := *h.callers
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(s[i], s[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h heap) down(i int) {
	s := *h.callers
	for {
		child := 2*i + 1
		if child >= len(s) {
			return
		}
		if child+1 < len(s) && h.less(s[child+1], s[child]) {
			child++
		}
		if !h.less(s[child], s[i]) {
			return
		}
		h.swap(i, child)
		i = child
	}
}

func (h heap) swap(i, j int) {
	s := *h.callers
	s[i], s[j] = s[j], s[i]
	*h.index(s[i]) = i + 1
	*h.index(s[j]) = j + 1
}

// byWeightedTokens returns the heap of a lane: the caller with the lowest Share.WeightedTokens is first.
func byWeightedTokens(w *rocktable.World, key rocktable.LaneKey, lane *rocktable.Lane) heap {
	served := func(c rocktable.CallerID) float64 {
		return w.Shares.Get(rocktable.ShareKey{Rank: key.Rank, Caller: c}).WeightedTokens
	}
	return heap{
		callers: &lane.Callers,
		less: func(a, b rocktable.CallerID) bool {
			sa, sb := served(a), served(b)
			return sa < sb || sa == sb && a < b
		},
		index: func(c rocktable.CallerID) *int {
			share := w.Shares.Get(rocktable.ShareKey{Rank: key.Rank, Caller: c})
			return &getOrAddLine(share, key.Pipeline).HeapIndex
		},
	}
}

// byWaiting returns the heap of a rank: the caller with the most queued requests is first.
func byWaiting(w *rocktable.World, rank *rocktable.Rank) heap {
	share := func(c rocktable.CallerID) *rocktable.Share {
		return w.Shares.Get(rocktable.ShareKey{Rank: rank.ID, Caller: c})
	}
	return heap{
		callers: &rank.Heaviest,
		less: func(a, b rocktable.CallerID) bool {
			wa, wb := share(a).Waiting, share(b).Waiting
			return wa > wb || wa == wb && a < b
		},
		index: func(c rocktable.CallerID) *int { return &share(c).HeaviestIndex },
	}
}

// getOrAddLine returns the caller's line for the pipeline, which it adds if there is none. The pointer is valid until
// the next line is added.
func getOrAddLine(share *rocktable.Share, p rocktable.PipelineID) *rocktable.Line {
	for i := range share.Lines {
		if share.Lines[i].Pipeline == p {
			return &share.Lines[i]
		}
	}
	share.Lines = append(share.Lines, rocktable.Line{Pipeline: p})
	return &share.Lines[len(share.Lines)-1]
}
