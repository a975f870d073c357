package rockcrash

import (
	"time"

	"sassafrasrock/core/rockpart"
	"sassafrasrock/core/rocktable"
)

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
