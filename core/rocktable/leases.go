package rocktable

import "time"

// Lease is the right to send orders to the engines of this host's data centre.
type Lease struct {
	Held            bool
	Fencing         uint64
	Version         uint64 // of the row
	Until           time.Time
	OrdersNotBefore time.Time // no order is sent earlier, so that the last holder's orders have ended
	StoredRow       LeaseRow
	StoredRowSince  time.Time
	NextOp          time.Time
	PendingOp       uint64 // operation in flight, or 0
	PendingWrite    bool   // the operation in flight is a write
	PendingRow      LeaseRow
	PendingSince    time.Time // of the operation in flight
	PauseCheckAt    time.Time // next tick asked for; a tick much later tells of a pause
	Released        bool      // given up for the shutdown
	LostVersion     uint64    // version of the row with which this host's last lease ended without a renewal; 0 if it did not
	PeerLostVersion uint64    // version of the row with which a peer said that its lease ended

	ReconcileAt time.Time // next comparison of engines and placements, if no event asks for an earlier one
}

// Order is an instruction to an engine that is wanted or under way.
type Order struct {
	Server         BackendServerID
	Placement      Placement
	Fencing        uint64
	SentAt         time.Time
	Pending        bool
	FailedAttempts int
	NextSend       time.Time
	MayRunUntil    time.Time // until then the engine may carry out an order whose answer was lost
}
