package rockdrain

import (
	"time"

	"sassafrasrock/core/rockadmit"
	"sassafrasrock/core/rockmember"
	"sassafrasrock/core/rocktable"
)

// checkEvery is the time between checks whether a graceful shutdown is complete.
const checkEvery = 100 * time.Millisecond

// recordTime is the time after the last answers that is left to record claims and to release the lease, and
// maxRecordFraction its limit as a fraction of the time from the last answers to the end of the grace.
const (
	recordTime        = 200 * time.Millisecond
	maxRecordFraction = 0.4
)

// System handles drains of backend servers and graceful shutdown.
var System = rocktable.System{
	Name:        "rockdrain",
	Description: "Applies drains of backend servers, reports departures to peers at once, and lets the host's own work end before it stops.",
	Run:         run,
}

func run(now time.Time, w *rocktable.World) {
	for _, d := range w.Inbox.Drains {
		s := w.ServerNamed(d.Server)
		switch {
		case s == nil:
		case d.Lift:
			rockmember.LiftDrain(w, s)
		default:
			rockmember.Drain(now, w, s)
		}
	}
	if len(w.Inbox.Shutdowns) > 0 && w.StopSignalAt.IsZero() {
		w.Ready, w.StopSignalAt = false, now
		rockmember.MarkSelfLeaving(w)
	}
	if !w.StopSignalAt.IsZero() && !w.Draining {
		if end := w.StopSignalAt.Add(rockadmit.DrainNotice(w)); now.Before(end) {
			w.WakeAt(end)
		} else {
			w.Draining, w.Outbox.Closing = true, true
		}
	}
	rockmember.SendUrgent(now, w)
	if !w.Draining {
		return
	}
	w.Outbox.ShutdownDone = isIdle(w) || isRecordTimeOver(now, w)
	w.WakeAt(now.Add(checkEvery))
}

// isRecordTimeOver reports whether the host ends although claims are not recorded or the lease is not released.
func isRecordTimeOver(now time.Time, w *rocktable.World) bool {
	lastAnswer := rockadmit.LastAnswerAt(w)
	if lastAnswer.IsZero() {
		return false
	}
	left := w.GraceEnd().Sub(lastAnswer)
	end := lastAnswer.Add(min(recordTime, time.Duration(maxRecordFraction*float64(left))))
	if now.Before(end) {
		w.WakeAt(end)
		return false
	}
	return true
}

// isIdle reports whether this host's work has ended: it has no request, no unrecorded claim, no departure to report
// and no lease.
func isIdle(w *rocktable.World) bool {
	return w.Requests.Len() == 0 && w.Claims.Len() == 0 && len(w.Inbox.Arrivals) == 0 &&
		len(w.Gossip.Departures) == 0 && w.Lease.Released
}
