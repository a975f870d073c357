package rockretry

import (
	"time"

	"sassafrasrock/core/rockend"
	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// expireDeadlines ends the requests and calls whose deadline has passed.
func expireDeadlines(now time.Time, w *rocktable.World) {
	for _, a := range w.Inbox.Arrivals {
		updateEarliestDeadline(w, a.Request.Deadline)
	}
	if w.EarliestDeadline.IsZero() {
		return
	}
	if now.Before(w.EarliestDeadline) {
		w.WakeAt(w.EarliestDeadline)
		return
	}
	w.EarliestDeadline = time.Time{}
	for _, r := range w.Requests.All() {
		switch {
		case r.Deadline.IsZero() || r.Call != nil && !r.Call.NeedsNoClaim || r.State == rocktable.RequestDone:
		case now.Before(r.Deadline):
			updateEarliestDeadline(w, r.Deadline)
		default:
			endRequest(w, r, rocktable.CauseTimeUp, rockreason.TimedOut, rockreason.Shed)
		}
	}
	if !w.EarliestDeadline.IsZero() {
		w.WakeAt(w.EarliestDeadline)
	}
}

func updateEarliestDeadline(w *rocktable.World, t time.Time) {
	if !t.IsZero() && (w.EarliestDeadline.IsZero() || t.Before(w.EarliestDeadline)) {
		w.EarliestDeadline = t
	}
}

// FitsDeadline reports whether work that takes d and starts now would end before the deadline of a request. It does not for
// a request without a deadline.
func FitsDeadline(now time.Time, r *rocktable.Request, d time.Duration) bool {
	return !r.Deadline.IsZero() && now.Add(d).Before(r.Deadline)
}

// runTime returns the usual time of a model request of the same pipeline, or 0 if it is not known.
func runTime(w *rocktable.World, r *rocktable.Request) time.Duration {
	if p := w.Pipelines.Get(r.Pipeline); p != nil {
		return p.RunTime
	}
	return 0
}

// endRequest cancels a request and ends it with the one of two reasons that holds: it may have run, or it has not.
func endRequest(w *rocktable.World, r *rocktable.Request, cause rocktable.Cause, mayHaveRun, notRun rockreason.Code) {
	cancelRequest(w, r)
	if r.MayHaveRun || r.Call != nil && r.Call.Runs > 0 {
		r.MayHaveRun = true
		rockend.End(w, r.ID, cause, mayHaveRun)
		return
	}
	rockend.Refuse(w, r.ID, notRun, 0)
}
