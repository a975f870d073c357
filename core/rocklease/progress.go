package rocklease

import (
	"time"

	"sassafrasrock/core/rocktable"
)

// OrderInProgress returns this host's last order to an engine if the engine may still be carrying it out, so that it
// would refuse another one, and nil otherwise.
func OrderInProgress(now time.Time, w *rocktable.World, s *rocktable.BackendServer) *rocktable.Order {
	if o := w.Orders.Get(s.ID); o != nil && (o.Pending || isAwaitingReport(now, o, s)) {
		return o
	}
	return nil
}

// IsSuperseded reports whether an engine took up other layers after it had not accepted this host's last order: it
// carried out an order of the former holder of the lease.
func IsSuperseded(w *rocktable.World, s *rocktable.BackendServer) bool {
	o := w.Orders.Get(s.ID)
	return o != nil && o.FullPath && !o.Pending && !o.Begun && o.FailedAttempts > 0 && !isRestarted(o, s) && hasOtherRange(o, s) &&
		!hasPlacement(s.Status, o.Placement)
}

// isAwaitingReport reports whether the outcome of the last order to an engine that runs a full path is to be seen from a
// report that has not come yet. An accepted order has ended when the engine reports its layers. An order without an
// answer, or one that the engine refused because it was at work on another one, may be followed by the next when the
// engine reports anything else than before.
func isAwaitingReport(now time.Time, o *rocktable.Order, s *rocktable.BackendServer) bool {
	switch {
	case !o.FullPath || o.Pending || s == nil || isRestarted(o, s) || !now.Before(latestReport(o)):
		return false
	case o.Begun:
		return !hasPlacement(s.Status, o.Placement)
	case o.FailedAttempts == 0 || hasOtherRange(o, s):
		return false
	}
	// Entries are also written again unchanged, so a higher sequence number alone does not bring the next order forward
	// by more than the longer delays.
	return s.ListedSequence <= o.ReportedSequence || now.Before(o.EndedAt.Add(orderRetryDelay))
}

// latestReport returns when a report is no longer awaited.
func latestReport(o *rocktable.Order) time.Time {
	if o.NextSend.Before(o.MayRunUntil) {
		return o.MayRunUntil
	}
	return o.NextSend
}

// isRestarted reports whether the engine is another process than the one that the last order was sent to.
func isRestarted(o *rocktable.Order, s *rocktable.BackendServer) bool {
	return o.FullPath && o.Incarnation != s.Incarnation
}

// hasOtherRange reports whether an engine reports other layers than when the last order was sent.
func hasOtherRange(o *rocktable.Order, s *rocktable.BackendServer) bool {
	a, b := &o.Reported, &s.Status
	return a.Model != b.Model || a.FirstLayer != b.FirstLayer || a.LastLayer != b.LastLayer
}
