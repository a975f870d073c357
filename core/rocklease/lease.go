package rocklease

import (
	"strconv"
	"strings"
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

const (
	// opLimit is the silence after which an operation on the table service counts as lost.
	opLimit = 5 * time.Second
	// retryAfter is the wait after an operation that did not reach the table service.
	retryAfter = time.Second
	// releaseLimit bounds the attempts to release the lease at shutdown; it expires by itself afterwards.
	releaseLimit = 10 * time.Second
	// leavingDelay is the time that a holder that leaves gets to give the lease up.
	leavingDelay = 100 * time.Millisecond
	// heardLimit is the age of a holder's last heartbeat up to which it is taken for alive.
	heardLimit = 3 * time.Second
	// beatsPerTTL is the number of ticks asked for in one TTL, to detect pauses.
	beatsPerTTL = 15
	// clockMargin is the share of the TTL by which the holder stops early, for clocks that run at different rates.
	clockMargin = 10
)

// System holds the lease and sends orders to engines.
var System = rocktable.System{
	Name: "rocklease",
	Doc:  "Holds the data centre's lease for orders, and sends the orders that bring engines in line with the pipelines.",
	Run:  run,
}

// Key returns the key of the lease row of a data centre.
func Key(dataCentre string) string { return "lease/" + dataCentre }

func run(now time.Time, w *rocktable.World) {
	l := &w.Lease
	checkPause(now, w)
	for _, r := range w.Inbox.LeaseResults {
		if r.Op == l.PendingOp && r.Op != 0 {
			takeResult(now, w, r)
		}
	}
	if l.PendingOp != 0 && now.Sub(l.PendingSince) >= opLimit {
		l.PendingOp, l.NextOp = 0, now
	}
	if l.Held && !now.Before(l.Until) {
		lose(w, "expired")
		l.LostVersion, w.Gossip.LeaseLost = l.Version, true
		w.WakeAt(now)
	}
	takeOrders(now, w)
	if !w.StopSignalAt.IsZero() {
		release(now, w)
		return
	}
	if w.Limits.PlatformPushes {
		hearHolder(now, w)
	}
	if w.ConfigVersion > 0 {
		proceed(now, w)
		reconcile(now, w)
	}
}

// isHolderHeard reports whether the last known holder is a live peer, so that the row need not be read; each call to a pushing platform has a price.
func isHolderHeard(now time.Time, w *rocktable.World) bool {
	if !w.Limits.PlatformPushes {
		return false
	}
	name, _, _ := strings.Cut(w.Lease.StoredRow.Holder, "#")
	h := w.HostNamed(name)
	return h != nil && !h.Self && !w.Lease.StoredRow.Over && w.Lease.Version > w.Lease.PeerLostVersion && h.State == rocktable.StateLive &&
		holderOf(h.Name, h.Incarnation) == w.Lease.StoredRow.Holder && now.Sub(h.HeartbeatAt) < heardLimit
}

// hearHolder reads the lease at once when its holder says that it leaves, because it gives the lease up then, or that it could
// not renew it: a holder that the platform turns away goes on telling its peers that it lives.
func hearHolder(now time.Time, w *rocktable.World) {
	l := &w.Lease
	for _, m := range w.Inbox.Peers {
		if l.StoredRow.Holder != holderOf(m.Sender, m.Incarnation) {
			continue
		}
		if soon := now.Add(leavingDelay); m.State == rocktable.StateLeaving && l.NextOp.After(soon) {
			l.NextOp = soon
		}
		if m.LostLeaseVersion > l.PeerLostVersion {
			l.PeerLostVersion, l.NextOp = m.LostLeaseVersion, now
		}
	}
}

// checkPause gives the lease up when this tick comes much later than asked for; it is read again before it is used.
func checkPause(now time.Time, w *rocktable.World) {
	l := &w.Lease
	beat := w.Limits.LeaseTTL / beatsPerTTL
	if l.Held && !l.PauseCheckAt.IsZero() && now.Sub(l.PauseCheckAt) > beat {
		lose(w, "paused")
		l.PendingOp, l.NextOp = 0, now
	}
	l.PauseCheckAt = now.Add(beat)
	if l.Held {
		w.WakeAt(l.PauseCheckAt)
	}
}

func lose(w *rocktable.World, why string) {
	w.Lease.Held = false
	w.Count(rockreason.LeaseLost)
	w.LogChange("lease", ownDataCentre(w), "held", why)
}

func ownDataCentre(w *rocktable.World) string {
	return w.DataCentres.Get(w.SelfHost().DataCentre).Name
}

func holderName(w *rocktable.World) string {
	return holderOf(w.SelfHost().Name, w.Incarnation)
}

func holderOf(host string, incarnation uint64) string {
	return host + "#" + strconv.FormatUint(incarnation, 10)
}

// proceed sends the next operation on the lease row, if it is due.
func proceed(now time.Time, w *rocktable.World) {
	l := &w.Lease
	if l.PendingOp != 0 {
		w.WakeAt(l.PendingSince.Add(opLimit))
		return
	}
	if now.Before(l.NextOp) {
		w.WakeAt(l.NextOp)
		return
	}
	if l.Held {
		write(now, w, renewal(w))
		return
	}
	if isHolderHeard(now, w) {
		l.NextOp = now.Add(heardLimit / 2)
		w.WakeAt(l.NextOp)
		return
	}
	send(now, w, rocktable.TableOp[rocktable.LeaseRow]{})
}

func renewal(w *rocktable.World) rocktable.LeaseRow {
	row := w.Lease.StoredRow
	row.Renewal++
	row.TTLMs = int(w.Limits.LeaseTTL.Milliseconds())
	return row
}

func write(now time.Time, w *rocktable.World, row rocktable.LeaseRow) {
	w.Lease.PendingRow = row
	send(now, w, rocktable.TableOp[rocktable.LeaseRow]{Write: true, Expected: w.Lease.Version, Row: row})
}

func send(now time.Time, w *rocktable.World, op rocktable.TableOp[rocktable.LeaseRow]) {
	l := &w.Lease
	op.Op, op.Key = w.NextOp(), Key(ownDataCentre(w))
	l.PendingOp, l.PendingWrite, l.PendingSince = op.Op, op.Write, now
	l.NextOp = now.Add(w.Limits.LeaseTTL / 3)
	w.WakeAt(l.PendingSince.Add(opLimit))
	w.Outbox.LeaseOps = append(w.Outbox.LeaseOps, op)
}

func takeResult(now time.Time, w *rocktable.World, r rocktable.TableResult[rocktable.LeaseRow]) {
	l := &w.Lease
	sentAt, wrote := l.PendingSince, l.PendingWrite
	l.PendingOp = 0
	switch r.Status {
	case rocktable.TableUnavailable:
		l.NextOp = now.Add(retryAfter)
	case rocktable.TableUnclear:
		// The row is read back; the lease lasts at most until its old end meanwhile.
		if wrote {
			l.NextOp = now
			send(now, w, rocktable.TableOp[rocktable.LeaseRow]{})
			return
		}
		l.NextOp = now.Add(retryAfter) // a service that resets connections answers within a millisecond
	case rocktable.TableConflict:
		if l.Held {
			lose(w, "taken")
		}
		l.NextOp = now
		if r.Found {
			see(now, w, r.Version, r.Row)
		}
	case rocktable.TableOK:
		if wrote {
			see(now, w, r.Version, l.PendingRow)
			hold(now, w, sentAt)
			return
		}
		takeRow(now, w, r)
	}
}

// see notes when a version of the row was seen first, by the local monotonic clock.
func see(now time.Time, w *rocktable.World, version uint64, row rocktable.LeaseRow) {
	l := &w.Lease
	if version != l.Version || l.StoredRowSince.IsZero() {
		l.Version, l.StoredRow, l.StoredRowSince = version, row, now
	}
}

// takeRow decides on a row that was read: regain, take over, or wait.
func takeRow(now time.Time, w *rocktable.World, r rocktable.TableResult[rocktable.LeaseRow]) {
	l := &w.Lease
	if !r.Found {
		see(now, w, 0, rocktable.LeaseRow{})
		l.Version = 0
		acquire(now, w)
		return
	}
	see(now, w, r.Version, r.Row)
	mine := r.Row.Holder == holderName(w) && !r.Row.Over
	if !mine && l.Held {
		lose(w, "taken")
	}
	if w.Draining {
		return
	}
	if mine {
		// A renewal tells whether the lease is still this host's; a read alone does not.
		write(now, w, renewal(w))
		return
	}
	ttl := max(time.Duration(r.Row.TTLMs)*time.Millisecond, w.Limits.LeaseTTL)
	// The row is as its holder left it, which has said that its lease ended; a renewal since would have another version.
	isGivenUp := l.PeerLostVersion != 0 && r.Version == l.PeerLostVersion
	if r.Row.Over || isGivenUp || now.Sub(l.StoredRowSince) >= ttl {
		acquire(now, w)
		return
	}
	l.NextOp = l.StoredRowSince.Add(ttl)
	if every := now.Add(w.Limits.LeaseTTL / 3); every.Before(l.NextOp) {
		l.NextOp = every
	}
}

func acquire(now time.Time, w *rocktable.World) {
	if !w.StopSignalAt.IsZero() {
		return
	}
	write(now, w, rocktable.LeaseRow{
		Holder: holderName(w), Fencing: w.Lease.StoredRow.Fencing + 1, TTLMs: int(w.Limits.LeaseTTL.Milliseconds()),
	})
}

// hold notes a successful write; the end counts from when the write was sent.
func hold(now time.Time, w *rocktable.World, sentAt time.Time) {
	l := &w.Lease
	if l.PendingRow.Over {
		l.Held, l.Released = false, true
		return
	}
	l.Until = sentAt.Add(w.Limits.LeaseTTL - w.Limits.LeaseTTL/clockMargin)
	if !now.Before(l.Until) {
		l.NextOp = now
		return
	}
	if l.Fencing != l.PendingRow.Fencing {
		l.Fencing = l.PendingRow.Fencing
		// The last holder sent its last order before its lease ended; that order may still be under way. Engines that run a
		// whole path refuse an order that does not know of the one before it.
		l.OrdersNotBefore = now
		if !wholePathOnly(w) {
			l.OrdersNotBefore = now.Add(w.Limits.OrderTimeout)
		}
	}
	l.LostVersion = 0
	if !l.Held {
		l.Held = true
		w.LogChange("lease", ownDataCentre(w), "none", "held")
	}
	w.WakeAt(l.PauseCheckAt)
}

// wholePathOnly reports whether the engines of all pipelines run a whole path.
func wholePathOnly(w *rocktable.World) bool {
	for _, p := range w.Pipelines.All() {
		if !p.Config.Engine.RunsFullPath() {
			return false
		}
	}
	return w.Pipelines.Len() > 0
}

// release gives the lease up for the shutdown, after the orders under way have ended.
func release(now time.Time, w *rocktable.World) {
	l := &w.Lease
	for _, o := range w.Orders.All() {
		if o.Pending && now.Sub(w.StopSignalAt) < releaseLimit {
			return
		}
	}
	if l.Released {
		return
	}
	if now.Sub(w.StopSignalAt) >= releaseLimit || !l.Held && l.PendingOp == 0 {
		l.Held, l.Released = false, true
		return
	}
	if l.PendingOp != 0 || now.Before(l.NextOp) && l.PendingRow.Over {
		return
	}
	row := l.StoredRow
	row.Over = true
	row.Renewal++
	write(now, w, row)
	l.NextOp = now.Add(retryAfter)
}
