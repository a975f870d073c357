package rocktable

import "time"

// PendingChange is a configuration change whose result is not known yet.
type PendingChange struct {
	Change         ConfigChange
	PendingOp      uint64
	Reading        bool // the operation in flight reads the row
	OutcomeUnknown bool // a write may have taken effect
	SentAt         time.Time
	Deadline       time.Time
	NextOp         time.Time
}

// ConfigState is the progress of reads of the configuration row.
type ConfigState struct {
	PendingOp        uint64 // read in flight, or 0
	NextRead         time.Time
	PendingSince     time.Time // start of the read in flight
	ReadFailed       bool
	PeerRequestedAt  time.Time // last request to a peer for the configuration
	PlatformAnswered bool      // a read of the row succeeded at least once
	PeerReported     bool      // a peer reported its version at least once
	HighestVersion   uint64    // highest version active here or reported by a peer
}

// LinkKey identifies the link between two data centres; One is the lower id.
type LinkKey struct{ One, Other DataCentreID }

// LinkLoad is the load of this host on the link between stages in two data centres.
type LinkLoad struct {
	BusySeconds float64   // transfer time of recently sent prompts on the link, decaying
	At          time.Time // last update of BusySeconds
}

// RetryKey identifies the pipeline or service that a retry budget belongs to.
type RetryKey struct {
	Pipeline PipelineID
	Service  ServiceID
}

// RetryWindow counts the requests and retries of this host in each part of the last window; part 0 is the newest.
type RetryWindow struct {
	Requests      []int
	Retries       []int
	PartStartedAt time.Time // of part 0
}

// PlanState is the progress of the planner of placements, rockplace.
type PlanState struct {
	NextCheck          time.Time // next comparison of the plan with the backend servers
	ServerCount        int       // backend servers of the group
	CountChangedAt     time.Time
	PlannedServerCount int  // ServerCount at the last complete plan
	PlannedThisLease   bool // this host made a complete plan under its present lease
	RequestsArrived    bool // at this host
}

// ListState is the progress of reads of the platform's host list.
type ListState struct {
	Pending          bool // a read is in flight
	NextRead         time.Time
	ReadAt           time.Time // last answer; zero before the first
	PushesLostSince  time.Time // zero while the platform's pushes arrive
	PushesRestoredAt time.Time
	Era              uint64 // of the store from which the last list was pushed; 0 if it is not known
}

// Gossip is the progress of messages to peers and of the choice of probers.
type Gossip struct {
	RoundChangeSeqs [4]uint64 // ChangeSeq at each of the last rounds; changes after the oldest count as recent
	Round           int

	// Positions from which rows are sent in turn.
	HostCursor      int
	ServerCursor    int
	OwnServerCursor int

	ReassignProbers    bool      // hosts or backend servers changed
	RecountPeerLoad    bool      // load reported by peers changed
	UnreportedFraction float64   // fraction of the live peers without a recent report of their load
	NextCheck          time.Time // next check for silent hosts

	// The state of the peers, which a host that has started asks for.
	StateReceived     bool
	StateAwaitedUntil time.Time // until when requests wait for it that may crash backend servers; zero if they need not
	NextStateRequest  time.Time
	StateRequests     int // sent, from which the next receivers follow

	// Reports that do not wait for the next round.
	Departures      []Departure
	NextUrgent      time.Time
	WorkChanged     bool     // this host's work on suspects changed and is to be reported
	ChangedSuspects []uint64 // fingerprints of suspects to report
	NextWork        time.Time
	ChangedParts    []PartID // parts of prompts to report
	NextParts       time.Time
	LeaseLost       bool // this host's lease ended without a renewal, which is to be reported
}

// Departure names a host or backend server whose departure, or the end of it, is reported to peers at once. A
// departure ends when a drain is lifted or the process restarts.
type Departure struct {
	Host   HostID // or 0
	Server BackendServerID
}
