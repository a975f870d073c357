package rockoutcome

import (
	"time"

	"sassafrasrock/core/rockadmit"
	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// defaultRetryAfter is the Retry-After of retryable refusals for which no other time is set.
const defaultRetryAfter = time.Second

// otherHostRetryAfter is the Retry-After if another host behind the same load balancer can accept the request.
const otherHostRetryAfter = 200 * time.Millisecond

// System completes answers with their outcomes and keeps totals.
var System = rocktable.System{
	Name:        "rockoutcome",
	Description: "Completes the answers of the tick with their outcomes, adds them to the totals and deletes the requests.",
	Run:         run,
}

func run(now time.Time, w *rocktable.World) {
	answers := w.Outbox.Answers[:0]
	for _, a := range w.Outbox.Answers {
		r := w.Requests.Get(a.Request)
		if r == nil || r.State == rocktable.RequestDone {
			w.Count(rockreason.LateEvent)
			continue
		}
		a.Outcome, a.MayHaveRun = newOutcome(w, r, a.Reason), r.MayHaveRun || r.Call != nil && r.Call.Runs > 0
		if reason, ok := rockreason.Find(a.Reason); ok && reason.Retryable {
			a.RetryAfter = retryAfter(now, w, r, a)
		}
		addToTally(w, r, a)
		if a.Reason != "" {
			w.Count(a.Reason)
		}
		r.State = rocktable.RequestDone
		answers = append(answers, a)
	}
	w.Outbox.Answers = answers
	for _, a := range answers {
		removeRequest(w, w.Requests.Get(a.Request))
	}
}

// retryAfter returns the time after which a refused caller may retry.
func retryAfter(now time.Time, w *rocktable.World, r *rocktable.Request, a rocktable.Answer) time.Duration {
	switch a.Reason {
	case rockreason.Shed, rockreason.WouldMissTarget, rockreason.NoPath, rockreason.QueueFull, rockreason.HostFull:
		if r.Call == nil && w.Limits.OverloadRetry > 0 {
			return rockadmit.ReturnAfter(now, w, r, max(a.RetryAfter, w.Limits.OverloadRetry))
		}
		a.RetryAfter = max(a.RetryAfter, w.Limits.OverloadRetry)
	case rockreason.ShuttingDown, rockreason.NotReady:
		if w.Limits.PlatformPushes {
			return otherHostRetryAfter
		}
	}
	if a.RetryAfter <= 0 {
		return defaultRetryAfter
	}
	return a.RetryAfter
}

func newOutcome(w *rocktable.World, r *rocktable.Request, code rockreason.Code) rocktable.Outcome {
	o := rocktable.Outcome{Attempts: r.Attempts, Reason: code}
	firstTokenTime := time.Duration(0)
	if !r.FirstTokenAt.IsZero() {
		firstTokenTime = r.FirstTokenAt.Sub(r.ArrivedAt)
		o.FirstTokenMs, o.LargestGapMs = firstTokenTime.Milliseconds(), r.LargestGap.Milliseconds()
	}
	rank := w.Ranks.Get(r.Rank)
	if rank == nil {
		return o
	}
	o.Rank = rank.Config.Name
	o.TargetFirstTokenMs, o.TargetGapMs = int64(rank.Config.FirstTokenMs), int64(rank.Config.GapMs)
	// An answer without the time of its first token cannot have met a target.
	o.WithinTarget = code == "" && !r.FirstTokenAt.IsZero() && firstTokenTime <= rank.Config.FirstTokenTarget() && r.LargestGap <= rank.Config.GapTarget()
	return o
}

func addToTally(w *rocktable.World, r *rocktable.Request, a rocktable.Answer) {
	t := w.Tallies.GetOrPut(rocktable.ShareKey{Rank: r.Rank, Caller: r.Caller})
	t.Tokens += r.Tokens
	reason, _ := rockreason.Find(a.Reason)
	switch {
	case a.Reason == "":
		t.Answered++
	case reason.Ran == rockreason.NotRun:
		t.Refused++
	default:
		t.Failed++
	}
	if a.Outcome.WithinTarget {
		t.WithinTarget++
	}
}

func removeRequest(w *rocktable.World, r *rocktable.Request) {
	rockadmit.Dequeue(w, r)
	if r.Alone {
		rockadmit.Unreserve(w, r)
	}
	if a := w.Attempts.Get(r.Attempt); a != nil {
		rockadmit.ReleaseAttempt(w, a)
	}
	rockadmit.SettleCharge(w, r)
	w.Requests.Delete(r.ID)
}
