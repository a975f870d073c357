package rockpart

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"sassafrasrock/core/rocktable"
)

const (
	// partsKey is the key of the row that holds the crashes of parts.
	partsKey = "crashes"
	// storeCrashes is the number of crashes from which a part is stored. A single crash is most often the backend server's
	// own, and a token excuses it soon.
	storeCrashes = 2
	// maxStoredParts limits the row. Those with the most crashes stay, and among equals those that more requests share.
	maxStoredParts = 64
	// storeRetryDelay is the pause after an operation that failed.
	storeRetryDelay = 500 * time.Millisecond
	// excuseDelay is the time after which an excuse removes a part from the row, and excuseSpread the longest random
	// addition. Several hosts see the same excuse, and the first one to write spares the others a write.
	excuseDelay  = 500 * time.Millisecond
	excuseSpread = 500 * time.Millisecond
	// storedPartsWait is the longest time from its start for which a host delays requests with parts until it has read the
	// row.
	storedPartsWait = time.Second
)

// syncStored keeps the crashes of parts in a row of the platform's table service, because all hosts may restart at the
// same time. A host reads the row once, at its start, and writes it when it has seen a crash itself. Hosts that follow
// the store, which are few, remove what is excused.
func syncStored(now time.Time, w *rocktable.World) {
	st := &w.StoredParts
	if !w.Limits.PlatformPushes {
		return
	}
	if awaitsStored(now, w) {
		w.WakeAt(w.StartedAt.Add(storedPartsWait))
	}
	scheduleRestored(now, w)
	if st.PendingOp != 0 || st.Read && st.DueAt.IsZero() {
		return
	}
	if now.Before(st.DueAt) {
		w.WakeAt(st.DueAt)
		return
	}
	st.DueAt = time.Time{}
	row := storedRow(w)
	switch {
	case st.Read && !isSameRow(row, st.Row):
		st.PendingRow = row
		sendOp(w, rocktable.TableOp[rocktable.PartsRow]{Write: true, Expected: st.Version, Row: row})
	case !st.Read || !st.Current: // another host may have written the row
		sendOp(w, rocktable.TableOp[rocktable.PartsRow]{})
	}
}

func sendOp(w *rocktable.World, op rocktable.TableOp[rocktable.PartsRow]) {
	op.Op, op.Key = w.NextOp(), partsKey
	w.StoredParts.PendingOp = op.Op
	w.Outbox.PartOps = append(w.Outbox.PartOps, op)
}

// scheduleRestored makes an operation due on the hosts that follow the store when it was restored: the row may lack
// crashes and excuses that they know.
func scheduleRestored(now time.Time, w *rocktable.World) {
	st := &w.StoredParts
	if !st.Read || st.Era == 0 || w.Follow.Era == 0 || w.Follow.Era == st.Era || !w.Follow.Follows || st.PendingOp != 0 || !st.DueAt.IsZero() {
		return
	}
	st.Current = false
	st.DueAt = now.Add(time.Duration(w.Rand.Int64N(int64(excuseSpread))))
}

// applyStored takes the result of an operation on the row.
func applyStored(now time.Time, w *rocktable.World, r rocktable.TableResult[rocktable.PartsRow]) {
	st := &w.StoredParts
	if r.Op != st.PendingOp {
		return
	}
	st.PendingOp, st.Current = 0, st.DueAt.IsZero() // an operation that is due again knows of something later
	if isOfOtherEra(w, r) {
		r.Status = rocktable.TableOutcomeUnknown
	}
	if r.Era > 0 && (r.Status == rocktable.TableOK || r.Status == rocktable.TableConflict) {
		st.Era = r.Era
	}
	switch {
	case r.Status == rocktable.TableOK && r.Write:
		st.Version, st.Row = r.Version, st.PendingRow
		w.LogChange("storedParts", partsKey, "written", strconv.Itoa(len(st.Row.Parts))+" parts")
	case r.Status == rocktable.TableOK:
		if !st.Read {
			w.LogChange("storedParts", partsKey, "unknown", strconv.Itoa(len(r.Row.Parts))+" parts")
		}
		st.Read = true
		mergeStored(now, w, r)
	case r.Status == rocktable.TableConflict: // another host wrote; it may lack what this one knows
		mergeStored(now, w, r)
	default: // a write may or may not have taken effect
		st.DueAt, st.Current = now.Add(storeRetryDelay), false
	}
}

// isOfOtherEra reports whether the answer to an operation says nothing about the row as it is: it is a late one of an
// older era, or a write took effect in another one, where its expected version was given out again. Each operation is sent
// after the answer from which this host has Era, so a lower one is not that of a late answer.
func isOfOtherEra(w *rocktable.World, r rocktable.TableResult[rocktable.PartsRow]) bool {
	st := &w.StoredParts
	if r.Era == 0 {
		return false
	}
	return r.Era < w.Follow.Era || r.Write && r.Status == rocktable.TableOK && r.Era != st.Era
}

// mergeStored takes the crashes of a row that was read, and writes it if it lacks some that this host knows.
func mergeStored(now time.Time, w *rocktable.World, r rocktable.TableResult[rocktable.PartsRow]) {
	st := &w.StoredParts
	st.Version, st.Row = r.Version, r.Row
	for _, p := range r.Row.Parts[:min(len(r.Row.Parts), maxStoredParts)] {
		Merge(now, w, rocktable.PartUpdate{Part: p.ID, Depth: p.Depth, Crashes: p.Crashes, Remaining: keepCrashes}, false)
	}
	if !isSameRow(storedRow(w), st.Row) {
		st.DueAt = now
	}
}

// scheduleStored makes an operation due at a time, because the row may lack a crash or an excuse of a part.
func scheduleStored(w *rocktable.World, p *rocktable.PromptPart, at time.Time) {
	st := &w.StoredParts
	if len(p.Crashes) < storeCrashes {
		return
	}
	st.Current = false
	if st.DueAt.IsZero() || at.Before(st.DueAt) {
		st.DueAt = at
	}
}

// storedRow returns the row as it should be by what this host knows.
func storedRow(w *rocktable.World) rocktable.PartsRow {
	var parts []rocktable.StoredPart
	for id, p := range w.Parts.All() {
		if crashes := counted(p); len(crashes) >= storeCrashes {
			slices.Sort(crashes)
			parts = append(parts, rocktable.StoredPart{ID: id, Depth: p.Depth, Crashes: crashes})
		}
	}
	slices.SortFunc(parts, func(a, b rocktable.StoredPart) int {
		return cmp.Or(cmp.Compare(len(b.Crashes), len(a.Crashes)), cmp.Compare(a.Depth, b.Depth), cmp.Compare(a.ID, b.ID))
	})
	parts = parts[:min(len(parts), maxStoredParts)]
	slices.SortFunc(parts, func(a, b rocktable.StoredPart) int { return cmp.Compare(a.ID, b.ID) })
	return rocktable.PartsRow{Parts: parts}
}

func isSameRow(a, b rocktable.PartsRow) bool {
	return slices.EqualFunc(a.Parts, b.Parts, func(a, b rocktable.StoredPart) bool {
		return a.ID == b.ID && a.Depth == b.Depth && slices.Equal(a.Crashes, b.Crashes)
	})
}

// awaitsStored reports whether requests with parts wait until this host has read the row.
func awaitsStored(now time.Time, w *rocktable.World) bool {
	return w.Limits.PlatformPushes && !w.StoredParts.Read && now.Before(w.StartedAt.Add(storedPartsWait))
}
