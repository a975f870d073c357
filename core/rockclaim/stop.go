package rockclaim

import (
	"time"

	"sassafrasrock/core/rockend"
	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// endForStop answers a call with a claim, shortly before the process is ended, with what is known of it.
func endForStop(now time.Time, w *rocktable.World, r *rocktable.Request, c *rocktable.Claim) {
	switch c.State {
	case rocktable.ClaimWriting, rocktable.ClaimReading:
		abandonClaim(now, w, c, rockreason.ShuttingDown)
	case rocktable.ClaimHeld:
		r.MayHaveRun = true
		c.State, c.Row.State, c.NextOp = rocktable.ClaimRecording, rocktable.ClaimRowUnknown, now
		rockend.End(w, r.ID, rocktable.CauseProcessEnds, rockreason.StoppedNow)
	case rocktable.ClaimRecording:
		answerRun(w, c)
	}
}
