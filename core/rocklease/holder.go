package rocklease

import (
	"strings"
	"time"

	"sassafrasrock/core/rocktable"
)

const (
	// holderReleaseDelay is the time that a leaving holder gets to release the lease before the row
	// is read.
	holderReleaseDelay = 100 * time.Millisecond
	// holderHeartbeatTimeout is the age of the holder's last heartbeat up to which the holder
	// counts as alive.
	holderHeartbeatTimeout = 3 * time.Second
)

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
