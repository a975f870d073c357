package rocktable

import "time"

// BackendRole is the kind of work that a backend server does.
type BackendRole uint8

// The roles of backend servers.
const (
	RoleModel BackendRole = iota
	RoleApplication
)

// BackendServer is a model runner, an application runner or a server of a plain service.
type BackendServer struct {
	ID            BackendServerID
	Name          string
	Address       string // IP and TCP port
	DataCentre    DataCentreID
	Role          BackendRole
	ListedService string // service or pipeline that the platform's list names for it; empty if it names none
	Kind          string // kind of accelerator
	Listed        bool   // in the platform's list
	State         State
	LeavingSince  time.Time // when this host first learned that it leaves
	Drained       bool      // leaving because an operator drained it
	Incarnation   uint64    // changes with each start of the backend server

	// Last status report, which lags behind the backend server.
	Status    EngineStatus
	StatusAt  time.Time // when this host received Status
	StatusSeq uint64    // orders reports; set by the prober

	// Load of this host's attempts and, as last reported by peers, of theirs.
	InFlight               int // attempts of this host
	PeerInFlight           int
	FirstStageInFlight     int // attempts of this host that have it as their first stage
	PeerFirstStageInFlight int
	ReservedMemory         float64 // tokens x layers
	PeerReservedMemory     float64 // tokens x layers
	InFlightAtReport       int     // InFlight when Status was received
	OtherSessionsAtReport  int     // active and queued sessions in Status, less InFlightAtReport

	// Limits on what this host sends to it.
	ConcurrencyLimit float64       // attempts of this host; 0 until the first decrease
	RoundTrip        time.Duration // of the network, measured by probes and attempts
	ExclusiveRequest RequestID     // suspect that must run alone here, or 0
	PeerExclusive    bool          // a peer runs a suspect alone here, or is about to and takes precedence
	LimitReducedAt   time.Time     // last decrease of ConcurrencyLimit
	MemoryRefusalAt  time.Time     // last refusal that may be due to a lack of memory; zero if there was none
	MemoryAtRefusal  float64       // ReservedMemory and PeerReservedMemory at that time

	// UsableMemory is the fraction of its memory for requests that the hosts can use, learned from refusals; 0 until the
	// first one. It concerns one start of the backend server.
	UsableMemory            float64
	UsableMemoryAt          time.Time // last change
	UsableLoweredAt         time.Time // last decrease
	UsableMemoryIncarnation uint64
	ReservedAtReport        float64 // ReservedMemory when the share of this host was last derived, tokens x layers
	ShareDerivedAt          time.Time

	// Failed attempts of this host.
	ConnectionFailed  bool      // an attempt could not connect or lost its connection; no report has arrived since
	FailureFraction   float64   // fraction of this host's recent attempts that failed because of it
	FailureFractionAt time.Time // last update of FailureFraction

	// Signs of crashes, which rockcrash confirms or rejects.
	CrashSuspectedAt time.Time        // latest sign of a crash that is not confirmed yet; zero if there is none
	CrashIncarnation uint64           // incarnation that is suspected to have crashed
	CrashCandidates  []CrashCandidate // request contents that were in flight when the signs appeared
	ConfirmedCrashAt time.Time        // latest sign of the last confirmed crash, which was of CrashIncarnation

	// Circuit breaker.
	BreakerTrips     int // openings since the last success
	BreakerTrippedAt time.Time
	BreakerOpenUntil time.Time // no work is sent until then if others cover its layers

	Foreign ForeignAnswers

	RetryBudget  float64 // retries earned less retries caused; rockretry adds an allowance
	Probing      bool    // this host is one of its probers
	ProbePending bool
	NextProbe    time.Time
	FailedProbes int    // in a row
	ChangeSeq    uint64 // World.ChangeSeq at the last change to report to peers

	// Its entry in the platform's list, where the list is pushed from a store.
	ListedEra         uint64 // of the store when its entry was last read; 0 before
	ListedVersion     uint64 // of that entry in the store
	ListedOld         bool   // that entry is older than an earlier one, and was ignored
	ListedIncarnation uint64 // of the newest entry
	ListedSequence    uint64 // of the newest entry, which the backend server counts
	UnlistedEra       uint64 // of the store when the list last lacked it; 0 if it never did

	ListedLeaving   bool      // the platform's list last marked it as leaving
	RemovedFromList bool      // leaving because the platform removed it from its list
	LoadAtChange    int       // active and queued sessions when ChangeSeq was last raised for a report
	RemovableSince  time.Time // since when it has been down or departed, not listed and unused; zero otherwise
}

