package rockpart

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

const (
	// blameCrashes is the number of crashes from which a part is blamed. Two may be chance: a backend server that fails
	// for another reason has a few requests without a token.
	blameCrashes = 3
	// settleTime is the time from then until a part is blamed. Hosts learn of the same crash some milliseconds apart, and
	// a sound part that shares its requests with the cause may have enough crashes before the cause has them.
	settleTime = 250 * time.Millisecond
	// keepCrashes is the time for which a part is kept after its last crash. A blamed part is refused until then.
	keepCrashes = 10 * time.Minute
	// keepExcused is the time for which a part without crashes that count is kept, so that peers learn that they are
	// excused.
	keepExcused = time.Minute
	// maxCrashIDs limits the crashes of a part. Further ones are ignored: hosts that dropped others for them would report
	// the part to each other for ever.
	maxCrashIDs = 32
	// maxCallTrial is the longest time for which calls wait for the answer to another one of their content. It may be slow.
	maxCallTrial = time.Second
	// checkTimeout is the time without an answer after which a crash check counts as unanswered.
	checkTimeout = time.Second
)

// System finds parts of prompts that crash backend servers.
var System = rocktable.System{
	Name:        "rockpart",
	Description: "Finds parts of prompts that crash each backend server that begins to write an answer on them.",
	Run:         run,
}

func run(now time.Time, w *rocktable.World) {
	for _, p := range w.Inbox.Progress {
		if p.Tokens > 0 {
			excuseAttempt(now, w, p.Attempt)
		}
	}
	for _, e := range w.Inbox.AttemptsEnded {
		applyEnd(now, w, e)
	}
	for _, e := range w.Inbox.CallsEnded {
		applyCallEnd(now, w, e)
	}
	for _, reset := range w.Inbox.Resets {
		if p := w.Parts.Get(rocktable.PartID(reset.Fingerprint)); p != nil {
			excuse(now, w, p)
		}
	}
	for _, a := range w.Inbox.CrashChecks {
		applyCheck(now, w, a)
	}
	for _, r := range w.Inbox.PartResults {
		applyStored(now, w, r)
	}
	for server, c := range w.CrashChecks.All() {
		if now.Sub(c.SentAt) >= checkTimeout {
			w.CrashChecks.Delete(server)
		} else {
			w.WakeAt(c.SentAt.Add(checkTimeout))
		}
	}
	for _, p := range w.Parts.All() {
		if !now.Before(p.ExpiresAt) {
			expire(now, w, p)
		}
	}
	if w.JudgeParts {
		w.JudgeParts = false
		judge(now, w)
	}
	syncStored(now, w)
}

// expire excuses the crashes of a part, and deletes a part without any that count. The excuses keep the row of the store
// and peers from bringing the crashes back.
func expire(now time.Time, w *rocktable.World, p *rocktable.PromptPart) {
	if len(counted(p)) == 0 {
		w.Parts.Delete(p.ID)
		w.JudgeParts = true
		return
	}
	Merge(now, w, rocktable.PartUpdate{Part: p.ID, Depth: p.Depth, Excused: p.Crashes, Remaining: keepExcused}, false)
}

// applyEnd records a sign against the parts of a request whose attempt ended with a backend server before its first
// token, and excuses those of a complete answer.
func applyEnd(now time.Time, w *rocktable.World, e rocktable.AttemptEnded) {
	if e.Tokens > 0 || e.Reason == "" {
		excuseAttempt(now, w, e.Attempt)
		return
	}
	a := w.Attempts.Get(e.Attempt)
	// A request that did not reach the backend server did not crash it.
	if a == nil || a.Tokens > 0 || !e.Crashed || e.Reason == rockreason.StageUnreachable {
		return
	}
	r, s := w.Requests.Get(a.Request), w.Servers.Get(e.FailedServer)
	if r == nil || s == nil {
		return
	}
	incarnation := s.Incarnation
	for _, stage := range a.Path {
		if stage.Server == s.ID && stage.Incarnation != 0 {
			incarnation = stage.Incarnation
		}
	}
	recordSign(now, w, r, s, incarnation)
}

// applyCallEnd records a sign against the content of a call that lost its backend server before the first byte of an
// answer, and excuses that of a call that was answered.
func applyCallEnd(now time.Time, w *rocktable.World, e rocktable.CallEnded) {
	r, s := w.Requests.Get(e.Request), w.Servers.Get(e.Server)
	switch {
	case r == nil || r.Call == nil || s == nil:
	case e.Reason == "" || e.Reason == rockreason.BackendFailed:
		excuseParts(now, w, r)
	case e.Sent && e.Crashed && !e.TooLong && !e.AnswerBegun && !e.Foreign:
		recordSign(now, w, r, s, r.Call.Incarnation)
	}
}

