package rockmember

import (
	"time"

	"sassafrasrock/core/rocktable"
)

// The upper bits of StatusSeq hold the phase, which counts the beginnings and
// ends of departures: it is odd while the backend server is leaving. A report
// with a lower phase is older, so it never undoes a departure or a lift. The
// lower bits number the reports.
const (
	phaseShift = 40
	reportMask = 1<<phaseShift - 1
)

func phaseOf(seq uint64) uint64 { return seq >> phaseShift }

// IsLeaving reports whether the latest report of a backend server says that it is leaving.
func IsLeaving(s *rocktable.BackendServer) bool { return isLeavingSeq(s.StatusSeq) }

func isLeavingSeq(seq uint64) bool { return phaseOf(seq)%2 == 1 }

func nextPhase(seq uint64) uint64 { return (phaseOf(seq)+1)<<phaseShift | (seq&reportMask + 1) }

// MarkLeaving records the first report that a backend server is leaving and has it reported to peers at once.
func MarkLeaving(now time.Time, w *rocktable.World, s *rocktable.BackendServer) {
	if s.State == rocktable.StateLeaving {
		return
	}
	s.StatusSeq = nextPhase(s.StatusSeq)
	s.LeavingSince = now
	setServerState(w, s, rocktable.StateLeaving)
	reportAtOnce(w, s)
}

// Drain records an operator's order that a backend server receives no new work. Only LiftDrain ends it; a restart
// does not.
func Drain(now time.Time, w *rocktable.World, s *rocktable.BackendServer) {
	if s.Drained {
		return
	}
	s.Drained = true
	if s.State != rocktable.StateLeaving {
		MarkLeaving(now, w, s)
		return
	}
	s.StatusSeq++
	s.ChangeSeq = w.NextChangeSeq()
	reportAtOnce(w, s)
}

// LiftDrain ends a departure, whatever its cause, on an operator's order. The departure begins again if the next
// report says that the backend server is leaving.
func LiftDrain(w *rocktable.World, s *rocktable.BackendServer) {
	if IsLeaving(s) {
		endDeparture(w, s)
	}
}

// endDeparture ends a departure and a drain. The backend server becomes live if it has reported and no probe has failed
// since, and unknown otherwise.
func endDeparture(w *rocktable.World, s *rocktable.BackendServer) {
	s.StatusSeq = nextPhase(s.StatusSeq)
	s.Drained, s.LeavingSince = false, time.Time{}
	state := rocktable.StateUnknown
	if !s.StatusAt.IsZero() && s.FailedProbes == 0 {
		state = rocktable.StateLive
	}
	setServerState(w, s, state)
	reportAtOnce(w, s)
}

func setServerState(w *rocktable.World, s *rocktable.BackendServer, state rocktable.State) {
	if s.State == state {
		return
	}
	w.LogChange("backendServer", s.Name, s.State.String(), state.String())
	s.State = state
	s.ChangeSeq = w.NextChangeSeq()
}

func reportAtOnce(w *rocktable.World, s *rocktable.BackendServer) {
	w.Gossip.Departures = append(w.Gossip.Departures, rocktable.Departure{Server: s.ID})
}
