package rockadmit

import (
	"math"
	"time"

	"sassafrasrock/core/rockcrash"
	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

const (
	// floorWindow is the time constant over which started tokens count towards a floor.
	floorWindow = 4 * time.Second
	// busyWindow is the time constant, in seconds with a backlog, of the service rate.
	busyWindow = 4.0
	// floorMargin is the factor of a floor up to which a rank takes precedence. A rank is served when it is below the limit, so that its share stays a little below the limit on average.
	floorMargin = 1.1
	// frontTries limits the requeued requests and suspects of one lane that are tried in one tick.
	frontTries = 16
)

// Turn is the order of starts of one pipeline within one tick.
type Turn struct {
	Pipeline *rocktable.Pipeline
	Lanes    []*rocktable.Lane // by rank; nil without waiting work
	Tried    []int             // entries of Front that were tried, by rank
	Started  float64           // tokens started in this tick
	Blocked  bool              // requests without special needs find no place in this tick
}

// NewTurn prepares the order of starts of a pipeline.
func NewTurn(now time.Time, w *rocktable.World, p *rocktable.Pipeline) *Turn {
	t := &Turn{Pipeline: p, Lanes: make([]*rocktable.Lane, w.Ranks.Len()), Tried: make([]int, w.Ranks.Len())}
	for i := range t.Lanes {
		lane := w.Lanes.Get(rocktable.LaneKey{Rank: rocktable.RankID(i), Pipeline: p.ID})
		if lane == nil {
			continue
		}
		decay(now, lane)
		t.Lanes[i] = lane
	}
	return t
}

// Next returns the waiting request to start next, or nil. The caller passes it to Take or Hold before the next call.
func (t *Turn) Next(now time.Time, w *rocktable.World) *rocktable.Request {
	for {
		rank := t.nextRank(w)
		if rank < 0 {
			return nil
		}
		r := t.first(w, rocktable.RankID(rank))
		if r == nil {
			return nil
		}
		if isAlone := rockcrash.IsSuspect(now, w, r.Fingerprint); isAlone != r.Alone {
			Unreserve(w, r)
			r.Alone = isAlone
		}
		if rockcrash.IsQuarantined(now, w, r.Fingerprint) {
			Remove(w, r)
			w.Answer(r.ID, quarantineAnswer(r))
			continue
		}
		if r.Alone && !r.InFrontQueue {
			Remove(w, r)
			Requeue(now, w, r)
			continue
		}
		return r
	}
}

// quarantineAnswer returns the reason for a quarantined request; only one that never ran may be refused as not run.
func quarantineAnswer(r *rocktable.Request) rockreason.Code {
	if r.MayHaveRun {
		return rockreason.BackendFailed
	}
	return rockreason.Quarantined
}

// nextRank returns the rank whose turn it is: the first below its floor, otherwise the most urgent; -1 if none can start.
func (t *Turn) nextRank(w *rocktable.World) int {
	total := 0.0
	for _, lane := range t.Lanes {
		if lane != nil {
			total += lane.StartedTokens
		}
	}
	urgent := -1
	for i, lane := range t.Lanes {
		if !t.canStart(i) {
			continue
		}
		if urgent < 0 {
			urgent = i
			continue
		}
		if lane.StartedTokens < floorMargin*w.Ranks.Get(rocktable.RankID(i)).Config.Floor*total {
			return i
		}
	}
	return urgent
}

func (t *Turn) canStart(i int) bool {
	lane := t.Lanes[i]
	if lane == nil {
		return false
	}
	return t.Tried[i] < min(len(lane.FrontQueue), frontTries) || !t.Blocked && len(lane.Callers) > 0
}

func (t *Turn) first(w *rocktable.World, rank rocktable.RankID) *rocktable.Request {
	lane := t.Lanes[rank]
	if t.Tried[rank] < min(len(lane.FrontQueue), frontTries) {
		return w.Requests.Get(lane.FrontQueue[0])
	}
	share := w.Shares.Get(rocktable.ShareKey{Rank: rank, Caller: lane.Callers[0]})
	return head(w, lineOf(share, t.Pipeline.ID))
}

// Take removes a request from its queue because it starts, and charges its caller with the estimate.
func (t *Turn) Take(now time.Time, w *rocktable.World, r *rocktable.Request) {
	rank := w.Ranks.Get(r.Rank)
	share := w.Shares.Get(shareKey(r))
	rank.WeightedTokensFloor = max(rank.WeightedTokensFloor, share.WeightedTokens)
	Remove(w, r)
	lane := t.Lanes[r.Rank]
	lane.StartedTokens += r.EstimatedTokens
	t.Started += r.EstimatedTokens
	// A replay is not charged again: the caller did not cause it.
	if r.ChargedTokens == 0 {
		r.ChargedTokens = r.EstimatedTokens
		serve(w, r, r.ChargedTokens)
	}
}

// Hold leaves a request waiting because it found no place in this tick.
func (t *Turn) Hold(r *rocktable.Request) {
	if !r.InFrontQueue {
		t.Blocked = true
		return
	}
	// The request goes to the end of Front, so that the next tick tries others first.
	lane := t.Lanes[r.Rank]
	lane.FrontQueue = append(lane.FrontQueue[1:], r.ID)
	t.Tried[r.Rank]++
}

// Drop removes a waiting request that never ran from its queue and returns it, or nil if there is none.
func (t *Turn) Drop(w *rocktable.World) *rocktable.Request {
	for i, lane := range t.Lanes {
		if lane == nil {
			continue
		}
		for _, id := range lane.FrontQueue {
			if r := w.Requests.Get(id); !r.MayHaveRun {
				Remove(w, r)
				return r
			}
		}
		if len(lane.Callers) > 0 {
			share := w.Shares.Get(rocktable.ShareKey{Rank: rocktable.RankID(i), Caller: lane.Callers[0]})
			r := head(w, lineOf(share, t.Pipeline.ID))
			Remove(w, r)
			return r
		}
	}
	return nil
}

// Close updates the service rate of the pipeline after its starts. Only time with a backlog counts, because the rate of an idle pipeline says nothing about its capacity.
func (t *Turn) Close(now time.Time) {
	p := t.Pipeline
	if p.Backlogged {
		dt := now.Sub(p.BacklogUpdatedAt).Seconds()
		keep := math.Exp(-dt / busyWindow)
		p.BacklogSeconds = p.BacklogSeconds*keep + dt
		p.BacklogTokens = p.BacklogTokens*keep + t.Started
	}
	// Without a path the rate says nothing either; suspects that wait for reserved servers are no backlog.
	p.BacklogUpdatedAt, p.Backlogged = now, t.Blocked && p.NoPathSince.IsZero()
}

// Settle corrects the charge of a request to the tokens that it used.
func Settle(w *rocktable.World, r *rocktable.Request) {
	if r.EstimatedTokens == 0 {
		return
	}
	used := 0.0
	if r.ChargedTokens > 0 {
		used = float64(r.PromptTokens + r.Tokens)
		serve(w, r, used-r.ChargedTokens)
	}
	if c := w.Callers.Get(r.Caller); c != nil && c.Config.TokensPerSecond > 0 {
		c.BucketTokens += r.EstimatedTokens - used
	}
}

func decay(now time.Time, lane *rocktable.Lane) {
	if dt := now.Sub(lane.StartedTokensAt); dt > 0 {
		lane.StartedTokens *= math.Exp(-dt.Seconds() / floorWindow.Seconds())
		lane.StartedTokensAt = now
	}
}
