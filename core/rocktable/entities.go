package rocktable

import "time"

// HostID identifies an entry host within one World.
type HostID int32

// DataCentreID identifies a data centre within one World.
type DataCentreID int32

// BackendServerID identifies a backend server within one World.
type BackendServerID int32

// CallerID identifies a caller within one World.
type CallerID int32

// RankID is the position of a rank in the configuration; rank 0 is the most urgent.
type RankID int32

// NoRank is the rank of application calls, which are not queued by rank.
const NoRank RankID = -1

// PipelineID identifies a pipeline within one World.
type PipelineID int32

// ServiceID identifies an application or plain service within one World.
type ServiceID int32

// RequestID identifies a request or call within one World and is never reused.
type RequestID uint64

// AttemptID identifies one run of a request on a path and is never reused.
type AttemptID uint64

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
	ID            HostID
	Name          string
	Address       string // IP and UDP port of the peer protocol
	DataCentre    DataCentreID
	Self          bool
	State         State
	Listed        bool   // in the platform's list
	Incarnation   uint64 // rises with each start of the daemon
	Heartbeat     uint64 // highest heartbeat number heard, directly or through peers
	HeardAt       time.Time
	ConfigVersion uint64
	Changed       uint64 // World.ChangeSeq of the last change that peers should learn
	NextSend      time.Time
	InFlight      int
	ListedLeaving bool         // the platform's list last said that it is leaving
	Told          bool         // told its configuration version to this host directly
	Relayed       int          // times that this host told its heartbeat number to others
	SentAt        time.Time    // of this host's last message to it
	ToldAt        time.Time    // of its last message to this host
	Sent          []SentNews   // of its last message
	Demand        []DemandNews // of its last message
}

// DataCentre is a data centre and its region.
type DataCentre struct {
	ID     DataCentreID
	Name   string
	Region string
}

// BackendRole tells what a backend server runs.
type BackendRole uint8

// The roles of backend servers.
const (
	RoleModel BackendRole = iota
	RoleApplication
)

// BackendServer is a model runner, an application runner or a plain service's server.
type BackendServer struct {
	ID           BackendServerID
	Name         string
	Address      string // IP and TCP port
	DataCentre   DataCentreID
	Role         BackendRole
	Kind         string // kind of accelerator
	Listed       bool
	State        State
	LeavingSince time.Time // first word of leaving at this host
	Drained      bool      // leaving by an operator's order
	Incarnation  uint64    // changes with each start of the backend server

	Status     EngineStatus // last report, which lags
	StatusAt   time.Time    // when this host took the report over
	StatusSeq  uint64       // order of reports, set by the prober
	SentSince  int          // starts by this host since the report
	PeerSent   int          // starts by peers since the report, as they told
	InFlight   int          // attempts of this host that use it now
	PeerFlight int          // attempts of peers that use it now, as they told
	Own        int          // InFlight at the time of the last report
	Others     int          // sessions in the last report less Own
	Limit      float64      // concurrency limit of this host, in attempts; 0 until the first decrease
	RoundTrip  time.Duration
	Exclusive  RequestID // suspect that must run alone here, or 0
	CutAt      time.Time // last decrease of Limit

	Unreached  bool      // an attempt of this host could not reach it or lost its connection, and no report came since
	Failures   float64   // part of the recent attempts of this host that failed because of it
	FailuresAt time.Time // last change of Failures

	CrashAt          time.Time    // first sign of a crash that is not confirmed yet; zero if there is none
	CrashIncarnation uint64       // incarnation that is thought to have crashed
	CrashPrints      []CrashPrint // work that was in flight at that time
	CrashedAt        time.Time    // when the last crash was confirmed, of CrashIncarnation

	Strikes   int       // connections lost or refused since the last success
	StruckAt  time.Time // last strike
	RestUntil time.Time // gets no work until then if others cover its layers

	RetryBudget  float64 // retries earned less retries caused; rockretry adds an allowance
	Probing      bool    // this host is one of its probers
	ProbeSent    bool    // a probe is out
	NextProbe    time.Time
	FailedProbes int
	Changed      uint64 // World.ChangeSeq of the last change that peers should learn

	ListedLeaving bool      // the platform's list last said that it is leaving
	ToldLoad      int       // active and queued sessions when Changed last rose
	DownSince     time.Time // zero unless it is down
}

// CrashPrint is a request content that was in flight on a backend server that may have crashed.
type CrashPrint struct {
	Fingerprint uint64
	Alone       bool // ran alone there
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
}

