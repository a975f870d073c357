package rockadmit

import (
	"time"

	"sassafrasrock/core/rockcrash"
	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

const (
	// defaultMaxQueue is the length of a rank's queue if the configuration names none.
	defaultMaxQueue = 10000
	// coldTime is the time with a backlog, in seconds, before the service rate is trusted.
	coldTime = 0.5
	// targetPart is the part of the first-token target that the expected time to the first token may take. In a flood the queue stays at this limit; at the whole target half of the admitted requests would miss it by the error of the estimate.
	targetPart = 0.85
	// maxFloors limits the part of the rate that the floors of lower ranks take in the estimate, for configurations whose floors sum up to more than the whole.
	maxFloors = 0.9
)

// System admits and queues requests.
var System = rocktable.System{
	Name: "rockadmit",
	Doc:  "Admits or refuses new requests, queues them by rank and caller, and sheds those that wait too long.",
	Run:  run,
}

func run(now time.Time, w *rocktable.World) {
	if w.QueuesConfigVersion != w.ConfigVersion {
		w.QueuesConfigVersion = w.ConfigVersion
		sweep(w)
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
		expire(now, w, rank)
	}
}

// sweep ends the waiting requests whose rank or pipeline left the configuration.
func sweep(w *rocktable.World) {
	for id, r := range w.Requests.All() {
		code := rockreason.Code("")
		switch {
		case !r.InQueue:
			continue
		case w.Ranks.Get(r.Rank) == nil:
			code = rockreason.UnknownRank
		case w.Pipelines.Get(r.Pipeline) == nil:
			code = rockreason.UnknownModel
		default:
			continue
		}
		Remove(w, r)
		w.Answer(id, goneAnswer(r, code))
	}
}

func admit(now time.Time, w *rocktable.World, r *rocktable.Request, hosts int) {
	r.State = rocktable.RequestQueued
	r.EstimatedTokens = 0
	estimate := float64(max(1, r.PromptTokens+r.MaxTokens))
	if c := w.Callers.Get(r.Caller); c != nil {
		addDemand(now, c, estimate)
	}
	if code := refusal(now, w, r); code != "" {
		w.Answer(r.ID, code)
		return
	}
	if wait, late := wouldMiss(w, r, estimate); late {
		refuse(w, r, rockreason.WouldMissTarget, wait)
		return
	}
	if c := w.Callers.Get(r.Caller); c != nil {
		if wait, ok := spend(now, c, estimate, hosts); !ok {
			refuse(w, r, rockreason.CallerLimit, wait)
			return
		}
	}
	r.EstimatedTokens = estimate
	if code := makeRoom(w, r); code != "" {
		w.Answer(r.ID, code)
		return
	}
	rank := w.Ranks.Get(r.Rank)
	rank.ByArrival = append(rank.ByArrival, r.ID)
	if rockcrash.IsSuspect(now, w, r.Fingerprint) {
		r.Alone = true
		Requeue(now, w, r)
		return
	}
	push(now, w, r)
}

// Closed returns why this host takes no new requests and calls, or an empty code if it does.
func Closed(w *rocktable.World) rockreason.Code {
	switch {
	case w.Draining:
		return rockreason.ShuttingDown
	case !w.Ready && w.StopSignalAt.IsZero():
		return rockreason.NotReady
	}
	return ""
}

func refusal(now time.Time, w *rocktable.World, r *rocktable.Request) rockreason.Code {
	if code := Closed(w); code != "" {
		return code
	}
	switch {
	case w.Ranks.Get(r.Rank) == nil:
		return rockreason.UnknownRank
	case w.Pipelines.Get(r.Pipeline) == nil:
		return rockreason.UnknownModel
	case rockcrash.IsQuarantined(now, w, r.Fingerprint):
		return rockreason.Quarantined
	}
	return ""
}

func refuse(w *rocktable.World, r *rocktable.Request, code rockreason.Code, after time.Duration) {
	w.Outbox.Answers = append(w.Outbox.Answers, rocktable.Answer{Request: r.ID, Reason: code, RetryAfter: after})
}

// wouldMiss reports whether the expected wait passes the first-token target, and by how much.
func wouldMiss(w *rocktable.World, r *rocktable.Request, estimate float64) (time.Duration, bool) {
	target := time.Duration(targetPart * float64(w.Ranks.Get(r.Rank).Config.FirstToken()))
	wait := ExpectedWait(w, r, estimate)
	if wait == 0 {
		return 0, false
	}
	over := wait + w.Pipelines.Get(r.Pipeline).FirstTokenDelay - target
	return over, over > 0
}

// ExpectedWait returns the wait of a new request: the queued tokens ahead of it over the recent service rate of its pipeline. It is 0 until the rate is known.
func ExpectedWait(w *rocktable.World, r *rocktable.Request, estimate float64) time.Duration {
	p := w.Pipelines.Get(r.Pipeline)
	if p.BacklogSeconds < coldTime || p.BacklogTokens <= 0 {
		return 0
	}
	ahead := 0.0
	for rank := rocktable.RankID(0); rank < r.Rank; rank++ {
		if lane := w.Lanes.Get(rocktable.LaneKey{Rank: rank, Pipeline: r.Pipeline}); lane != nil {
			ahead += lane.QueuedTokens
		}
	}
	ahead += aheadInRank(w, r, estimate)
	rate := p.BacklogTokens / p.BacklogSeconds * (1 - floorsBelow(w, r))
	wait := ahead / rate
	// The floor bounds the wait of a lower rank: it gets at least this part of the rate.
	if floor := w.Ranks.Get(r.Rank).Config.Floor; floor > 0 {
		wait = min(wait, aheadInRank(w, r, estimate)/(rate*floor))
	}
	return time.Duration(min(wait, 1e6) * float64(time.Second))
}

// floorsBelow returns the part of the rate that goes to the floors of lower ranks with waiting work.
func floorsBelow(w *rocktable.World, r *rocktable.Request) float64 {
	sum := 0.0
	for id, rank := range w.Ranks.All() {
		if id <= r.Rank {
			continue
		}
		if lane := w.Lanes.Get(rocktable.LaneKey{Rank: id, Pipeline: r.Pipeline}); lane != nil && lane.Waiting > 0 {
			sum += rank.Config.Floor
		}
	}
	return min(sum, maxFloors)
}

// aheadInRank returns the queued tokens of the rank that are served before a new request of the caller.
// Callers take turns, so each other caller is served at most as much as this caller has waiting.
func aheadInRank(w *rocktable.World, r *rocktable.Request, estimate float64) float64 {
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

// makeRoom sheds waiting work so that the request fits, or returns why it does not.
func makeRoom(w *rocktable.World, r *rocktable.Request) rockreason.Code {
	// The table already holds the new request.
	if w.Limits.MaxRequests > 0 && held(w) > w.Limits.MaxRequests && !shedLessWorth(w, r) {
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
	if own != nil && own.Waiting+1 >= heaviest.Waiting || !shedFrom(w, rank) {
		return rockreason.QueueFull
	}
	return ""
}

// held returns the requests and calls that count towards Limits.MaxRequests; those answered in this tick do not.
func held(w *rocktable.World) int { return w.Requests.Len() - len(w.Outbox.Answers) }

// shedLessWorth sheds one waiting request of the rank of least worth, if that is less than the worth of the new request.
func shedLessWorth(w *rocktable.World, r *rocktable.Request) bool {
	var least *rocktable.Rank
	for _, rank := range w.Ranks.All() {
		if rank.Waiting > 0 && (least == nil || rank.Config.Worth < least.Config.Worth) {
			least = rank
		}
	}
	if least == nil || least.Config.Worth >= w.Ranks.Get(r.Rank).Config.Worth {
		return false
	}
	return shedFrom(w, least)
}

// shedFrom sheds the newest waiting request of the caller with the most waiting requests in the rank.
func shedFrom(w *rocktable.World, rank *rocktable.Rank) bool {
	if len(rank.Heaviest) == 0 {
		return false
	}
	share := w.Shares.Get(rocktable.ShareKey{Rank: rank.ID, Caller: rank.Heaviest[0]})
	var longest *rocktable.Line
	for i := range share.Lines {
		if line := &share.Lines[i]; line.Waiting > 0 && (longest == nil || line.Waiting > longest.Waiting) {
			longest = line
		}
	}
	if longest == nil {
		return false
	}
	r := tail(w, longest)
	if r == nil {
		return false
	}
	Remove(w, r)
	w.Answer(r.ID, rockreason.Shed)
	return true
}

// expire sheds the requests of a rank that have waited so long that they can't meet their target any more: others that can would wait for the places that they take.
func expire(now time.Time, w *rocktable.World, rank *rocktable.Rank) {
	for len(rank.ByArrival) > 0 {
		r := w.Requests.Get(rank.ByArrival[0])
		if r != nil && r.InQueue && !r.MayHaveRun {
			late := r.ArrivedAt.Add(lastStart(w, r, rank))
			if now.Before(late) {
				w.WakeAt(late)
				return
			}
			Remove(w, r)
			w.Answer(r.ID, rockreason.Shed)
		}
		rank.ByArrival = rank.ByArrival[1:]
	}
}

// lastStart returns the time after the arrival by which a request has to start to meet its first-token target.
func lastStart(w *rocktable.World, r *rocktable.Request, rank *rocktable.Rank) time.Duration {
	target := rank.Config.FirstToken()
	p := w.Pipelines.Get(r.Pipeline)
	if p == nil {
		return target
	}
	// A pipeline that is slower than the target still serves.
	return target - min(p.FirstTokenDelay, target/2)
}
