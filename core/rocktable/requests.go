package rocktable

import "time"

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
	ID            RequestID
	Caller        CallerID
	Rank          RankID
	Pipeline      PipelineID
	ArrivedAt     time.Time
	State         RequestState
	PromptTokens  int // tokens
	MaxTokens     int
	Fingerprint   uint64   // of the content
	Prefix        []uint64 // hashes of the prompt's prefixes, one for each block
	Epoch         uint32   // of the current attempt
	Attempt       AttemptID
	Attempts      int
	Tokens        int // tokens delivered to the caller
	FirstToken    time.Time
	LargestGap    time.Duration
	ChargedTokens float64 // tokens charged to the caller's share
	AvoidServers  []BackendServerID
	MayHaveRun    bool // was handed to a backend server that did not say that it did not start
	Requeued      bool // goes before new requests of its rank
	Alone         bool // suspect: runs alone on its backend servers

	RanBefore bool // an earlier attempt may have run

	ConsecutiveRefusals int       // attempts in a row that backend servers refused
	NotBefore           time.Time // no attempt starts earlier
	RanAttempts         int       // attempts that ended and may have run
	AtMostOnce          bool      // must not run again once it may have run
	MaxAttempts         int       // backend servers to which it may be sent; 0 means the limit of rockretry
	Deadline            time.Time // by which its answer has ended; zero means none

	EstimatedTokens float64   // tokens that it was counted with while it waited
	InQueue         bool      // in a queue
	InFrontQueue    bool      // in Lane.Front
	QueuedAt        time.Time // last time it entered a queue

	Call *Call // set for application calls
}

// Stage is one part of a path: a backend server and the layers it runs.
type Stage struct {
	Server     BackendServerID
	Name       string // of the backend server
	Address    string
	FirstLayer int
	LastLayer  int // inclusive

	Incarnation uint64 // of the backend server when the path was chosen
	Resume      bool   // the backend server can resume a session whose stream was lost
}

// Attempt is one run of a request on a path.
type Attempt struct {
	ID         AttemptID
	Request    RequestID
	Epoch      uint32
	Path       []Stage
	StartedAt  time.Time
	ProgressAt time.Time // last sign of progress
	Tokens     int
	Canceled   bool
	Alone      bool    // its backend servers have no other work of this host
	Repaths    int     // times that it was moved to another path
	Memory     float64 // reserved for each layer of its path, in tokens
}

// Suspect is a request content that was in flight when a backend server crashed.
type Suspect struct {
	Fingerprint           uint64
	Crashes               []uint64 // identities of the crashes: the same for all hosts that had it in flight there
	AloneCrashes          int      // crashes while it ran alone
	Quarantined           bool
	RunsAlone             bool      // an attempt that runs alone is under way at this host
	UnconfirmedSigns      int       // signs of crashes at this host that are not confirmed yet
	LastSignAttempt       AttemptID // of the last sign
	UnconfirmedAloneSigns int       // those of them while it ran alone
	PeerSigns             int       // signs of crashes at peers that are not confirmed yet, as they told
	PeerRunsAlone         bool      // a peer runs it alone, or is about to and comes before this host
	ExpiresAt             time.Time
	ChangeSeq             uint64 // 0 while there is nothing that peers should learn
}
