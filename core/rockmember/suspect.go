package rockmember

import (
	"cmp"
	"slices"
	"time"

	"sassafrasrock/core/rockcrash"
	"sassafrasrock/core/rocktable"
)

const (
	recentSuspects = 2
	// workRows limits the suspects of which a message tells what the sender does with them.
	workRows = 16
	// workKept is the time after which what a peer told of its work with suspects is forgotten; it is told again each second.
	workKept = 4 * time.Second
	// workEvery bounds the extra messages that tell of suspects.
	workEvery = 30 * time.Millisecond
	// workNear and workFar are the numbers of peers that learn of it at once.
	workNear = 8
	workFar  = 2
)

func addSuspects(now time.Time, w *rocktable.World, d *draft, floor uint64) {
	var rows []*rocktable.Suspect
	for _, s := range w.Suspects.All() {
		// A row that never changed holds only unconfirmed crashes of this host; without a crash it would look like a lift.
		if s.ExpiresAt.After(now) && s.ChangeSeq != 0 {
			rows = append(rows, s)
		}
	}
	if len(rows) == 0 {
		return
	}
	slices.SortFunc(rows, func(a, b *rocktable.Suspect) int { return cmp.Compare(b.ChangeSeq, a.ChangeSeq) })
	turn := pickSuspect(w, rows)
	taken := []*rocktable.Suspect{turn}
	for _, s := range rows[:min(len(rows), recentSuspects)] {
		if s != turn && s.ChangeSeq > floor {
			taken = append(taken, s)
		}
	}
	for _, s := range taken {
		if !d.take(24 + 8*len(s.Crashes)) {
			return
		}
		d.Suspects = append(d.Suspects, suspectNews(now, s))
	}
}

// pickSuspect returns a random row, which is a quarantined one half of the time: a host that has just started must not
// start quarantined content, and a turn over all rows that all receivers share can pass one of them by.
func pickSuspect(w *rocktable.World, rows []*rocktable.Suspect) *rocktable.Suspect {
	var quarantined []*rocktable.Suspect
	for _, s := range rows {
		if s.Quarantined {
			quarantined = append(quarantined, s)
		}
	}
	if len(quarantined) > 0 && w.Rand.IntN(2) == 0 {
		rows = quarantined
	}
	return rows[w.Rand.IntN(len(rows))]
}

func suspectNews(now time.Time, s *rocktable.Suspect) rocktable.SuspectUpdate {
	return rocktable.SuspectUpdate{
		Fingerprint: s.Fingerprint, Crashes: s.Crashes, AloneCrashes: s.AloneCrashes,
		Quarantined: s.Quarantined, Remaining: s.ExpiresAt.Sub(now),
	}
}

// takeSuspect merges news of a suspect; a row without crashes lifts it and outweighs older news until it expires.
func takeSuspect(now time.Time, w *rocktable.World, n rocktable.SuspectUpdate) {
	if n.Remaining <= 0 {
		return
	}
	s := w.Suspects.Get(n.Fingerprint)
	if s != nil && now.After(s.ExpiresAt) {
		s = nil
	}
	lift := len(n.Crashes) == 0 && !n.Quarantined
	if s != nil && len(s.Crashes) == 0 && !s.Quarantined && s.ChangeSeq != 0 {
		return
	}
	if s == nil || lift {
		row := w.Suspects.GetOrPut(n.Fingerprint)
		// Unconfirmed crashes of this host are settled here, whatever peers tell.
		*row = rocktable.Suspect{
			Fingerprint: n.Fingerprint, Crashes: slices.Clone(n.Crashes), AloneCrashes: n.AloneCrashes, Quarantined: n.Quarantined,
			RunsAlone: row.RunsAlone, UnconfirmedSigns: row.UnconfirmedSigns, UnconfirmedAloneSigns: row.UnconfirmedAloneSigns, PeerSigns: row.PeerSigns, PeerRunsAlone: row.PeerRunsAlone,
			ExpiresAt: now.Add(n.Remaining),
		}
		rockcrash.MarkChanged(w, row)
		return
	}
	if !rockcrash.AddCrashes(s, n.Crashes...) && n.AloneCrashes <= s.AloneCrashes && (s.Quarantined || !n.Quarantined) {
		return
	}
	s.ExpiresAt = maxTime(s.ExpiresAt, now.Add(n.Remaining))
	s.AloneCrashes = max(s.AloneCrashes, n.AloneCrashes)
	s.Quarantined = s.Quarantined || n.Quarantined
	rockcrash.MarkChanged(w, s)
}

