package rockretry

import (
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// expireDeadlines ends the requests and calls whose deadline has come.
func expireDeadlines(now time.Time, w *rocktable.World) {
	for _, a := range w.Inbox.Arrivals {
		noteDeadline(w, a.Request.Deadline)
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
			noteDeadline(w, r.Deadline)
		default:
			expireRequest(w, r)
		}
	}
	if !w.EarliestDeadline.IsZero() {
		w.WakeAt(w.EarliestDeadline)
	}
}

func noteDeadline(w *rocktable.World, t time.Time) {
	if !t.IsZero() && (w.EarliestDeadline.IsZero() || t.Before(w.EarliestDeadline)) {
		w.EarliestDeadline = t
	}
}

// expireRequest gives the final answer of a request whose time is over.
func expireRequest(w *rocktable.World, r *rocktable.Request) {
	abandon(w, r)
	if r.MayHaveRun || r.Call != nil && r.Call.Runs > 0 {
		r.MayHaveRun = true
		w.Answer(r.ID, rockreason.TimedOut)
		return
	}
	w.Answer(r.ID, rockreason.Shed)
}
