package rockclaim

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"time"

	"sassafrasrock/core/rockadmit"
	"sassafrasrock/core/rockend"
	"sassafrasrock/core/rockpart"
	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rockretry"
	"sassafrasrock/core/rocktable"
)

const (
	// defaultCallTimeout is the timeout of calls to a service that is configured without one.
	defaultCallTimeout = 30 * time.Second
	// maxCallTimeout is the highest timeout that a service may be configured with.
	maxCallTimeout = 10 * time.Minute
	// claimTimeout limits the time until a claim is held. After it, the call is refused as not run.
	claimTimeout = 5 * time.Second
	// recordWait is the longest time for which an answer waits until its outcome is recorded.
	recordWait = 2 * time.Second
	// maxRuns limits the dispatches of an idempotent call to backend servers that may have received it.
	maxRuns = 3
	// waitingFraction is the part of a host's requests, as a divisor, that may wait before they have begun until a backend
	// server can be reached. The rest is for other services.
	waitingFraction = 8
	// holdInterval is the time between two looks at calls that are held.
	holdInterval = 20 * time.Millisecond
	// outcomeFraction is the part of Limits.OutcomeBytes, as a divisor, that one answer may take.
	outcomeFraction = 8
	// refusalDelay is the time for which a begun call does not try a backend server again that refused it. It doubles with
	// each refusal, maxRefusalDoublings times.
	refusalDelay        = 40 * time.Millisecond
	maxRefusalDoublings = 4
	// inProgressRetryAfter is the Retry-After of a call whose earlier attempt is in progress.
	inProgressRetryAfter = time.Second
)

// System runs application calls.
var System = rocktable.System{
	Name:        "rockclaim",
	Description: "Claims non-idempotent calls in the table service, runs each once, and records its outcome.",
	Run:         run,
}

func run(now time.Time, w *rocktable.World) {
	for _, r := range w.Inbox.ClaimResults {
		handleResult(now, w, r)
	}
	for _, e := range w.Inbox.CallsEnded {
		handleEnded(now, w, e)
	}
	for _, a := range w.Inbox.Arrivals {
		if a.Request.Call != nil {
			admit(now, w, a.Request)
		}
	}
	advanceClaims(now, w)
	resumeHeld(now, w)
}

// admit admits or refuses a call.
func admit(now time.Time, w *rocktable.World, request rocktable.Request) {
	full := w.Requests.Len() >= w.Limits.MaxRequests
	call := *request.Call
	request.Call = &call
	r := w.Requests.Put(request.ID, request)
	service := w.Services.Get(call.Service)
	if code := refusalReason(now, w, r, service, full); code != "" {
		rockend.Refuse(w, r.ID, code, 0)
		return
	}
	r.Call.Idempotent = isIdempotent(r.Call, service)
	timeout := time.Duration(service.Config.TimeoutMs) * time.Millisecond
	if timeout == 0 {
		timeout = defaultCallTimeout
	}
	r.Call.Deadline = now.Add(timeout)
	if !r.Deadline.IsZero() {
		r.Call.Deadline = r.Deadline
	}
	if r.Call.Idempotent || r.Call.NeedsNoClaim {
		dispatch(now, w, r)
		return
	}
	if r.Call.ClaimKey == "" {
		r.Call.ClaimKey = ClaimKey(callerName(w, r.Caller), service.Config.Name, r.Call.IdempotencyKey)
	}
	writeClaim(now, w, r)
}

func refusalReason(now time.Time, w *rocktable.World, r *rocktable.Request, service *rocktable.Service, full bool) rockreason.Code {
	if code := rockadmit.ClosedReason(w); code != "" {
		return code
	}
	switch {
	case full:
		return rockreason.HostFull
	case service == nil || !service.RemovedAt.IsZero(): // removed since the request was looked up
		return rockreason.NoServer
	case r.Call.IdempotencyKey == "" && !r.Call.NeedsNoClaim && !isIdempotent(r.Call, service):
		return rockreason.MissingKey
	case rockpart.IsBlamed(w, r):
		return rockreason.Quarantined
	case pickServer(now, w, r, service) == nil:
		return rockreason.NoServer
	}
	return ""
}

func isIdempotent(c *rocktable.Call, service *rocktable.Service) bool {
	if c.NeedsNoClaim {
		return c.Idempotent // set by the route, whatever the method
	}
	return c.Idempotent || service.Config.Idempotent || c.Method == "GET" || c.Method == "HEAD"
}

