package rockrelay

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"sassafrasrock/core/rocklookup"
	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rockstream"
	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockexchange"
	"sassafrasrock/io/rockguard"
	"sassafrasrock/io/rockmemory"
)

var (
	// ErrNotSent reports that no byte of a request reached the backend server.
	ErrNotSent = eris.New("request was not sent to the backend server")
	// ErrIncomplete reports that the answer ended after a part of it was sent to the caller. The front end closes the
	// connection, which shows the caller that the answer is incomplete.
	ErrIncomplete = eris.New("answer ended before it was complete")
)

// MoveRefusedError is the refusal of a move because a stage of the new path is not there or has no capacity.
type MoveRefusedError struct {
	Address string // of that stage; empty if it is not known
	Text    string
}

func (e MoveRefusedError) Error() string { return "move refused: " + e.Text }

// Request is a caller's request as read by a front end.
type Request struct {
	ID           string // chosen by the caller; a retry by the caller has a new one
	Method       string
	Host         string
	Path         string // as sent, still escaped, without the query
	RequestURI   string // unmodified, with the query
	Header       http.Header
	Body         []byte
	TokenSHA256  string // hexadecimal digest of the caller's token; empty if it sent none
	ReceivedAt   time.Time
	Timeout      time.Duration // sent by the caller; 0 if it sent none
	PromptTokens int
	MaxTokens    int
	Prefix       []uint64           // one hash for each part of the prompt that requests may share
	Parts        []rocktable.PartID // of the prompt, in order, without the last one
	LastEventID  string             // the caller resumes a stream after this event; empty for a new stream
}

// Attempt is one try to run a request on a backend server.
type Attempt struct {
	Request     *Request
	ServerName  string // of the backend server that runs the first stage or the call
	Address     string
	Path        []rocktable.Stage // empty for a call
	CallerName  string            // empty for an unknown caller
	Priority    int               // 0 is the most urgent
	Deadline    time.Time         // zero if there is none
	LastEventID string            // the stream resumes after this event; empty to start at the first event
	Incarnation uint64            // of the backend server at the address; 0 if it is not known
}

// Origin tells who sent an answer.
type Origin uint8

// The origins of answers.
const (
	OriginServer  Origin = iota // the backend server that was asked, as the answer proves or its refusal says
	OriginUnknown               // the answer bears no proof; a backend server in trouble may have sent it
	OriginForeign               // another server
)

// Response is the beginning of a backend server's answer.
type Response struct {
	Status        int
	Header        http.Header // without hop-by-hop headers
	Body          io.ReadCloser
	NotRun        bool // the backend server reported that it did not run the request
	Origin        Origin
	FailedAddress string // of the failed backend server, if the answer names one
	Length        int64  // declared length of the body; 0 or less if it is not known
	// EndsWithConnection is set if the answer has neither a length nor chunks, so that its end does not show whether it is
	// complete.
	EndsWithConnection bool
}

// Sink writes the answer to a caller. Only one goroutine uses it.
type Sink struct {
	// WriteHeader sends the status and the headers of an answer.
	WriteHeader func(status int, header http.Header)
	// Write sends a part of the body without buffering it.
	Write func(p []byte) error
	// Refuse sends an error response from this host instead of a backend server's answer.
	Refuse func(code rockreason.Code, after time.Duration)
}

// Relay serves requests. Its function fields connect it to the control thread and to the backend servers.
type Relay struct {
	// Open sends a request and returns the beginning of the answer. The error is ErrNotSent if no byte was sent.
	Open func(ctx context.Context, a Attempt) (*Response, error)
	// FetchWaiting fetches the report of the backend server at an address. For each request whose
	// first stage runs there and which is waiting for another backend server, the result maps the
	// request's ID to the address of that other one.
	FetchWaiting func(ctx context.Context, address string) (map[string]string, error)
	// FetchProcess asks the backend server of an attempt for its process. The error wraps syscall.ECONNREFUSED if nothing
	// listens at its address; after any other one it is not known whether the process still runs.
	FetchProcess func(ctx context.Context, a Attempt) (rockstream.Process, error)
	// Move moves a running request to another path with the same first stage. After an error it
	// stays on its present path. A refusal is a MoveRefusedError.
	Move func(ctx context.Context, a Attempt) error

	// Exchanges are the requests of the host, to which the control thread's decisions go.
	Exchanges      *rockexchange.Table
	Snapshot       func() *rocktable.Snapshot
	Count          func(code rockreason.Code)
	ObserveRequest func(route string, reason rockreason.Code, d time.Duration)
	Now            func() time.Time
	Log            *slog.Logger

	// Memory counts the answers and events that are read and not yet sent; nil means no limit.
	Memory *rockmemory.Account

	waitReports waitReports
	running     runningStreams
}

// Serve answers a request and returns when the answer has ended. The error is ErrIncomplete, the
// error of a write to the caller, or that of the context if the caller left.
func (t *Relay) Serve(ctx context.Context, req *Request, sink Sink) (err error) {
	snapshot := t.Snapshot()
	dest, code := rocklookup.Route(t.Now(), snapshot, req.Host, req.Path, req.TokenSHA256, rand.Float64())
	if code != "" {
		t.Count(code)
		t.Log.Info("request refused", "request", req.ID, "reason", code, "configVersion", snapshot.ConfigVersion)
		sink.Refuse(code, 0)
		return nil
	}
	x := &exchange{relay: t, req: req, dest: dest, sink: sink, ran: rockreason.NotRun}
	x.Exchange = t.Exchanges.Open(rockexchange.Hooks{
		Start: x.runAttempt, Call: x.runCall,
		Move: func(to rocktable.Repath) { go t.guard().Do(func() { x.move(to) }, "request", req.ID) },
	})
	defer x.Close()
	defer x.releaseHeld()
	defer t.guard().Recover(func() { err = x.endAfterPanic() }, "request", req.ID)
	x.Arrive(x.row())
	return x.serve(ctx)
}

func (t *Relay) guard() rockguard.Guard { return rockguard.Guard{Log: t.Log, Count: t.Count} }
