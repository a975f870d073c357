package rockmember

import (
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
