package rocktable

import "time"

// Call is the part of a Request that only application calls have.
type Call struct {
	Service        ServiceID
	Runs           int // times it was handed to a backend server
	Method         string
	Path           string
	Idempotent     bool
	NeedsNoClaim   bool   // the caller's id makes it one call, so that no claim row is needed; handed over at most once unless it is idempotent
	IdempotencyKey string // caller's idempotency key
	Digest         uint64 // of method, path and body, to refuse a key used for something else
	ClaimKey       string // key of the claim row
	AttemptName    string // written in the claim row
	Claim          ClaimState
	ClaimVersion   uint64 // of the claim row
	Deadline       time.Time
	NextClaimRead  time.Time // next read of the claim row
	Outcome        ClaimRow  // what is to be recorded
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

// Claim is the claim row of an application call, from the first write to the record of its outcome; it outlives the Request.
type Claim struct {
	Request  RequestID
	Key      string
	State    ClaimState
	Row      ClaimRow // as it is to be written
	Version  uint64   // of the row in the table service, as far as it is known
	Op       uint64   // operation in flight, or 0
	OpAt     time.Time
	NextOp   time.Time // next operation
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
