package rockmember

import (
	"cmp"
	"slices"
	"time"

	"sassafrasrock/core/rocktable"
)

const (
	// forwardCrashes is the number of crashes from which a part that a peer reported is reported to others at once. A
	// single crash is most often the backend server's own, and a rack that fails has many.
	forwardCrashes = 2
	// partRows limits the parts in an extra message, and roundPartRows those in a round of gossip.
	partRows      = 16
	roundPartRows = 4
	// partsEvery is the shortest time between two extra messages about parts.
	partsEvery = 30 * time.Millisecond
	// partsLocal and partsRemote are the numbers of peers in this and in other data centres that receive an extra
	// message.
	partsLocal  = 8
	partsRemote = 6
)

// sendParts reports changed parts of prompts to peers at once, because requests with them may come at any host.
func sendParts(now time.Time, w *rocktable.World) {
	g := &w.Gossip
	if len(g.ChangedParts) == 0 {
		return
	}
	if now.Before(g.NextParts) {
		w.WakeAt(g.NextParts)
		return
	}
	g.NextParts = now.Add(partsEvery)
	m := SelfMessage(w)
	m.Reply = true
	rows := min(len(g.ChangedParts), partRows)
	for _, id := range g.ChangedParts[:rows] {
		if p := w.Parts.Get(id); p != nil && !slices.ContainsFunc(m.Parts, func(u rocktable.PartUpdate) bool { return u.Part == id }) {
			m.Parts = append(m.Parts, partUpdate(now, p))
		}
	}
	g.ChangedParts = slices.Clone(g.ChangedParts[rows:])
	if len(g.ChangedParts) > 0 {
		w.WakeAt(g.NextParts)
	}
	local, remote, _ := peers(w)
	for _, h := range append(choose(w, local, partsLocal), choose(w, remote, partsRemote)...) {
		send(w, h.ID, h.Address, m)
	}
}

// addParts adds the blamed parts, and then those that changed last, as far as they fit.
func addParts(now time.Time, w *rocktable.World, d *draft) {
	var parts []*rocktable.PromptPart
	for _, p := range w.Parts.All() {
		parts = append(parts, p)
	}
	slices.SortFunc(parts, func(a, b *rocktable.PromptPart) int {
		switch {
		case a.Blamed && !b.Blamed:
			return -1
		case b.Blamed && !a.Blamed:
			return 1
		}
		return cmp.Compare(b.ChangeSeq, a.ChangeSeq)
	})
	for _, p := range parts[:min(len(parts), roundPartRows)] {
		if d.reserve(20 + 8*(len(p.Crashes)+len(p.Excused))) {
			d.Parts = append(d.Parts, partUpdate(now, p))
		}
	}
}

func partUpdate(now time.Time, p *rocktable.PromptPart) rocktable.PartUpdate {
	return rocktable.PartUpdate{
		Part: p.ID, Depth: p.Depth, Crashes: slices.Clone(p.Crashes), Excused: slices.Clone(p.Excused), Blamed: p.Blamed,
		Remaining: p.ExpiresAt.Sub(now),
	}
}
