package rockconfig

import (
	"slices"
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

const (
	// changeLimit bounds the time in which a change is settled.
	changeLimit = 10 * time.Second
	// changeRetry is the wait after an operation that did not reach the table service.
	changeRetry = 500 * time.Millisecond
	// earlierKept is the number of accepted changes that the row lists.
	earlierKept = 16
)

// takeChange begins a change; a change id that is under way already is the same change.
func takeChange(now time.Time, w *rocktable.World, c rocktable.ConfigChange) {
	if w.Changes.Get(c.ChangeID) != nil {
		return
	}
	w.Changes.Put(c.ChangeID, rocktable.PendingChange{Change: c, Reading: true, Deadline: now.Add(changeLimit), NextOp: now})
}

// runChanges reads the row for changes that are due and ends those that are past their deadline.
func runChanges(now time.Time, w *rocktable.World) {
	for _, p := range w.Changes.All() {
		if !now.Before(p.Deadline) {
			giveUp(w, p)
			continue
		}
		if p.Op != 0 && now.Sub(p.SentAt) >= opLimit {
			p.Unclear = p.Unclear || !p.Reading
			p.Op = 0
		}
		if p.Op == 0 && !now.Before(p.NextOp) {
			sendChange(now, w, p, rocktable.TableOp[rocktable.ConfigRow]{Key: RowKey})
		}
		w.WakeAt(p.Deadline)
		if p.Op == 0 {
			w.WakeAt(p.NextOp)
		} else {
			w.WakeAt(p.SentAt.Add(opLimit))
		}
	}
}

func sendChange(now time.Time, w *rocktable.World, p *rocktable.PendingChange, op rocktable.TableOp[rocktable.ConfigRow]) {
	op.Op = w.NextOp()
	p.Op, p.SentAt, p.Reading = op.Op, now, !op.Write
	w.Outbox.ConfigOps = append(w.Outbox.ConfigOps, op)
}

func takeChangeResult(now time.Time, w *rocktable.World, p *rocktable.PendingChange, r rocktable.TableResult[rocktable.ConfigRow]) {
	p.NextOp = now
	switch r.Status {
	case rocktable.TableUnavailable:
		p.NextOp = now.Add(changeRetry)
	case rocktable.TableUnclear:
		if r.Write {
			p.Unclear = true
			w.Count(rockreason.ConfigReadBack)
		}
	case rocktable.TableConflict:
		if r.Found {
			Accept(now, w, r.Version, r.Row)
			settle(now, w, p, r.Version, r.Row)
		}
	case rocktable.TableOK:
		if !r.Write {
			settle(now, w, p, r.Version, r.Row)
			return
		}
		row := r.Row
		if row.ChangeID != p.Change.ChangeID {
			row = rocktable.ConfigRow{ChangeID: p.Change.ChangeID, Configuration: p.Change.Configuration}
		}
		Accept(now, w, r.Version, row)
		end(w, p, "", r.Version)
	}
}

// settle decides on a change from the row as stored: it was accepted, another is in the way, or it is to be written.
func settle(now time.Time, w *rocktable.World, p *rocktable.PendingChange, version uint64, row rocktable.ConfigRow) {
	if version > 0 && row.ChangeID == p.Change.ChangeID {
		end(w, p, "", version)
		return
	}
	for _, e := range row.Earlier {
		if e.ChangeID == p.Change.ChangeID {
			end(w, p, "", e.Version)
			return
		}
	}
	if version != p.Change.ExpectedVersion {
		end(w, p, rockreason.ConfigConflict, version)
		return
	}
	// A write that was lost may still arrive late; the expected version and the change id make the second one harmless.
	next := rocktable.ConfigRow{ChangeID: p.Change.ChangeID, Configuration: p.Change.Configuration}
	if version > 0 {
		next.Earlier = append(slices.Clone(row.Earlier), rocktable.AcceptedChange{ChangeID: row.ChangeID, Version: version})
		next.Earlier = next.Earlier[max(0, len(next.Earlier)-earlierKept):]
	}
	sendChange(now, w, p, rocktable.TableOp[rocktable.ConfigRow]{Key: RowKey, Write: true, Expected: version, Row: next})
}

func giveUp(w *rocktable.World, p *rocktable.PendingChange) {
	if p.Unclear || p.Op != 0 && !p.Reading {
		end(w, p, rockreason.ConfigUnsettled, w.ConfigVersion)
		return
	}
	end(w, p, rockreason.PlatformOut, w.ConfigVersion)
}

func end(w *rocktable.World, p *rocktable.PendingChange, code rockreason.Code, version uint64) {
	if code != "" {
		w.Count(code)
	}
	change := p.Change.ChangeID
	w.Outbox.ConfigEnds = append(w.Outbox.ConfigEnds, rocktable.ConfigEnd{ChangeID: change, Reason: code, Version: version})
	w.Changes.Delete(change)
}
