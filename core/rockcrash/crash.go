package rockcrash

import (
	"slices"
	"strconv"
	"time"

	"sassafrasrock/core/rocktable"
)

const (
	// SuspectTTL is the time for which a suspect is kept after its last crash.
	SuspectTTL = 10 * time.Minute
	// QuarantineFor is the time for which a quarantined request content is refused.
	QuarantineFor = time.Hour
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

// clearSuspect lifts suspicion and quarantine. The row is kept for clearedFor in order to be reported to peers.
func clearSuspect(now time.Time, w *rocktable.World, s *rocktable.Suspect) {
	s.Crashes, s.AloneCrashes, s.Quarantined = nil, 0, false
	s.ExpiresAt = now.Add(clearedFor)
	MarkChanged(w, s)
}
