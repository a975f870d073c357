package rockengine

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"sassafrasrock/core/rocktable"
)

var (
	// ErrUnreachable reports that no connection could be opened, so nothing was sent.
	ErrUnreachable = eris.New("cannot connect to the backend server")
	// ErrNotStarted reports that the engine refused the request and started nothing.
	ErrNotStarted = eris.New("the backend server refused the request")
	// ErrNoEngine reports that what answers at the address has no status of an engine.
	ErrNoEngine = eris.New("no engine answers at the address")
	// ErrLost reports that a connection or session failed after it was opened.
	ErrLost = eris.New("the connection to the backend server was lost")
	// ErrOutOfStep reports that the engine answered with another epoch, index or position than requested.
	ErrOutOfStep = eris.New("the backend server answered out of step")
	// ErrTooLarge reports that a message exceeds the limit; it was not sent, or not read to its end.
	ErrTooLarge = eris.New("the message is too large")
)

// Engine sends requests to model engines. Tests set the function fields to fakes.
type Engine struct {
	// Open opens a session, which lasts until its Close; ctx limits only the opening. Its errors are ErrUnreachable,
	// ErrNotStarted, ErrLost and the context's.
	Open func(ctx context.Context, address string, req OpenRequest) (*Session, error)
	// Status returns an engine's status and the round-trip time of the request. Its errors are those of Order, and
	// ErrNoEngine.
	Status func(ctx context.Context, address string) (rocktable.EngineStatus, time.Duration, error)
	// Order sends an order. Its errors are ErrUnreachable, ErrNotStarted and ErrLost.
	Order func(ctx context.Context, address string, req OrderRequest) (OrderReply, error)
	// CacheEvents returns the cache events after a sequence number.
	CacheEvents func(ctx context.Context, address string, after uint64) (CacheEvents, error)
	// Export returns the KV cache of a session.
	Export func(ctx context.Context, address string, m CacheTransfer) (CacheTransfer, error)
	// Import stores the KV cache of a session.
	Import func(ctx context.Context, address string, m CacheTransfer) error
	// Close closes all idle connections.
	Close func()
}

// Session is an open session on one stage. One goroutine at a time may use it.
type Session struct {
	// Step runs one step. Its errors are ErrLost, ErrOutOfStep, ErrTooLarge and the context's.
	// After the context's error, the session can only be closed.
	Step func(ctx context.Context, step Step) (StepReply, error)
	// Resume continues the session over a new connection after the given step got no answer. The
	// session that it returns replaces this one, which stays usable if Resume fails. Its errors are
	// those of Open, and ErrOutOfStep if the engine's state is neither that before nor that after
	// the step. The field is nil if sessions cannot be resumed.
	Resume func(ctx context.Context, step Step) (*Session, error)
	// Close cancels the session at the engine, unless it was resumed.
	Close func()
}
