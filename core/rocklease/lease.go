package rocklease

import (
	"strconv"
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// pauseChecksPerTTL is the number of ticks requested within one TTL to detect pauses of this
// host.
const pauseChecksPerTTL = 15

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
