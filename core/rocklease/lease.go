package rocklease

import (
	"strconv"
	"strings"
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

const (
	// opTimeout is the time without an answer after which an operation on the table service counts
	// as lost.
	opTimeout = 5 * time.Second
	// opRetryDelay is the wait after an operation that did not reach the table service, after a
	// read without an answer, and after the write that releases the lease.
	opRetryDelay = time.Second
	// releaseTimeout limits the time for attempts to release the lease at shutdown. After that the
	// lease expires by itself.
	releaseTimeout = 10 * time.Second
	// holderReleaseDelay is the time that a leaving holder gets to release the lease before the row
	// is read.
	holderReleaseDelay = 100 * time.Millisecond
	// holderHeartbeatTimeout is the age of the holder's last heartbeat up to which the holder
	// counts as alive.
	holderHeartbeatTimeout = 3 * time.Second
	// pauseChecksPerTTL is the number of ticks requested within one TTL to detect pauses of this
	// host.
	pauseChecksPerTTL = 15
	// clockMarginDivisor is the divisor of the TTL that gives the safety margin: the holder stops
	// using the lease this much before the TTL ends, because clocks run at different rates.
	clockMarginDivisor = 10
)

// System holds the lease and sends orders to engines.
var System = rocktable.System{
	Name:        "rocklease",
	Description: "Holds the data centre's lease for orders, and sends the orders that make engines hold their placements.",
	Run:         run,
}

// RowKey returns the key of the lease row of a data centre.
func RowKey(dataCentre string) string { return "lease/" + dataCentre }

func run(now time.Time, w *rocktable.World) {
	l := &w.Lease
	checkPause(now, w)
	for _, r := range w.Inbox.LeaseResults {
		if r.Op == l.PendingOp && r.Op != 0 {
			handleResult(now, w, r)
		}
	}
	if l.PendingOp != 0 && now.Sub(l.PendingSince) >= opTimeout {
		l.PendingOp, l.NextOp = 0, now
	}
	if l.Held && !now.Before(l.Until) {
		loseLease(w, "expired")
		l.LostEra, l.LostVersion, w.Gossip.LeaseLost = l.Era, l.Version, true
		w.WakeAt(now)
	}
	handleOrderResults(now, w)
	if !w.StopSignalAt.IsZero() {
		releaseLease(now, w)
		return
	}
	if w.Limits.PlatformPushes {
		scheduleReadAfterHolder(now, w)
	}
	if w.ConfigVersion == 0 {
		return
	}
	if mayUseRow(w) {
		sendNextOp(now, w)
	}
	reconcile(now, w)
}

// mayUseRow reports whether this host reads and writes the lease row. Where the platform pushes, each call has a price,
// and only the few hosts that follow its store do. All others would read the row whenever the holder's heartbeat is
// late, which in a data centre of 39 hosts it often is.
func mayUseRow(w *rocktable.World) bool {
	return !w.Limits.PlatformPushes || w.Follow.Follows || w.Lease.Held || w.Lease.PendingOp != 0
}

// isHolderAlive reports whether the last known holder is a live peer. The row is not read then,
// because a platform that pushes its changes charges for each call.
func isHolderAlive(now time.Time, w *rocktable.World) bool {
	if !w.Limits.PlatformPushes {
		return false
	}
	name, _, _ := strings.Cut(w.Lease.StoredRow.Holder, "#")
	h := w.HostNamed(name)
	return h != nil && !h.Self && !w.Lease.StoredRow.Released && rowVersion(&w.Lease).Compare(peerLostVersion(&w.Lease)) > 0 && h.State == rocktable.StateLive &&
		holderID(h.Name, h.Incarnation) == w.Lease.StoredRow.Holder && now.Sub(h.HeartbeatAt) < holderHeartbeatTimeout
}

// scheduleReadAfterHolder brings the next read of the row forward if the holder reports that it
// leaves or that it lost the lease.
//
// A leaving holder is about to release the lease. A holder that could not renew the lease, for
// example because the platform rejects its calls, still sends heartbeats, so its peers would not
// read the row.
func scheduleReadAfterHolder(now time.Time, w *rocktable.World) {
	l := &w.Lease
	for _, m := range w.Inbox.Peers {
		if l.StoredRow.Holder != holderID(m.Sender, m.Incarnation) {
			continue
		}
		if soon := now.Add(holderReleaseDelay); m.State == rocktable.StateLeaving && l.NextOp.After(soon) {
			l.NextOp = soon
		}
		lost := rocktable.StoreVersion{Era: m.LostLeaseEra, Version: m.LostLeaseVersion}
		if lost.Era == 0 {
			lost.Era = l.Era // the sender does not know it
		}
		if m.LostLeaseVersion > 0 && lost.Compare(peerLostVersion(l)) > 0 {
			l.PeerLostEra, l.PeerLostVersion, l.NextOp = lost.Era, lost.Version, now
		}
	}
}

// checkPause ends the use of the lease if this tick comes much later than requested. The row is
// read again before the lease is used.
func checkPause(now time.Time, w *rocktable.World) {
	l := &w.Lease
	interval := w.Limits.LeaseTTL / pauseChecksPerTTL
	if l.Held && !l.PauseCheckAt.IsZero() && now.Sub(l.PauseCheckAt) > interval {
		loseLease(w, "paused")
		l.PendingOp, l.NextOp = 0, now
	}
	l.PauseCheckAt = now.Add(interval)
	if l.Held {
		w.WakeAt(l.PauseCheckAt)
	}
}

// loseLease stops the use of the lease and records the cause.
func loseLease(w *rocktable.World, cause string) {
	w.Lease.Held = false
	w.Count(rockreason.LeaseLost)
	w.LogChange("lease", ownDataCentre(w), "held", cause)
}

func ownDataCentre(w *rocktable.World) string {
	return w.DataCentres.Get(w.SelfHost().DataCentre).Name
}

func ownHolderID(w *rocktable.World) string {
	return holderID(w.SelfHost().Name, w.Incarnation)
}

func holderID(host string, incarnation uint64) string {
	return host + "#" + strconv.FormatUint(incarnation, 10)
}

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
	for _, p := range w.Pipelines.All() {
		if !p.Config.Engine.RunsFullPath() {
			return false
		}
	}
	return w.Pipelines.Len() > 0
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