// recordSign records a sign that a request crashed a process of a backend server, which is asked whether it still runs.
func recordSign(now time.Time, w *rocktable.World, r *rocktable.Request, s *rocktable.BackendServer, incarnation uint64) {
	var signs []rocktable.PartAtDepth
	for depth, id := range partsOf(w, r) {
		signs = append(signs, rocktable.PartAtDepth{Part: id, Depth: depth})
	}
	if len(signs) == 0 {
		return
	}
	c := w.CrashChecks.Get(s.ID)
	if c == nil || c.Incarnation != incarnation {
		c = w.CrashChecks.Put(s.ID, rocktable.CrashCheck{Server: s.ID, Incarnation: incarnation, SentAt: now})
		w.Outbox.CrashChecks = append(w.Outbox.CrashChecks, rocktable.CrashQuestion{Server: s.ID, Role: s.Role, Address: s.Address})
		w.WakeAt(now.Add(checkTimeout))
	}
	c.Parts = append(c.Parts, signs...)
	if c.Confirmed {
		addCrash(now, w, c)
	}
}

// applyCheck resolves the signs at a backend server by its answer.
func applyCheck(now time.Time, w *rocktable.World, a rocktable.CrashAnswer) {
	c := w.CrashChecks.Get(a.Server)
	switch {
	case c == nil || c.Confirmed:
	case a.Gone || a.Incarnation != 0 && a.Incarnation != c.Incarnation:
		c.Confirmed, c.SentAt = true, now // attempts that the same crash ended may still be reported
		addCrash(now, w, c)
	default:
		w.CrashChecks.Delete(a.Server) // it still runs, or does not answer
	}
}

// addCrash adds a confirmed crash to the parts of its signs.
func addCrash(now time.Time, w *rocktable.World, c *rocktable.CrashCheck) {
	s := w.Servers.Get(c.Server)
	if s == nil {
		return
	}
	crash := xxhash.Sum64String(s.Name + "/" + strconv.FormatUint(c.Incarnation, 10))
	for _, p := range c.Parts {
		Merge(now, w, rocktable.PartUpdate{Part: p.Part, Depth: p.Depth, Crashes: []uint64{crash}, Remaining: keepCrashes}, true)
		if part := w.Parts.Get(p.Part); part != nil {
			scheduleStored(w, part, now)
		}
	}
	c.Parts = nil
}

// excuseAttempt excuses the crashes of all parts of the request of an attempt that got a token.
func excuseAttempt(now time.Time, w *rocktable.World, attempt rocktable.AttemptID) {
	if a := w.Attempts.Get(attempt); a != nil {
		excuseParts(now, w, w.Requests.Get(a.Request))
	}
}

// excuseParts excuses the crashes of all parts of a request that got a token or an answer.
func excuseParts(now time.Time, w *rocktable.World, r *rocktable.Request) {
	if r == nil || w.Parts.Len() == 0 {
		return
	}
	for _, id := range partsOf(w, r) {
		if p := w.Parts.Get(id); p != nil && len(counted(p)) > 0 {
			excuse(now, w, p)
		}
	}
}

// excuse excuses the crashes of a part. Peers are told at once if they were told of the crashes in this way.
func excuse(now time.Time, w *rocktable.World, p *rocktable.PromptPart) {
	Merge(now, w, rocktable.PartUpdate{Part: p.ID, Depth: p.Depth, Excused: p.Crashes, Remaining: keepExcused}, len(p.Crashes) > 1)
}

// Merge adds crashes to a part, and excuses crashes. Both sets only grow, so that updates may arrive in any order. What
// is new is reported to peers in the rounds of gossip, or at once.
func Merge(now time.Time, w *rocktable.World, u rocktable.PartUpdate, atOnce bool) {
	if u.Remaining <= 0 {
		return
	}
	p := w.Parts.GetOrPut(u.Part)
	p.ID, p.Depth = u.Part, u.Depth
	before := len(counted(p))
	added := addIDs(&p.Crashes, u.Crashes, maxCrashIDs)
	excused := addIDs(&p.Excused, u.Excused, math.MaxInt) // as many as the hosts have crashes
	if !added && !excused {
		if p.ExpiresAt.IsZero() {
			w.Parts.Delete(u.Part)
		}
		return
	}
	if until := now.Add(min(u.Remaining, keepCrashes)); until.After(p.ExpiresAt) {
		p.ExpiresAt = until
	}
	if len(counted(p)) == 0 {
		p.ExpiresAt = now.Add(keepExcused)
	}
	if excused && w.Follow.Follows {
		scheduleStored(w, p, now.Add(excuseDelay+time.Duration(w.Rand.Int64N(int64(excuseSpread)))))
	}
	if u.Blamed && len(counted(p)) >= blameCrashes && p.SuspectAt.IsZero() {
		p.SuspectAt = now.Add(-settleTime) // the verdict has settled at the peer
	}
	p.ChangeSeq = w.NextChangeSeq()
	w.JudgeParts = true
	if atOnce {
		w.Gossip.ChangedParts = append(w.Gossip.ChangedParts, p.ID)
		w.WakeAt(now)
	}
	w.LogChange("part", p.ID.String(), crashCount(before), crashCount(len(counted(p))))
}

func crashCount(n int) string { return strconv.Itoa(n) + " crashes" }

// addIDs adds the ids that a set does not have yet, up to a limit, and reports whether there were any.
func addIDs(set *[]uint64, ids []uint64, limit int) bool {
	added := false
	for _, id := range ids {
		if len(*set) < limit && !slices.Contains(*set, id) {
			*set, added = append(*set, id), true
		}
	}
	return added
}
