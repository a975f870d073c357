package rocktable

import "time"

// State is the lifecycle state of a host or backend server.
type State uint8

// The states of hosts and backend servers.
const (
	StateUnknown State = iota // listed, never heard
	StateLive
	StateLeaving // gets no new work
	StateDown    // failed its probes or heartbeats
)

// String returns the state's name as used in logs and messages.
func (s State) String() string {
	return [...]string{"unknown", "live", "leaving", "down"}[s]
}

// Host is an entry host: this one or a peer.
type Host struct {
	ID                HostID
	Name              string
	Address           string // IP and UDP port of the peer protocol
	DataCentre        DataCentreID
	Self              bool
	State             State
	Listed            bool   // in the platform's list
	Incarnation       uint64 // rises with each start of the daemon
	Heartbeat         uint64 // highest heartbeat number heard, directly or through peers
	HeartbeatAt       time.Time
	ConfigVersion     uint64
	ChangeSeq         uint64 // World.ChangeSeq of the last change that peers should learn
	NextSend          time.Time
	InFlight          int
	ListedLeaving     bool           // the platform's list last said that it is leaving
	MessageReceived   bool           // told its configuration version to this host directly
	HeartbeatRelays   int            // times that this host told its heartbeat number to others
	MessageSentAt     time.Time      // of this host's last message to it
	MessageReceivedAt time.Time      // of its last message to this host
	ReportedLoads     []LoadUpdate   // of its last message
	ReportedDemands   []DemandUpdate // of its last message
	ReportedWork      []SuspectWork  // of its last message
}

// DataCentre is a data centre and its region.
type DataCentre struct {
	ID     DataCentreID
	Name   string
	Region string

	RecentFailures   []ServerFailure // circuit breakers of its backend servers that opened in the last seconds
	BreakerTrips     int             // of its own circuit breaker since the last success
	BreakerTrippedAt time.Time
	BreakerOpenUntil time.Time // no work goes there until then if others cover it
}

// ServerFailure is a backend server that this host could not use.
type ServerFailure struct {
	Server BackendServerID
	At     time.Time
}
