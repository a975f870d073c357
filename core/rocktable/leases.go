package rocktable

import "time"

// Lease is the right to send orders to the engines of this host's data centre.
type Lease struct {
	Held            bool
	Fencing         uint64
	Era             uint64    // of the table service when Version was read or written; 0 if it is not known
	EraSince        time.Time // when this host learned of Era
	Version         uint64    // of StoredRow
	Until           time.Time // expiry by the local clock, less a margin
	OrdersNotBefore time.Time // lets the previous holder's orders end first

	// Lease row in the table service.
	StoredRow      LeaseRow  // as last read or written
	StoredRowSince time.Time // when this host first saw StoredRow, by the local clock

	// Operations on the lease row.
	NextOp       time.Time
	PendingOp    uint64   // operation in flight, or 0
	PendingWrite bool     // the operation in flight is a write
	PendingRow   LeaseRow // row that it writes
	PendingSince time.Time

	PauseCheckAt    time.Time // next requested tick; a much later tick shows that the process was paused
	Released        bool      // released for the shutdown
	LostEra         uint64    // of LostVersion
	LostVersion     uint64    // Version when this host's lease expired; 0 after the next successful write
	PeerLostEra     uint64    // of PeerLostVersion
	PeerLostVersion uint64    // Version at which a peer reported the loss of its lease

	ReconcileAt time.Time // next comparison of engines and placements, unless an event triggers an earlier one
}

// Order is an instruction to an engine that is due or in flight.
type Order struct {
	Server         BackendServerID
	Placement      Placement
	Fencing        uint64
	SentAt         time.Time
	Pending        bool
	FailedAttempts int       // in a row
	NextSend       time.Time // earliest time of the next order
	MayRunUntil    time.Time // until then the engine may carry out an order whose answer was lost
}
