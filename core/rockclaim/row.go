package rockclaim

import (
	"fmt"
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

const (
	// opLimit is the silence after which an operation on the table service counts as lost.
	opLimit = 5 * time.Second
	// opRetry is the wait after an operation that did not reach the table service.
	opRetry = 500 * time.Millisecond
	// seenLimit bounds the claims of others that a host remembers.
	seenLimit = 10000
	// seenKept is the time after the last question about a claim after which it is forgotten.
	seenKept = 3 * longestCall
	// claimAge is the time without change after which no run can end any more under a claim: the longest call and the time to claim it.
	claimAge = longestCall + 2*claimLimit
)

// claim begins the write of a call's claim row.
func claim(now time.Time, w *rocktable.World, r *rocktable.Request) {
	r.State, r.Call.Claim = rocktable.RequestClaiming, rocktable.ClaimWriting
	r.Call.AttemptName = fmt.Sprintf("%s#%d/%d", w.SelfHost().Name, w.Incarnation, r.ID)
	w.Claims.Put(r.ID, rocktable.Claim{
		Request: r.ID, Key: r.Call.ClaimKey, State: rocktable.ClaimWriting, NextOp: now, Deadline: now.Add(claimLimit),
		Row: rocktable.ClaimRow{Attempt: r.Call.AttemptName, Digest: r.Call.Digest, State: rocktable.ClaimRowClaimed},
	})
}

// release gives a claim back whose call was handed to no backend server; the write goes on after the answer.
// Where the claim's own write is under way, the released row keeps it from taking effect later.
func release(now time.Time, c *rocktable.Claim) {
	c.Op = 0
	c.State, c.NextOp, c.Deadline = rocktable.ClaimReleasing, now, time.Time{}
	c.Row.State = rocktable.ClaimRowReleased
}

// runClaims sends the operations that are due and ends what is past its time.
func runClaims(now time.Time, w *rocktable.World) {
	for id, c := range w.Claims.All() {
		r := w.Requests.Get(id)
		if r != nil && r.State == rocktable.RequestDone {
			r = nil
		}
		if c.Op != 0 && now.Sub(c.OpAt) >= opLimit {
			c.Op, c.NextOp, c.Unclear = 0, now, c.Unclear || c.State != rocktable.ClaimReading
			readBack(c)
		}
		if isClaiming(c) && (r == nil || !now.Before(c.Deadline)) {
			giveUp(now, w, c)
			if w.Claims.Get(id) == nil {
				continue
			}
		}
		if c.State == rocktable.ClaimRecording && r != nil && !now.Before(c.AnswerBy) {
			answerRow(w, id, c.Row)
		}
		operate(now, w, c)
		wake(now, w, c)
	}
}

func isClaiming(c *rocktable.Claim) bool {
	return c.State == rocktable.ClaimWriting || c.State == rocktable.ClaimReading
}

// readBack makes the next operation of a claim whose write is unclear a read.
func readBack(c *rocktable.Claim) {
	if c.State == rocktable.ClaimWriting {
		c.State = rocktable.ClaimReading
	}
}

// giveUp refuses a call whose claim could not be written in time.
func giveUp(now time.Time, w *rocktable.World, c *rocktable.Claim) {
	if w.Requests.Get(c.Request) != nil {
		w.Answer(c.Request, rockreason.PlatformOut)
	}
	if c.Unclear || c.Op != 0 {
		release(now, c)
		return
	}
	w.Claims.Delete(c.Request)
}

func operate(now time.Time, w *rocktable.World, c *rocktable.Claim) {
	if c.Op != 0 || c.State == rocktable.ClaimHeld || now.Before(c.NextOp) {
		return
	}
	op := rocktable.TableOp[rocktable.ClaimRow]{Op: w.NextOp(), Key: c.Key}
	if c.State != rocktable.ClaimReading {
		op.Write, op.Expected, op.Row = true, c.Version, c.Row
	}
	c.Op, c.OpAt = op.Op, now
	w.Outbox.ClaimOps = append(w.Outbox.ClaimOps, op)
}

func wake(now time.Time, w *rocktable.World, c *rocktable.Claim) {
	if c.Op != 0 {
		w.WakeAt(c.OpAt.Add(opLimit))
	} else if c.State != rocktable.ClaimHeld {
		w.WakeAt(c.NextOp)
	}
	if isClaiming(c) {
		w.WakeAt(c.Deadline)
	}
	if c.State == rocktable.ClaimRecording && now.Before(c.AnswerBy) {
		w.WakeAt(c.AnswerBy)
	}
}

func takeResult(now time.Time, w *rocktable.World, r rocktable.TableResult[rocktable.ClaimRow]) {
	for _, c := range w.Claims.All() {
		if c.Op == r.Op && r.Op != 0 {
			c.Op, c.NextOp = 0, now
			settle(now, w, c, r)
			return
		}
	}
	w.Count(rockreason.LateEvent)
}

// settle decides on a claim from the end of its operation.
func settle(now time.Time, w *rocktable.World, c *rocktable.Claim, r rocktable.TableResult[rocktable.ClaimRow]) {
	switch r.Status {
	case rocktable.TableUnavailable:
		c.NextOp = now.Add(opRetry)
		if isClaiming(c) && !c.Unclear {
			giveUp(now, w, c)
		}
	case rocktable.TableUnclear:
		w.Count(rockreason.ClaimReadBack)
		c.Unclear = c.Unclear || r.Write
		readBack(c)
		if !r.Write {
			c.NextOp = now.Add(opRetry)
		}
	case rocktable.TableConflict:
		takeConflict(now, w, c, r)
	case rocktable.TableOK:
		if r.Write {
			takeWritten(now, w, c, r.Version)
			return
		}
		takeRow(now, w, c, r)
	}
}

// takeWritten handles a write that took effect.
func takeWritten(now time.Time, w *rocktable.World, c *rocktable.Claim, version uint64) {
	c.Version, c.Unclear = version, false
	switch c.State {
	case rocktable.ClaimRecording:
		answerRow(w, c.Request, c.Row)
		w.Claims.Delete(c.Request)
	case rocktable.ClaimReleasing:
		w.Claims.Delete(c.Request)
	default:
		hold(now, w, c)
	}
}

// hold starts the one run of a call under its claim.
func hold(now time.Time, w *rocktable.World, c *rocktable.Claim) {
	c.State = rocktable.ClaimHeld
	r := w.Requests.Get(c.Request)
	if r == nil || r.State == rocktable.RequestDone {
		release(now, c)
		return
	}
	r.Call.Claim, r.Call.ClaimVersion = rocktable.ClaimHeld, c.Version
	start(now, w, r)
}

func takeConflict(now time.Time, w *rocktable.World, c *rocktable.Claim, r rocktable.TableResult[rocktable.ClaimRow]) {
	if r.Found {
		takeRow(now, w, c, r)
		return
	}
	// The row that is in the way is not known. A claim is read; a record or release is written again
	// as a first write, whose conflict brings the row.
	readBack(c)
	c.Version, c.NextOp = 0, now.Add(opRetry)
}

// takeRow decides on a claim from the row as stored.
func takeRow(now time.Time, w *rocktable.World, c *rocktable.Claim, r rocktable.TableResult[rocktable.ClaimRow]) {
	mine := r.Found && r.Row.Attempt == c.Row.Attempt
	switch {
	case !isClaiming(c):
		takeOwnRow(w, c, r, mine)
	case !r.Found:
		// The lost write may still arrive; the next one with the same attempt makes no difference to it.
		c.State, c.Version = rocktable.ClaimWriting, 0
	case mine && r.Row.State == rocktable.ClaimRowClaimed:
		c.Version, c.Unclear = r.Version, false
		hold(now, w, c)
	case r.Row.Digest != c.Row.Digest:
		refuse(w, c, rockreason.KeyReused)
	case r.Row.State == rocktable.ClaimRowReleased:
		c.State, c.Version = rocktable.ClaimWriting, r.Version
	case r.Row.State == rocktable.ClaimRowRecorded:
		answerRow(w, c.Request, r.Row)
		w.Claims.Delete(c.Request)
	case r.Row.State == rocktable.ClaimRowClaimed && !isOld(now, w, c.Key, r.Version):
		refuse(w, c, rockreason.InProgress)
	default:
		refuse(w, c, rockreason.OutcomeUnknown)
	}
}

// takeOwnRow continues a record or release after a conflict: the row has the outcome already, or has another version than expected.
func takeOwnRow(w *rocktable.World, c *rocktable.Claim, r rocktable.TableResult[rocktable.ClaimRow], mine bool) {
	switch {
	case mine && r.Row.State == c.Row.State || r.Found && !mine:
		if c.State == rocktable.ClaimRecording {
			answerRow(w, c.Request, c.Row)
		}
		w.Claims.Delete(c.Request)
	default:
		c.Version = r.Version
	}
}

// refuse ends a call whose key belongs to another attempt.
func refuse(w *rocktable.World, c *rocktable.Claim, code rockreason.Code) {
	w.Claims.Delete(c.Request)
	if code == rockreason.InProgress {
		w.Outbox.Answers = append(w.Outbox.Answers, rocktable.Answer{Request: c.Request, Reason: code, RetryAfter: retryAfter})
		return
	}
	w.Answer(c.Request, code)
}

// isOld reports whether another attempt's claim has not changed, since this host saw it first, for longer than any call lasts.
// Only the local monotonic clock is used: the row was written before it was seen.
func isOld(now time.Time, w *rocktable.World, key string, version uint64) bool {
	seen := w.SeenClaims.Get(key)
	if seen == nil || seen.Version != version {
		if seen == nil && w.SeenClaims.Len() >= seenLimit {
			forgetSeen(now, w)
		}
		if seen != nil || w.SeenClaims.Len() < seenLimit {
			w.SeenClaims.Put(key, rocktable.SeenClaim{Version: version, SeenAt: now, AskedAt: now})
		}
		return false
	}
	seen.AskedAt = now
	return now.Sub(seen.SeenAt) >= claimAge
}

func forgetSeen(now time.Time, w *rocktable.World) {
	for key, seen := range w.SeenClaims.All() {
		if now.Sub(seen.AskedAt) >= seenKept {
			w.SeenClaims.Delete(key)
		}
	}
}
