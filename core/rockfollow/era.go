package rockfollow

import (
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// maxEraStep is the most by which an era that a peer reports may exceed that of this host's copy. It is above the number
// of restorations that a host can miss while it is cut off.
const maxEraStep = 1000

// learnEra records that the store has begun a new era. Copies of an older one are read again by the hosts that follow
// the store; the others get them from their sources. A read that waits for changes of the old era is given up, because
// its connection may have gone silent.
func learnEra(now time.Time, w *rocktable.World, era uint64) {
	st := &w.Follow
	if era <= st.Era {
		return
	}
	if st.Era > 0 {
		st.Restored = true
		w.Count(rockreason.StoreRestored)
	}
	st.Era, st.EraSince, st.NextCheck = era, now, now
	for _, t := range w.FollowedTables.All() {
		if t.Era < era && t.Version > 0 {
			t.Reading, t.NextRead = false, now
		}
	}
}

// applyEra checks the era of an answer from the store, and reports whether the answer is to be applied.
//
// A restoration that this host knows of came before each read that it has started since. So a lower era in the answer to
// an earlier read is that of a late answer; in the answer to a later read it is the store's, and the peer that reported
// the higher one was wrong.
func applyEra(now time.Time, w *rocktable.World, t *rocktable.FollowedTable, r *rocktable.TableReadEnded) bool {
	st := &w.Follow
	if r.Era == 0 {
		r.Era = st.Era // a store that does not tell has no eras
	}
	learnEra(now, w, r.Era)
	if r.Era == st.Era {
		return true
	}
	if t.ReadSince.Before(st.EraSince) {
		w.LogChange("storeEra", t.ID.String(), t.StoreVersion().String(), "late answer ignored: "+answered(r))
		return false
	}
	w.LogChange("storeEra", t.ID.String(), t.StoreVersion().String(), "not of the store: "+answered(r))
	st.Era, st.EraSince = r.Era, now
	for _, other := range w.FollowedTables.All() {
		if other.Era > r.Era {
			forgetCopy(now, other)
		}
	}
	return true
}

func answered(r *rocktable.TableReadEnded) string {
	return rocktable.StoreVersion{Era: r.Era, Version: r.Version}.String()
}

// forgetCopy has a copy replaced by the next complete table. Its rows stay in use until then.
func forgetCopy(now time.Time, t *rocktable.FollowedTable) {
	t.Era, t.Version, t.ForgottenVersion, t.AdvancedAt = 0, 0, 0, time.Time{}
	t.EraConfirmed, t.NextRead = false, now
	clearGap(t)
}

// comparableEra returns the era of a peer's version. A peer that does not know the era, or does not send it, counts as
// one of the same era until the store has been restored; then its versions say nothing.
func comparableEra(w *rocktable.World, t *rocktable.FollowedTable, era uint64) uint64 {
	if era == 0 && !w.Follow.Restored {
		return t.Era
	}
	return era
}

// doubtEra notes that a peer which reaches the store has a lower era than this host. If one still has after readAfter,
// the store shows which era is right. A single report does not suffice, because hosts that follow the store learn of a
// restoration at different moments, and all others would read the complete tables.
func doubtEra(now time.Time, t *rocktable.FollowedTable, era uint64) {
	if era == 0 || t.EraConfirmed {
		return
	}
	switch {
	case era >= t.Era:
	case t.DoubtSince.IsZero():
		t.DoubtSince = now
	case now.Sub(t.DoubtSince) >= readAfter:
		t.ReadOnce, t.ReadAll, t.DoubtSince = true, true, time.Time{}
	}
}

// replaceEra replaces a copy by the complete table of a later era.
func replaceEra(now time.Time, w *rocktable.World, t *rocktable.FollowedTable, v rocktable.StoreVersion, rows []rocktable.TableRow) {
	if t.Era > 0 {
		w.LogChange("storeEra", t.ID.String(), t.StoreVersion().String(), v.String())
		w.Follow.NoticeDue = w.Follow.Follows
	}
	t.Era, t.Version = v.Era, 0
	t.EraConfirmed, t.DoubtSince = false, time.Time{}
	replaceRows(now, w, t, v.Version, rows)
	learnEra(now, w, v.Era)
}
