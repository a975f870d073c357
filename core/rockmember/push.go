package rockmember

import (
	"cmp"
	"strconv"
	"time"

	"sassafrasrock/core/rocktable"
)

// returnGrace is the time after the return of the platform within which live backend servers register their lapsed
// entries again.
const returnGrace = 2 * time.Second

// recordPushState records when the platform's pushes stop and when they resume.
func recordPushState(now time.Time, w *rocktable.World, ok bool) {
	st := &w.ListState
	switch {
	case ok && !st.PushesLostSince.IsZero():
		st.PushesLostSince, st.PushesRestoredAt = time.Time{}, now
		w.LogChange("platform", "list", "lost", "back")
	case !ok && st.PushesLostSince.IsZero():
		st.PushesLostSince = now
		w.LogChange("platform", "list", "back", "lost")
	}
}

// recordListEra records the era of the store from which a list was pushed. Entries that a restored store lacks are
// written again, as after an outage. The copy of the list decides which era is the store's, also when it goes back.
func recordListEra(now time.Time, w *rocktable.World, era uint64) {
	st := &w.ListState
	if era == 0 || era == st.Era {
		return
	}
	if st.Era > 0 {
		st.PushesRestoredAt = now
		w.LogChange("platform", "list", "era "+strconv.FormatUint(st.Era, 10), "era "+strconv.FormatUint(era, 10))
	}
	st.Era = era
}

// recordEntry records which entry of a backend server was read, and reports whether it is older than what this host knows
// and must not be believed: a restored store still has entries that their backend servers have replaced, and entries of
// those that have left.
func recordEntry(w *rocktable.World, s *rocktable.BackendServer, era uint64, e rocktable.ListedHost) bool {
	old := isOldEntry(s, era, e)
	if old && !s.ListedOld {
		w.LogChange("entry", s.Name, "sequence "+strconv.FormatUint(s.ListedSequence, 10), "older entry ignored: sequence "+strconv.FormatUint(e.Sequence, 10))
	}
	s.ListedEra, s.ListedVersion, s.ListedOld = era, e.Version, old
	if !old && e.Status != nil {
		s.ListedIncarnation, s.ListedSequence = e.Status.Incarnation, e.Sequence
	}
	return old
}

// isOldEntry reports whether the entry of a backend server is older than what this host knows. Within an era the store
// orders the entries. Across eras what the backend server itself counts does: its incarnations, which are times, and what
// it wrote in each.
func isOldEntry(s *rocktable.BackendServer, era uint64, e rocktable.ListedHost) bool {
	if era == s.ListedEra {
		return s.ListedOld && e.Version == s.ListedVersion
	}
	if s.ListedEra == 0 || e.Status == nil || e.Status.Incarnation == 0 || e.Sequence == 0 {
		return false
	}
	switch cmp.Or(cmp.Compare(e.Status.Incarnation, s.ListedIncarnation), cmp.Compare(e.Sequence, s.ListedSequence)) {
	case -1:
		return true
	case 0:
		// The entry that was removed before the restoration, unless this era has been without it too.
		return s.RemovedFromList && s.UnlistedEra != era
	}
	return false
}

// markUnlistedLeaving marks backend servers as leaving whose entries the platform removed. Entries also lapse during an
// outage of the platform, so a missing entry means nothing until returnGrace after the end of the outage.
func markUnlistedLeaving(now time.Time, w *rocktable.World) {
	st := &w.ListState
	if st.ReadAt.IsZero() || !st.PushesLostSince.IsZero() {
		return
	}
	if end := st.PushesRestoredAt.Add(returnGrace); !st.PushesRestoredAt.IsZero() && now.Before(end) {
		w.WakeAt(end)
		return
	}
	for _, s := range w.Servers.All() {
		if !s.Listed && s.State != rocktable.StateLeaving {
			s.RemovedFromList = true
			MarkLeaving(now, w, s)
		}
	}
}

// applyListedStatus applies the status report that an entry of the list carries.
func applyListedStatus(now time.Time, w *rocktable.World, s *rocktable.BackendServer, e rocktable.ListedHost) {
	status := *e.Status
	restarted := s.Incarnation != 0 && s.Incarnation != status.Incarnation
	isNew := s.StatusAt.IsZero()
	if isNew || s.Status != status {
		s.StatusSeq++
		applyStatus(now, s, status)
	}
	leaving := e.State == "leaving"
	switch {
	case leaving:
	case s.State == rocktable.StateLeaving && !s.Drained && (restarted || s.RemovedFromList):
		s.RemovedFromList = false
		endDeparture(w, s)
	case s.State == rocktable.StateUnknown || s.State == rocktable.StateDown:
		setServerState(w, s, rocktable.StateLive)
	}
}