// sendWork tells peers at once of suspects that changed and of what this host does with them. Both go in one message, because
// a sign that ends without the crash that it has become would let a peer start the suspect.
func sendWork(now time.Time, w *rocktable.World) {
	g := &w.Gossip
	if w.Limits.PlatformPushes {
		// A crash is confirmed there only when the entry of the backend server lapses, and a request has few attempts: hosts do
		// not wait for each other, and the rounds tell of suspects.
		g.WorkChanged, g.ChangedSuspects = false, nil
	}
	if !g.WorkChanged && len(g.ChangedSuspects) == 0 {
		return
	}
	if now.Before(g.NextWork) {
		w.WakeAt(g.NextWork)
		return
	}
	g.WorkChanged, g.NextWork = false, now.Add(workEvery)
	near, far, _ := peers(w)
	far = partners(w, far)
	m := Header(w)
	m.Reply, m.Work = true, suspectWork(w)
	rows := min(len(g.ChangedSuspects), workRows)
	for _, fingerprint := range g.ChangedSuspects[:rows] {
		if s := w.Suspects.Get(fingerprint); s != nil && s.ChangeSeq != 0 && s.ExpiresAt.After(now) {
			m.Suspects = append(m.Suspects, suspectNews(now, s))
		}
	}
	g.ChangedSuspects = g.ChangedSuspects[rows:]
	if len(g.ChangedSuspects) > 0 {
		w.WakeAt(g.NextWork)
	}
	for _, h := range append(near[:min(len(near), workNear)], far[:min(len(far), workFar)]...) {
		send(w, h.ID, h.Address, m)
	}
}

func addWork(w *rocktable.World, d *draft) {
	for _, n := range suspectWork(w) {
		size := 14
		for _, name := range n.Servers {
			size += 2 + len(name)
		}
		if d.take(size) {
			d.Work = append(d.Work, n)
		}
	}
}

// suspectWork returns what this host does with suspects: those that run alone or wait for that, then signs of crashes.
func suspectWork(w *rocktable.World) []rocktable.SuspectWork {
	if w.Suspects.Len() == 0 {
		return nil
	}
	rows := make(map[uint64]*rocktable.SuspectWork)
	row := func(fingerprint uint64) *rocktable.SuspectWork {
		if rows[fingerprint] == nil {
			rows[fingerprint] = &rocktable.SuspectWork{Fingerprint: fingerprint}
		}
		return rows[fingerprint]
	}
	for _, s := range w.Servers.All() {
		if r := w.Requests.Get(s.ExclusiveRequest); r != nil {
			n := row(r.Fingerprint)
			n.Servers = append(n.Servers, s.Name)
			n.Running = n.Running || r.Attempt != 0
		}
	}
	for _, s := range w.Suspects.All() {
		if s.UnconfirmedSigns > 0 {
			row(s.Fingerprint).Signs = s.UnconfirmedSigns
		}
	}
	work := make([]rocktable.SuspectWork, 0, len(rows))
	for _, n := range rows {
		work = append(work, *n)
	}
	slices.SortFunc(work, func(a, b rocktable.SuspectWork) int {
		return cmp.Or(cmp.Compare(len(b.Servers), len(a.Servers)), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return work[:min(len(work), workRows)]
}

func takeWork(w *rocktable.World, sender *rocktable.Host, work []rocktable.SuspectWork) {
	if len(sender.ReportedWork)+len(work) > 0 {
		sender.ReportedWork = work
		w.Gossip.RecountPeerLoad = true
	}
}

// countWork adds what a peer does with suspects. Of two hosts that are about to run a suspect alone, the one whose name is
// lower goes first; one that already runs it goes before both.
func countWork(now time.Time, w *rocktable.World, h *rocktable.Host) {
	for _, n := range h.ReportedWork {
		first := n.Running || len(n.Servers) > 0 && h.Name < w.SelfHost().Name
		for _, name := range n.Servers {
			if s := w.ServerNamed(name); s != nil {
				s.PeerExclusive = s.PeerExclusive || first
			}
		}
		s := w.Suspects.GetOrPut(n.Fingerprint)
		s.Fingerprint = n.Fingerprint
		s.ExpiresAt = maxTime(s.ExpiresAt, now.Add(workKept))
		s.PeerSigns += n.Signs
		s.PeerRunsAlone = s.PeerRunsAlone || first
	}
}
