package rockretry

import (
	"time"

	"sassafrasrock/core/rockadmit"
	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// endForStop answers the requests that have not ended shortly before the process is ended with its grace. rockclaim
// answers those with a claim.
func endForStop(now time.Time, w *rocktable.World) {
	if end := rockadmit.LastAnswerAt(w); end.IsZero() {
		return
	} else if now.Before(end) {
		w.WakeAt(end)
		return
	}
	for id, r := range w.Requests.All() {
		if r.State != rocktable.RequestDone && w.Claims.Get(id) == nil {
			endRequest(w, r, rocktable.CauseProcessEnds, rockreason.StoppedNow, rockreason.ShuttingDown)
		}
	}
}