// ForeignAnswers counts the answers to this host's requests that came from another server at the address of a backend
// server. They concern one address and one start of the backend server.
type ForeignAnswers struct {
	Address     string
	Incarnation uint64
	Count       int       // since the last proved answer
	ClosedUntil time.Time // no work is sent until then
}

// CrashCandidate is a request content that was in flight on a backend server when a sign of a crash appeared.
type CrashCandidate struct {
	Fingerprint uint64
	CrashID     uint64 // the same at all hosts that had work in flight there
	RanAlone    bool
}

// EngineStatus is the status report of an engine: what it runs, its capacity and its load.
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
	TokensPerSecond float64 `json:"tokensPerSecond"` // over its layer range, with all slots busy
	Incarnation     uint64  `json:"incarnation"`
	State           string  `json:"state"` // live or leaving
	Fencing         uint64  `json:"fencing"`
	ChecksFencing   bool    `json:"checksFencing"`
	SubRanges       bool    `json:"subRanges"` // a session may begin after FirstLayer
	Resume          bool    `json:"resume"`    // a session can be resumed after its stream was lost
	Sequence        uint64  `json:"sequence"`  // orders accepted since its start; an order may state the expected one
}

// IsWithin reports whether the range of layers is not empty and lies within a model with the given number of layers.
func (s *EngineStatus) IsWithin(layers int) bool {
	return 0 <= s.FirstLayer && s.FirstLayer <= s.LastLayer && s.LastLayer < layers
}

// Pipeline is a model whose layers are spread over backend servers.
type Pipeline struct {
	ID               PipelineID
	Config           PipelineConfig
	RemovedAt        time.Time     // when a configuration without it was activated; zero while it is configured
	Waiting          int           // queued requests of all ranks
	CapacityFreed    bool          // capacity may have become free since PathSearchAt
	PathSearchAt     time.Time     // last search for paths for queued requests
	NoPathSince      time.Time     // since when live backend servers do not cover every layer; zero while they do
	AloneRequests    []RequestID   // suspects that run alone or wait for reserved backend servers
	Backlogged       bool          // the last search found no path with free capacity for some request
	BacklogUpdatedAt time.Time     // last update of BacklogSeconds and BacklogTokens
	BacklogSeconds   float64       // time with a backlog, decaying
	BacklogTokens    float64       // tokens started during BacklogSeconds, decaying
	FirstTokenDelay  time.Duration // from the start of an attempt to its first token, smoothed
	RunTime          time.Duration // from the start of an only attempt to the end of its answer, smoothed

	// FirstTokenWindow is the number of attempts of this host that may wait for their first token at the same time. It is
	// 0 until one waited for too long.
	FirstTokenWindow     float64
	FirstTokenWindowedAt time.Time // last decrease
	LateShare            float64   // share of the recent first tokens that came late or did not come yet, smoothed
	PathFailedAt         time.Time // last attempt of this host that met a backend server that did not answer
}

// PrefixHint lists the backend servers that recently ran a prompt prefix. An engine may have evicted the prefix since.
type PrefixHint struct {
	Servers []BackendServerID
}

// Service is an application or a plain service.
type Service struct {
	ID           ServiceID
	Config       ServiceConfig
	RemovedAt    time.Time     // when a configuration without it was activated; zero while it is configured
	ServerCursor int           // position in the list of backend servers at which the next choice begins
	RunTime      time.Duration // smoothed time of its calls that ended with an answer; 0 until one has
}
