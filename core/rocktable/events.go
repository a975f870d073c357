package rocktable

import (
	"time"

	"sassafrasrock/core/rockreason"
)

// Inbox holds the events of one tick, one slice for each type.
type Inbox struct {
	Arrivals          []Arrival
	CallerDisconnects []CallerDisconnect
	Progress          []Progress
	AttemptsEnded     []AttemptEnded
	Stalls            []Stall
	Probes            []ProbeResult
	CrashChecks       []CrashAnswer
	HostLists         []HostList
	TableReads        []TableReadEnded
	ConfigPushes      []ConfigPush
	Peers             []PeerMessage
	PeerFailures      []PeerFailure
	ConfigChanges     []ConfigChange
	ConfigResults     []TableResult[ConfigRow]
	LeaseResults      []TableResult[LeaseRow]
	ClaimResults      []TableResult[ClaimRow]
	PartResults       []TableResult[PartsRow]
	CallsEnded        []CallEnded
	OrdersEnded       []OrderEnded
	Drains            []Drain
	Resets            []Reset
	Shutdowns         []Shutdown
	Limits            []Limits // after changes of the settings; the last one takes effect
}

// Arrival is a new request or application call. Request has only the fields set that are known on arrival.
type Arrival struct {
	Request Request
}

// CallerDisconnect reports that the caller closed its connection before the answer was complete.
type CallerDisconnect struct {
	Request RequestID
}

// Progress reports the tokens that an attempt has delivered to the caller.
type Progress struct {
	Attempt      AttemptID
	Tokens       int       // delivered by this attempt so far
	FirstTokenAt time.Time // of the request; zero before it
	LargestGap   time.Duration
	Resumed      bool // a session of the attempt was resumed; its gaps do not measure load
}

// Stall reports that an attempt on a full path receives no events because a backend server does not answer.
type Stall struct {
	Attempt   AttemptID
	Server    BackendServerID
	Unmovable bool // the first stage does not answer, or a move did not help: only another attempt can go on
	Session   bool // the attempt has a session on each stage; the stage may only be slow

	// RefusedMove is the number of the move that was refused, so that the attempt is on its path before; 0 for none. Server
	// is 0 if the attempt does not wait any more.
	RefusedMove int
	RefusedBy   BackendServerID // its new stage that is not there or has no capacity; 0 if it is not known
}

// AttemptEnded reports the end of an attempt.
type AttemptEnded struct {
	Attempt      AttemptID
	Reason       rockreason.Code // empty for a complete answer
	FailedServer BackendServerID // backend server of the failed stage, or 0
	Crashed      bool            // the stage's connection was lost or refused while work ran there
	Foreign      bool            // another server answered at the address of the failed backend server
	TooLong      bool            // a message of the failed backend server exceeded the largest size that is allowed
	Tokens       int             // delivered by this attempt
	FirstTokenAt time.Time
	LargestGap   time.Duration
	RoundTrips   []RoundTrip
	Resumed      bool // as in Progress
}

// RoundTrip is a measured network round trip to a backend server.
type RoundTrip struct {
	Server BackendServerID
	Time   time.Duration
}

// ProbeResult is the answer to a probe of a backend server.
type ProbeResult struct {
	Server    BackendServerID
	OK        bool
	Status    EngineStatus
	RoundTrip time.Duration
}

// HostList is the platform's host list as read or pushed.
type HostList struct {
	OK      bool
	Pushed  bool   // sent by the platform at each change; backend servers that are missing have left
	Era     uint64 // of the platform's store when it was pushed; 0 if it is not known
	Entries []ListedHost
}

// ListedHost is one entry of the platform's host list.
type ListedHost struct {
	Name       string `json:"name"`
	Role       string `json:"role"` // entry, model or application
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	Region     string `json:"region"`
	State      string `json:"state"` // live or leaving

	Service string        `json:"service,omitempty"` // service or pipeline that the backend server belongs to
	Status  *EngineStatus `json:"status,omitempty"`  // report carried by the list, which replaces probes

	Version  uint64 `json:"-"` // of the entry in the platform's store
	Sequence uint64 `json:"-"` // counts what the backend server wrote since its start; 0 if it is not known
}

// ConfigPush is a configuration that the platform pushed when it changed.
type ConfigPush struct {
	Version       uint64
	Configuration Configuration
}

