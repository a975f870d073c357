package rocktable

import "time"

// PromptPart is a part of prompts, or the whole content of a request, that was in flight, without a token, when a backend
// server crashed.
type PromptPart struct {
	ID        PartID
	Depth     int       // position in the prompt, 0 for the first part; a whole content comes after all parts
	Crashes   []uint64  // ids of the crashes; a crash has the same id at all hosts
	Excused   []uint64  // those of the crashes after which a request with the part got a token
	SuspectAt time.Time // since when enough crashes count that it can be blamed; zero while too few do
	Blamed    bool      // requests with it are refused
	ExpiresAt time.Time
	ChangeSeq uint64 // World.ChangeSeq at the last change to report to peers
}

// PartUpdate reports a PromptPart to peers.
type PartUpdate struct {
	Part      PartID
	Depth     int
	Crashes   []uint64
	Excused   []uint64
	Blamed    bool          // the sender refuses requests with it
	Remaining time.Duration // until it expires
}

// StoredParts is the progress of operations on the row of the table service that holds crashes of parts.
type StoredParts struct {
	Read       bool      // the row was read since the start
	Row        PartsRow  // as last read or written
	Era        uint64    // of the table service when Version was read or written; 0 if it is not known
	Version    uint64    // of Row; 0 if it does not exist
	Current    bool      // Row was read or written after the last crash or excuse that it may lack
	DueAt      time.Time // of the next operation; zero if none is due
	PendingOp  uint64    // operation in flight, or 0
	PendingRow PartsRow  // that it writes
}

// PartAtDepth is a part of one prompt with its position.
type PartAtDepth struct {
	Part  PartID
	Depth int
}

// CrashCheck is an open question whether a backend server has crashed, with the signs against parts that depend on it.
type CrashCheck struct {
	Server      BackendServerID
	Incarnation uint64 // that is suspected to have crashed
	SentAt      time.Time
	Confirmed   bool
	Parts       []PartAtDepth
}

// CrashQuestion asks a backend server whether it still runs.
type CrashQuestion struct {
	Server  BackendServerID
	Role    BackendRole
	Address string
}

// CrashAnswer is the answer to a CrashQuestion.
type CrashAnswer struct {
	Server      BackendServerID
	Gone        bool   // no process listens at the address
	Incarnation uint64 // of the process that answered; 0 if none did
}
