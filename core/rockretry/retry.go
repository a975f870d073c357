package rockretry

import (
	"time"

	"sassafrasrock/core/rockadmit"
	"sassafrasrock/core/rockend"
	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// System handles ended attempts.
var System = rocktable.System{
	Name:        "rockretry",
	Description: "Answers, retries or fails the requests whose attempts ended, within the retry budgets of callers and backend servers.",
	Run:         run,
}

func run(now time.Time, w *rocktable.World) {
	countArrivals(now, w)
	for _, p := range w.Inbox.Progress {
		handleProgress(now, w, p)
	}
	for _, s := range w.Inbox.Stalls {
		handleStall(now, w, s)
	}
	for _, e := range w.Inbox.AttemptsEnded {
		handleEnded(now, w, e)
	}
	for _, disconnect := range w.Inbox.CallerDisconnects {
		handleCallerDisconnect(w, disconnect.Request)
	}
	for key, lane := range w.Lanes.All() {
		if len(lane.FrontQueue) > 0 {
			expireRequeued(now, w, key, lane)
		}
	}
	expireDeadlines(now, w)
	endForStop(now, w)
}

func handleCallerDisconnect(w *rocktable.World, id rocktable.RequestID) {
	r := w.Requests.Get(id)
	if r == nil || r.Call != nil && !r.Call.NeedsNoClaim {
		return // rockclaim ends application calls with a claim
	}
	cancelRequest(w, r)
	rockend.End(w, r.ID, rocktable.CauseCallerLeft, rockreason.CallerLeft)
}

// cancelRequest cancels the running attempt of a request and removes the request from its queue. It
// does not decide the answer.
func cancelRequest(w *rocktable.World, r *rocktable.Request) {
	if a := w.Attempts.Get(r.Attempt); a != nil {
		a.Canceled = true
		w.Outbox.Cancels = append(w.Outbox.Cancels, rocktable.Cancel{Request: r.ID, Attempt: r.Attempt})
	}
	rockadmit.Dequeue(w, r)
}

func handleProgress(now time.Time, w *rocktable.World, p rocktable.Progress) {
	a := w.Attempts.Get(p.Attempt)
	if a == nil {
		w.Count(rockreason.LateEvent)
		return
	}
	a.ProgressAt = now
	if !p.Resumed {
		lowerLimitIfSlow(now, w, a, p.LargestGap)
	}
	if a.Tokens == 0 && p.Tokens > 0 {
		closeBreakers(w, a)
		if r := w.Requests.Get(a.Request); r != nil && r.Tokens == 0 {
			rockadmit.RecordFirstToken(w, a, p.FirstTokenAt.Sub(a.StartedAt))
		}
	}
	recordTokens(w, a, p.Tokens, p.FirstTokenAt, p.LargestGap)
}

// lowerLimitIfSlow lowers the concurrency limit of the busiest backend server of a path when the
// largest gap of the request has grown and counts as overload.
func lowerLimitIfSlow(now time.Time, w *rocktable.World, a *rocktable.Attempt, gap time.Duration) {
	r := w.Requests.Get(a.Request)
	if r == nil || gap <= r.LargestGap || !isOverloadGap(w, r, gap) {
		return
	}
	// The gap before the first token of a later attempt is due to the failure of an earlier one on
	// another path.
	if r.Attempts > 1 && a.Tokens == 0 {
		return
	}
	if s := busiestServer(w, a.Path); s != nil {
		lowerLimit(now, s)
	}
}

func isOverloadGap(w *rocktable.World, r *rocktable.Request, gap time.Duration) bool {
	rank := w.Ranks.Get(r.Rank)
	return rank != nil && gap > overloadGapFactor*rank.Config.GapTarget()
}

// recordTokens records the tokens that an attempt delivered. Values never fall, so a late or
// repeated report changes nothing.
func recordTokens(w *rocktable.World, a *rocktable.Attempt, tokens int, first time.Time, gap time.Duration) {
	r := w.Requests.Get(a.Request)
	if r == nil {
		return
	}
	if tokens > a.Tokens {
		r.Tokens += tokens - a.Tokens
		a.Tokens = tokens
	}
	if r.FirstTokenAt.IsZero() {
		r.FirstTokenAt = first
	}
	r.LargestGap = max(r.LargestGap, gap)
}

// handleStall opens the circuit breaker of a backend server that does not answer while an attempt on a full path
// waits for it.
func handleStall(now time.Time, w *rocktable.World, stall rocktable.Stall) {
	a, s := w.Attempts.Get(stall.Attempt), w.Servers.Get(stall.Server)
	if a != nil && s != nil && !stall.Session {
		a.Stalled = true
		recordPathFailure(now, w, a)
		tripBreaker(now, w, s, a)
	}
}

// recordPathFailure records for the pipeline of an attempt that a backend server on its path did not answer.
func recordPathFailure(now time.Time, w *rocktable.World, a *rocktable.Attempt) {
	r := w.Requests.Get(a.Request)
	if r == nil {
		return
	}
	if p := w.Pipelines.Get(r.Pipeline); p != nil {
		p.PathFailedAt = now
	}
}

func handleEnded(now time.Time, w *rocktable.World, e rocktable.AttemptEnded) {
	a := w.Attempts.Get(e.Attempt)
	if a == nil {
		w.Count(rockreason.LateEvent)
		return
	}
	if !e.Resumed {
		lowerLimitIfSlow(now, w, a, e.LargestGap)
	}
	recordTokens(w, a, e.Tokens, e.FirstTokenAt, e.LargestGap)
	recordRoundTrips(w, e.RoundTrips)
	r := w.Requests.Get(a.Request)
	if r == nil {
		rockadmit.ReleaseAttempt(w, a)
		return
	}
	if e.Reason == "" {
		handleSuccess(now, w, r, a, e)
	}
	if e.Crashed {
		recordPathFailure(now, w, a)
	}
	if s := w.Servers.Get(e.FailedServer); s != nil && (e.Crashed || e.TooLong || e.Reason == rockreason.StageUnreachable) {
		tripBreaker(now, w, s, a)
	}
	if s := w.Servers.Get(e.FailedServer); s != nil && e.Foreign {
		RecordForeign(now, w, s)
	}
	if s := w.Servers.Get(e.FailedServer); s != nil && e.Reason == rockreason.StageRefused && w.FullPathPipeline(r) != nil {
		recordRefusal(now, w, s, a, w.FullPathPipeline(r))
	}
	rockadmit.ReleaseAttempt(w, a)
	r.Attempt = 0
	switch {
	case a.Canceled:
		// The answer was decided when the attempt was canceled.
	case e.Reason == "":
		rockend.End(w, r.ID, rocktable.CauseAnswered, "")
	default:
		handleFailure(now, w, r, e)
	}
}

func handleSuccess(now time.Time, w *rocktable.World, r *rocktable.Request, a *rocktable.Attempt, e rocktable.AttemptEnded) {
	creditSuccess(w, r, a)
	if p := w.Pipelines.Get(r.Pipeline); p != nil && r.Attempts == 1 && !e.Resumed {
		rockadmit.Smooth(&p.RunTime, now.Sub(a.StartedAt))
		if !e.FirstTokenAt.IsZero() && w.FullPathPipeline(r) == nil {
			rockadmit.Smooth(&p.FirstTokenDelay, e.FirstTokenAt.Sub(a.StartedAt))
		}
	}
	// The largest gap of a stream that was replayed or resumed may be due to the failure of its
	// earlier path.
	slow := r.Attempts == 1 && !e.Resumed && isOverloadGap(w, r, e.LargestGap)
	closeBreakers(w, a)
	if s := w.Servers.Get(a.Path[0].Server); s != nil {
		RecordProof(s) // the first backend server sends the answer
	}
	for _, stage := range a.Path {
		s := w.Servers.Get(stage.Server)
		if s == nil {
			continue
		}
		recordResult(now, s, 0)
		if !slow {
			raiseLimit(s)
		}
	}
}

func avoids(r *rocktable.Request, id rocktable.BackendServerID) bool {
	for _, avoid := range r.AvoidServers {
		if avoid == id {
			return true
		}
	}
	return false
}

// recordRoundTrips adds measured round trips to the smoothed values of the backend servers.
func recordRoundTrips(w *rocktable.World, roundTrips []rocktable.RoundTrip) {
	for _, t := range roundTrips {
		s := w.Servers.Get(t.Server)
		switch {
		case s == nil || t.Time <= 0:
		case s.RoundTrip == 0:
			s.RoundTrip = t.Time
		default:
			s.RoundTrip += (t.Time - s.RoundTrip) / 4
		}
	}
}
