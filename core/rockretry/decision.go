package rockretry

import (
	"time"

	"sassafrasrock/core/rockadmit"
	"sassafrasrock/core/rockcrash"
	"sassafrasrock/core/rockend"
	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// maxAttempts limits the attempts of a request that never ran. One that has begun is limited by its time, the budgets and
// the runs that its route allows.
const maxAttempts = 6

// refusalDelay is the delay of a retry after the second refusal in a row. It doubles with each
// further one.
const refusalDelay = 40 * time.Millisecond

// crashReportWait is the delay of a retry after the loss of a backend server if there is more than
// one host. Within it, peers report whether the same content was in flight when they saw a backend
// server crash. Without the delay, a request that crashes backend servers would be retried at every
// host.
const crashReportWait = 100 * time.Millisecond

// handleFailure decides what follows a failed attempt: a final answer or a retry.
func handleFailure(now time.Time, w *rocktable.World, r *rocktable.Request, e rocktable.AttemptEnded) {
	w.Count(e.Reason)
	r.EarlierMayHaveRun = r.EarlierMayHaveRun || !didNotRun(e)
	if !didNotRun(e) {
		r.MaybeRanAttempts++
	}
	r.MayHaveRun = r.EarlierMayHaveRun
	s := w.Servers.Get(e.FailedServer)
	if s != nil && e.Reason != rockreason.StageRefused {
		recordResult(now, s, 1)
	}
	// ConnectionFailed stays set until the next report. Pushed reports arrive only at a change, so
	// where the platform pushes, only the circuit breaker blocks new work.
	if s != nil && (e.Reason == rockreason.StageUnreachable || e.Crashed) && !w.Limits.PlatformPushes {
		s.ConnectionFailed = true
	}
	if s != nil && (e.Reason == rockreason.StageRefused || e.Reason == rockreason.StageStalled) {
		lowerLimit(now, s)
	}
	end := endOf(now, w, r, e)
	if end.code == "" && !r.RetryGranted {
		end = lastEnd(now, w, r, e, s)
	}
	switch {
	case end.cause == rocktable.CauseRefused:
		rockend.Refuse(w, r.ID, end.code, 0)
		return
	case end.code != "":
		rockend.End(w, r.ID, end.cause, end.code)
		return
	}
	r.Requeued, r.RetryGranted = true, false
	delayAfterRefusal(now, w, r, e)
	if e.Crashed && w.FullPathPipeline(r) == nil && rockadmit.HostCount(w) > 1 {
		r.NotBefore = now.Add(crashReportWait)
	}
	if e.FailedServer != 0 && !avoids(r, e.FailedServer) {
		r.AvoidServers = append(r.AvoidServers, e.FailedServer)
	}
	rockadmit.Requeue(now, w, r)
}

// mayRunAgain reports whether a request may be sent to another backend server after the attempts that may have run.
func mayRunAgain(r *rocktable.Request) bool {
	if r.AtMostOnce && r.EarlierMayHaveRun {
		return false
	}
	return r.MaxAttempts == 0 || r.MaybeRanAttempts < r.MaxAttempts
}

// IsLastRun reports whether a request must not be sent to another backend server if its present attempt has run.
func IsLastRun(r *rocktable.Request) bool {
	after := *r
	after.EarlierMayHaveRun = true
	after.MaybeRanAttempts++
	return !mayRunAgain(&after)
}

// GrantRetry reports whether a request may go on with another attempt if its present one is ended because a backend
// server does not answer, and takes the cost of that attempt from the budgets.
func GrantRetry(now time.Time, w *rocktable.World, r *rocktable.Request, a *rocktable.Attempt, s *rocktable.BackendServer) bool {
	after := *r
	after.EarlierMayHaveRun, after.MayHaveRun = true, true
	after.MaybeRanAttempts++
	e := rocktable.AttemptEnded{Attempt: a.ID, Reason: rockreason.StageStalled, FailedServer: s.ID, Crashed: true, Tokens: a.Tokens}
	isRetried := endOf(now, w, &after, e).code == "" && lastEnd(now, w, &after, e, s).code == ""
	r.RetryGranted = isRetried && !after.AwaitsBudget // an attempt that may still go on is not ended for a wait
	return r.RetryGranted
}

// delayAfterRefusal delays the retry of a request that a full path refused. Where no other backend
// server holds the layers, the request would otherwise use up its attempts within milliseconds.
func delayAfterRefusal(now time.Time, w *rocktable.World, r *rocktable.Request, e rocktable.AttemptEnded) {
	if e.Reason != rockreason.StageRefused || w.FullPathPipeline(r) == nil {
		r.ConsecutiveRefusals = 0
		return
	}
	r.ConsecutiveRefusals++
	if r.ConsecutiveRefusals > 1 { // after the first one, another path is tried at once
		r.NotBefore = now.Add(refusalDelay << min(r.ConsecutiveRefusals-2, 4))
	}
}

// didNotRun reports whether the attempt is known not to have run: the stage reported that it did
// not start, or was not reached, and no token was delivered.
func didNotRun(e rocktable.AttemptEnded) bool {
	return e.Tokens == 0 && (e.Reason == rockreason.StageRefused || e.Reason == rockreason.StageUnreachable)
}

// ending is what follows a failed attempt: the end of its request, or another attempt if the code is empty.
type ending struct {
	cause rocktable.Cause
	code  rockreason.Code
}

// endOf returns how a request ends whatever its attempts and budgets allow. A retry that was granted earlier does not
// change it.
func endOf(now time.Time, w *rocktable.World, r *rocktable.Request, e rocktable.AttemptEnded) ending {
	reason, ok := rockreason.Find(e.Reason)
	switch {
	case e.Reason == rockreason.CallerLeft:
		return ending{rocktable.CauseCallerLeft, e.Reason}
	case e.Reason == rockreason.StoppedNow:
		return ending{rocktable.CauseProcessEnds, e.Reason}
	case ok && reason.Kind != rockreason.Retry:
		return ending{rocktable.CauseRunsUsedUp, e.Reason}
	}
	if code := rockadmit.UnconfiguredReason(w, r); code != "" {
		return unserved(r, code)
	}
	if rockcrash.IsQuarantined(now, w, r) {
		return unserved(r, rockreason.BackendFailed)
	}
	return ending{}
}

// unserved returns the end of a request for which it is known that nothing can serve it.
func unserved(r *rocktable.Request, code rockreason.Code) ending {
	if reason, _ := rockreason.Find(code); !r.MayHaveRun && reason.Ran == rockreason.NotRun {
		return ending{rocktable.CauseRefused, code}
	}
	return ending{rocktable.CauseCannotBeServed, code}
}

// lastEnd returns how a request ends because the attempts or the budgets allow no retry.
func lastEnd(now time.Time, w *rocktable.World, r *rocktable.Request, e rocktable.AttemptEnded, s *rocktable.BackendServer) ending {
	stalledOrFailed := rockreason.BackendFailed
	if e.Reason == rockreason.StageStalled {
		stalledOrFailed = rockreason.Stalled
	}
	switch {
	case !mayRunAgain(r):
		return ending{rocktable.CauseRunsUsedUp, rockreason.BackendFailed}
	case !r.EarlierMayHaveRun && r.Attempts >= maxAttempts:
		return ending{rocktable.CauseRunsUsedUp, stalledOrFailed}
	case isFirstTokenOverdue(now, w, r):
		return ending{rocktable.CauseTimeUp, stalledOrFailed}
	case e.Reason == rockreason.StageUnreachable && w.Limits.RetryWindow > 0 && didNotRun(e):
		return ending{} // the next attempt is the first that reaches a backend server
	case !SpendSharedBudget(now, w, r):
		switch {
		case !r.MayHaveRun && !mayGetBudgetBy(now, w, r, rockadmit.LatestStart(w, r)):
			return ending{rocktable.CauseRefused, rockreason.Shed}
		case !r.MayHaveRun: // it is shed if the budget has no room before its latest start
			r.AwaitsBudget = true
			return ending{}
		case r.Tokens > 0 && didNotRun(e), FitsDeadline(now, r, runTime(w, r)):
			// The request has begun and has time left, so it stays queued until the budget has room. A stream of which the
			// caller has a part does so in any case: a backend server that is full would cut it off.
			r.AwaitsBudget = true
			return ending{}
		}
		return ending{rocktable.CauseCannotBeServed, rockreason.RetryBudget}
	case e.Reason == rockreason.StageRefused && didNotRun(e):
		// A refusal costs the backend server no work, so the retry needs no budget.
		return ending{}
	case w.Limits.RetryWindow == 0 && !spendBudgets(w, r, s):
		return ending{rocktable.CauseCannotBeServed, rockreason.RetryBudget}
	}
	return ending{}
}

// isFirstTokenOverdue reports whether a request without a deadline has waited for its first token for longer than its
// rank allows.
func isFirstTokenOverdue(now time.Time, w *rocktable.World, r *rocktable.Request) bool {
	return r.Deadline.IsZero() && r.FirstTokenAt.IsZero() && now.Sub(r.ArrivedAt) > FirstTokenLimit(w.Ranks.Get(r.Rank).Config)
}

// expireRequeued ends requeued requests that waited for free capacity for longer than the limit for
// the first token. One that never ran waits for the shared budget only until its latest start. One that has begun and has a
// deadline waits until then.
func expireRequeued(now time.Time, w *rocktable.World, key rocktable.LaneKey, lane *rocktable.Lane) {
	limit := FirstTokenLimit(w.Ranks.Get(key.Rank).Config)
	for i := len(lane.FrontQueue) - 1; i >= 0; i-- {
		r := w.Requests.Get(lane.FrontQueue[i])
		if !r.Requeued {
			continue // a suspect that never ran; rockadmit sheds it
		}
		if r.MayHaveRun && !r.Deadline.IsZero() {
			continue
		}
		end := r.QueuedAt.Add(limit)
		if latest := rockadmit.LatestStart(w, r); r.AwaitsBudget && !r.MayHaveRun && latest.Before(end) {
			end = latest
		}
		if now.Before(end) {
			w.WakeAt(end)
			continue
		}
		rockadmit.Dequeue(w, r)
		if r.MayHaveRun {
			rockend.End(w, r.ID, rocktable.CauseTimeUp, rockreason.Stalled)
			continue
		}
		rockend.Refuse(w, r.ID, rockreason.Shed, 0)
	}
}
