package rocktable

import (
	"time"

	"sassafrasrock/core/rockreason"
)

// Inbox holds the events of one tick, one slice for each type.
type Inbox struct {
	Arrivals      []Arrival
	CallerGone    []CallerGone
	Progress      []Progress
	Ended         []Ended
	Stalls        []Stall
	Probes        []ProbeResult
	HostLists     []HostList
	ConfigPushes  []ConfigPush
	Peers         []PeerMessage
	PeerFailures  []PeerFailure
	ConfigChanges []ConfigChange
	ConfigResults []TableResult[ConfigRow]
	LeaseResults  []TableResult[LeaseRow]
	ClaimResults  []TableResult[ClaimRow]
	CallsEnded    []CallEnded
	OrdersEnded   []OrderEnded
	Drains        []Drain
	Resets        []Reset
	Shutdowns     []Shutdown
	Limits        []Limits // of settings that changed; the last one counts
}

// Arrival is a new request or application call; Request holds what is known from its content.
type Arrival struct {
	Request Request
}

// CallerGone says that the caller closed its connection before the answer was whole.
type CallerGone struct {
	Request RequestID
}

// Progress reports tokens that an attempt delivered to the caller since the last report.
type Progress struct {
	Attempt    AttemptID
	Tokens     int       // delivered by this attempt so far
	FirstToken time.Time // of the request; zero before it
	LargestGap time.Duration
	Resumed    bool // a session of the attempt was resumed, so that a gap says nothing about the load
}

// Stall reports that an attempt on a whole path gets no events because a backend server does not answer.
type Stall struct {
	Attempt AttemptID
	Server  BackendServerID
}

// Ended reports the end of an attempt.
type Ended struct {
	Attempt      AttemptID
	Reason       rockreason.Code // empty when the answer is whole
	FailedServer BackendServerID // stage at fault, or 0
	Crashed      bool            // the stage's connection was lost or refused while work ran there
	Tokens       int             // delivered by this attempt
	FirstToken   time.Time
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

// HostList is an answer of the platform's host list.
type HostList struct {
	OK      bool
	Pushed  bool // by the platform at each change; an entry that is missing has left
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
	Status  *EngineStatus `json:"status,omitempty"`  // report that the list carries, so that it need not be probed
}

// ConfigPush is a configuration that the platform sent at its change.
type ConfigPush struct {
	Version       uint64
	Configuration Configuration
}

// PeerMessage is what one host tells another.
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
	Configuration     *ConfigRow // sent when the receiver asked for it or is known to lack it
	WantConfiguration bool
	Reply             bool   // an answer is not expected
	LostLeaseVersion  uint64 // version of the lease row with which the sender's lease ended without a renewal; 0 if it did not
	Hosts             []HostUpdate
	Servers           []ServerUpdate
	Loads             []LoadUpdate
	Demands           []DemandUpdate
	Suspects          []SuspectUpdate
	Work              []SuspectWork
}

// HostUpdate is a change of a host row.
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

// ServerUpdate is a change of a backend server row.
type ServerUpdate struct {
	Name       string
	Address    string // empty where the receiver is expected to know it
	DataCentre string
	Region     string
	Role       BackendRole
	State      State
	Drained    bool
	StatusSeq  uint64
	Status     EngineStatus
}

// LoadUpdate tells how many attempts of the sender use a backend server now.
type LoadUpdate struct {
	Server             string
	InFlight           int
	FirstStageInFlight int     // attempts whose first stage it is
	ReservedMemory     float64 // reserved there, in tokens x layers
}

// DemandUpdate tells how many tokens per second a caller asks of the sender.
type DemandUpdate struct {
	Caller string
	Rate   float64
}

// SuspectUpdate is a suspect or quarantined request content.
type SuspectUpdate struct {
	Fingerprint  uint64
	Crashes      []uint64
	AloneCrashes int
	Quarantined  bool
	Remaining    time.Duration // until it expires; durations travel, clocks do not
}

// SuspectWork tells what the sender does with a suspect now.
type SuspectWork struct {
	Fingerprint uint64
	Signs       int      // signs of crashes that are not confirmed yet
	Servers     []string // backend servers on which it runs alone, or waits for other work to end
	Running     bool     // it runs on them
}

// PeerFailure says that a message could not be handed to a peer.
type PeerFailure struct {
	Host HostID
}

// ConfigChange is an operator's request to put a configuration in force.
type ConfigChange struct {
	ChangeID        string // change id, chosen by the operator's client
	ExpectedVersion uint64
	Configuration   Configuration
}

// TableStatus is how an operation on the table service ended.
type TableStatus uint8

// The ends of an operation on the table service.
const (
	TableOK          TableStatus = iota
	TableConflict                // the row has another version; nothing was written
	TableUnclear                 // a write may or may not have taken effect
	TableUnavailable             // the operation did not reach the service
)

// TableResult is the end of a TableOp with the row as stored, where it is known.
type TableResult[T any] struct {
	Op      uint64
	Key     string
	Write   bool
	Status  TableStatus
	Found   bool
	Version uint64
	Row     T
}

// CallEnded reports the end of the one run of an application call.
type CallEnded struct {
	Request RequestID
	Server  BackendServerID
	Reason  rockreason.Code // empty when the backend server answered
	Sent    bool            // the call may have reached the backend server
	Status  int
	Type    string
	Body    []byte
	Crashed bool
}

// OrderEnded reports the answer to an order.
type OrderEnded struct {
	Server  BackendServerID
	Fencing uint64
	OK      bool
	Refused bool // the engine refused the fencing number
}

// Drain asks that a backend server gets no new work, or lifts that.
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