func callerName(w *rocktable.World, id rocktable.CallerID) string {
	if c := w.Callers.Get(id); c != nil {
		return c.Config.Name
	}
	return ""
}

// ClaimKey returns the key of a call's claim row. It is a hash, because callers choose their idempotency keys freely.
// Equal idempotency keys of different callers or services give different claim keys.
func ClaimKey(caller, service, key string) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d %s %d %s %s", len(caller), caller, len(service), service, key))
	return fmt.Sprintf("claim/%x", sum[:16])
}

// pickServer returns the live backend server of the service with the fewest calls of this host in flight, or nil. For
// a listed service it returns the choice of pickListed.
func pickServer(now time.Time, w *rocktable.World, r *rocktable.Request, service *rocktable.Service) *rocktable.BackendServer {
	var best *rocktable.BackendServer
	if service.Config.Listed {
		return pickListed(now, w, r, service)
	}
	n := len(service.Config.Servers)
	for i := range n {
		s := w.ServerNamed(service.Config.Servers[(service.ServerCursor+i)%n])
		if s == nil || s.State != rocktable.StateLive || slices.Contains(r.AvoidServers, s.ID) || isUnready(now, r, s) {
			continue
		}
		if best == nil || s.InFlight < best.InFlight {
			best = s
		}
	}
	return best
}

// dispatch sends a call to a backend server. It holds a call that has to wait, and ends one for which no backend server or
// no time is left.
func dispatch(now time.Time, w *rocktable.World, r *rocktable.Request) {
	if hasLeft(w, r) {
		return
	}
	service := w.Services.Get(r.Call.Service)
	var s *rocktable.BackendServer
	if service != nil {
		s = pickServer(now, w, r, service)
	}
	left := r.Call.Deadline.Sub(now)
	switch {
	case s == nil && mayWaitForServer(now, w, r, service):
		hold(now, w, r)
		return
	case s == nil || left <= 0:
		endUnserved(now, w, r, rockreason.NoServer)
		return
	case rockpart.IsBlamed(w, r): // since it was admitted
		endUnserved(now, w, r, rockreason.Quarantined)
		return
	case rockpart.MustWait(now, w, r):
		hold(now, w, r)
		return
	case r.AwaitsBudget && !rockretry.SpendSharedBudget(now, w, r):
		if !rockretry.FitsDeadline(now, r, service.RunTime) {
			endUnserved(now, w, r, rockreason.NoServer)
			return
		}
		hold(now, w, r)
		return
	case !r.MayHaveRun && rockadmit.EndsTooLate(now, w, service.RunTime):
		endUnserved(now, w, r, rockreason.ShuttingDown)
		return
	}
	r.AwaitsBudget = false
	service.ServerCursor++
	run := r.Attempts
	r.Attempts++
	r.Call.Runs++
	if i := slices.Index(r.Call.Unready, s.ID); i >= 0 {
		r.Call.Unready = slices.Delete(r.Call.Unready, i, i+1)
		rockretry.StartCallTrial(now, s)
	}
	r.State, r.Call.StartedAt, r.Call.Incarnation = rocktable.RequestRunning, now, s.Incarnation
	if s.Role == rocktable.RoleApplication {
		s.InFlight++
	}
	r.Deadline = r.Call.Deadline
	w.Outbox.CallStarts = append(w.Outbox.CallStarts, rocktable.CallStart{Request: r.ID, Server: s.ID, Run: run, Name: s.Name, Address: s.Address, Timeout: left})
}

// hasLeft reports whether the caller of a call without a claim has left. rockretry, which runs later in the tick, ends it.
func hasLeft(w *rocktable.World, r *rocktable.Request) bool {
	return r.Call.NeedsNoClaim && slices.Contains(w.Inbox.CallerDisconnects, rocktable.CallerDisconnect{Request: r.ID})
}

// mayWaitForServer reports whether a call waits for a backend server that could not take it before. One failed connection or
// refusal does not show that the server cannot serve the call in its time. Calls that have not begun leave room for others.
func mayWaitForServer(now time.Time, w *rocktable.World, r *rocktable.Request, service *rocktable.Service) bool {
	hasRoom := r.MayHaveRun || len(w.HeldCalls) < w.Limits.MaxRequests/waitingFraction
	return service != nil && len(r.Call.Unready) > 0 && hasRoom &&
		now.Add(service.RunTime).Before(r.Call.Deadline) && !rockadmit.EndsTooLate(now, w, service.RunTime)
}