// Caller is an organisation that sends requests.
type Caller struct {
	ID          CallerID
	Config      CallerConfig
	Bucket      float64 // tokens that may be admitted now
	BucketAt    time.Time
	Demand      float64 // tokens per second asked of this host, smoothed
	PeerDemand  float64 // tokens per second asked of peers, as they told
	RetryBudget float64 // retries earned less retries used; rockretry adds an allowance
	DemandAt    time.Time
}

// Share holds the service that one caller got in one rank, and its waiting requests.
type Share struct {
	Served  float64 // tokens divided by the caller's weight
	Waiting int     // queued requests
	Queued  float64 // tokens of queued requests
	HeavyAt int     // position in Rank.Heaviest plus one; 0 when absent
	Lines   []Line
}

// Line is the queue of one caller in one lane.
type Line struct {
	Pipeline PipelineID
	Queue    []RequestID // in order of arrival; entries of requests that left are skipped
	Waiting  int
	HeapAt   int // position in Lane.Callers plus one; 0 when absent
}

// ShareKey identifies the share of a caller in a rank.
type ShareKey struct {
	Rank   RankID
	Caller CallerID
}

// Lane is the waiting work of one rank for one pipeline. Pipelines use different backend servers, so that floors and expected waits apply to each lane.
type Lane struct {
	Waiting   int
	Queued    float64     // tokens of queued requests
	Started   float64     // tokens started, decaying over the floor window
	StartedAt time.Time   // time of the last decay
	Callers   []CallerID  // heap of callers with waiting requests, fewest tokens served first
	Front     []RequestID // requeued requests and suspects, which go before the callers' lines
}

// LaneKey identifies a lane.
type LaneKey struct {
	Rank     RankID
	Pipeline PipelineID
}

// Rank is a class of work with a target and a worth.
type Rank struct {
	ID       RankID
	Config   RankConfig
	Waiting  int         // queued requests
	MinServe float64     // highest counter of a caller that was chosen; the floor for callers that return when nobody waits
	Heaviest []CallerID  // heap of callers with waiting requests, most requests first
	Expiry   []RequestID // requests in order of arrival, to find those that waited too long
}

// RequestState is the progress of a request.
type RequestState uint8

// The states of requests.
const (
	RequestQueued RequestState = iota
	RequestRunning
	RequestClaiming // application call whose claim row is being written
	RequestSettling // application call whose outcome row is being written
	RequestDone
)

// Request is a model request or an application call that this host took.
type Request struct {
	ID          RequestID
	Caller      CallerID
	Rank        RankID
	Pipeline    PipelineID
	Arrived     time.Time
	State       RequestState
	Prompt      int // tokens
	MaxTokens   int
	Fingerprint uint64   // of the content
	Prefix      []uint64 // hashes of the prompt's prefixes, one for each block
	Epoch       uint32   // of the current attempt
	Attempt     AttemptID
	Attempts    int
	Tokens      int // tokens delivered to the caller
	FirstToken  time.Time
	LargestGap  time.Duration
	Charged     float64 // tokens charged to the caller's share
	Avoid       []BackendServerID
	MayHaveRun  bool // was handed to a backend server that did not say that it did not start
	Requeued    bool // goes before new requests of its rank
	Alone       bool // suspect: runs alone on its backend servers

	RanBefore bool // an earlier attempt may have run

	Estimate float64   // tokens that it was counted with while it waited
	Waiting  bool      // in a queue
	InFront  bool      // in Lane.Front
	QueuedAt time.Time // last time it entered a queue

	Call *Call // set for application calls
}

// Call is the part of a Request that only application calls have.
type Call struct {
	Service     ServiceID
	Runs        int // times it was handed to a backend server
	Method      string
	Path        string
	Idempotent  bool
	Key         string // caller's idempotency key
	Digest      uint64 // of method, path and body, to refuse a key used for something else
	ClaimKey    string // key of the claim row
	AttemptName string // written in the claim row
	Claim       ClaimState
	Version     uint64 // of the claim row
	Deadline    time.Time
	Retry       time.Time // next read of the claim row
	Outcome     ClaimRow  // what is to be recorded
}

// ClaimState is the progress of the claim of an application call.
type ClaimState uint8

