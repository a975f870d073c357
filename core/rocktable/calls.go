package rocktable

import "time"

// Call holds the fields of a Request that only application calls have.
type Call struct {
	Service        ServiceID
	Runs           int               // dispatches to backend servers that may have received it
	Unready        []BackendServerID // could not be reached, or refused it, since they were last chosen
	Method         string
	Path           string
	Idempotent     bool
	NeedsNoClaim   bool // the caller's id makes it unique; dispatched at most once unless it is idempotent
	IdempotencyKey string
	Digest         uint64 // of method, path and body; a key that is reused for another call is refused
	ClaimKey       string // key of the claim row
	AttemptName    string // written to the claim row
	Claim          ClaimState
	ClaimVersion   uint64
	Deadline       time.Time
	StartedAt      time.Time // of the last run
	Incarnation    uint64    // of the backend server when the last run started; 0 if it was not known
	Outcome        ClaimRow  // to be recorded in the claim row
}

// ClaimState is the progress of the claim of an application call.
type ClaimState uint8

// The states of a claim.
const (
	ClaimNone ClaimState = iota
	ClaimWriting
	ClaimReading   // the answer to the write was lost; the row is read back
	ClaimHeld      // the only attempt may run
	ClaimRecording // writing the outcome
	ClaimReleasing // refused without having run; releasing the claim
)

// Claim is the claim row of an application call, from the first write until its outcome is recorded. It may outlive the
// Request.
type Claim struct {
	Request        RequestID
	Key            string
	State          ClaimState
	Row            ClaimRow // to be written
	Version        uint64   // last known version of the row in the table service
	PendingOp      uint64   // operation in flight, or 0
	PendingSince   time.Time
	NextOp         time.Time
	OutcomeUnknown bool      // a write may still take effect
	Deadline       time.Time // for writing the claim; zero afterwards
	AnswerBy       time.Time // the caller receives the outcome by then, recorded or not
}

// SeenClaim records since when the claim of another attempt has been unchanged, by the local clock.
type SeenClaim struct {
	Version    uint64
	SeenAt     time.Time // when Version was first seen
	LookedUpAt time.Time
}
