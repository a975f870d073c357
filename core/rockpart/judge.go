package rockpart

import (
	"cmp"
	"slices"
	"time"

	"sassafrasrock/core/rocktable"
)

// judge decides which parts are blamed.
func judge(now time.Time, w *rocktable.World) {
	var parts []*rocktable.PromptPart
	explained := make(map[uint64]bool)
	for _, p := range w.Parts.All() {
		parts = append(parts, p)
		switch suspect := len(counted(p)) >= blameCrashes; {
		case !suspect:
			p.SuspectAt = time.Time{}
			if p.Blamed {
				setBlamed(w, p, false)
			}
		case p.Blamed:
			explain(explained, p)
		case p.SuspectAt.IsZero():
			p.SuspectAt = now
		}
	}
	for p := worst(parts, explained); p != nil; p = worst(parts, explained) {
		if settled := p.SuspectAt.Add(settleTime); now.Before(settled) {
			w.JudgeParts = true
			w.WakeAt(settled)
			return
		}
		setBlamed(w, p, true)
		explain(explained, p)
	}
}

// worst returns the part with the most crashes that are not explained, or nil if none has enough to be blamed.
func worst(parts []*rocktable.PromptPart, explained map[uint64]bool) *rocktable.PromptPart {
	unexplained := func(p *rocktable.PromptPart) int {
		return len(slices.DeleteFunc(counted(p), func(crash uint64) bool { return explained[crash] }))
	}
	var found *rocktable.PromptPart
	most := blameCrashes - 1
	for _, p := range parts {
		n := unexplained(p)
		switch {
		case p.Blamed || n < blameCrashes:
		case n > most || n == most && found != nil && isMoreSpecific(p, found):
			found, most = p, n
		}
	}
	return found
}

// isMoreSpecific reports whether fewer sound requests share a part than another one. The order is the same at all hosts.
func isMoreSpecific(a, b *rocktable.PromptPart) bool {
	return cmp.Or(cmp.Compare(a.Depth, b.Depth), cmp.Compare(a.ID, b.ID)) > 0
}

// counted returns the crashes that count against a part: those that are not excused.
func counted(p *rocktable.PromptPart) []uint64 {
	return slices.DeleteFunc(slices.Clone(p.Crashes), func(crash uint64) bool { return slices.Contains(p.Excused, crash) })
}

func explain(explained map[uint64]bool, p *rocktable.PromptPart) {
	for _, crash := range p.Crashes {
		explained[crash] = true
	}
}

func setBlamed(w *rocktable.World, p *rocktable.PromptPart, blamed bool) {
	p.Blamed = blamed
	states := [2]string{"suspect", "blamed"}
	if !blamed {
		states = [2]string{"blamed", "excused"}
	}
	w.LogChange("part", p.ID.String(), states[0], states[1])
}

// IsBlamed reports whether a request has a blamed part, or blamed content.
func IsBlamed(w *rocktable.World, r *rocktable.Request) bool {
	if w.Parts.Len() == 0 {
		return false
	}
	for _, id := range partsOf(w, r) {
		if p := w.Parts.Get(id); p != nil && p.Blamed {
			return true
		}
	}
	return false
}

// MustWait reports whether a request may not start now: a request that shares a part with crashes waits until the other
// ones of this host have begun or ended, and until the verdict is reached, so that not all of them are lost to one cause.
// At a host that has just started, each request with parts waits until a peer and the store have told which of them
// crash backend servers.
func MustWait(now time.Time, w *rocktable.World, r *rocktable.Request) bool {
	isAwaited := now.Before(w.Gossip.StateAwaitedUntil) || awaitsStored(now, w)
	if !isAwaited && w.Parts.Len()+w.CrashChecks.Len() == 0 {
		return false
	}
	for _, id := range partsOf(w, r) {
		if isAwaited || isChecked(w, id) || isSettling(now, w, id) || isTried(now, w, r, id) {
			return true
		}
	}
	return false
}

// isSettling reports whether the verdict on a part is about to be reached.
func isSettling(now time.Time, w *rocktable.World, id rocktable.PartID) bool {
	p := w.Parts.Get(id)
	return p != nil && !p.SuspectAt.IsZero() && now.Before(p.SuspectAt.Add(settleTime))
}

// isChecked reports whether a sign against a part is not resolved yet.
func isChecked(w *rocktable.World, id rocktable.PartID) bool {
	for _, c := range w.CrashChecks.All() {
		if slices.ContainsFunc(c.Parts, func(p rocktable.PartAtDepth) bool { return p.Part == id }) {
			return true
		}
	}
	return false
}

// isTried reports whether another request with a part that has crashes waits for its first token, or another call with such
// a content for its answer.
func isTried(now time.Time, w *rocktable.World, r *rocktable.Request, id rocktable.PartID) bool {
	if p := w.Parts.Get(id); p == nil || len(counted(p)) == 0 {
		return false
	}
	for _, a := range w.Attempts.All() {
		other := w.Requests.Get(a.Request)
		if other != nil && other.ID != r.ID && a.Tokens == 0 && !a.Canceled && hasPart(w, other, id) {
			return true
		}
	}
	return r.Call != nil && isCallTried(now, w, r, id)
}

func isCallTried(now time.Time, w *rocktable.World, r *rocktable.Request, id rocktable.PartID) bool {
	for _, other := range w.Requests.All() {
		if other.Call != nil && other.ID != r.ID && other.State == rocktable.RequestRunning && now.Sub(other.Call.StartedAt) < maxCallTrial && hasPart(w, other, id) {
			return true
		}
	}
	return false
}