// PeerMessage is a gossip message from one host to another.
type PeerMessage struct {
	Sender            string
	Address           string
	DataCentre        string
	Region            string
	Incarnation       uint64
	Heartbeat         uint64
	State             State
	InFlight          int
	ConfigVersion     uint64
	Configuration     *ConfigRow // present if the receiver asked for it or is known to lack it
	WantConfiguration bool
	WantState         bool   // the sender has started and lacks what the hosts know
	FullState         bool   // the rows are all that the sender knows
	Reply             bool   // expects no answer; Loads and Demands are not set, and the last reported ones stay valid
	ReportsWork       bool   // Work is complete even if Reply is set
	LostLeaseEra      uint64 // of LostLeaseVersion
	LostLeaseVersion  uint64 // version of the lease row when the sender's lease expired; 0 if it did not
	Hosts             []HostUpdate
	Servers           []ServerUpdate
	Loads             []LoadUpdate
	Demands           []DemandUpdate
	Suspects          []SuspectUpdate
	Work              []SuspectWork
	Parts             []PartUpdate // of prompts
	FollowsStore      bool         // the sender reads changes of the followed tables from the platform's store
	StoreLost         bool         // its last read failed, or is overdue
	StoreReached      bool         // its last read succeeded; neither is set before its first read has ended
	Tables            []TableUpdate
	TableRequests     []TableRequest
}

// ReportsLoad reports whether Loads and Demands are complete: those that are missing are zero.
func (m PeerMessage) ReportsLoad() bool { return !m.Reply && !m.WantConfiguration }

// HostUpdate reports the row of a host.
type HostUpdate struct {
	Name          string
	Address       string
	DataCentre    string
	Region        string
	Incarnation   uint64
	Heartbeat     uint64
	State         State
	ConfigVersion uint64
}

// ServerUpdate reports the row of a backend server.
type ServerUpdate struct {
	Name       string
	Address    string // empty if the receiver is expected to know it
	DataCentre string
	Region     string
	Role       BackendRole
	State      State
	Drained    bool
	StatusSeq  uint64
	Status     EngineStatus
}

// LoadUpdate reports the sender's present use of a backend server.
type LoadUpdate struct {
	Server             string
	InFlight           int
	FirstStageInFlight int     // attempts that have it as their first stage
	ReservedMemory     float64 // tokens x layers
}

// DemandUpdate reports how many tokens per second a caller requests from the sender.
type DemandUpdate struct {
	Caller string
	Rate   float64
}

// SuspectUpdate reports a suspect or quarantined request content.
type SuspectUpdate struct {
	Fingerprint  uint64
	Crashes      []uint64
	AloneCrashes int
	Quarantined  bool
	Remaining    time.Duration // until it expires; a duration, because hosts' clocks differ
}

// SuspectWork reports the sender's present work on a suspect.
type SuspectWork struct {
	Fingerprint uint64
	Signs       int      // signs of crashes that are not confirmed yet
	Servers     []string // backend servers on which it runs alone, or waits for other work to end
	Running     bool     // it runs on them
}

// PeerFailure reports that a message could not be delivered to a peer.
type PeerFailure struct {
	Host HostID
}

// ConfigChange is an operator's request to activate a configuration.
type ConfigChange struct {
	ChangeID        string // chosen by the operator's client
	ExpectedVersion uint64
	Configuration   Configuration
}

// TableStatus is the result of an operation on the table service.
type TableStatus uint8

// The results of an operation on the table service.
const (
	TableOK             TableStatus = iota
	TableConflict                   // the row has another version; nothing was written
	TableOutcomeUnknown             // a write may or may not have taken effect
	TableUnavailable                // the operation did not reach the service
)

// TableResult is the result of a TableOp, with the stored row if it is known.
type TableResult[T any] struct {
	Op      uint64
	Key     string
	Write   bool
	Status  TableStatus
	Found   bool
	Era     uint64 // of the store that answered; 0 if it did not tell
	Version uint64
	Row     T
}

// CallEnded reports the end of a run of an application call on a backend server.
type CallEnded struct {
	Request     RequestID
	Server      BackendServerID
	Run         int             // of the CallStart
	Reason      rockreason.Code // empty when the backend server answered
	Sent        bool            // the call may have reached the backend server
	Status      int
	ContentType string
	Body        []byte
	Crashed     bool
	TooLong     bool // the answer exceeded the largest size that is allowed
	AnswerBegun bool // a part of the answer has reached the caller, so that no other one can follow
	Foreign     bool // another server answered at the address of the backend server
}

// OrderEnded reports the answer to an order.
type OrderEnded struct {
	Server  BackendServerID
	Fencing uint64
	OK      bool
	Refused bool // the engine rejected the fencing number
	Foreign bool // what answers at the address of the engine is none; nothing was ordered
}

// Drain stops new work to a backend server, or lifts an earlier drain.
type Drain struct {
	Server string
	Lift   bool
}

// Reset lifts the quarantine of a request content.
type Reset struct {
	Fingerprint uint64
}

// Shutdown starts the graceful shutdown of this host.
type Shutdown struct{}
