package rockclaim

import (
	"fmt"
	"time"

	"sassafrasrock/core/rockadmit"
	"sassafrasrock/core/rockend"
	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

const (
	// opTimeout is the time after which an operation on the table service without an answer counts as lost.
	opTimeout = 5 * time.Second
	// opRetryDelay is the delay after an operation that did not reach the table service or did not return the row.
	opRetryDelay = 500 * time.Millisecond
	// maxSeenClaims limits the claims of other attempts that a host remembers.
	maxSeenClaims = 10000
	// seenClaimRetention is the time after the last lookup of a claim after which it may be forgotten.
	seenClaimRetention = 3 * maxCallTimeout
	// staleClaimAge is the time without change after which no run under a claim can still be in progress: the longest
	// call and the time to claim it.
	staleClaimAge = maxCallTimeout + 2*claimTimeout
)

// writeClaim begins the write of a call's claim row.
func writeClaim(now time.Time, w *rocktable.World, r *rocktable.Request) {
	r.State, r.Call.Claim = rocktable.RequestClaiming, rocktable.ClaimWriting
	r.Call.AttemptName = fmt.Sprintf("%s#%d/%d", w.SelfHost().Name, w.Incarnation, r.ID)
	w.Claims.Put(r.ID, rocktable.Claim{
		Request: r.ID, Key: r.Call.ClaimKey, State: rocktable.ClaimWriting, NextOp: now, Deadline: now.Add(claimTimeout),
		Row: rocktable.ClaimRow{Attempt: r.Call.AttemptName, Digest: r.Call.Digest, State: rocktable.ClaimRowClaimed},
	})
}

// releaseClaim releases a claim whose call reached no backend server. The write continues after the answer.
// If the write of the claim itself is still in flight, the released row keeps it from taking effect later.
func releaseClaim(now time.Time, c *rocktable.Claim) {
	c.PendingOp = 0
	c.State, c.NextOp, c.Deadline = rocktable.ClaimReleasing, now, time.Time{}
	c.Row.State = rocktable.ClaimRowReleased
}

// advanceClaims sends the operations that are due and handles operations, claims and answers that have timed out.
func advanceClaims(now time.Time, w *rocktable.World) {
	for id, c := range w.Claims.All() {
		r := w.Requests.Get(id)
		if r != nil && r.State == rocktable.RequestDone {
			r = nil
		}
		if c.PendingOp != 0 && now.Sub(c.PendingSince) >= opTimeout {
			c.PendingOp, c.NextOp, c.OutcomeUnknown = 0, now, c.OutcomeUnknown || c.State != rocktable.ClaimReading
			readBackIfWriting(c)
		}
		if r != nil && rockadmit.IsStopOver(now, w) {
			endForStop(now, w, r, c)
			if w.Claims.Get(id) == nil {
				continue
			}
		}
		if isClaiming(c) && (r == nil || !now.Before(c.Deadline)) {
			abandonClaim(now, w, c, rockreason.PlatformOut)
			if w.Claims.Get(id) == nil {
				continue
			}
		}
		if c.State == rocktable.ClaimRecording && r != nil && !now.Before(c.AnswerBy) {
			answerRun(w, c)
		}
		sendDueOperation(now, w, c)
		requestWake(now, w, c)
	}
}

func isClaiming(c *rocktable.Claim) bool {
	return c.State == rocktable.ClaimWriting || c.State == rocktable.ClaimReading
}

// readBackIfWriting makes the next operation of a claim a read if the result of its write is unclear.
func readBackIfWriting(c *rocktable.Claim) {
	if c.State == rocktable.ClaimWriting {
		c.State = rocktable.ClaimReading
	}
}

// abandonClaim refuses a call whose claim could not be written in time. It releases the claim if a write may still
// take effect.
func abandonClaim(now time.Time, w *rocktable.World, c *rocktable.Claim, code rockreason.Code) {
	if w.Requests.Get(c.Request) != nil {
		rockend.Refuse(w, c.Request, code, 0)
	}
	if c.OutcomeUnknown || c.PendingOp != 0 {
		releaseClaim(now, c)
		return
	}
	w.Claims.Delete(c.Request)
}

func sendDueOperation(now time.Time, w *rocktable.World, c *rocktable.Claim) {
	if c.PendingOp != 0 || c.State == rocktable.ClaimHeld || now.Before(c.NextOp) {
		return
	}
	op := rocktable.TableOp[rocktable.ClaimRow]{Op: w.NextOp(), Key: c.Key}
	if c.State != rocktable.ClaimReading {
		op.Write, op.Expected, op.Row = true, c.Version, c.Row
	}
	c.PendingOp, c.PendingSince = op.Op, now
	w.Outbox.ClaimOps = append(w.Outbox.ClaimOps, op)
}

func requestWake(now time.Time, w *rocktable.World, c *rocktable.Claim) {
	if c.PendingOp != 0 {
		w.WakeAt(c.PendingSince.Add(opTimeout))
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

func handleResult(now time.Time, w *rocktable.World, r rocktable.TableResult[rocktable.ClaimRow]) {
	for _, c := range w.Claims.All() {
		if c.PendingOp == r.Op && r.Op != 0 {
			c.PendingOp, c.NextOp = 0, now
			applyResult(now, w, c, r)
			return
		}
	}
	w.Count(rockreason.LateEvent)
}

// applyResult decides what follows the result of a claim's operation.
func applyResult(now time.Time, w *rocktable.World, c *rocktable.Claim, r rocktable.TableResult[rocktable.ClaimRow]) {
	switch r.Status {
	case rocktable.TableUnavailable:
		c.NextOp = now.Add(opRetryDelay)
		if isClaiming(c) && !c.OutcomeUnknown {
			abandonClaim(now, w, c, rockreason.PlatformOut)
		}
	case rocktable.TableOutcomeUnknown:
		w.Count(rockreason.ClaimReadBack)
		c.OutcomeUnknown = c.OutcomeUnknown || r.Write
		readBackIfWriting(c)
		if !r.Write {
			c.NextOp = now.Add(opRetryDelay)
		}
	case rocktable.TableConflict:
		handleConflict(now, w, c, r)
	case rocktable.TableOK:
		if r.Write {
			handleWritten(now, w, c, r.Version)
			return
		}
		handleRow(now, w, c, r)
	}
}

// handleWritten handles a write that took effect.
func handleWritten(now time.Time, w *rocktable.World, c *rocktable.Claim, version uint64) {
	c.Version, c.OutcomeUnknown = version, false
	switch c.State {
	case rocktable.ClaimRecording:
		answerRun(w, c)
		w.Claims.Delete(c.Request)
	case rocktable.ClaimReleasing:
		w.Claims.Delete(c.Request)
	default:
		startClaimedRun(now, w, c)
	}
}

// startClaimedRun starts the only run of a call under its claim.
func startClaimedRun(now time.Time, w *rocktable.World, c *rocktable.Claim) {
	c.State = rocktable.ClaimHeld
	r := w.Requests.Get(c.Request)
	if r == nil || r.State == rocktable.RequestDone {
		releaseClaim(now, c)
		return
	}
	r.Call.Claim, r.Call.ClaimVersion = rocktable.ClaimHeld, c.Version
	dispatch(now, w, r)
}

func handleConflict(now time.Time, w *rocktable.World, c *rocktable.Claim, r rocktable.TableResult[rocktable.ClaimRow]) {
	if r.Found {
		handleRow(now, w, c, r)
		return
	}
	// The conflicting row is not known. A claim is read back. A record or release is written again as a first write,
	// whose conflict returns the row.
	readBackIfWriting(c)
	c.Version, c.NextOp = 0, now.Add(opRetryDelay)
}

// handleRow decides what follows from the stored row of a claim.
func handleRow(now time.Time, w *rocktable.World, c *rocktable.Claim, r rocktable.TableResult[rocktable.ClaimRow]) {
	own := r.Found && r.Row.Attempt == c.Row.Attempt
	switch {
	case !isClaiming(c):
		handleOwnRow(w, c, r, own)
	case !r.Found:
		// The lost write may still take effect. The next one writes the same attempt, so either may take effect first.
		c.State, c.Version = rocktable.ClaimWriting, 0
	case own && r.Row.State == rocktable.ClaimRowClaimed:
		c.Version, c.OutcomeUnknown = r.Version, false
		startClaimedRun(now, w, c)
	case r.Row.Digest != c.Row.Digest:
		refuse(w, c, rockreason.KeyReused)
	case r.Row.State == rocktable.ClaimRowReleased:
		c.State, c.Version = rocktable.ClaimWriting, r.Version
	case r.Row.State == rocktable.ClaimRowRecorded:
		answerOutcome(w, c.Request, r.Row)
		w.Claims.Delete(c.Request)
	case r.Row.State == rocktable.ClaimRowClaimed && !isStale(now, w, c.Key, r.Version):
		refuse(w, c, rockreason.InProgress)
	default:
		refuse(w, c, rockreason.OutcomeUnknown)
	}
}

// handleOwnRow continues a record or release after a conflict: the row holds the outcome already, or has another
// version than expected.
func handleOwnRow(w *rocktable.World, c *rocktable.Claim, r rocktable.TableResult[rocktable.ClaimRow], own bool) {
	switch {
	case own && r.Row.State == c.Row.State || r.Found && !own:
		if c.State == rocktable.ClaimRecording {
			answerRun(w, c)
		}
		w.Claims.Delete(c.Request)
	default:
		c.Version = r.Version
	}
}

// refuse refuses a call whose claim row belongs to another attempt.
func refuse(w *rocktable.World, c *rocktable.Claim, code rockreason.Code) {
	w.Claims.Delete(c.Request)
	if code == rockreason.InProgress {
		rockend.Refuse(w, c.Request, code, inProgressRetryAfter)
		return
	}
	if reason, _ := rockreason.Find(code); reason.Ran != rockreason.NotRun {
		rockend.End(w, c.Request, rocktable.CauseRunsUsedUp, code) // another attempt has had the only run of the key
		return
	}
	rockend.Refuse(w, c.Request, code, 0)
}

// isStale reports whether the claim of another attempt has not changed, since this host first saw it, for longer than
// any call lasts. Only the local monotonic clock is used: the row was written before this host saw it.
func isStale(now time.Time, w *rocktable.World, key string, version uint64) bool {
	seen := w.SeenClaims.Get(key)
	if seen == nil || seen.Version != version {
		if seen == nil && w.SeenClaims.Len() >= maxSeenClaims {
			evictSeenClaims(now, w)
		}
		if seen != nil || w.SeenClaims.Len() < maxSeenClaims {
			w.SeenClaims.Put(key, rocktable.SeenClaim{Version: version, SeenAt: now, LookedUpAt: now})
		}
		return false
	}
	seen.LookedUpAt = now
	return now.Sub(seen.SeenAt) >= staleClaimAge
}

func evictSeenClaims(now time.Time, w *rocktable.World) {
	for key, seen := range w.SeenClaims.All() {
		if now.Sub(seen.LookedUpAt) >= seenClaimRetention {
			w.SeenClaims.Delete(key)
		}
	}
}
