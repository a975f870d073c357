package rockadmit

import (
	"math"
	"slices"
	"time"

	"sassafrasrock/core/rockcrash"
	"sassafrasrock/core/rockend"
	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

const (
	// floorWindow is the time constant over which started tokens count towards a floor.
	floorWindow = 4 * time.Second
	// backlogWindow is the time constant of the service rate, in seconds with a backlog.
	backlogWindow = 4.0
	// floorMargin is the factor on a floor up to which a rank takes precedence. Precedence ends at that limit,
	// so the rank's fraction of the tokens stays slightly below the limit on average.
	floorMargin = 1.1
	// maxFrontTries limits the requeued requests and suspects of one lane that are tried in one tick.
	maxFrontTries = 16
)

// Scheduler decides in which order the queued requests of one pipeline start within one tick.
type Scheduler struct {
	Pipeline      *rocktable.Pipeline
	Ranks         []*rocktable.Rank // most urgent first
	Lanes         []*rocktable.Lane // by position in Ranks; nil for a rank without a lane
	FrontTried    []int             // entries of Lane.FrontQueue that were tried in this tick, by position in Ranks
	StartedTokens float64           // of requests started in this tick
	NoCapacity    bool              // a request of a caller's line found no path with free capacity in this tick
	Held          bool              // a request of a caller's line waits for the window of first tokens
}

// NewScheduler returns the Scheduler of a pipeline for one tick.
func NewScheduler(now time.Time, w *rocktable.World, p *rocktable.Pipeline) *Scheduler {
	s := &Scheduler{Pipeline: p, Ranks: ranksByUrgency(w), Lanes: make([]*rocktable.Lane, w.Ranks.Len()), FrontTried: make([]int, w.Ranks.Len())}
	for i, rank := range s.Ranks {
		lane := w.Lanes.Get(rocktable.LaneKey{Rank: rank.ID, Pipeline: p.ID})
		if lane == nil {
			continue
		}
		decayStartedTokens(now, lane)
		s.Lanes[i] = lane
	}
	return s
}

// Next returns the queued request to start next, or nil. It has to be passed to Start or Defer before Next is called
// again.
func (s *Scheduler) Next(now time.Time, w *rocktable.World) *rocktable.Request {
	for {
		rank := s.nextRank()
		if rank < 0 {
			return nil
		}
		r := s.firstRequest(w, rank)
		if r == nil {
			return nil
		}
		if isAlone := rockcrash.IsSuspect(now, w, r.Fingerprint); isAlone != r.Alone {
			Unreserve(w, r)
			r.Alone = isAlone
		}
		if rockcrash.IsQuarantined(now, w, r) {
			Dequeue(w, r)
			endUnserved(w, r, quarantineReason(r))
			continue
		}
		if !r.MayHaveRun && EndsTooLate(now, w, s.Pipeline.RunTime) {
			Dequeue(w, r)
			rockend.Refuse(w, r.ID, rockreason.ShuttingDown, 0)
			continue
		}
		if r.Alone && !r.InFrontQueue {
			Dequeue(w, r)
			Requeue(now, w, r)
			continue
		}
		return r
	}
}

// quarantineReason returns the reason with which a quarantined request ends. Only one that never ran may be refused
// as not run.
func quarantineReason(r *rocktable.Request) rockreason.Code {
	if r.MayHaveRun {
		return rockreason.BackendFailed
	}
	return rockreason.Quarantined
}

// nextRank returns the position in Ranks of the rank to serve next among those with a request to try: the first below
// its floor, otherwise the most urgent. It returns -1 if there is none.
func (s *Scheduler) nextRank() int {
	total := 0.0
	for _, lane := range s.Lanes {
		if lane != nil {
			total += lane.StartedTokens
		}
	}
	urgent := -1
	for i, lane := range s.Lanes {
		if !s.canStart(i) {
			continue
		}
		if urgent < 0 {
			urgent = i
			continue
		}
		if lane.StartedTokens < floorMargin*s.Ranks[i].Config.Floor*total {
			return i
		}
	}
	return urgent
}

func (s *Scheduler) canStart(i int) bool {
	lane := s.Lanes[i]
	if lane == nil {
		return false
	}
	return s.FrontTried[i] < min(len(lane.FrontQueue), maxFrontTries) || !s.NoCapacity && !s.Held && len(lane.Callers) > 0
}

func (s *Scheduler) firstRequest(w *rocktable.World, rank int) *rocktable.Request {
	lane := s.Lanes[rank]
	if s.FrontTried[rank] < min(len(lane.FrontQueue), maxFrontTries) {
		return w.Requests.Get(lane.FrontQueue[0])
	}
	share := w.Shares.Get(rocktable.ShareKey{Rank: s.Ranks[rank].ID, Caller: lane.Callers[0]})
	return head(w, getOrAddLine(share, s.Pipeline.ID))
}

// Start removes a request from its queue because it starts, and charges its caller with the estimated tokens.
func (s *Scheduler) Start(now time.Time, w *rocktable.World, r *rocktable.Request) {
	rank := w.Ranks.Get(r.Rank)
	share := w.Shares.Get(shareKey(r))
	rank.WeightedTokensFloor = max(rank.WeightedTokensFloor, share.WeightedTokens)
	Dequeue(w, r)
	lane := s.Lanes[s.positionOf(r.Rank)]
	lane.StartedTokens += r.EstimatedTokens
	s.StartedTokens += r.EstimatedTokens
	// A replay is not charged again: the caller did not cause it.
	if r.ChargedTokens == 0 {
		r.ChargedTokens = r.EstimatedTokens
		chargeShare(w, r, r.ChargedTokens)
	}
}

// Defer leaves a request queued because no path had free capacity for it in this tick.
func (s *Scheduler) Defer(r *rocktable.Request) {
	if !r.InFrontQueue {
		s.NoCapacity = true
		return
	}
	// The request moves to the end of FrontQueue, which makes the next tick try others first.
	i := s.positionOf(r.Rank)
	s.Lanes[i].FrontQueue = append(s.Lanes[i].FrontQueue[1:], r.ID)
	s.FrontTried[i]++
}

// positionOf returns the position of a rank in Ranks.
func (s *Scheduler) positionOf(id rocktable.RankID) int {
	return slices.IndexFunc(s.Ranks, func(rank *rocktable.Rank) bool { return rank.ID == id })
}

// Hold leaves a request queued because the window of first tokens is full. This is no sign of the service rate, which
// the window changes within a second.
func (s *Scheduler) Hold(r *rocktable.Request) {
	if r.InFrontQueue {
		s.Defer(r)
		return
	}
	s.Held = true
}

// RemoveNotRun removes a request that never ran from its queue and returns it, or returns nil if there is none.
func (s *Scheduler) RemoveNotRun(w *rocktable.World) *rocktable.Request {
	for i, lane := range s.Lanes {
		if lane == nil {
			continue
		}
		for _, id := range lane.FrontQueue {
			if r := w.Requests.Get(id); !r.MayHaveRun {
				Dequeue(w, r)
				return r
			}
		}
		if len(lane.Callers) > 0 {
			share := w.Shares.Get(rocktable.ShareKey{Rank: s.Ranks[i].ID, Caller: lane.Callers[0]})
			r := head(w, getOrAddLine(share, s.Pipeline.ID))
			Dequeue(w, r)
			return r
		}
	}
	return nil
}

// UpdateServiceRate updates the service rate of the pipeline after the starts of the tick. Only time with a backlog
// counts, because the rate of an idle pipeline says nothing about its capacity.
func (s *Scheduler) UpdateServiceRate(now time.Time) {
	p := s.Pipeline
	if p.Backlogged {
		dt := now.Sub(p.BacklogUpdatedAt).Seconds()
		decay := math.Exp(-dt / backlogWindow)
		p.BacklogSeconds = p.BacklogSeconds*decay + dt
		p.BacklogTokens = p.BacklogTokens*decay + s.StartedTokens
	}
	// Time without a path says nothing about the capacity either. Suspects that wait for reserved backend servers are
	// no backlog.
	p.BacklogUpdatedAt, p.Backlogged = now, s.NoCapacity && p.NoPathSince.IsZero()
}

// SettleCharge corrects the charge of a request to the tokens that it used.
func SettleCharge(w *rocktable.World, r *rocktable.Request) {
	if r.EstimatedTokens == 0 {
		return
	}
	used := 0.0
	if r.ChargedTokens > 0 {
		used = float64(r.PromptTokens + r.Tokens)
		chargeShare(w, r, used-r.ChargedTokens)
	}
	if c := w.Callers.Get(r.Caller); c != nil && c.Config.TokensPerSecond > 0 {
		c.BucketTokens += r.EstimatedTokens - used
	}
}

func decayStartedTokens(now time.Time, lane *rocktable.Lane) {
	if dt := now.Sub(lane.StartedTokensAt); dt > 0 {
		lane.StartedTokens *= math.Exp(-dt.Seconds() / floorWindow.Seconds())
		lane.StartedTokensAt = now
	}
}