// The states of a claim.
const (
	ClaimNone ClaimState = iota
	ClaimWriting
	ClaimReading   // the write's answer was lost; reading the row back
	ClaimHeld      // the one attempt may run
	ClaimRecording // writing the outcome
	ClaimReleasing // refused as not run; giving the claim back
)

// Stage is one part of a path: a backend server and the layers it runs.
type Stage struct {
	Server     BackendServerID
	Address    string
	FirstLayer int
	LastLayer  int // inclusive

	Incarnation uint64 // of the backend server when the path was chosen
	Resume      bool   // the backend server can resume a session whose stream was lost
}

// Attempt is one run of a request on a path.
type Attempt struct {
	ID       AttemptID
	Request  RequestID
	Epoch    uint32
	Path     []Stage
	Started  time.Time
	Progress time.Time // last sign of progress
	Tokens   int
	Canceled bool
	Alone    bool // its backend servers have no other work of this host
}

// Suspect is a request content that was in flight when a backend server crashed.
type Suspect struct {
	Fingerprint uint64
	Crashes     int
	AloneCrash  int // crashes while it ran alone
	Quarantined bool
	Running     bool      // an attempt that runs alone is under way at this host
	Unsettled   int       // signs of crashes at this host that are not confirmed yet
	SignAttempt AttemptID // of the last sign
	AloneSigns  int       // those of them while it ran alone
	Expires     time.Time
	Changed     uint64 // 0 while there is nothing that peers should learn
}

// Pipeline is a model carried over layer ranges.
type Pipeline struct {
	ID          PipelineID
	Config      PipelineConfig
	Waiting     int           // queued requests of all ranks
	Freed       bool          // a place may have become free since TriedAt
	TriedAt     time.Time     // last search for places
	NoPathSince time.Time     // since when no live backend servers cover every layer; zero if they do
	Alone       []RequestID   // suspects that run alone or wait for reserved backend servers
	Backlogged  bool          // requests found no free place in the last search
	BusyAt      time.Time     // time of the last update of BusyTime
	BusyTime    float64       // seconds with a backlog, decaying
	BusyTokens  float64       // tokens started in BusyTime, decaying
	Opening     time.Duration // from the start of an attempt to its first token, smoothed
}

// PrefixHint tells which backend servers recently ran a prompt prefix. It is a hint: the engine may have dropped the prefix.
type PrefixHint struct {
	Servers []BackendServerID
}

// Service is an application or a plain service.
type Service struct {
	ID     ServiceID
	Config ServiceConfig
	Next   int // position of the last choice among equals
}

// Lease is the right to send orders to the engines of this host's data centre.
type Lease struct {
	Held     bool
	Fencing  uint64
	Version  uint64 // of the row
	Until    time.Time
	UsableAt time.Time // no order is sent earlier, so that the last holder's orders have ended
	Seen     LeaseRow
	SeenAt   time.Time
	Next     time.Time
	Pending  uint64 // operation in flight, or 0
	Write    bool   // the operation in flight is a write
	Wanted   LeaseRow
	SentAt   time.Time // of the operation in flight
	Beat     time.Time // next tick asked for; a tick much later tells of a pause
	Released bool      // given up for the shutdown

	ReconcileAt time.Time // next comparison of engines and placements, if no event asks for an earlier one
}

// Claim is the claim row of an application call, from the first write to the record of its outcome; it outlives the Request.
type Claim struct {
	Request  RequestID
	Key      string
	State    ClaimState
	Row      ClaimRow // as it is to be written
	Version  uint64   // of the row in the table service, as far as it is known
	Op       uint64   // operation in flight, or 0
	OpAt     time.Time
	Next     time.Time // next operation
	Unclear  bool      // a write may still take effect
	Deadline time.Time // for the claim; zero afterwards
	AnswerBy time.Time // the caller gets the outcome by then, recorded or not
}

// SeenClaim remembers how long another attempt's claim has not changed, by the local clock.
type SeenClaim struct {
	Version uint64
	SeenAt  time.Time
	AskedAt time.Time
}

// Order is an instruction to an engine that is wanted or under way.
type Order struct {
	Server  BackendServerID
	Wanted  Placement
	Fencing uint64
	SentAt  time.Time
	Pending bool
	Failed  int
	Next    time.Time
	Over    time.Time // until then the engine may carry out an order whose answer was lost
}

// Tally counts outcomes of one caller in one rank.
type Tally struct {
	Answered int // whole answers
	Kept     int // whole answers within the target
	Refused  int // not run
	Failed   int // neither whole nor refused
	Tokens   int
}
