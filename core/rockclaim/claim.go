package rockclaim

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"time"

	"sassafrasrock/core/rockadmit"
	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rockretry"
	"sassafrasrock/core/rocktable"
)

const (
	// defaultTimeout is the longest call of a service that is configured without one.
	defaultTimeout = 30 * time.Second
	// longestCall is the highest timeout that a service may be configured with.
	longestCall = 10 * time.Minute
	// claimLimit bounds the time until a claim is held; the call is refused as not run afterwards.
	claimLimit = 5 * time.Second
	// answerWait is the time that a caller waits at most for the record of its outcome.
	answerWait = 2 * time.Second
	// maxRuns limits the runs of an idempotent call that may have run.
	maxRuns = 3
	// maxOffers limits the backend servers to which a call is offered.
	maxOffers = 6
	// retryAfter is told to a caller whose earlier call is in progress.
	retryAfter = time.Second
)

// System runs application calls.
var System = rocktable.System{
	Name: "rockclaim",
	Doc:  "Claims non-idempotent calls in the table service, runs each once, and records its outcome.",
	Run:  run,
}

func run(now time.Time, w *rocktable.World) {
	for _, r := range w.Inbox.ClaimResults {
		takeResult(now, w, r)
	}
	for _, e := range w.Inbox.CallsEnded {
		takeEnd(now, w, e)
	}
	for _, a := range w.Inbox.Arrivals {
		if a.Request.Call != nil {
			arrive(now, w, a.Request)
		}
	}
	runClaims(now, w)
}

// arrive admits or refuses a call.
func arrive(now time.Time, w *rocktable.World, request rocktable.Request) {
	full := w.Requests.Len() >= w.Limits.MaxRequests
	call := *request.Call
	request.Call = &call
	r := w.Requests.Put(request.ID, request)
	service := w.Services.Get(call.Service)
	if code := refusal(now, w, r, service, full); code != "" {
		w.Answer(r.ID, code)
		return
	}
	r.Call.Idempotent = isIdempotent(r.Call, service)
	timeout := time.Duration(service.Config.TimeoutMs) * time.Millisecond
	if timeout == 0 {
		timeout = defaultTimeout
	}
	r.Call.Deadline = now.Add(timeout)
	if !r.Deadline.IsZero() {
		r.Call.Deadline = r.Deadline
	}
	if r.Call.Idempotent || r.Call.NeedsNoClaim {
		start(now, w, r)
		return
	}
	if r.Call.ClaimKey == "" {
		r.Call.ClaimKey = ClaimKey(callerName(w, r.Caller), service.Config.Name, r.Call.IdempotencyKey)
	}
	claim(now, w, r)
}

func refusal(now time.Time, w *rocktable.World, r *rocktable.Request, service *rocktable.Service, full bool) rockreason.Code {
	if code := rockadmit.ClosedReason(w); code != "" {
		return code
	}
	switch {
	case full:
		return rockreason.HostFull
	case service == nil:
		return rockreason.UnknownService
	case r.Call.IdempotencyKey == "" && !r.Call.NeedsNoClaim && !isIdempotent(r.Call, service):
		return rockreason.MissingKey
	case pick(now, w, r, service) == nil:
		return rockreason.NoServer
	}
	return ""
}

func isIdempotent(c *rocktable.Call, service *rocktable.Service) bool {
	if c.NeedsNoClaim {
		return c.Idempotent // the route says so, whatever the method
	}
	return c.Idempotent || service.Config.Idempotent || c.Method == "GET" || c.Method == "HEAD"
}

func callerName(w *rocktable.World, id rocktable.CallerID) string {
	if c := w.Callers.Get(id); c != nil {
		return c.Config.Name
	}
	return ""
}

// ClaimKey returns the key of a call's claim row: a hash, because callers choose their keys freely, and one for each caller and service.
func ClaimKey(caller, service, key string) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d %s %d %s %s", len(caller), caller, len(service), service, key))
	return fmt.Sprintf("claim/%x", sum[:16])
}

// pick returns the live backend server of the service with the fewest calls of this host, or nil.
func pick(now time.Time, w *rocktable.World, r *rocktable.Request, service *rocktable.Service) *rocktable.BackendServer {
	var best *rocktable.BackendServer
	if service.Config.Listed {
		return pickListed(now, w, r, service)
	}
	n := len(service.Config.Servers)
	for i := range n {
		s := w.ServerNamed(service.Config.Servers[(service.ServerCursor+i)%n])
		if s == nil || s.State != rocktable.StateLive || slices.Contains(r.AvoidServers, s.ID) {
			continue
		}
		if best == nil || s.InFlight < best.InFlight {
			best = s
		}
	}
	return best
}

// start hands a call to a backend server, or ends it if there is none.
func start(now time.Time, w *rocktable.World, r *rocktable.Request) {
	service := w.Services.Get(r.Call.Service)
	var s *rocktable.BackendServer
	if service != nil && r.Attempts < maxOffers {
		s = pick(now, w, r, service)
	}
	left := r.Call.Deadline.Sub(now)
	if s == nil || left <= 0 {
		endUnserved(now, w, r)
		return
	}
	service.ServerCursor++
	r.Attempts++
	r.Call.Runs++
	r.State = rocktable.RequestRunning
	if s.Role == rocktable.RoleApplication {
		s.InFlight++
	}
	r.Deadline = r.Call.Deadline
	w.Outbox.CallStarts = append(w.Outbox.CallStarts, rocktable.CallStart{Request: r.ID, Server: s.ID, Name: s.Name, Address: s.Address, Timeout: left})
}

