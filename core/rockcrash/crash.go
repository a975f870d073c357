package rockcrash

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrasrock/core/rocktable"
)

const (
	// SuspectFor is the time for which a suspect is remembered after its last crash.
	SuspectFor = 10 * time.Minute
	// QuarantineFor is the time for which a request content stays refused.
	QuarantineFor = time.Hour
	// confirmWithin is the longest that a crash may stay unconfirmed; a link that was cut for this time makes no suspects.
	confirmWithin = 5 * time.Second
	// reportLag is the age after which a report is known to have been made after the sign of a crash.
	reportLag = 300 * time.Millisecond
	// newsLag is the same for a report that came through peers.
	newsLag = 3 * time.Second
	// failedProbes is the number of failed probes in a row that confirms a crash.
	failedProbes = 2
	// maxCrashes is the number of crashes after which a request content is refused, even if it never ran alone: it reached
	// several hosts at the same time.
	maxCrashes = 3
	// aloneAfter is the number of crashes after which a request content runs alone. A single crash is most often a failure of the server, and its requests are replayed at once; the alone run is then the third and last crash that a request can cause.
	aloneAfter = 2
	// clearedFor is the time for which a cleared suspect is kept, so that peers learn of it.
	clearedFor = time.Minute
	// sweepEvery is the time between checks for expired suspects.
	sweepEvery = 10 * time.Second
)

// System keeps suspects and quarantine.
var System = rocktable.System{
	Name: "rockcrash",
	Doc:  "Makes requests in flight on a crashed backend server suspects, runs suspects alone, and quarantines those that crash again.",
	Run:  run,
}

