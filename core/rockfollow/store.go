package rockfollow

import (
	"time"

	"sassafrasrock/core/rocktable"
)

// checkOverdue records the store as lost when a read of changes becomes overdue.
func checkOverdue(now time.Time, w *rocktable.World) {
	if w.Follow.StoreReached && hasLostStore(now, w) {
		setStoreState(w, true)
	}
}

// hasLostStore reports whether the last read of an urgent table failed, or the answer to one is overdue.
func hasLostStore(now time.Time, w *rocktable.World) bool {
	for _, id := range urgentTables {
		t := w.FollowedTables.Get(id)
		if t.ReadFailed {
			return true
		}
		if !t.Reading || t.WaitEnd.IsZero() {
			continue
		}
		overdueAt := t.WaitEnd.Add(overdueMargin)
		if !now.Before(overdueAt) {
			return true
		}
		w.WakeAt(overdueAt)
	}
	return false
}

// setStoreState records whether this host has lost the store, and tells its peers.
func setStoreState(w *rocktable.World, lost bool) {
	st := &w.Follow
	reached := st.Follows && !lost
	if st.StoreLost == lost && st.StoreReached == reached {
		return
	}
	if st.StoreLost != lost {
		logConnection(w, "store", lost)
	}
	st.StoreLost, st.StoreReached, st.NoticeDue = lost, reached, true
}

func logConnection(w *rocktable.World, what string, lost bool) {
	states := [2]string{"back", "lost"}
	if lost {
		w.LogChange("dependency", what, states[0], states[1])
		return
	}
	w.LogChange("dependency", what, states[1], states[0])
}

// recordConnection reports to the other systems when neither this host nor a source of it reaches the store any more,
// and when one does again. Entries of backend servers also lapse while the store is out.
func recordConnection(now time.Time, w *rocktable.World) {
	st := &w.Follow
	reached, lost := sourceStates(now, w)
	switch {
	case reached || st.StoreReached:
		if st.Disconnected {
			st.Disconnected = false
			// A copy without a version has no era. The complete table that replaces it reports the connection.
			if t := w.FollowedTables.Get(rocktable.BackendServersTable); t.Version > 0 {
				w.Outbox.TableChanges = append(w.Outbox.TableChanges, rocktable.TableChange{Table: t.ID, Era: t.Era})
			}
		}
	case lost || st.StoreLost:
		if !st.Disconnected {
			st.Disconnected = true
			w.Inbox.HostLists = append(w.Inbox.HostLists, rocktable.HostList{Pushed: true})
		}
	}
}
