package rockfollow

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

const (
	// maxRemovedRows is the number of removed rows that a copy keeps, so that it can tell peers of their removal.
	maxRemovedRows = 1000
	// versionsPerSecond is more than the transactions that a store makes in a second. A version that is further ahead
	// than they explain is not the store's.
	versionsPerSecond = 1_000_000
	// maxUpdateBytes limits the rows that a message carries. It is below the limit of a frame. A host that needs more
	// reads the store.
	maxUpdateBytes = 700 << 10
)

// replaceRows replaces a copy by the complete table of the same era as of a version. A copy that is not older stays.
func replaceRows(now time.Time, w *rocktable.World, t *rocktable.FollowedTable, version uint64, rows []rocktable.TableRow) {
	if version <= t.Version {
		return
	}
	t.Rows = make(map[string]rocktable.TableRow, len(rows))
	t.Digest = 0
	for _, r := range rows {
		t.Rows[r.Key] = r
		t.Digest ^= digestOf(r)
	}
	t.ForgottenVersion = version
	advance(now, t, version)
	w.Outbox.TableChanges = append(w.Outbox.TableChanges, rocktable.TableChange{Table: t.ID, Era: t.Era, Full: true, Version: version, Rows: rows})
}

// mergeRows applies changed rows that are newer than those of a copy. The caller advances its version if no change is
// missing.
func mergeRows(w *rocktable.World, t *rocktable.FollowedTable, rows []rocktable.TableRow) {
	newer := make(map[string]rocktable.TableRow) // by key, because the history has all changes of a row
	for _, r := range rows {
		// The copy has all changes up to its version. An older row that it lacks was removed.
		if r.Version <= t.Version || r.Version <= t.Rows[r.Key].Version {
			continue
		}
		if t.Rows == nil {
			t.Rows = make(map[string]rocktable.TableRow)
		}
		t.Digest ^= digestOf(t.Rows[r.Key]) ^ digestOf(r)
		t.Rows[r.Key] = r
		newer[r.Key] = r
	}
	if len(newer) == 0 {
		return
	}
	changed := slices.Collect(maps.Values(newer))
	sortByVersion(changed)
	t.Mixed = true
	forgetRemoved(t)
	w.Outbox.TableChanges = append(w.Outbox.TableChanges, rocktable.TableChange{Table: t.ID, Era: t.Era, Rows: changed})
}

// advance records that a copy has all changes up to a version.
func advance(now time.Time, t *rocktable.FollowedTable, version uint64) {
	if version > t.Version {
		t.Version, t.AdvancedAt = version, now
	}
	t.Mixed = false
	if gapOf(t).Compare(t.StoreVersion()) <= 0 {
		clearGap(t)
	}
}

// gapOf returns the version of a peer's copy up to which this host lacks changes.
func gapOf(t *rocktable.FollowedTable) rocktable.StoreVersion {
	return rocktable.StoreVersion{Era: t.GapEra, Version: t.GapVersion}
}

func clearGap(t *rocktable.FollowedTable) {
	t.GapEra, t.GapVersion, t.GapHost, t.GapSince, t.RequestedAt = 0, 0, 0, time.Time{}, time.Time{}
}

// digestOf returns the part of a row in the digest of its table. A row that does not exist has none.
func digestOf(r rocktable.TableRow) uint64 {
	if r.Removed || r.Version == 0 {
		return 0
	}
	return xxhash.Sum64String(r.Key + "/" + strconv.FormatUint(r.Version, 10))
}

// forgetRemoved deletes the oldest removed rows above maxRemovedRows.
func forgetRemoved(t *rocktable.FollowedTable) {
	var removed []rocktable.TableRow
	for _, r := range t.Rows {
		if r.Removed {
			removed = append(removed, r)
		}
	}
	if len(removed) <= maxRemovedRows {
		return
	}
	sortByVersion(removed)
	for _, r := range removed[:len(removed)-maxRemovedRows/2] {
		delete(t.Rows, r.Key)
		t.ForgottenVersion = max(t.ForgottenVersion, r.Version)
	}
}

// applyUpdate applies a peer's report of its copy of a table.
func applyUpdate(now time.Time, w *rocktable.World, sender rocktable.HostID, u rocktable.TableUpdate) {
	t := w.FollowedTables.Get(u.Table)
	if t == nil {
		return
	}
	v := rocktable.StoreVersion{Era: comparableEra(w, t, u.Era), Version: u.Version}
	if v.Compare(t.StoreVersion()) <= 0 {
		if len(u.Rows) > 0 {
			w.Count(rockreason.StaleNews)
		}
		return
	}
	if isFromFuture(now, t, u) {
		w.Count(rockreason.StaleNews)
		w.LogChange("peer", w.Hosts.Get(sender).Name, t.ID.String(), "refused: version from the future")
		return
	}
	switch {
	case v.Era == t.Era && u.Full:
		replaceRows(now, w, t, u.Version, u.Rows)
		return
	case v.Era == t.Era:
		mergeRows(w, t, u.Rows)
		if t.Digest == u.Digest && t.Version > 0 {
			advance(now, t, u.Version)
			return
		}
	case u.Full && !w.Follow.StoreReached: // a host that reaches the store learns its era there
		replaceEra(now, w, t, v, u.Rows)
		return
	}
	recordGap(now, w, t, v, sender)
}

// recordGap records that a peer's copy has changes that this host lacks.
func recordGap(now time.Time, w *rocktable.World, t *rocktable.FollowedTable, v rocktable.StoreVersion, sender rocktable.HostID) {
	t.GapHost = sender
	if v.Compare(gapOf(t)) > 0 {
		if v.Era > t.GapEra && v.Era > t.Era && t.Version > 0 {
			t.GapSince, t.RequestedAt = now, time.Time{}
			w.Follow.NextCheck = now
		}
		t.GapEra, t.GapVersion = v.Era, v.Version
	}
	if t.GapSince.IsZero() {
		t.GapSince = now
	}
}

// isFromFuture reports whether an era, a version, or that of a row, is one that the store cannot have reached yet. A host
// that took it would ignore the changes of the store. A restored store continues below the versions of its last era.
func isFromFuture(now time.Time, t *rocktable.FollowedTable, u rocktable.TableUpdate) bool {
	if t.Version == 0 {
		return false // this host knows no version yet
	}
	if t.Era > 0 && u.Era > t.Era+maxEraStep {
		return true
	}
	limit := t.Version + uint64(versionsPerSecond*(1+now.Sub(t.AdvancedAt).Seconds()))
	for _, r := range u.Rows {
		if r.Version > limit {
			return true
		}
	}
	return u.Version > limit
}

// updateAfter returns the changes of a copy after a version, or the complete table if it cannot tell them, and whether
// they fit in a message.
func updateAfter(t *rocktable.FollowedTable, v rocktable.StoreVersion) (rocktable.TableUpdate, bool) {
	after := v.Version
	if v.Era != t.Era {
		after = 0
	}
	u := rocktable.TableUpdate{
		Table: t.ID, Era: t.Era, Version: t.Version, Digest: t.Digest, Full: v.Era != t.Era || after < t.ForgottenVersion,
	}
	size := 0
	for r := range maps.Values(t.Rows) {
		if u.Full && r.Removed || !u.Full && r.Version <= after {
			continue
		}
		u.Rows = append(u.Rows, r)
		size += len(r.Key) + len(r.Value)
	}
	sortByVersion(u.Rows)
	return u, size <= maxUpdateBytes
}

func sortByVersion(rows []rocktable.TableRow) {
	slices.SortFunc(rows, func(a, b rocktable.TableRow) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Key, b.Key))
	})
}
