package rockmember

import (
	"time"

	"sassafrasrock/core/rocktable"
)

// The upper bits of StatusSeq count departures and their ends: the count is odd
// while the backend server is leaving. A report that carries a lower count is
// older, so it never undoes a departure or a lift. The lower bits number the
// reports.
const (
	turnShift  = 40
	reportMask = 1<<turnShift - 1
)

func turnOf(seq uint64) uint64 { return seq >> turnShift }

// IsDeparted reports whether the last word on a backend server is that it is leaving.
func IsDeparted(s *rocktable.BackendServer) bool { return isLeavingSeq(s.StatusSeq) }

func isLeavingSeq(seq uint64) bool { return turnOf(seq)%2 == 1 }

func nextTurn(seq uint64) uint64 { return (turnOf(seq)+1)<<turnShift | (seq&reportMask + 1) }

// Leave records the first word that a backend server is leaving.
func Leave(now time.Time, w *rocktable.World, s *rocktable.BackendServer) {
	if s.State == rocktable.StateLeaving {
		return
	}
	s.StatusSeq = nextTurn(s.StatusSeq)
	s.LeavingSince = now
	setServerState(w, s, rocktable.StateLeaving)
	tellAtOnce(w, s)
}

// Drain records an operator's order that a backend server gets no new work; only Lift ends it, a restart does not.
func Drain(now time.Time, w *rocktable.World, s *rocktable.BackendServer) {
	if s.Drained {
		return
	}
	s.Drained = true
	if s.State != rocktable.StateLeaving {
		Leave(now, w, s)
		return
	}
	s.StatusSeq++
	s.ChangeSeq = w.NextChangeSeq()
	tellAtOnce(w, s)
}

// Lift ends a departure by an operator's order; it begins again if the next report says that the backend server is leaving.
func Lift(w *rocktable.World, s *rocktable.BackendServer) {
	if IsDeparted(s) {
		arrive(w, s)
	}
}

// arrive ends a departure.
func arrive(w *rocktable.World, s *rocktable.BackendServer) {
	s.StatusSeq = nextTurn(s.StatusSeq)
	s.Drained, s.LeavingSince = false, time.Time{}
	state := rocktable.StateUnknown
	if !s.StatusAt.IsZero() && s.FailedProbes == 0 {
		state = rocktable.StateLive
	}
	setServerState(w, s, state)
	tellAtOnce(w, s)
}

func setServerState(w *rocktable.World, s *rocktable.BackendServer, state rocktable.State) {
	if s.State == state {
		return
	}
	w.LogChange("backendServer", s.Name, s.State.String(), state.String())
	s.State = state
	s.ChangeSeq = w.NextChangeSeq()
}

func tellAtOnce(w *rocktable.World, s *rocktable.BackendServer) {
	w.Gossip.Departures = append(w.Gossip.Departures, rocktable.Departure{Server: s.ID})
}