func run(now time.Time, w *rocktable.World) {
	for _, e := range w.Inbox.Ended {
		takeEnd(now, w, e)
	}
	for _, reset := range w.Inbox.Resets {
		if s := w.Suspects.Get(reset.Fingerprint); s != nil {
			clearSuspect(now, w, s)
		}
	}
	if len(w.CrashSuspectedServers) > 0 {
		settleAll(now, w)
	}
	for id, s := range w.Suspects.All() {
		// Crashes are counted over all hosts.
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

func takeEnd(now time.Time, w *rocktable.World, e rocktable.Ended) {
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
		// Content that crashes backend servers crashes each one that runs it, so that a whole answer shows that it does not.
		if e.Reason == "" && (a.Alone || len(s.Crashes) > 0) {
			clearSuspect(now, w, s)
		}
	}
	if s := w.Servers.Get(e.FailedServer); s != nil && e.Crashed {
		notice(now, w, s, a)
	}
}

// notice records the work that was in flight on a backend server at the first sign of a crash.
func notice(now time.Time, w *rocktable.World, s *rocktable.BackendServer, failed *rocktable.Attempt) {
	last := s.CrashSuspectedAt
	switch {
	case last.IsZero() && isCounted(s, failed):
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
	// A second crash may come before the first is confirmed, because reports lag; both are settled together.
	s.CrashSuspectedAt = now
	known := len(s.CrashCandidates)
	for _, a := range w.Attempts.All() {
		if !last.IsZero() && !a.StartedAt.After(last) {
			continue
		}
		for _, stage := range a.Path {
			if stage.Server == s.ID && (stage.Incarnation == 0 || stage.Incarnation == s.CrashIncarnation) {
				addPrint(now, w, s, a, known)
				break
			}
		}
	}
	w.WakeAt(now.Add(confirmWithin))
}

// isCounted reports whether a failed attempt was in flight at a crash that is confirmed already. The attempts that one crash ends are not all reported in one tick.
func isCounted(s *rocktable.BackendServer, failed *rocktable.Attempt) bool {
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

// addPrint adds the content of an attempt to the prints of a sign, which follow the known ones.
func addPrint(now time.Time, w *rocktable.World, s *rocktable.BackendServer, a *rocktable.Attempt, known int) {
	r := w.Requests.Get(a.Request)
	if r == nil || r.Fingerprint == 0 {
		return
	}
	for _, p := range s.CrashCandidates[known:] {
		if p.Fingerprint == r.Fingerprint {
			return
		}
	}
	suspect := w.Suspects.GetOrPut(r.Fingerprint)
	// One attempt crashes one stage at most. Signs of several stages come from a cut link or a lost rack, and must not make suspects of all requests there.
	if suspect.UnconfirmedSigns > 0 && suspect.LastSignAttempt == a.ID && !a.Alone {
		return
	}
	s.CrashCandidates = append(s.CrashCandidates, rocktable.CrashCandidate{Fingerprint: r.Fingerprint, CrashID: crashID(s, known), RanAlone: a.Alone})
	suspect.Fingerprint, suspect.LastSignAttempt = r.Fingerprint, a.ID
	suspect.UnconfirmedSigns++
	TellWork(now, w)
	if a.Alone {
		suspect.UnconfirmedAloneSigns++
	}
	if len(suspect.Crashes) == 0 {
		suspect.ExpiresAt = now.Add(SuspectFor)
	}
}

// settleAll settles the signs of crashes that can be settled, and keeps the others.
func settleAll(now time.Time, w *rocktable.World) {
	kept := w.CrashSuspectedServers[:0]
	for _, id := range w.CrashSuspectedServers {
		s := w.Servers.Get(id)
		if s == nil {
			continue
		}
		settle(now, w, s)
		if !s.CrashSuspectedAt.IsZero() {
			kept = append(kept, id)
		}
	}
	w.CrashSuspectedServers = kept
}

// settle decides whether a backend server crashed: its incarnation changed, or its probes fail.
func settle(now time.Time, w *rocktable.World, s *rocktable.BackendServer) {
	crashed, unsure := false, false
	switch {
	case s.Incarnation != s.CrashIncarnation || s.FailedProbes >= failedProbes || s.State == rocktable.StateDown:
		crashed = true
	case s.StatusAt.Sub(s.CrashSuspectedAt) >= lagOf(s):
		// It still runs: only the link was cut.
	case now.Sub(s.CrashSuspectedAt) >= confirmWithin:
		unsure = true
	default:
		w.WakeAt(s.CrashSuspectedAt.Add(confirmWithin))
		return
	}
	if crashed {
		s.ConfirmedCrashAt = s.CrashSuspectedAt
	}
	for _, p := range s.CrashCandidates {
		settlePrint(now, w, p, crashed, unsure)
	}
	s.CrashSuspectedAt, s.CrashCandidates = time.Time{}, nil
	w.WakeAt(now) // requests that waited for this can go on
}

func lagOf(s *rocktable.BackendServer) time.Duration {
	if s.Probing {
		return reportLag
	}
	return newsLag
}

func settlePrint(now time.Time, w *rocktable.World, p rocktable.CrashCandidate, crashed, unsure bool) {
	s := w.Suspects.Get(p.Fingerprint)
	if s == nil {
		return
	}
	s.UnconfirmedSigns = max(0, s.UnconfirmedSigns-1)
	TellWork(now, w)
	if p.RanAlone {
		s.UnconfirmedAloneSigns = max(0, s.UnconfirmedAloneSigns-1)
	}
	// Reports of backend servers in other data centres can be late. Content that was in flight at confirmed crashes and lost a
	// backend server while it ran alone there is not given another one.
	if crashed || unsure && p.RanAlone && len(s.Crashes) >= aloneAfter {
		confirm(now, w, s, p)
		return
	}
	if s.UnconfirmedSigns == 0 && s.ChangeSeq == 0 {
		w.Suspects.Delete(p.Fingerprint)
	}
}

func confirm(now time.Time, w *rocktable.World, s *rocktable.Suspect, p rocktable.CrashCandidate) {
	AddCrashes(s, p.CrashID)
	switch {
	case s.Quarantined:
		MarkChanged(w, s)
	case p.RanAlone:
		s.AloneCrashes++
		quarantine(now, w, s)
	default:
		s.ExpiresAt = now.Add(SuspectFor)
		MarkChanged(w, s)
	}
}

func quarantine(now time.Time, w *rocktable.World, s *rocktable.Suspect) {
	s.Quarantined, s.ExpiresAt = true, now.Add(QuarantineFor)
	MarkChanged(w, s)
	w.LogChange("suspect", strconv.FormatUint(s.Fingerprint, 16), "suspect", "quarantined")
}

// AddCrashes adds crashes that a suspect does not have yet, and reports whether there were any.
func AddCrashes(s *rocktable.Suspect, crashes ...uint64) bool {
	known := len(s.Crashes)
	for _, id := range crashes {
		if !slices.Contains(s.Crashes, id) {
			s.Crashes = append(s.Crashes, id)
		}
	}
	return len(s.Crashes) > known
}

// MarkChanged marks a suspect as changed, so that peers learn of it at once: its caller may be sending it to them.
func MarkChanged(w *rocktable.World, s *rocktable.Suspect) {
	s.ChangeSeq = w.NextChangeSeq()
	w.Gossip.ChangedSuspects = append(w.Gossip.ChangedSuspects, s.Fingerprint)
}

// TellWork tells peers at once what this host does with suspects.
func TellWork(now time.Time, w *rocktable.World) {
	w.Gossip.WorkChanged = true
	w.WakeAt(now)
}

// crashID returns the identity of a crash, which hosts agree on: the backend server, its incarnation, and the number of
// crashes of which it had signs before this one was confirmed.
func crashID(s *rocktable.BackendServer, known int) uint64 {
	return xxhash.Sum64String(s.Name + "/" + strconv.FormatUint(s.CrashIncarnation, 10) + "/" + strconv.FormatBool(known > 0))
}

// clearSuspect lifts suspicion and quarantine; the row stays for a while, so that peers learn of it.
func clearSuspect(now time.Time, w *rocktable.World, s *rocktable.Suspect) {
	s.Crashes, s.AloneCrashes, s.Quarantined = nil, 0, false
	s.ExpiresAt = now.Add(clearedFor)
	MarkChanged(w, s)
}

// IsQuarantined reports whether requests with this content are refused.
func IsQuarantined(now time.Time, w *rocktable.World, fingerprint uint64) bool {
	s := w.Suspects.Get(fingerprint)
	return s != nil && s.Quarantined && now.Before(s.ExpiresAt)
}

// IsSuspect reports whether a request with this content must run alone: it was in flight at aloneAfter crashes or signs of crashes.
func IsSuspect(now time.Time, w *rocktable.World, fingerprint uint64) bool {
	s := w.Suspects.Get(fingerprint)
	return s != nil && signs(s) >= aloneAfter && now.Before(s.ExpiresAt)
}

// signs returns the number of crashes and of signs that are not confirmed yet, of all hosts.
func signs(s *rocktable.Suspect) int { return len(s.Crashes) + s.UnconfirmedSigns + s.PeerSigns }

// MustWait reports whether a suspect may not start now: it already runs alone here or at a peer, it is not settled yet whether it crashed a backend server while it ran alone, or it is refused if the signs are confirmed.
func MustWait(w *rocktable.World, fingerprint uint64) bool {
	s := w.Suspects.Get(fingerprint)
	return s != nil && (s.RunsAlone || s.PeerRunsAlone || s.UnconfirmedAloneSigns > 0 || signs(s) >= maxCrashes && s.UnconfirmedSigns+s.PeerSigns > 0)
}
