package rocklease

import (
	"time"

	"sassafrasrock/core/rocktable"
)

const (
	// releaseTimeout limits the time for attempts to release the lease at shutdown. After that the
	// lease expires by itself.
	releaseTimeout = 10 * time.Second
	// clockMarginDivisor is the divisor of the TTL that gives the safety margin: the holder stops
	// using the lease this much before the TTL ends, because clocks run at different rates.
	clockMarginDivisor = 10
)

// recordRow records when a version of the row was first seen, by the local monotonic clock.
func recordRow(now time.Time, w *rocktable.World, version uint64, row rocktable.LeaseRow) {
	l := &w.Lease
	if version != l.Version || row != l.StoredRow || l.StoredRowSince.IsZero() {
		l.Version, l.StoredRow, l.StoredRowSince = version, row, now
	}
}

// handleRow decides what to do with a row that was read: renew this host's own lease, acquire the
// lease, or wait.
func handleRow(now time.Time, w *rocktable.World, r rocktable.TableResult[rocktable.LeaseRow]) {
	l := &w.Lease
	wentBack := recordEra(now, w, r.Era)
	if !r.Found {
		recordRow(now, w, 0, rocktable.LeaseRow{})
		l.Version = 0
	} else {
		recordRow(now, w, r.Version, r.Row)
	}
	if wentBack {
		if l.Held {
			loseLease(w, "taken")
		}
		l.NextOp = now.Add(w.Limits.LeaseTTL)
		return
	}
	if mayReacquire(now, w) {
		acquire(now, w)
		return
	}
	if end := otherHolderUntil(w); now.Before(end) {
		if l.Held {
			loseLease(w, "taken")
		}
		l.NextOp = end
		return
	}
	if !r.Found {
		acquire(now, w)
		return
	}
	isOwn := r.Row.Holder == ownHolderID(w) && !r.Row.Released
	if !isOwn && l.Held {
		loseLease(w, "taken")
	}
	if w.Draining {
		return
	}
	if isOwn && r.Row.Era == l.Era {
		// Only a renewal shows whether the lease is still this host's; a read does not.
		sendWrite(now, w, renewedRow(w))
		return
	}
	ttl := max(time.Duration(r.Row.TTLMs)*time.Millisecond, w.Limits.LeaseTTL)
	// The holder reported that its lease ended at this version. A renewal since then would have
	// raised the version.
	isLostByHolder := l.PeerLostVersion != 0 && rowVersion(l) == peerLostVersion(l)
	if r.Row.Released || isLostByHolder || now.Sub(l.StoredRowSince) >= ttl {
		acquire(now, w)
		return
	}
	l.NextOp = l.StoredRowSince.Add(ttl)
	if latest := now.Add(w.Limits.LeaseTTL / 3); latest.Before(l.NextOp) {
		l.NextOp = latest
	}
}

func acquire(now time.Time, w *rocktable.World) {
	if !w.StopSignalAt.IsZero() {
		return
	}
	sendWrite(now, w, rocktable.LeaseRow{
		Holder: ownHolderID(w), Fencing: nextFencing(w), Era: w.Lease.Era, TTLMs: int(w.Limits.LeaseTTL.Milliseconds()),
	})
}

// confirmWrite handles a successful write. The lease ends one TTL, less the margin, after the write
// was sent.
func confirmWrite(now time.Time, w *rocktable.World, sentAt time.Time) {
	l := &w.Lease
	if l.PendingRow.Released {
		l.Held, l.Released = false, true
		return
	}
	l.Until = sentAt.Add(w.Limits.LeaseTTL - w.Limits.LeaseTTL/clockMarginDivisor)
	if !now.Before(l.Until) {
		l.NextOp = now
		return
	}
	if l.Fencing != l.PendingRow.Fencing {
		l.Fencing = l.PendingRow.Fencing
		// The former holder sent its last order before its lease ended, and that order may still be
		// running. Engines that run a full path reject an order whose sender does not know of the
		// order before it.
		l.OrdersNotBefore = now
		if !allRunFullPath(w) {
			l.OrdersNotBefore = now.Add(w.Limits.OrderTimeout)
		}
	}
	l.LostEra, l.LostVersion = 0, 0
	if !l.Held {
		l.Held = true
		w.LogChange("lease", ownDataCentre(w), "none", "held")
	}
	w.WakeAt(l.PauseCheckAt)
}

// allRunFullPath reports whether the engines of all pipelines run a full path.
func allRunFullPath(w *rocktable.World) bool {
	found := false
	for _, p := range w.ConfiguredPipelines() {
		if !p.Config.Engine.RunsFullPath() {
			return false
		}
		found = true
	}
	return found
}

// releaseLease releases the lease at shutdown, after the pending orders have ended.
func releaseLease(now time.Time, w *rocktable.World) {
	l := &w.Lease
	for _, o := range w.Orders.All() {
		if o.Pending && now.Sub(w.StopSignalAt) < releaseTimeout {
			return
		}
	}
	if l.Released {
		return
	}
	if now.Sub(w.StopSignalAt) >= releaseTimeout || !l.Held && l.PendingOp == 0 {
		l.Held, l.Released = false, true
		return
	}
	if l.PendingOp != 0 || now.Before(l.NextOp) && l.PendingRow.Released {
		return
	}
	row := l.StoredRow
	row.Released = true
	row.Renewal++
	sendWrite(now, w, row)
	l.NextOp = now.Add(opRetryDelay)
}
