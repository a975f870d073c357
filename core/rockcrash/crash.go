package rockcrash

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrasrock/core/rockpart"
	"sassafrasrock/core/rocktable"
)

const (
	// SuspectTTL is the time for which a suspect is kept after its last crash.
	SuspectTTL = 10 * time.Minute
	// QuarantineFor is the time for which a quarantined request content is refused.
	QuarantineFor = time.Hour
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
	// maxCrashes is the number of crashes after which a request content is refused even if it never ran alone. This
	// happens when the content reaches several hosts at the same time.
	maxCrashes = 3
	// aloneAfter is the number of crashes after which a request content runs alone. A single crash is most often a
	// failure of the backend server, and its requests are replayed at once. The run alone then causes the third crash
	// at most, which is the last one.
	aloneAfter = 2
	// clearedFor is the time for which a cleared suspect is kept in order to be reported to peers.
	clearedFor = time.Minute
	// sweepEvery is the longest time between two checks for expired suspects.
	sweepEvery = 10 * time.Second
)

// System maintains suspects and quarantine.
var System = rocktable.System{
	Name:        "rockcrash",
	Description: "Marks requests in flight on a crashed backend server as suspects, runs suspects alone, and quarantines those that cause another crash.",
	Run:         run,
}

func run(now time.Time, w *rocktable.World) {
	for _, e := range w.Inbox.AttemptsEnded {
		applyEnd(now, w, e)
	}
	for _, reset := range w.Inbox.Resets {
		if s := w.Suspects.Get(reset.Fingerprint); s != nil {
			clearSuspect(now, w, s)
		}
	}
	if len(w.CrashSuspectedServers) > 0 {
		resolveSigns(now, w)
	}
	for id, s := range w.Suspects.All() {
		// Peers report crashes too, so the limit may be reached without a crash at this host.
		if len(s.Crashes) >= maxCrashes && !s.Quarantined && now.Before(s.ExpiresAt) {
			quarantine(now, w, s)
		}
		if !now.Before(s.ExpiresAt) && s.UnconfirmedSigns+s.PeerSigns == 0 && !s.RunsAlone && !s.PeerRunsAlone {
			w.Suspects.Delete(id)
		}
	}
	if w.Suspects.Len() > 0 {
		w.WakeAt(now.Add(sweepEvery))
	}
}

func applyEnd(now time.Time, w *rocktable.World, e rocktable.AttemptEnded) {
	a := w.Attempts.Get(e.Attempt)
	if a == nil {
		return
	}
	r := w.Requests.Get(a.Request)
	if r == nil {
		return
	}
	if s := w.Suspects.Get(r.Fingerprint); s != nil {
		if a.Alone {
			s.RunsAlone = false
		}
		// Content that crashes backend servers crashes each one that runs it. A complete answer therefore clears it.
		if e.Reason == "" && (a.Alone || len(s.Crashes) > 0) {
			clearSuspect(now, w, s)
		}
	}
	if s := w.Servers.Get(e.FailedServer); s != nil && e.Crashed {
		recordSign(now, w, s, a)
	}
}

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

func quarantine(now time.Time, w *rocktable.World, s *rocktable.Suspect) {
	s.Quarantined, s.ExpiresAt = true, now.Add(QuarantineFor)
	MarkChanged(w, s)
	w.LogChange("suspect", strconv.FormatUint(s.Fingerprint, 16), "suspect", "quarantined")
}

// AddCrashes adds the crashes that a suspect does not have yet, and reports whether there were any.
func AddCrashes(s *rocktable.Suspect, crashes ...uint64) bool {
	known := len(s.Crashes)
	for _, id := range crashes {
		if !slices.Contains(s.Crashes, id) {
			s.Crashes = append(s.Crashes, id)
		}
	}
	return len(s.Crashes) > known
}

// MarkChanged marks a suspect as changed and has it reported to peers at once, because its caller may be sending the
// same content to them.
func MarkChanged(w *rocktable.World, s *rocktable.Suspect) {
	s.ChangeSeq = w.NextChangeSeq()
	w.Gossip.ChangedSuspects = append(w.Gossip.ChangedSuspects, s.Fingerprint)
}

// ReportWork has this host's work on suspects reported to peers at once.
func ReportWork(now time.Time, w *rocktable.World) {
	w.Gossip.WorkChanged = true
	w.WakeAt(now)
}

// crashID returns the id of a crash, which is the same at all hosts. It is a hash of the backend server, its
// incarnation, and whether there was an unconfirmed sign of an earlier crash.
func crashID(s *rocktable.BackendServer, known int) uint64 {
	return xxhash.Sum64String(s.Name + "/" + strconv.FormatUint(s.CrashIncarnation, 10) + "/" + strconv.FormatBool(known > 0))
}

// clearSuspect lifts suspicion and quarantine. The row is kept for clearedFor in order to be reported to peers.
func clearSuspect(now time.Time, w *rocktable.World, s *rocktable.Suspect) {
	s.Crashes, s.AloneCrashes, s.Quarantined = nil, 0, false
	s.ExpiresAt = now.Add(clearedFor)
	MarkChanged(w, s)
}

// IsQuarantined reports whether a request is refused, because its content or a part of its prompt crashes backend
// servers.
func IsQuarantined(now time.Time, w *rocktable.World, r *rocktable.Request) bool {
	s := w.Suspects.Get(r.Fingerprint)
	return s != nil && s.Quarantined && now.Before(s.ExpiresAt) || rockpart.IsBlamed(w, r)
}

// IsSuspect reports whether a request with this content must run alone, because it was in flight at aloneAfter
// crashes or signs of crashes.
func IsSuspect(now time.Time, w *rocktable.World, fingerprint uint64) bool {
	s := w.Suspects.Get(fingerprint)
	return s != nil && signs(s) >= aloneAfter && now.Before(s.ExpiresAt)
}

// signs returns the number of confirmed crashes and unconfirmed signs at all hosts.
func signs(s *rocktable.Suspect) int { return len(s.Crashes) + s.UnconfirmedSigns + s.PeerSigns }

// MustWait reports whether a suspect may not start now. Either it already runs alone at this host or a peer, or there
// is an unconfirmed sign that it crashed a backend server while it ran alone, or it would be refused if the signs
// were confirmed.
func MustWait(w *rocktable.World, fingerprint uint64) bool {
	s := w.Suspects.Get(fingerprint)
	return s != nil && (s.RunsAlone || s.PeerRunsAlone || s.UnconfirmedAloneSigns > 0 || signs(s) >= maxCrashes && s.UnconfirmedSigns+s.PeerSigns > 0)
}