// endUnserved ends a call for which no backend server is left.
func endUnserved(now time.Time, w *rocktable.World, r *rocktable.Request) {
	if r.MayHaveRun {
		w.Answer(r.ID, rockreason.BackendFailed)
		return
	}
	if c := w.Claims.Get(r.ID); c != nil {
		release(now, c)
	}
	w.Answer(r.ID, rockreason.NoServer)
}

// takeEnd decides on the end of a run: answer, send elsewhere, or record that the outcome is unknown.
func takeEnd(now time.Time, w *rocktable.World, e rocktable.CallEnded) {
	// A call goes to each backend server once, so that this end was reported before; taking it for that of the
	// current run would start a second one.
	if r := w.Requests.Get(e.Request); r != nil && slices.Contains(r.AvoidServers, e.Server) {
		w.Count(rockreason.LateEvent)
		return
	}
	if s := w.Servers.Get(e.Server); s != nil && s.Role == rocktable.RoleApplication && s.InFlight > 0 {
		s.InFlight--
	}
	if s := w.Servers.Get(e.Server); s != nil && s.ListedService != "" {
		rockretry.RecordCall(now, s, e.Reason != rockreason.ServerUnreachable)
	}
	r, c := w.Requests.Get(e.Request), w.Claims.Get(e.Request)
	if r != nil && r.Call == nil {
		r = nil
	}
	if c != nil {
		takeClaimedEnd(now, w, e, r, c)
		return
	}
	if r == nil {
		w.Count(rockreason.LateEvent)
		return
	}
	row := outcomeRow(e)
	switch {
	case e.Reason == "":
		w.Outbox.Answers = append(w.Outbox.Answers, rocktable.Answer{Request: r.ID, Recorded: &row})
	case !e.Sent:
		retryElsewhere(now, w, r, e)
	case r.Call.NeedsNoClaim && !r.Call.Idempotent:
		r.MayHaveRun = true
		w.Answer(r.ID, rockreason.OutcomeUnknown)
	default:
		r.MayHaveRun = true
		if r.Call.Runs >= runLimit(r) || !rockretry.SpendSharedBudget(now, w, r) {
			w.Answer(r.ID, rockreason.BackendFailed)
			return
		}
		w.Count(rockreason.LookupRepeated)
		r.AvoidServers = append(r.AvoidServers, e.Server)
		start(now, w, r)
	}
}

// takeClaimedEnd handles the end of the one run of a non-idempotent call; the caller may have left meanwhile, so r may be nil.
func takeClaimedEnd(now time.Time, w *rocktable.World, e rocktable.CallEnded, r *rocktable.Request, c *rocktable.Claim) {
	if c.State != rocktable.ClaimHeld {
		w.Count(rockreason.LateEvent)
		return
	}
	if e.Reason != "" && !e.Sent {
		if r == nil {
			release(now, c)
			return
		}
		retryElsewhere(now, w, r, e)
		return
	}
	row := outcomeRow(e)
	row.Attempt, row.Digest = c.Row.Attempt, c.Row.Digest
	if e.Reason != "" {
		row.State = rocktable.ClaimRowUnknown
	}
	c.Row, c.State, c.NextOp, c.AnswerBy = row, rocktable.ClaimRecording, now, now.Add(answerWait)
	if r == nil {
		return
	}
	r.MayHaveRun = true
	r.State, r.Call.Claim, r.Call.Outcome = rocktable.RequestSettling, rocktable.ClaimRecording, row
}

func outcomeRow(e rocktable.CallEnded) rocktable.ClaimRow {
	return rocktable.ClaimRow{State: rocktable.ClaimRowRecorded, Status: e.Status, Type: e.Type, Body: e.Body}
}

// retryElsewhere sends a call that was not handed over to another backend server.
func retryElsewhere(now time.Time, w *rocktable.World, r *rocktable.Request, e rocktable.CallEnded) {
	w.Count(rockreason.ServerUnreachable)
	r.Call.Runs--
	r.AvoidServers = append(r.AvoidServers, e.Server)
	if e.Reason == rockreason.StageRefused && !rockretry.SpendSharedBudget(now, w, r) {
		endUnserved(now, w, r)
		return
	}
	start(now, w, r)
}

// answerRow answers a call with the outcome in its claim row.
func answerRow(w *rocktable.World, id rocktable.RequestID, row rocktable.ClaimRow) {
	r := w.Requests.Get(id)
	if r == nil || r.State == rocktable.RequestDone {
		return
	}
	if row.State != rocktable.ClaimRowRecorded {
		w.Answer(id, rockreason.OutcomeUnknown)
		return
	}
	w.Outbox.Answers = append(w.Outbox.Answers, rocktable.Answer{Request: id, Recorded: &row})
}
