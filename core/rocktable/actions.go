package rocktable

import (
	"time"

	"sassafrasrock/core/rockreason"
)

// Outbox holds the actions that a tick decided on, one slice for each type.
type Outbox struct {
	Starts       []Start
	Cancels      []Cancel
	Repaths      []Repath
	Answers      []Answer
	CallStarts   []CallStart
	Probes       []Probe
	CrashChecks  []CrashQuestion
	ListReads    int // reads of the platform's host list
	TableReads   []TableRead
	TableChanges []TableChange
	PeerSends    []PeerSend
	ConfigOps    []TableOp[ConfigRow]
	LeaseOps     []TableOp[LeaseRow]
	ClaimOps     []TableOp[ClaimRow]
	PartOps      []TableOp[PartsRow]
	ConfigEnds   []ConfigEnd
	Orders       []OrderSend
	Changes      []StateChange
	Counts       []rockreason.Code // counted in this tick
	Closing      bool              // new requests are refused from this tick on
	ShutdownDone bool
}

// Start runs an attempt on a path.
type Start struct {
	Request         RequestID
	Attempt         AttemptID
	Epoch           uint32
	Pipeline        PipelineConfig
	Path            []Stage
	Priority        int // position of the rank; 0 is the most urgent
	Alone           bool
	StepLimit       time.Duration // longest wait for one step of one stage
	FirstTokenLimit time.Duration // longest wait for the first token
	// WaitLimit is the longest wait for one step of one stage while the request cannot go on with another attempt. After
	// StepLimit or FirstTokenLimit the stall is reported. 0 means that the attempt ends then.
	WaitLimit    time.Duration
	SilenceLimit time.Duration // longest silence after which the backend servers are queried for the failed one
	Deadline     time.Time     // of the request; zero means none
}

// Repath moves a running attempt to a path with the same first stage. Stages on both paths keep their memory.
type Repath struct {
	Request  RequestID
	Attempt  AttemptID
	Pipeline PipelineConfig
	Path     []Stage
	Move     int // number of the move in its attempt, from 1
}

// Cancel ends an attempt early.
type Cancel struct {
	Request RequestID
	Attempt AttemptID
	// StalledServer is the backend server for whose silence the attempt ends; 0 for another reason.
	StalledServer BackendServerID
}

// Answer ends a request with a complete answer, a recorded one, or the reason of a refusal or failure.
type Answer struct {
	Request    RequestID
	Cause      Cause
	Reason     rockreason.Code // empty for a complete answer
	Outcome    Outcome
	Recorded   *ClaimRow // outcome of an application call
	MayHaveRun bool      // copied from the request for the invariants
	Deadline   time.Time // copied from the request for the invariants
	RetryAfter time.Duration
}

// Cause is what ended a request. rockend has the rules.
type Cause uint8

// The causes that may end a request.
const (
	CauseNone Cause = iota
	CauseRefused
	CauseAnswered
	CauseCallerLeft
	CauseTimeUp
	CauseRunsUsedUp
	CauseCannotBeServed
	CauseProcessEnds
)

var causeNames = [...]string{"none", "refused", "answered", "callerLeft", "timeUp", "runsUsedUp", "cannotBeServed", "processEnds"}

// String returns the cause as it appears in logs.
func (c Cause) String() string { return causeNames[c] }

// Outcome reports to a caller whether the targets of its rank were met.
type Outcome struct {
	Rank               string          `json:"rank"`
	TargetFirstTokenMs int64           `json:"targetFirstTokenMs"`
	FirstTokenMs       int64           `json:"firstTokenMs"`
	TargetGapMs        int64           `json:"targetGapMs"`
	LargestGapMs       int64           `json:"largestGapMs"`
	WithinTarget       bool            `json:"kept"`
	Attempts           int             `json:"attempts"`
	Reason             rockreason.Code `json:"reason,omitempty"`
}

// CallStart runs an application call once on a backend server.
type CallStart struct {
	Request RequestID
	Server  BackendServerID
	Run     int    // number of the dispatch, from 0
	Name    string // of the backend server
	Address string
	Timeout time.Duration
}

// Probe asks a backend server for its status.
type Probe struct {
	Server  BackendServerID
	Role    BackendRole
	Address string
}

// PeerSend sends a message to a host.
type PeerSend struct {
	Host    HostID
	Address string
	Message PeerMessage
}

// TableOp reads or writes one row of the table service.
type TableOp[T any] struct {
	Op       uint64
	Key      string
	Write    bool
	Expected uint64 // version that the row must have; 0 means that it must not exist
	Row      T
}

// ConfigEnd answers a ConfigChange.
type ConfigEnd struct {
	ChangeID string
	Reason   rockreason.Code // empty when accepted
	Version  uint64          // accepted version, or the present one that conflicts
}

// OrderSend sends an order to an engine.
type OrderSend struct {
	Server      BackendServerID
	Name        string // of the backend server
	Address     string
	Placement   Placement
	Fencing     uint64
	Incarnation uint64    // of the backend server that the order is meant for
	Until       time.Time // not sent later, by the local monotonic clock
}

// StateChange is a change of state that is logged.
type StateChange struct {
	What string // host, backendServer, configuration, lease, suspect or shutdown
	Name string
	From string
	To   string
}
