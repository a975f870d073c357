package rocktable

import "time"

// State is the lifecycle state of a host or backend server.
type State uint8

// The states of hosts and backend servers.
const (
	StateUnknown State = iota // listed, but no heartbeat or report received yet
	StateLive
	StateLeaving // receives no new work
	StateDown    // failed its probes or heartbeats
)

// String returns the state's name as used in logs and messages.
func (s State) String() string {
	return [...]string{"unknown", "live", "leaving", "down"}[s]
}

// Host is an entry host: this one or a peer.
type Host struct {
	ID            HostID
	Name          string
	Address       string // IP and UDP port of the peer protocol
	DataCentre    DataCentreID
	Self          bool
	State         State
	Listed        bool      // in the platform's list
	Incarnation   uint64    // rises with each start of the daemon
	Heartbeat     uint64    // highest heartbeat number received, directly or through peers
	HeartbeatAt   time.Time // when Heartbeat last rose
	ConfigVersion uint64
	ChangeSeq     uint64 // World.ChangeSeq at the last change to report to peers
	NextSend      time.Time
	InFlight      int  // attempts, as last reported by the host
	ListedLeaving bool // the platform's list last marked it as leaving

	// Messages exchanged with this host.
	MessageReceived   bool      // its present incarnation has sent a message to this host directly
	HeartbeatRelays   int       // times that this host relayed the present Heartbeat
	MessageSentAt     time.Time // last message from this host to it
	MessageReceivedAt time.Time // last message from it to this host

	// Contents of its last messages that carry them.
	ReportedLoads   []LoadUpdate
	ReportedDemands []DemandUpdate
	ReportedWork    []SuspectWork
	LoadReportedAt  time.Time // of ReportedLoads and ReportedDemands; zero if its present incarnation reported none
	WorkReportedAt  time.Time // of ReportedWork
}

// DataCentre is a data centre and its region.
type DataCentre struct {
	ID     DataCentreID
	Name   string
	Region string

	// Circuit breaker of the whole data centre.
	RecentFailures   []ServerFailure // of its backend servers, within rockretry's window for data centres
	BreakerTrips     int             // openings since the last success
	BreakerTrippedAt time.Time
	BreakerOpenUntil time.Time // no work is sent there until then if others cover the layers
}

// ServerFailure records that this host could not connect to a backend server or lost its connection.
type ServerFailure struct {
	Server BackendServerID
	At     time.Time
}
