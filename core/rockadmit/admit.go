package rockadmit

import (
	"time"

	"sassafrasrock/core/rockcrash"
	"sassafrasrock/core/rockend"
	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

const (
	// defaultMaxQueue is the limit of a rank's queued requests if the configuration sets none.
	defaultMaxQueue = 10000
	// minBacklogSeconds is the time with a backlog, in seconds, after which the service rate is used for estimates.
	minBacklogSeconds = 0.5
	// targetFraction is the fraction of the first-token target that the expected time to the first token may take.
	// Under overload the queue stays at this limit. With the full target as the limit, half of the admitted requests
	// would miss the target because of the error of the estimate.
	targetFraction = 0.85
	// maxFloorSum limits the fraction of the service rate that the estimate sets aside for the floors of lower ranks,
	// for configurations whose floors sum up to more than 1.
	maxFloorSum = 0.9
)

// System admits and queues requests.
var System = rocktable.System{
	Name:        "rockadmit",
	Description: "Admits or refuses new requests, queues them by rank and caller, and sheds those that wait too long.",
	Run:         run,
}

func run(now time.Time, w *rocktable.World) {
	if w.QueuesConfigVersion != w.ConfigVersion {
		w.QueuesConfigVersion = w.ConfigVersion
		removeUnconfigured(w)
		recountWaiting(w)
	}
	hosts := 0
	if len(w.Inbox.Arrivals) > 0 {
		hosts = HostCount(w)
	}
	for _, a := range w.Inbox.Arrivals {
		if a.Request.Call != nil {
			continue // rockclaim admits application calls
		}
		admit(now, w, w.Requests.Put(a.Request.ID, a.Request), hosts)
	}
	for _, rank := range w.Ranks.All() {
		shedLate(now, w, rank)
	}
}

// removeUnconfigured ends the queued requests whose pipeline was removed from the configuration.
func removeUnconfigured(w *rocktable.World) {
	for _, r := range w.Requests.All() {
		if code := UnconfiguredReason(w, r); code != "" && r.InQueue {
			Dequeue(w, r)
			endUnserved(w, r, code)
		}
	}
}

// endUnserved ends a request for which it is known that nothing can serve it.
func endUnserved(w *rocktable.World, r *rocktable.Request, code rockreason.Code) {
	if r.MayHaveRun {
		rockend.End(w, r.ID, rocktable.CauseCannotBeServed, code)
		return
	}
	rockend.Refuse(w, r.ID, code, 0)
}

// recountWaiting counts the queued requests of each pipeline. The row of a pipeline that was removed and came back within
// the tick is a new one.
func recountWaiting(w *rocktable.World) {
	for _, p := range w.Pipelines.All() {
		p.Waiting = 0
	}
	for key, lane := range w.Lanes.All() {
		if p := w.Pipelines.Get(key.Pipeline); p != nil {
			p.Waiting += lane.Waiting
		}
	}
}

// UnconfiguredReason returns the reason with which a request ends whose pipeline was removed from the configuration before
// an attempt of it may have run, or an empty code.
func UnconfiguredReason(w *rocktable.World, r *rocktable.Request) rockreason.Code {
	p := w.Pipelines.Get(r.Pipeline)
	switch {
	case p != nil && (r.MayHaveRun || p.RemovedAt.IsZero()):
		return ""
	case r.MayHaveRun:
		return rockreason.BackendFailed
	}
	return rockreason.PipelineRemoved
}

func admit(now time.Time, w *rocktable.World, r *rocktable.Request, hosts int) {
	r.State = rocktable.RequestQueued
	r.EstimatedTokens = 0
	estimate := float64(max(1, r.PromptTokens+r.MaxTokens))
	if c := w.Callers.Get(r.Caller); c != nil {
		addDemand(now, c, estimate)
	}
	if code := refusalReason(now, w, r); code != "" {
		rockend.Refuse(w, r.ID, code, 0)
		return
	}
	if wait, late := exceedsTarget(w, r, estimate); late {
		rockend.Refuse(w, r.ID, rockreason.WouldMissTarget, wait)
		return
	}
	if c := w.Callers.Get(r.Caller); c != nil {
		if wait, ok := spendTokens(now, c, estimate, hosts); !ok {
			rockend.Refuse(w, r.ID, rockreason.CallerLimit, wait)
			return
		}
	}
	r.EstimatedTokens = estimate
	if code := freeQueueSlot(now, w, r); code != "" {
		rockend.Refuse(w, r.ID, code, 0)
		return
	}
	rank := w.Ranks.Get(r.Rank)
	rank.ByArrival = append(rank.ByArrival, r.ID)
	if rockcrash.IsSuspect(now, w, r.Fingerprint) {
		r.Alone = true
		Requeue(now, w, r)
		return
	}
	enqueue(now, w, r)
}

// ClosedReason returns why this host accepts no new requests and calls, or an empty code if it accepts them.
func ClosedReason(w *rocktable.World) rockreason.Code {
	switch {
	case w.Draining:
		return rockreason.ShuttingDown
	case !w.Ready && w.StopSignalAt.IsZero():
		return rockreason.NotReady
	}
	return ""
}

func refusalReason(now time.Time, w *rocktable.World, r *rocktable.Request) rockreason.Code {
	if code := ClosedReason(w); code != "" {
		return code
	}
	switch {
	case w.Ranks.Get(r.Rank) == nil:
		return rockreason.UnknownRank
	case UnconfiguredReason(w, r) != "":
		return rockreason.PipelineRemoved
	case EndsTooLate(now, w, w.Pipelines.Get(r.Pipeline).RunTime):
		return rockreason.ShuttingDown
	case rockcrash.IsQuarantined(now, w, r):
		return rockreason.Quarantined
	}
	return ""
}

// exceedsTarget reports whether the expected time to the first token exceeds the permitted fraction of the target,
// and by how much.
func exceedsTarget(w *rocktable.World, r *rocktable.Request, estimate float64) (time.Duration, bool) {
	target := time.Duration(targetFraction * float64(w.Ranks.Get(r.Rank).Config.FirstTokenTarget()))
	wait := ExpectedWait(w, r, estimate)
	if wait == 0 {
		return 0, false
	}
	over := wait + w.Pipelines.Get(r.Pipeline).FirstTokenDelay - target
	return over, over > 0
}

// ExpectedWait returns the expected wait of a new request: the queued tokens ahead of it, divided by the recent
// service rate of its pipeline. It is 0 until the rate is known.
func ExpectedWait(w *rocktable.World, r *rocktable.Request, estimate float64) time.Duration {
	p := w.Pipelines.Get(r.Pipeline)
	if p.BacklogSeconds < minBacklogSeconds || p.BacklogTokens <= 0 {
		return 0
	}
	ahead := 0.0
	own := w.Ranks.Get(r.Rank)
	for id, rank := range w.Ranks.All() {
		if compareUrgency(rank, own) >= 0 {
			continue
		}
		if lane := w.Lanes.Get(rocktable.LaneKey{Rank: id, Pipeline: r.Pipeline}); lane != nil {
			ahead += lane.QueuedTokens
		}
	}
	ahead += tokensAheadInRank(w, r, estimate)
	rate := p.BacklogTokens / p.BacklogSeconds * (1 - lowerFloorSum(w, r))
	wait := ahead / rate
	// The floor bounds the wait of a lower rank: it gets at least this fraction of the rate.
	if floor := own.Config.Floor; floor > 0 {
		wait = min(wait, tokensAheadInRank(w, r, estimate)/(rate*floor))
	}
	return time.Duration(min(wait, 1e6) * float64(time.Second))
}

// lowerFloorSum returns the fraction of the service rate that goes to the floors of lower ranks with queued requests.
func lowerFloorSum(w *rocktable.World, r *rocktable.Request) float64 {
	sum, own := 0.0, w.Ranks.Get(r.Rank)
	for id, rank := range w.Ranks.All() {
		if compareUrgency(rank, own) <= 0 {
			continue
		}
		if lane := w.Lanes.Get(rocktable.LaneKey{Rank: id, Pipeline: r.Pipeline}); lane != nil && lane.Waiting > 0 {
			sum += rank.Config.Floor
		}
	}
	return min(sum, maxFloorSum)
}

// tokensAheadInRank returns the queued tokens of the rank that are served before a new request of the caller. Callers
// take turns, so each other caller is served at most as many tokens before it as this caller has queued, the new
// request included.
func tokensAheadInRank(w *rocktable.World, r *rocktable.Request, estimate float64) float64 {
	lane := w.Lanes.Get(laneKey(r))
	if lane == nil {
		return 0
	}
	own, others := 0.0, len(lane.Callers)
	if share := w.Shares.Get(shareKey(r)); share != nil && share.Waiting > 0 {
		own, others = share.QueuedTokens, others-1
	}
	return min(lane.QueuedTokens, own+(own+estimate)*float64(max(others, 0)))
}

// freeQueueSlot sheds a queued request if the new one exceeds a limit, or returns why the new one is refused.
func freeQueueSlot(now time.Time, w *rocktable.World, r *rocktable.Request) rockreason.Code {
	// The table already holds the new request.
	if w.Limits.MaxRequests > 0 && heldRequests(w) > w.Limits.MaxRequests && !shedCheaper(now, w, r) {
		return rockreason.HostFull
	}
	rank := w.Ranks.Get(r.Rank)
	limit := rank.Config.MaxQueue
	if limit == 0 {
		limit = defaultMaxQueue
	}
	if rank.Waiting < limit {
		return ""
	}
	if len(rank.Heaviest) == 0 || rank.Heaviest[0] == r.Caller {
		return rockreason.QueueFull
	}
	heaviest := w.Shares.Get(rocktable.ShareKey{Rank: r.Rank, Caller: rank.Heaviest[0]})
	own := w.Shares.Get(shareKey(r))
	if own != nil && own.Waiting+1 >= heaviest.Waiting || !shedFrom(now, w, rank) {
		return rockreason.QueueFull
	}
	return ""
}

// heldRequests returns the number of requests and calls that count towards Limits.MaxRequests. Those answered in this
// tick do not count.
func heldRequests(w *rocktable.World) int { return w.Requests.Len() - len(w.Outbox.Answers) }

// shedLate sheds the requests of a rank that have waited too long to meet their target. They would take capacity from
// requests that can still meet it.
func shedLate(now time.Time, w *rocktable.World, rank *rocktable.Rank) {
	for len(rank.ByArrival) > 0 {
		r := w.Requests.Get(rank.ByArrival[0])
		if r != nil && r.InQueue && !r.MayHaveRun {
			late := LatestStart(w, r)
			if now.Before(late) {
				w.WakeAt(late)
				return
			}
			Dequeue(w, r)
			rockend.Refuse(w, r.ID, rockreason.Shed, 0)
		}
		rank.ByArrival = rank.ByArrival[1:]
	}
}

// LatestStart returns the time by which a request has to start to meet its first-token target.
func LatestStart(w *rocktable.World, r *rocktable.Request) time.Time {
	target := w.Ranks.Get(r.Rank).Config.FirstTokenTarget()
	if p := w.Pipelines.Get(r.Pipeline); p != nil {
		// At least half of the target is left, so a pipeline that is slower than the target still serves requests.
		target -= min(p.FirstTokenDelay, target/2)
	}
	return r.ArrivedAt.Add(target)
}
