package rocklease

import (
	"time"

	"sassafrasrock/core/rocktable"
)

const (
	// opTimeout is the time without an answer after which an operation on the table service counts
	// as lost.
	opTimeout = 5 * time.Second
	// opRetryDelay is the wait after an operation that did not reach the table service, after a
	// read without an answer, and after the write that releases the lease.
	opRetryDelay = time.Second
)

// sendNextOp sends the next operation on the lease row when it is due.
func sendNextOp(now time.Time, w *rocktable.World) {
	l := &w.Lease
	if l.PendingOp != 0 {
		w.WakeAt(l.PendingSince.Add(opTimeout))
		return
	}
	if now.Before(l.NextOp) {
		w.WakeAt(l.NextOp)
		return
	}
	if l.Held {
		sendWrite(now, w, renewedRow(w))
		return
	}
	if isHolderAlive(now, w) {
		l.NextOp = now.Add(holderHeartbeatTimeout / 2)
		w.WakeAt(l.NextOp)
		return
	}
	sendOp(now, w, rocktable.TableOp[rocktable.LeaseRow]{})
}

func renewedRow(w *rocktable.World) rocktable.LeaseRow {
	row := w.Lease.StoredRow
	row.Renewal++
	row.TTLMs = int(w.Limits.LeaseTTL.Milliseconds())
	return row
}

func sendWrite(now time.Time, w *rocktable.World, row rocktable.LeaseRow) {
	w.Lease.PendingRow = row
	sendOp(now, w, rocktable.TableOp[rocktable.LeaseRow]{Write: true, Expected: w.Lease.Version, Row: row})
}

func sendOp(now time.Time, w *rocktable.World, op rocktable.TableOp[rocktable.LeaseRow]) {
	l := &w.Lease
	op.Op, op.Key = w.NextOp(), RowKey(ownDataCentre(w))
	l.PendingOp, l.PendingWrite, l.PendingSince = op.Op, op.Write, now
	l.NextOp = now.Add(w.Limits.LeaseTTL / 3)
	w.WakeAt(l.PendingSince.Add(opTimeout))
	w.Outbox.LeaseOps = append(w.Outbox.LeaseOps, op)
}

func handleResult(now time.Time, w *rocktable.World, r rocktable.TableResult[rocktable.LeaseRow]) {
	l := &w.Lease
	sentAt, wrote := l.PendingSince, l.PendingWrite
	l.PendingOp = 0
	status := r.Status
	answered := status == rocktable.TableOK || status == rocktable.TableConflict
	if answered && isOfOtherEra(w, r, wrote) {
		status = rocktable.TableOutcomeUnknown
	}
	switch status {
	case rocktable.TableUnavailable:
		l.NextOp = now.Add(opRetryDelay)
	case rocktable.TableOutcomeUnknown:
		// The row is read back. Until then the lease keeps its old expiry time.
		if wrote {
			l.NextOp = now
			sendOp(now, w, rocktable.TableOp[rocktable.LeaseRow]{})
			return
		}
		l.NextOp = now.Add(opRetryDelay) // a service that resets connections fails a read within a millisecond
	case rocktable.TableConflict:
		if r.Era > 0 && r.Era < l.Era {
			handleRow(now, w, r)
			return
		}
		recordEra(now, w, r.Era)
		if r.Found || r.Era > 0 {
			recordRow(now, w, r.Version, r.Row)
		}
		if mayReacquire(now, w) {
			acquire(now, w)
			return
		}
		if l.Held {
			loseLease(w, "taken")
		}
		l.NextOp = now
	case rocktable.TableOK:
		if wrote {
			recordRow(now, w, r.Version, l.PendingRow)
			confirmWrite(now, w, sentAt)
			return
		}
		handleRow(now, w, r)
	}
}
