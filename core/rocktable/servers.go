package rocktable

import "time"

// BackendRole tells what a backend server runs.
type BackendRole uint8

// The roles of backend servers.
const (
	RoleModel BackendRole = iota
	RoleApplication
)

// BackendServer is a model runner, an application runner or a plain service's server.
type BackendServer struct {
	ID            BackendServerID
	Name          string
	Address       string // IP and TCP port
	DataCentre    DataCentreID
	Role          BackendRole
	ListedService string // service or pipeline for which the platform lists it, if it says so
	Kind          string // kind of accelerator
	Listed        bool
	State         State
	LeavingSince  time.Time // first word of leaving at this host
	Drained       bool      // leaving by an operator's order
	Incarnation   uint64    // changes with each start of the backend server

	Status                 EngineStatus // last report, which lags
	StatusAt               time.Time    // when this host took the report over
	StatusSeq              uint64       // order of reports, set by the prober
	InFlight               int          // attempts of this host that use it now
	PeerInFlight           int          // attempts of peers that use it now, as they told
	FirstStageInFlight     int          // attempts of this host whose first stage it is
	PeerFirstStageInFlight int          // the same of peers, as they told
	ReservedMemory         float64      // memory of this host's attempts, in tokens x layers
	PeerReservedMemory     float64      // memory of peers' attempts, as they told
	InFlightAtReport       int          // InFlight at the time of the last report
	OtherSessionsAtReport  int          // sessions in the last report less Own
	ConcurrencyLimit       float64      // concurrency limit of this host, in attempts; 0 until the first decrease
	RoundTrip              time.Duration
	ExclusiveRequest       RequestID // suspect that must run alone here, or 0
	PeerExclusive          bool      // a peer runs a suspect alone here, or is about to and comes before this host
	LimitReducedAt         time.Time // last decrease of Limit
	MemoryRefusalAt        time.Time // last refusal for want of memory; zero if there was none
	MemoryAtRefusal        float64   // that this host and its peers were known to have reserved then

	ConnectionFailed  bool      // an attempt of this host could not reach it or lost its connection, and no report came since
	FailureFraction   float64   // part of the recent attempts of this host that failed because of it
	FailureFractionAt time.Time // last change of Failures

	CrashSuspectedAt time.Time        // first sign of a crash that is not confirmed yet; zero if there is none
	CrashIncarnation uint64           // incarnation that is thought to have crashed
	CrashCandidates  []CrashCandidate // work that was in flight at that time
	ConfirmedCrashAt time.Time        // last sign of the last confirmed crash, of CrashIncarnation

	BreakerTrips     int       // of the circuit breaker: connections lost or refused since the last success
	BreakerTrippedAt time.Time // last trip
	BreakerOpenUntil time.Time // the circuit breaker is open: no work until then if others cover its layers

	RetryBudget  float64 // retries earned less retries caused; rockretry adds an allowance
	Probing      bool    // this host is one of its probers
	ProbePending bool    // a probe is out
	NextProbe    time.Time
	FailedProbes int
	ChangeSeq    uint64 // World.ChangeSeq of the last change that peers should learn

	ListedLeaving   bool      // the platform's list last said that it is leaving
	RemovedFromList bool      // it left because the platform's list no longer had it
	LoadAtChange    int       // active and queued sessions when Changed last rose
	GoneSince       time.Time // zero unless it is down
}

// CrashCandidate is a request content that was in flight on a backend server that may have crashed.
type CrashCandidate struct {
	Fingerprint uint64
	CrashID     uint64 // identity of the crash
	RanAlone    bool   // ran alone there
}

// EngineStatus is the load and content that an engine reports.
type EngineStatus struct {
	Name            string  `json:"name"`
	Kind            string  `json:"kind"`
	Model           string  `json:"model"`
	Version         string  `json:"version"`
	FirstLayer      int     `json:"firstLayer"`
	LastLayer       int     `json:"lastLayer"` // inclusive
	Slots           int     `json:"slots"`
	Active          int     `json:"active"`
	Queued          int     `json:"queued"`
	TokensPerSecond float64 `json:"tokensPerSecond"` // over its layer range, all slots busy
	Incarnation     uint64  `json:"incarnation"`
	State           string  `json:"state"` // live or leaving
	Fencing         uint64  `json:"fencing"`
	ChecksFencing   bool    `json:"checksFencing"`
	SubRanges       bool    `json:"subRanges"` // a session may begin after FirstLayer
	Resume          bool    `json:"resume"`    // a session whose stream was lost can be resumed
	Sequence        uint64  `json:"sequence"`  // orders that it accepted since its start; an order may name the number it expects
}

// Pipeline is a model carried over layer ranges.
type Pipeline struct {
	ID               PipelineID
	Config           PipelineConfig
	Waiting          int           // queued requests of all ranks
	CapacityFreed    bool          // a place may have become free since TriedAt
	PathSearchAt     time.Time     // last search for places
	NoPathSince      time.Time     // since when no live backend servers cover every layer; zero if they do
	AloneRequests    []RequestID   // suspects that run alone or wait for reserved backend servers
	Backlogged       bool          // requests found no free place in the last search
	BacklogUpdatedAt time.Time     // time of the last update of BusyTime
	BacklogSeconds   float64       // seconds with a backlog, decaying
	BacklogTokens    float64       // tokens started in BusyTime, decaying
	FirstTokenDelay  time.Duration // from the start of an attempt to its first token, smoothed
}

// PrefixHint tells which backend servers recently ran a prompt prefix. It is a hint: the engine may have dropped the prefix.
type PrefixHint struct {
	Servers []BackendServerID
}

// Service is an application or a plain service.
type Service struct {
	ID           ServiceID
	Config       ServiceConfig
	ServerCursor int // position of the last choice among equals
}
