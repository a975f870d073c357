package rockmember

import (
	"time"

	"sassafrasrock/core/rocktable"
)

// returnLimit is the time after the platform's return within which entries that lapsed meanwhile are back if their backend servers live.
const returnLimit = 2 * time.Second

// notePush notes when the platform's pushes stop and when they come back.
func notePush(now time.Time, w *rocktable.World, ok bool) {
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

// dropMissing takes backend servers for gone whose entries the platform removed. Entries also lapse while the platform is
// away, so that nothing is concluded then and for a short time afterwards.
func dropMissing(now time.Time, w *rocktable.World) {
	st := &w.ListState
	if st.ReadAt.IsZero() || !st.PushesLostSince.IsZero() {
		return
	}
	if end := st.PushesRestoredAt.Add(returnLimit); !st.PushesRestoredAt.IsZero() && now.Before(end) {
		w.WakeAt(end)
		return
	}
	for _, s := range w.Servers.All() {
		if !s.Listed && s.State != rocktable.StateLeaving {
			s.RemovedFromList = true
			Leave(now, w, s)
		}
	}
}

// takeListedStatus takes the report that an entry of the list carries.
func takeListedStatus(now time.Time, w *rocktable.World, s *rocktable.BackendServer, e rocktable.ListedHost) {
	status := *e.Status
	restarted := s.Incarnation != 0 && s.Incarnation != status.Incarnation
	isNew := s.StatusAt.IsZero()
	if isNew || s.Status != status {
		s.StatusSeq++
		takeStatus(now, s, status)
	}
	leaving := e.State == "leaving"
	switch {
	case leaving:
	case s.State == rocktable.StateLeaving && !s.Drained && (restarted || s.RemovedFromList):
		s.RemovedFromList = false
		arrive(w, s)
	case s.State == rocktable.StateUnknown || s.State == rocktable.StateDown:
		setServerState(w, s, rocktable.StateLive)
	}
}