// isUnready reports whether a backend server could not be reached for a call or refused it, and is not to be tried again
// yet.
func isUnready(now time.Time, r *rocktable.Request, s *rocktable.BackendServer) bool {
	return slices.Contains(r.Call.Unready, s.ID) && (rockretry.IsBreakerOpen(now, s) || now.Before(r.NotBefore))
}

// hold delays a call until it is known whether its content crashes backend servers, until the budget of repeats has room for
// one that has run, and until a backend server can be tried again.
func hold(now time.Time, w *rocktable.World, r *rocktable.Request) {
	r.State, r.Deadline = rocktable.RequestQueued, r.Call.Deadline
	w.HeldCalls = append(w.HeldCalls, r.ID)
	w.WakeAt(now.Add(holdInterval))
}

// resumeHeld dispatches the held calls that need not wait any more, and ends those without time or without a chance.
func resumeHeld(now time.Time, w *rocktable.World) {
	held := w.HeldCalls
	w.HeldCalls = nil
	for _, id := range held {
		if r := w.Requests.Get(id); r != nil && r.State == rocktable.RequestQueued {
			dispatch(now, w, r)
		}
	}
}

// endUnserved ends a call that cannot be dispatched any more. The code is the reason if it has not run.
func endUnserved(now time.Time, w *rocktable.World, r *rocktable.Request, code rockreason.Code) {
	if r.MayHaveRun {
		rockend.End(w, r.ID, rocktable.CauseCannotBeServed, rockreason.BackendFailed)
		return
	}
	if c := w.Claims.Get(r.ID); c != nil {
		releaseClaim(now, c)
	}
	rockend.Refuse(w, r.ID, code, 0)
}

// handleEnded decides what follows the end of a run: an answer, a dispatch to another backend server, or a record
// that the outcome is unknown.
func handleEnded(now time.Time, w *rocktable.World, e rocktable.CallEnded) {
	// The end of an earlier run was reported before. If it were taken for the end of the current one, a second run would start.
	if r := w.Requests.Get(e.Request); r != nil && (e.Run != r.Attempts-1 || r.State == rocktable.RequestQueued) {
		w.Count(rockreason.LateEvent)
		return
	}
	if s := w.Servers.Get(e.Server); s != nil && s.Role == rocktable.RoleApplication && s.InFlight > 0 {
		s.InFlight--
	}
	if s := w.Servers.Get(e.Server); s != nil && e.Reason != rockreason.CallerLeft {
		rockretry.RecordCall(now, s, e.Reason != rockreason.ServerUnreachable && !e.TooLong)
	}
	if s := w.Servers.Get(e.Server); s != nil {
		recordOrigin(now, w, s, e)
	}
	r, c := w.Requests.Get(e.Request), w.Claims.Get(e.Request)
	if r != nil && r.Call == nil {
		r = nil
	}
	if r != nil {
		recordRunTime(now, w, r, e)
	}
	if c != nil {
		handleClaimedEnd(now, w, e, r, c)
		return
	}
	if r == nil {
		w.Count(rockreason.LateEvent)
		return
	}
	row := outcomeRow(e)
	switch {
	case e.Reason == "":
		rockend.Record(w, r.ID, row)
	case e.Reason == rockreason.CallerLeft:
		r.MayHaveRun = r.MayHaveRun || e.Sent
		rockend.End(w, r.ID, rocktable.CauseCallerLeft, rockreason.CallerLeft)
	case !e.Sent:
		retryElsewhere(now, w, r, e)
	case r.Call.NeedsNoClaim && !r.Call.Idempotent:
		r.MayHaveRun = true
		rockend.End(w, r.ID, rocktable.CauseRunsUsedUp, rockreason.OutcomeUnknown)
	case e.AnswerBegun:
		r.MayHaveRun = true
		rockend.End(w, r.ID, rocktable.CauseRunsUsedUp, rockreason.BackendFailed)
	default:
		r.MayHaveRun = true
		// A failure that a backend server answered is an answer: it is passed on rather than delayed.
		isAnswered := e.Reason == rockreason.BackendFailed
		if r.Call.Runs >= maxRunsOf(r) || isAnswered && !rockretry.SpendSharedBudget(now, w, r) {
			cause := rocktable.CauseRunsUsedUp
			if isAnswered {
				cause = rocktable.CauseAnswered
			}
			rockend.End(w, r.ID, cause, rockreason.BackendFailed)
			return
		}
		w.Count(rockreason.LookupRepeated)
		r.AvoidServers = append(r.AvoidServers, e.Server)
		r.AwaitsBudget = !isAnswered
		dispatch(now, w, r)
	}
}

