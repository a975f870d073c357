package rockconfig

import (
	"slices"
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

const (
	// changeTimeout is the longest time until a change ends.
	changeTimeout = 10 * time.Second
	// changeRetry is the wait after an operation that did not reach the table service.
	changeRetry = 500 * time.Millisecond
	// maxEarlier is the number of earlier accepted changes that the row lists.
	maxEarlier = 16
)

// startChange begins a change. A change with the id of one in progress is the same change, sent again.
func startChange(now time.Time, w *rocktable.World, c rocktable.ConfigChange) {
	if w.Changes.Get(c.ChangeID) != nil {
		return
	}
	w.Changes.Put(c.ChangeID, rocktable.PendingChange{Change: c, Reading: true, Deadline: now.Add(changeTimeout), NextOp: now})
}

// runChanges reads the row for changes whose next operation is due, and ends changes that are past their deadline.
func runChanges(now time.Time, w *rocktable.World) {
	for _, p := range w.Changes.All() {
		if !now.Before(p.Deadline) {
			abandonChange(w, p)
			continue
		}
		if p.PendingOp != 0 && now.Sub(p.SentAt) >= opTimeout {
			p.OutcomeUnknown = p.OutcomeUnknown || !p.Reading
			p.PendingOp = 0
		}
		if p.PendingOp == 0 && !now.Before(p.NextOp) {
			sendChangeOp(now, w, p, rocktable.TableOp[rocktable.ConfigRow]{Key: RowKey})
		}
		w.WakeAt(p.Deadline)
		if p.PendingOp == 0 {
			w.WakeAt(p.NextOp)
		} else {
			w.WakeAt(p.SentAt.Add(opTimeout))
		}
	}
}

func sendChangeOp(now time.Time, w *rocktable.World, p *rocktable.PendingChange, op rocktable.TableOp[rocktable.ConfigRow]) {
	op.Op = w.NextOp()
	p.PendingOp, p.SentAt, p.Reading = op.Op, now, !op.Write
	w.Outbox.ConfigOps = append(w.Outbox.ConfigOps, op)
}

func applyChangeResult(now time.Time, w *rocktable.World, p *rocktable.PendingChange, r rocktable.TableResult[rocktable.ConfigRow]) {
	p.NextOp = now
	switch r.Status {
	case rocktable.TableUnavailable:
		p.NextOp = now.Add(changeRetry)
	case rocktable.TableOutcomeUnknown:
		if r.Write {
			p.OutcomeUnknown = true
			w.Count(rockreason.ConfigReadBack)
		}
	case rocktable.TableConflict:
		if r.Found {
			Accept(now, w, r.Version, r.Row)
			resolve(now, w, p, r.Version, r.Row)
		}
	case rocktable.TableOK:
		if !r.Write {
			resolve(now, w, p, r.Version, r.Row)
			return
		}
		row := r.Row
		if row.ChangeID != p.Change.ChangeID {
			row = rocktable.ConfigRow{ChangeID: p.Change.ChangeID, Configuration: p.Change.Configuration}
		}
		Accept(now, w, r.Version, row)
		endChange(w, p, "", r.Version)
	}
}

// resolve decides on a change from the stored row: it was accepted, it conflicts with another change, or it is written.
func resolve(now time.Time, w *rocktable.World, p *rocktable.PendingChange, version uint64, row rocktable.ConfigRow) {
	if version > 0 && row.ChangeID == p.Change.ChangeID {
		endChange(w, p, "", version)
		return
	}
	for _, e := range row.Earlier {
		if e.ChangeID == p.Change.ChangeID {
			endChange(w, p, "", e.Version)
			return
		}
	}
	if version != p.Change.ExpectedVersion {
		endChange(w, p, rockreason.ConfigConflict, version)
		return
	}
	// A lost write may still arrive late. The expected version and the change id prevent it from taking effect twice.
	next := rocktable.ConfigRow{ChangeID: p.Change.ChangeID, Configuration: p.Change.Configuration}
	if version > 0 {
		next.Earlier = append(slices.Clone(row.Earlier), rocktable.AcceptedChange{ChangeID: row.ChangeID, Version: version})
		next.Earlier = next.Earlier[max(0, len(next.Earlier)-maxEarlier):]
	}
	sendChangeOp(now, w, p, rocktable.TableOp[rocktable.ConfigRow]{Key: RowKey, Write: true, Expected: version, Row: next})
}

func abandonChange(w *rocktable.World, p *rocktable.PendingChange) {
	if p.OutcomeUnknown || p.PendingOp != 0 && !p.Reading {
		endChange(w, p, rockreason.ConfigUnsettled, w.ConfigVersion)
		return
	}
	endChange(w, p, rockreason.PlatformOut, w.ConfigVersion)
}

func endChange(w *rocktable.World, p *rocktable.PendingChange, code rockreason.Code, version uint64) {
	if code != "" {
		w.Count(code)
	}
	change := p.Change.ChangeID
	w.Outbox.ConfigEnds = append(w.Outbox.ConfigEnds, rocktable.ConfigEnd{ChangeID: change, Reason: code, Version: version})
	w.Changes.Delete(change)
}
