package rockengine

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"sassafrasrock/core/rocktable"
)

var (
	// ErrUnreachable says that no connection could be opened; nothing was handed over.
	ErrUnreachable = eris.New("the backend server cannot be reached")
	// ErrNotStarted says that the engine refused the session and started nothing.
	ErrNotStarted = eris.New("the backend server did not start")
	// ErrLost says that the connection or session broke after it was opened.
	ErrLost = eris.New("the connection to the backend server was lost")
	// ErrMisstep says that the engine answered with another epoch, index or position than asked for.
	ErrMisstep = eris.New("the backend server answered out of step")
	// ErrTooLarge says that a message is larger than the limit; it was not sent, or not read to its end.
	ErrTooLarge = eris.New("the message is too large")
)

// Engine sends requests to model engines; tests fill in the fields.
type Engine struct {
	// Open opens a session that lasts until its Close, while ctx bounds only the opening; its errors are ErrUnreachable, ErrNotStarted and ErrLost, and the context's.
	Open func(ctx context.Context, address string, req OpenRequest) (*Session, error)
	// Status returns an engine's report and the round trip of the request.
	Status func(ctx context.Context, address string) (rocktable.EngineStatus, time.Duration, error)
	// Order sends an order; its errors are ErrUnreachable, ErrNotStarted and ErrLost.
	Order func(ctx context.Context, address string, req OrderRequest) (OrderReply, error)
	// CacheEvents returns the cache events after a sequence number.
	CacheEvents func(ctx context.Context, address string, after uint64) (CacheEvents, error)
	// Export returns the KV cache of a session.
	Export func(ctx context.Context, address string, m Move) (Move, error)
	// Import stores the KV cache of a session.
	Import func(ctx context.Context, address string, m Move) error
	// Close closes the connections that no call uses.
	Close func()
}

// Session is an open session on one stage; one goroutine uses it at a time.
type Session struct {
	// Step runs one step; its errors are ErrLost, ErrMisstep and ErrTooLarge, and the context's, after which only Close is useful.
	Step func(ctx context.Context, step Step) (StepReply, error)
	// Resume goes on with the session over a new connection, for the given step that got no answer; its errors are those of Open, and ErrMisstep if the engine holds another state than that before or after the step. The session that it returns replaces this one, which stays usable if Resume fails. It is nil where sessions cannot be resumed.
	Resume func(ctx context.Context, step Step) (*Session, error)
	// Close cancels the session at the engine, unless it was resumed.
	Close func()
}
