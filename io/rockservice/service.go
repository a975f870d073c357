package rockservice

import (
	"context"

	"github.com/rotisserie/eris"

	"sassafrasrock/io/rockmemory"
)

var (
	// ErrUnreachable reports that no connection could be opened, so the call was not sent.
	ErrUnreachable = eris.New("cannot connect to the backend server")
	// ErrLost reports that a connection was opened, so the call may have run, but that no complete, valid
	// answer arrived.
	ErrLost = eris.New("no valid answer from the backend server")
	// ErrTooLarge reports an answer that is longer than allowed. It comes with ErrLost.
	ErrTooLarge = eris.New("answer is too long")
)

// Call is a call to an application or a plain service.
type Call struct {
	Method         string
	Path           string // sent unchanged; begins with a slash and includes the query
	ContentType    string
	IdempotencyKey string // sent as HeaderIdempotencyKey unless empty
	AttemptID      string // sent as HeaderAttempt unless empty
	Body           []byte
	Held           *rockmemory.Holding // grows with the body of the answer; nil means no limit but the client's
	Prepaid        int64               // first bytes of the answer for which Held has room already
}

// Reply is the answer of a backend server.
type Reply struct {
	Status      int
	ContentType string
	Body        []byte
}

// Client sends calls to application and plain services. Its fields are seams: tests set them to
// functions of their own.
type Client struct {
	// Do sends a call once and never retries it. Each of its errors wraps ErrUnreachable or ErrLost.
	Do func(ctx context.Context, address string, call Call) (Reply, error)
	// Probe requests the health of a backend server. A server that is leaving answers with that state.
	Probe func(ctx context.Context, address string) (Health, error)
}

// Health is the answer to a probe.
type Health struct {
	State       string `json:"state"` // "live" or "leaving"
	Incarnation uint64 `json:"incarnation"`
}
