package rockcrash

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrasrock/core/rocktable"
)

const (
	// confirmWithin is the longest time for which a sign of a crash stays unconfirmed. A link that is cut for longer
	// makes no suspects.
	confirmWithin = 5 * time.Second
	// reportLag is the highest age of a status report on its arrival. A report that arrives at least this long after
	// the sign of a crash was therefore made after the sign.
	reportLag = 300 * time.Millisecond
	// peerReportLag is the same for a report that arrives through peers.
	peerReportLag = 3 * time.Second
	// confirmingProbes is the number of failed probes in a row that confirms a crash.
	confirmingProbes = 2
)

// recordSign records a sign of a crash of a backend server, with the request contents that were in flight there.
func recordSign(now time.Time, w *rocktable.World, s *rocktable.BackendServer, failed *rocktable.Attempt) {
	last := s.CrashSuspectedAt
	switch {
	case last.IsZero() && wasInConfirmedCrash(s, failed):
		return
	case last.IsZero():
		s.CrashIncarnation = s.Incarnation
		w.CrashSuspectedServers = append(w.CrashSuspectedServers, s.ID)
		for _, stage := range failed.Path {
			if stage.Server == s.ID && stage.Incarnation != 0 {
				s.CrashIncarnation = stage.Incarnation
			}
		}
	case !failed.StartedAt.After(last):
		return // the same crash
	}
	// A second crash may occur before the first is confirmed, because reports lag. Both are then resolved together.
	s.CrashSuspectedAt = now
	known := len(s.CrashCandidates)
	for _, a := range w.Attempts.All() {
		if !last.IsZero() && !a.StartedAt.After(last) {
			continue
		}
		for _, stage := range a.Path {
			if stage.Server == s.ID && (stage.Incarnation == 0 || stage.Incarnation == s.CrashIncarnation) {
				addCandidate(now, w, s, a, known)
				break
			}
		}
	}
	w.WakeAt(now.Add(confirmWithin))
}

// wasInConfirmedCrash reports whether a failed attempt was in flight at a crash that has already been confirmed. The
// attempts that one crash ends are not all reported in the same tick.
func wasInConfirmedCrash(s *rocktable.BackendServer, failed *rocktable.Attempt) bool {
	if !failed.StartedAt.Before(s.ConfirmedCrashAt) {
		return false
	}
	for _, stage := range failed.Path {
		if stage.Server == s.ID {
			return stage.Incarnation == s.CrashIncarnation
		}
	}
	return false
}

// addCandidate adds the content of an attempt to the candidates of a new sign. known is the number of candidates of
// earlier signs. Content that crashes engines of a full path does so when it begins to write: an attempt with a token is
// no candidate there.
func addCandidate(now time.Time, w *rocktable.World, s *rocktable.BackendServer, a *rocktable.Attempt, known int) {
	r := w.Requests.Get(a.Request)
	if r == nil || r.Fingerprint == 0 || a.Tokens > 0 && w.FullPathPipeline(r) != nil {
		return
	}
	for _, c := range s.CrashCandidates[known:] {
		if c.Fingerprint == r.Fingerprint {
			return
		}
	}
	suspect := w.Suspects.GetOrPut(r.Fingerprint)
	// One attempt crashes at most one stage. Signs at several stages come from a cut link or a lost rack, and must
	// not turn all requests there into suspects.
	if suspect.UnconfirmedSigns > 0 && suspect.LastSignAttempt == a.ID && !a.Alone {
		return
	}
	s.CrashCandidates = append(s.CrashCandidates, rocktable.CrashCandidate{Fingerprint: r.Fingerprint, CrashID: crashID(s, known), RanAlone: a.Alone})
	suspect.Fingerprint, suspect.LastSignAttempt = r.Fingerprint, a.ID
	suspect.UnconfirmedSigns++
	ReportWork(now, w)
	if a.Alone {
		suspect.UnconfirmedAloneSigns++
	}
	if len(suspect.Crashes) == 0 {
		suspect.ExpiresAt = now.Add(SuspectTTL)
	}
}

// resolveSigns resolves the signs of crashes that can be confirmed or rejected by now, and keeps the others.
func resolveSigns(now time.Time, w *rocktable.World) {
	kept := w.CrashSuspectedServers[:0]
	for _, id := range w.CrashSuspectedServers {
		s := w.Servers.Get(id)
		if s == nil {
			continue
		}
		resolveSign(now, w, s)
		if !s.CrashSuspectedAt.IsZero() {
			kept = append(kept, id)
		}
	}
	w.CrashSuspectedServers = kept
}

// resolveSign decides whether a backend server has crashed: its incarnation changed, its probes fail, or it is down.
func resolveSign(now time.Time, w *rocktable.World, s *rocktable.BackendServer) {
	crashed, undecided := false, false
	switch {
	case s.Incarnation != s.CrashIncarnation || s.FailedProbes >= confirmingProbes || s.State == rocktable.StateDown:
		crashed = true
	case s.StatusAt.Sub(s.CrashSuspectedAt) >= reportLagOf(s):
		// The same incarnation still runs; only the link was cut.
	case now.Sub(s.CrashSuspectedAt) >= confirmWithin:
		undecided = true
	default:
		w.WakeAt(s.CrashSuspectedAt.Add(confirmWithin))
		return
	}
	if crashed {
		s.ConfirmedCrashAt = s.CrashSuspectedAt
	}
	for _, c := range s.CrashCandidates {
		resolveCandidate(now, w, c, crashed, undecided)
	}
	s.CrashSuspectedAt, s.CrashCandidates = time.Time{}, nil
	w.WakeAt(now) // requests that waited for the result can start
}

func reportLagOf(s *rocktable.BackendServer) time.Duration {
	if s.Probing {
		return reportLag
	}
	return peerReportLag
}

func resolveCandidate(now time.Time, w *rocktable.World, c rocktable.CrashCandidate, crashed, undecided bool) {
	s := w.Suspects.Get(c.Fingerprint)
	if s == nil {
		return
	}
	s.UnconfirmedSigns = max(0, s.UnconfirmedSigns-1)
	ReportWork(now, w)
	if c.RanAlone {
		s.UnconfirmedAloneSigns = max(0, s.UnconfirmedAloneSigns-1)
	}
	// Reports of backend servers in other data centres can be late, so a sign may stay undecided. Content that was in
	// flight at aloneAfter confirmed crashes and then lost a backend server while it ran alone does not get another
	// one.
	if crashed || undecided && c.RanAlone && len(s.Crashes) >= aloneAfter {
		addConfirmedCrash(now, w, s, c)
		return
	}
	if s.UnconfirmedSigns == 0 && s.ChangeSeq == 0 {
		w.Suspects.Delete(c.Fingerprint)
	}
}

func addConfirmedCrash(now time.Time, w *rocktable.World, s *rocktable.Suspect, c rocktable.CrashCandidate) {
	AddCrashes(s, c.CrashID)
	switch {
	case s.Quarantined:
		MarkChanged(w, s)
	case c.RanAlone:
		s.AloneCrashes++
		quarantine(now, w, s)
	default:
		s.ExpiresAt = now.Add(SuspectTTL)
		MarkChanged(w, s)
	}
}

// crashID returns the id of a crash, which is the same at all hosts. It is a hash of the backend server, its
// incarnation, and whether there was an unconfirmed sign of an earlier crash.
func crashID(s *rocktable.BackendServer, known int) uint64 {
	return xxhash.Sum64String(s.Name + "/" + strconv.FormatUint(s.CrashIncarnation, 10) + "/" + strconv.FormatBool(known > 0))
}
