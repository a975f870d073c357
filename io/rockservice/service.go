package rockservice

import (
	"context"

	"github.com/rotisserie/eris"
)

var (
	// ErrUnreachable says that no connection could be opened; the call was not handed over.
	ErrUnreachable = eris.New("the backend server cannot be reached")
	// ErrLost says that the call was handed over and no whole answer came.
	ErrLost = eris.New("the answer of the backend server was lost")
)

// Call is an application call.
type Call struct {
	Method  string
	Path    string // with the query, beginning with a slash
	Type    string // content type
	Key     string // idempotency key, passed on
	Attempt string // id of the attempt, passed on
	Body    []byte
}

// Reply is the answer of a backend server.
type Reply struct {
	Status int
	Type   string // content type
	Body   []byte
}

// Client sends calls to application and plain services; tests fill in the fields.
type Client struct {
	// Do runs a call once and never repeats it; its errors are ErrUnreachable and ErrLost.
	Do func(ctx context.Context, address string, call Call) (Reply, error)
	// Probe asks whether a backend server is up; a server that is leaving answers so.
	Probe func(ctx context.Context, address string) (Health, error)
}

// Health is the answer to a probe.
type Health struct {
	State       string `json:"state"` // live or leaving
	Incarnation uint64 `json:"incarnation"`
}
