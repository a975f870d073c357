package rockretry

import (
	"time"

	"sassafrasrock/core/rockadmit"
	"sassafrasrock/core/rockcrash"
	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// maxAttempts limits the attempts of one request.
const maxAttempts = 6

// refusalPause is the pause after the second refusal in a row; it doubles with each further one.
const refusalPause = 40 * time.Millisecond

// signWait is the pause after the loss of a backend server with more than one host: within it peers tell whether the same
// content was in flight at a crash of theirs, so that a request that crashes servers is not run again by all of them.
const signWait = 100 * time.Millisecond

// System handles the ends of attempts.
var System = rocktable.System{
	Name: "rockretry",
	Doc:  "Answers, retries or fails the requests whose attempts ended, within the retry budgets of callers and backend servers.",
	Run:  run,
}

func run(now time.Time, w *rocktable.World) {
	noteArrivals(now, w)
	for _, p := range w.Inbox.Progress {
		takeProgress(now, w, p)
	}
	for _, s := range w.Inbox.Stalls {
		takeStall(now, w, s)
	}
	for _, e := range w.Inbox.Ended {
		takeEnd(now, w, e)
	}
	for _, gone := range w.Inbox.CallerGone {
		takeCallerGone(w, gone.Request)
	}
	for key, lane := range w.Lanes.All() {
		if len(lane.FrontQueue) > 0 {
			expireFront(now, w, key, lane)
		}
	}
	expireDeadlines(now, w)
}

func takeCallerGone(w *rocktable.World, id rocktable.RequestID) {
	r := w.Requests.Get(id)
	if r == nil || r.Call != nil && !r.Call.NeedsNoClaim {
		return // rockclaim ends application calls with a claim
	}
	abandon(w, r)
	w.Answer(r.ID, rockreason.CallerLeft)
}

// abandon cancels what runs of a request and removes it from its queue; its answer is decided elsewhere.
func abandon(w *rocktable.World, r *rocktable.Request) {
	if a := w.Attempts.Get(r.Attempt); a != nil {
		a.Canceled = true
		w.Outbox.Cancels = append(w.Outbox.Cancels, rocktable.Cancel{Request: r.ID, Attempt: r.Attempt})
	}
	rockadmit.Remove(w, r)
}

func takeProgress(now time.Time, w *rocktable.World, p rocktable.Progress) {
	a := w.Attempts.Get(p.Attempt)
	if a == nil {
		w.Count(rockreason.LateEvent)
		return
	}
	a.ProgressAt = now
	if !p.Resumed {
		noteSlow(now, w, a, p.LargestGap)
	}
	if a.Tokens == 0 && p.Tokens > 0 {
		closeBreakers(w, a)
	}
	takeTokens(w, a, p.Tokens, p.FirstToken, p.LargestGap)
}

// noteSlow lowers the limit of the busiest backend server of a path whose largest gap has just grown past what counts as overload.
func noteSlow(now time.Time, w *rocktable.World, a *rocktable.Attempt, gap time.Duration) {
	r := w.Requests.Get(a.Request)
	if r == nil || gap <= r.LargestGap || !isSlow(w, r, gap) {
		return
	}
	// The gap before the first token of a later attempt comes from the failure of an earlier one on another path.
	if r.Attempts > 1 && a.Tokens == 0 {
		return
	}
	if s := busiest(w, a.Path); s != nil {
		lowerLimit(now, s)
	}
}

func isSlow(w *rocktable.World, r *rocktable.Request, gap time.Duration) bool {
	rank := w.Ranks.Get(r.Rank)
	return rank != nil && gap > slowFactor*rank.Config.Gap()
}

// takeTokens adds what an attempt delivered. Values never fall, so that a late or repeated report changes nothing.
func takeTokens(w *rocktable.World, a *rocktable.Attempt, tokens int, first time.Time, gap time.Duration) {
	r := w.Requests.Get(a.Request)
	if r == nil {
		return
	}
	if tokens > a.Tokens {
		r.Tokens += tokens - a.Tokens
		a.Tokens = tokens
	}
	if r.FirstToken.IsZero() {
		r.FirstToken = first
	}
	r.LargestGap = max(r.LargestGap, gap)
}

// takeStall opens the circuit breaker of a backend server for which an attempt waits.
func takeStall(now time.Time, w *rocktable.World, stall rocktable.Stall) {
	a, s := w.Attempts.Get(stall.Attempt), w.Servers.Get(stall.Server)
	if a != nil && s != nil {
		tripBreaker(now, w, s, a)
	}
}

func takeEnd(now time.Time, w *rocktable.World, e rocktable.Ended) {
	a := w.Attempts.Get(e.Attempt)
	if a == nil {
		w.Count(rockreason.LateEvent)
		return
	}
	if !e.Resumed {
		noteSlow(now, w, a, e.LargestGap)
	}
	takeTokens(w, a, e.Tokens, e.FirstToken, e.LargestGap)
	takeRoundTrips(w, e.RoundTrips)
	r := w.Requests.Get(a.Request)
	if r == nil {
		rockadmit.Release(w, a)
		return
	}
	if e.Reason == "" {
		succeed(now, w, r, a, e)
	}
	if s := w.Servers.Get(e.FailedServer); s != nil && (e.Crashed || e.Reason == rockreason.StageUnreachable) {
		tripBreaker(now, w, s, a)
	}
	if s := w.Servers.Get(e.FailedServer); s != nil && e.Reason == rockreason.StageRefused && w.FullPathPipeline(r) != nil {
		noteFull(now, s, a)
	}
	rockadmit.Release(w, a)
	r.Attempt = 0
	switch {
	case a.Canceled:
		// Whoever canceled the attempt has decided about the request.
	case e.Reason == "":
		w.Answer(r.ID, "")
	default:
		fail(now, w, r, e)
	}
}

func succeed(now time.Time, w *rocktable.World, r *rocktable.Request, a *rocktable.Attempt, e rocktable.Ended) {
	earn(w, r, a)
	if r.Attempts == 1 && !e.FirstToken.IsZero() && !e.Resumed {
		noteOpening(w.Pipelines.Get(r.Pipeline), e.FirstToken.Sub(a.StartedAt))
	}
	// The largest gap of a stream that was replayed or resumed may come from the failure of its earlier path.
	slow := r.Attempts == 1 && !e.Resumed && isSlow(w, r, e.LargestGap)
	closeBreakers(w, a)
	for _, stage := range a.Path {
		s := w.Servers.Get(stage.Server)
		if s == nil {
			continue
		}
		noteResult(now, s, 0)
		if !slow {
			raiseLimit(s)
		}
	}
}

// noteOpening smooths the time from the start of an attempt to its first token.
func noteOpening(p *rocktable.Pipeline, d time.Duration) {
	switch {
	case p == nil:
	case p.FirstTokenDelay == 0:
		p.FirstTokenDelay = d
	default:
		p.FirstTokenDelay += (d - p.FirstTokenDelay) / 16
	}
}

// fail decides what follows a failed attempt.
func fail(now time.Time, w *rocktable.World, r *rocktable.Request, e rocktable.Ended) {
	w.Count(e.Reason)
	r.RanBefore = r.RanBefore || !isNotRun(e)
	if !isNotRun(e) {
		r.RanAttempts++
	}
	r.MayHaveRun = r.RanBefore
	s := w.Servers.Get(e.FailedServer)
	if s != nil && e.Reason != rockreason.StageRefused {
		noteResult(now, s, 1)
	}
	// A pushed report comes only at a change, so that the circuit breaker alone keeps work away there.
	if s != nil && (e.Reason == rockreason.StageUnreachable || e.Crashed) && !w.Limits.PlatformPushes {
		s.ConnectionFailed = true
	}
	if s != nil && (e.Reason == rockreason.StageRefused || e.Reason == rockreason.StageStalled) {
		lowerLimit(now, s)
	}
	if code := lastAnswer(now, w, r, e, s); code != "" {
		w.Answer(r.ID, code)
		return
	}
	r.Requeued = true
	paceRefusals(now, w, r, e)
	if e.Crashed && w.FullPathPipeline(r) == nil && rockadmit.HostCount(w) > 1 {
		r.NotBefore = now.Add(signWait)
	}
	if e.FailedServer != 0 && !avoids(r, e.FailedServer) {
		r.AvoidServers = append(r.AvoidServers, e.FailedServer)
	}
	rockadmit.Requeue(now, w, r)
}

// paceRefusals keeps a request that a whole path refused from going there again at once: where no other backend server holds
// the layers, it would spend its attempts within milliseconds.
func paceRefusals(now time.Time, w *rocktable.World, r *rocktable.Request, e rocktable.Ended) {
	if e.Reason != rockreason.StageRefused || w.FullPathPipeline(r) == nil {
		r.ConsecutiveRefusals = 0
		return
	}
	r.ConsecutiveRefusals++
	if r.ConsecutiveRefusals > 1 { // the first one goes elsewhere
		r.NotBefore = now.Add(refusalPause << min(r.ConsecutiveRefusals-2, 4))
	}
}

// isNotRun reports whether the attempt is known not to have run: the stage said that it did not start or was not reached, and no token came.
func isNotRun(e rocktable.Ended) bool {
	return e.Tokens == 0 && (e.Reason == rockreason.StageRefused || e.Reason == rockreason.StageUnreachable)
}

// attemptsOf returns the attempts that count towards the limit: all of a request that never ran, but only those that ran of one
// that did, so that refusals before its first token do not keep a stream from being resumed.
func attemptsOf(r *rocktable.Request) int {
	if r.RanBefore {
		return r.RanAttempts
	}
	return r.Attempts
}

// lastAnswer returns why the request is not retried, or an empty code if it is.
func lastAnswer(now time.Time, w *rocktable.World, r *rocktable.Request, e rocktable.Ended, s *rocktable.BackendServer) rockreason.Code {
	reason, ok := rockreason.Find(e.Reason)
	switch {
	case ok && reason.Kind != rockreason.Retry:
		return e.Reason
	case rockcrash.IsQuarantined(now, w, r.Fingerprint):
		return rockreason.BackendFailed
	case r.AtMostOnce && r.RanBefore, r.MaxAttempts > 0 && r.RanAttempts >= r.MaxAttempts:
		return rockreason.BackendFailed
	case attemptsOf(r) >= maxAttempts, isLate(now, w, r):
		if e.Reason == rockreason.StageStalled {
			return rockreason.Stalled
		}
		return rockreason.BackendFailed
	case e.Reason == rockreason.StageUnreachable && w.Limits.RetryWindow > 0 && isNotRun(e):
		return "" // the next one is the first that arrives
	case !SpendShared(now, w, r):
		if !r.MayHaveRun {
			return rockreason.Shed
		}
		return rockreason.RetryBudget
	case e.Reason == rockreason.StageRefused && isNotRun(e):
		// A refusal costs the backend server nothing, so that it needs no budget.
		return ""
	case w.Limits.RetryWindow == 0 && !spend(w, r, s):
		return rockreason.RetryBudget
	}
	return ""
}

// isLate reports whether a request without a first token has passed its deadline.
func isLate(now time.Time, w *rocktable.World, r *rocktable.Request) bool {
	rank := w.Ranks.Get(r.Rank)
	return rank == nil || r.FirstToken.IsZero() && now.Sub(r.ArrivedAt) > OpenLimit(rank.Config)
}

// expireFront ends requeued requests that waited for a place for longer than a stall limit.
func expireFront(now time.Time, w *rocktable.World, key rocktable.LaneKey, lane *rocktable.Lane) {
	rank := w.Ranks.Get(key.Rank)
	if rank == nil {
		return
	}
	limit := OpenLimit(rank.Config)
	for i := len(lane.FrontQueue) - 1; i >= 0; i-- {
		r := w.Requests.Get(lane.FrontQueue[i])
		if !r.Requeued {
			continue // a suspect that never ran; rockadmit sheds it
		}
		if end := r.QueuedAt.Add(limit); now.Before(end) {
			w.WakeAt(end)
			continue
		}
		rockadmit.Remove(w, r)
		code := rockreason.Stalled
		if !r.MayHaveRun {
			code = rockreason.Shed
		}
		w.Answer(r.ID, code)
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

// takeRoundTrips smooths measured round trips into the rows of the backend servers.
func takeRoundTrips(w *rocktable.World, trips []rocktable.RoundTrip) {
	for _, t := range trips {
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
