package rocklease

import (
	"strconv"
	"time"

	"sassafrasrock/core/rocktable"
)

const (
	// firstEra is the era of a table service that was never restored. No holder of an earlier era can exist then.
	firstEra = 1
	// eraShift is the position of the era in a fencing number. The era is in its upper bits, so that a number given out
	// after a restoration is above all that were given out before, also those that the restored row has lost.
	eraShift = 32
)

func rowVersion(l *rocktable.Lease) rocktable.StoreVersion {
	return rocktable.StoreVersion{Era: l.Era, Version: l.Version}
}

func peerLostVersion(l *rocktable.Lease) rocktable.StoreVersion {
	return rocktable.StoreVersion{Era: l.PeerLostEra, Version: l.PeerLostVersion}
}

// isOfOtherEra reports whether the answer to an operation says nothing about the row as it is: it is a late one of an
// older era, or a write took effect in another one, where its expected version was given out again to another row.
//
// Each operation is sent after the answer from which this host has Era. A lower one is not a late answer then: Era was
// wrong, or the service counts from the start again.
func isOfOtherEra(w *rocktable.World, r rocktable.TableResult[rocktable.LeaseRow], wrote bool) bool {
	if r.Era == 0 {
		return false
	}
	return r.Era < w.Follow.Era || wrote && r.Status == rocktable.TableOK && r.Era != w.Lease.Era
}

// recordEra records the era of an answer that is not late, and reports whether it went back. Then a holder of any era may
// exist, and the row proves nothing for a TTL.
func recordEra(now time.Time, w *rocktable.World, era uint64) (wentBack bool) {
	l := &w.Lease
	if era == 0 || era == l.Era {
		return false
	}
	wentBack = era < l.Era
	if l.Era > 0 {
		w.LogChange("leaseEra", ownDataCentre(w), strconv.FormatUint(l.Era, 10), strconv.FormatUint(era, 10))
	}
	l.Era, l.EraSince = era, now
	return wentBack
}

// mayReacquire reports whether this host may acquire the lease at once, because the table service was restored and its
// row is of an earlier era. This host held the lease before, so no other host does: the others wait for a TTL.
func mayReacquire(now time.Time, w *rocktable.World) bool {
	l := &w.Lease
	return l.Held && now.Before(l.Until) && !w.Draining && l.StoredRow.Era < l.Era
}

// otherHolderUntil returns until when a holder may exist whose acquisition the restored row has lost. It acquired the
// lease in an earlier era than that of the row or of its absence, and uses it for a TTL at most after the restoration,
// which was before this host learned of the era.
func otherHolderUntil(w *rocktable.World) time.Time {
	l := &w.Lease
	if l.Era <= firstEra || l.StoredRow.Era == l.Era {
		return time.Time{}
	}
	return l.EraSince.Add(w.Limits.LeaseTTL)
}

// nextFencing returns a fencing number above all that were given out.
func nextFencing(w *rocktable.World) uint64 {
	l := &w.Lease
	return max(l.StoredRow.Fencing, l.Fencing, l.Era<<eraShift) + 1
}