// recordOrigin records whether the backend server itself answered a call.
func recordOrigin(now time.Time, w *rocktable.World, s *rocktable.BackendServer, e rocktable.CallEnded) {
	switch {
	case e.Foreign:
		rockretry.RecordForeign(now, w, s)
	case e.Reason == "":
		rockretry.RecordProof(s)
	}
}

// handleClaimedEnd handles the end of the only run of a non-idempotent call. r is nil if the caller has left meanwhile.
func handleClaimedEnd(now time.Time, w *rocktable.World, e rocktable.CallEnded, r *rocktable.Request, c *rocktable.Claim) {
	if c.State != rocktable.ClaimHeld {
		w.Count(rockreason.LateEvent)
		return
	}
	if e.Reason != "" && !e.Sent {
		if r == nil {
			releaseClaim(now, c)
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
	c.Row, c.State, c.NextOp, c.AnswerBy = rowToRecord(w, row), rocktable.ClaimRecording, now, now.Add(recordWait)
	if r == nil {
		return
	}
	r.MayHaveRun = true
	r.State, r.Call.Claim, r.Call.Outcome = rocktable.RequestSettling, rocktable.ClaimRecording, row
}

// rowToRecord returns the row that is recorded for an outcome. A claim outlives its request and its row is encoded for the
// table service, so an answer that is too long is not recorded: a repeat of the call is told that it may have run.
func rowToRecord(w *rocktable.World, row rocktable.ClaimRow) rocktable.ClaimRow {
	held := int64(len(row.Body))
	isTooLong := held > w.Limits.OutcomeBytes/outcomeFraction
	for _, c := range w.Claims.All() {
		held += int64(len(c.Row.Body))
	}
	if !isTooLong && held <= w.Limits.OutcomeBytes {
		return row
	}
	w.Count(rockreason.OutcomeTooLong)
	return rocktable.ClaimRow{Attempt: row.Attempt, Digest: row.Digest, State: rocktable.ClaimRowUnknown}
}

// answerRun answers a call with the outcome of its run under its claim.
func answerRun(w *rocktable.World, c *rocktable.Claim) {
	if r := w.Requests.Get(c.Request); r != nil {
		answerOutcome(w, c.Request, r.Call.Outcome)
	}
}

func outcomeRow(e rocktable.CallEnded) rocktable.ClaimRow {
	return rocktable.ClaimRow{State: rocktable.ClaimRowRecorded, Status: e.Status, ContentType: e.ContentType, Body: e.Body}
}

// retryElsewhere dispatches a call that did not reach its backend server to another one.
func retryElsewhere(now time.Time, w *rocktable.World, r *rocktable.Request, e rocktable.CallEnded) {
	w.Count(rockreason.ServerUnreachable)
	r.Call.Runs--
	switch {
	case e.Reason != rockreason.StageRefused:
		r.Call.Unready = append(r.Call.Unready, e.Server)
	case r.MayHaveRun: // it may have run before, so it does not end because backend servers are full
		r.ConsecutiveRefusals++
		r.NotBefore = now.Add(refusalDelay << min(r.ConsecutiveRefusals-1, maxRefusalDoublings))
		r.AwaitsBudget = true
		r.Call.Unready = append(r.Call.Unready, e.Server)
	default:
		r.AvoidServers = append(r.AvoidServers, e.Server)
		if !rockretry.SpendSharedBudget(now, w, r) {
			endUnserved(now, w, r, rockreason.NoServer)
			return
		}
	}
	dispatch(now, w, r)
}

// recordRunTime records the time of a run that ended with an answer.
func recordRunTime(now time.Time, w *rocktable.World, r *rocktable.Request, e rocktable.CallEnded) {
	service := w.Services.Get(r.Call.Service)
	if service != nil && e.Reason == "" {
		rockadmit.Smooth(&service.RunTime, now.Sub(r.Call.StartedAt))
	}
}

// answerOutcome answers a call with the outcome in its claim row.
func answerOutcome(w *rocktable.World, id rocktable.RequestID, row rocktable.ClaimRow) {
	r := w.Requests.Get(id)
	if r == nil || r.State == rocktable.RequestDone {
		return
	}
	if row.State != rocktable.ClaimRowRecorded {
		rockend.End(w, id, rocktable.CauseRunsUsedUp, rockreason.OutcomeUnknown)
		return
	}
	rockend.Record(w, id, row)
}
