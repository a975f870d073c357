package rocktable

import (
	"strconv"
	"time"
)

// RequestState is the progress of a request.
type RequestState uint8

// The states of requests.
const (
	RequestQueued RequestState = iota
	RequestRunning
	RequestClaiming // application call whose claim row is being written
	RequestSettling // application call whose outcome is being written to its claim row
	RequestDone
)

// Request is a model request or an application call that this host accepted.
type Request struct {
	ID            RequestID
	Caller        CallerID
	Rank          RankID
	Pipeline      PipelineID
	ArrivedAt     time.Time
	State         RequestState
	PromptTokens  int
	MaxTokens     int
	Fingerprint   uint64   // hash of the content
	Prefix        []uint64 // hashes of the prompt's prefixes, one for each block
	Parts         []PartID // of the prompt, in order, without the last one, which is the request's own
	Epoch         uint32   // of the current attempt
	Attempt       AttemptID
	Attempts      int
	Tokens        int // delivered to the caller
	FirstTokenAt  time.Time
	LargestGap    time.Duration
	ChargedTokens float64 // charged to the caller's share
	AvoidServers  []BackendServerID
	MayHaveRun    bool // the present or an earlier attempt may have run
	Requeued      bool // takes precedence over new requests of its rank
	Alone         bool // suspect: runs alone on its backend servers

	EarlierMayHaveRun bool // an attempt before the present one may have run

	ConsecutiveRefusals int       // by backend servers
	NotBefore           time.Time // no attempt starts earlier
	MaybeRanAttempts    int       // attempts that ended and may have run
	AtMostOnce          bool      // must not run again once it may have run
	MaxAttempts         int       // backend servers to which it may be sent; 0 means the limit of rockretry
	Deadline            time.Time // for the end of its answer; zero means none
	RetryGranted        bool      // the attempt after the present one is decided and paid for
	AwaitsBudget        bool      // its next attempt has not been taken from the shared budget yet
	CapacityShare       float64   // fraction of a backend server's capacity that it may fill; 0 means all

	EstimatedTokens float64 // taken from the caller's bucket at admission; corrected at the end
	InQueue         bool
	InFrontQueue    bool      // in Lane.FrontQueue
	QueuedAt        time.Time // when it last entered a queue

	Call *Call // nil for model requests
}

// Stage is one part of a path: a backend server and the layers it runs.
type Stage struct {
	Server     BackendServerID
	Name       string // of the backend server
	Address    string
	FirstLayer int
	LastLayer  int // inclusive

	Incarnation uint64 // of the backend server when the path was chosen
	Resume      bool   // the backend server can resume a session after its stream was lost
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
	Alone      bool      // its backend servers have no other work of this host
	Repaths    int       // moves to another path that were not refused
	Memory     float64   // reserved for each layer of its path, in tokens
	Stalled    bool      // a backend server on its path did not answer
	StuckSince time.Time // since when only another attempt can go on; zero if it is not known to be so
	Abandoned  bool      // it was told to end because of a silent backend server
	Late       bool      // its wait for the first token lowered Pipeline.FirstTokenWindow

	Moves       int     // orders to move it to another path
	PathBefore  []Stage // before the last move; nil if that was refused
	MoveRefused bool    // a move was refused since the last new stall
}

// PartID is the hash of a part of a prompt, or of a whole content, the same at all hosts.
type PartID uint64

// String returns the part as it appears in logs.
func (id PartID) String() string { return strconv.FormatUint(uint64(id), 16) }

// Suspect is a request content that was in flight when a backend server crashed.
type Suspect struct {
	Fingerprint           uint64
	Crashes               []uint64 // ids of the crashes; a crash has the same id at all hosts
	AloneCrashes          int      // crashes while it ran alone
	Quarantined           bool
	RunsAlone             bool      // an attempt that runs alone is in progress at this host
	UnconfirmedSigns      int       // signs of crashes at this host that are not confirmed yet
	LastSignAttempt       AttemptID // attempt of the last sign
	UnconfirmedAloneSigns int       // those of UnconfirmedSigns that appeared while it ran alone
	PeerSigns             int       // unconfirmed signs of crashes, as last reported by peers
	PeerRunsAlone         bool      // a peer runs it alone, or is about to and takes precedence over this host
	ExpiresAt             time.Time
	ChangeSeq             uint64 // World.ChangeSeq at the last change to report to peers; 0 while there is none
}
