package rockretry

import (
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// maxAttempts limits the attempts of one request.
const maxAttempts = 6

// System handles the ends of attempts.
var System = rocktable.System{
	Name: "rockretry",
	Doc:  "Answers, retries or fails the requests whose attempts ended, within the retry budgets of callers and backend servers.",
	Run:  run,
}

func run(now time.Time, w *rocktable.World) {
	for _, p := range w.Inbox.Progress {
		takeProgress(now, w, p)
	}
	for _, e := range w.Inbox.Ended {
		takeEnd(w, e)
	}
	for _, gone := range w.Inbox.CallerGone {
		if r := w.Requests.Get(gone.Request); r != nil {
			w.Outbox.Cancels = append(w.Outbox.Cancels, rocktable.Cancel{Attempt: r.Attempt})
			w.Answer(r.ID, rockreason.CallerLeft)
		}
	}
}

func takeProgress(now time.Time, w *rocktable.World, p rocktable.Progress) {
	a := w.Attempts.Get(p.Attempt)
	if a == nil {
		w.Count(rockreason.LateEvent)
		return
	}
	r := w.Requests.Get(a.Request)
	r.Tokens += p.Tokens - a.Tokens
	a.Tokens, a.Progress = p.Tokens, now
	r.FirstToken, r.LargestGap = p.FirstToken, p.LargestGap
}

func takeEnd(w *rocktable.World, e rocktable.Ended) {
	a := w.Attempts.Get(e.Attempt)
	if a == nil {
		w.Count(rockreason.LateEvent)
		return
	}
	r := w.Requests.Get(a.Request)
	r.Tokens += e.Tokens - a.Tokens
	r.FirstToken, r.LargestGap = e.FirstToken, e.LargestGap
	release(w, a)
	r.Attempt = 0
	if e.Reason == "" {
		w.Answer(r.ID, "")
		return
	}
	w.Count(e.Reason)
	if e.Reason != rockreason.StageRefused && e.Reason != rockreason.StageUnreachable {
		r.MayHaveRun = true
	}
	if r.Attempts >= maxAttempts {
		w.Answer(r.ID, rockreason.BackendFailed)
		return
	}
	r.State, r.Requeued = rocktable.RequestQueued, true
	if e.Server != 0 {
		r.Avoid = append(r.Avoid, e.Server)
	}
	share := w.Shares.GetOrPut(rocktable.ShareKey{Rank: r.Rank, Caller: r.Caller})
	share.Queue = append([]rocktable.RequestID{r.ID}, share.Queue...)
}

// release removes an attempt and gives its places on backend servers back.
func release(w *rocktable.World, a *rocktable.Attempt) {
	for _, stage := range a.Path {
		if s := w.Servers.Get(stage.Server); s != nil {
			s.InFlight--
		}
	}
	w.Attempts.Delete(a.ID)
}
