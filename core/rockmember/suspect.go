package rockmember

import (
	"cmp"
	"slices"
	"time"

	"sassafrasrock/core/rockcrash"
	"sassafrasrock/core/rocktable"
)

const (
	// recentSuspectRows limits the recently changed suspects in a message.
	recentSuspectRows = 2
	// workRows limits the suspects in a message for which the sender reports its work, and the changed suspects in an
	// extra message.
	workRows = 16
	// minWorkRetention is the shortest time after which a peer's report of its work on suspects is dropped.
	minWorkRetention = 4 * time.Second
	// workRetentionRounds is the number of messages of a peer, as far apart as rounds of gossip make them, that may be
	// lost before its report is dropped.
	workRetentionRounds = 2
	// workEvery is the shortest time between two extra messages about suspects.
	workEvery = 30 * time.Millisecond
	// workLocal and workRemote are the numbers of peers in this and in other data centres that receive an extra
	// message.
	workLocal  = 8
	workRemote = 2
)

// workRetention returns the time after which a peer's report of its work on suspects is dropped. Peers include it in the
// messages of every round of gossip, which reach each host of a large data centre in turn.
func workRetention(w *rocktable.World) time.Duration {
	local, _, _ := peers(w)
	roundsBetweenMessages := (len(local) + localPeers - 1) / localPeers
	return max(minWorkRetention, workRetentionRounds*time.Duration(roundsBetweenMessages)*w.Limits.GossipEvery)
}

func addSuspects(now time.Time, w *rocktable.World, d *draft, floor uint64) {
	var rows []*rocktable.Suspect
	for _, s := range w.Suspects.All() {
		// A row that never changed holds only unconfirmed signs of crashes. Peers would take it for a lift, because
		// it has no crashes.
		if s.ExpiresAt.After(now) && s.ChangeSeq != 0 {
			rows = append(rows, s)
		}
	}
	if len(rows) == 0 {
		return
	}
	slices.SortFunc(rows, func(a, b *rocktable.Suspect) int { return cmp.Compare(b.ChangeSeq, a.ChangeSeq) })
	picked := pickSuspect(w, rows)
	chosen := []*rocktable.Suspect{picked}
	for _, s := range rows[:min(len(rows), recentSuspectRows)] {
		if s != picked && s.ChangeSeq > floor {
			chosen = append(chosen, s)
		}
	}
	for _, s := range chosen {
		if !d.reserve(24 + 8*len(s.Crashes)) {
			return
		}
		d.Suspects = append(d.Suspects, suspectUpdate(now, s))
	}
}

// pickSuspect returns a random row, and a quarantined one half of the time: a host that has just started must not run
// quarantined content. The choice is random because rows sent in turn are spread over all receivers, so that one
// receiver could miss a row again and again.
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

func suspectUpdate(now time.Time, s *rocktable.Suspect) rocktable.SuspectUpdate {
	return rocktable.SuspectUpdate{
		Fingerprint: s.Fingerprint, Crashes: s.Crashes, AloneCrashes: s.AloneCrashes,
		Quarantined: s.Quarantined, Remaining: s.ExpiresAt.Sub(now),
	}
}

// applySuspectUpdate merges a peer's update of a suspect. An update without crashes lifts suspicion and quarantine, and
// takes precedence over older updates until it expires.
func applySuspectUpdate(now time.Time, w *rocktable.World, u rocktable.SuspectUpdate) {
	if u.Remaining <= 0 {
		return
	}
	s := w.Suspects.Get(u.Fingerprint)
	if s != nil && now.After(s.ExpiresAt) {
		s = nil
	}
	lifts := len(u.Crashes) == 0 && !u.Quarantined
	if s != nil && len(s.Crashes) == 0 && !s.Quarantined && s.ChangeSeq != 0 {
		return
	}
	if s == nil || lifts {
		row := w.Suspects.GetOrPut(u.Fingerprint)
		// Signs of crashes at this host are confirmed or rejected here, regardless of what peers report.
		*row = rocktable.Suspect{
			Fingerprint: u.Fingerprint, Crashes: slices.Clone(u.Crashes), AloneCrashes: u.AloneCrashes, Quarantined: u.Quarantined,
			RunsAlone: row.RunsAlone, UnconfirmedSigns: row.UnconfirmedSigns, UnconfirmedAloneSigns: row.UnconfirmedAloneSigns, PeerSigns: row.PeerSigns, PeerRunsAlone: row.PeerRunsAlone,
			ExpiresAt: now.Add(u.Remaining),
		}
		rockcrash.MarkChanged(w, row)
		return
	}
	if !rockcrash.AddCrashes(s, u.Crashes...) && u.AloneCrashes <= s.AloneCrashes && (s.Quarantined || !u.Quarantined) {
		return
	}
	s.ExpiresAt = maxTime(s.ExpiresAt, now.Add(u.Remaining))
	s.AloneCrashes = max(s.AloneCrashes, u.AloneCrashes)
	s.Quarantined = s.Quarantined || u.Quarantined
	rockcrash.MarkChanged(w, s)
}

// sendWork reports changed suspects and this host's work on suspects to peers at once. Both go in one message: if the
// end of a sign arrived without the crash that the sign has turned into, a peer could start the suspect.
func sendWork(now time.Time, w *rocktable.World) {
	g := &w.Gossip
	if w.Limits.PlatformPushes {
		// Where the platform pushes, a crash is confirmed only when the entry of the backend server lapses, and a
		// request has few attempts. Hosts therefore do not wait for each other, and rounds of gossip report suspects.
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
	local, remote, _ := peers(w)
	remote = partners(w, remote)
	m := SelfMessage(w)
	m.Reply, m.ReportsWork, m.Work = true, true, suspectWork(w)
	rows := min(len(g.ChangedSuspects), workRows)
	for _, fingerprint := range g.ChangedSuspects[:rows] {
		if s := w.Suspects.Get(fingerprint); s != nil && s.ChangeSeq != 0 && s.ExpiresAt.After(now) {
			m.Suspects = append(m.Suspects, suspectUpdate(now, s))
		}
	}
	g.ChangedSuspects = g.ChangedSuspects[rows:]
	if len(g.ChangedSuspects) > 0 {
		w.WakeAt(g.NextWork)
	}
	for _, h := range append(local[:min(len(local), workLocal)], remote[:min(len(remote), workRemote)]...) {
		send(w, h.ID, h.Address, m)
	}
}

func addWork(w *rocktable.World, d *draft) {
	for _, work := range suspectWork(w) {
		size := 14
		for _, name := range work.Servers {
			size += 2 + len(name)
		}
		if d.reserve(size) {
			d.Work = append(d.Work, work)
		}
	}
}

// suspectWork returns this host's work on suspects: first on those that run alone or wait to do so, then on those that
// have only unconfirmed signs of crashes.
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
			work := row(r.Fingerprint)
			work.Servers = append(work.Servers, s.Name)
			work.Running = work.Running || r.Attempt != 0
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

func applyWork(now time.Time, w *rocktable.World, sender *rocktable.Host, work []rocktable.SuspectWork) {
	sender.WorkReportedAt = now
	if len(sender.ReportedWork)+len(work) > 0 {
		sender.ReportedWork = work
		w.Gossip.RecountPeerLoad = true
	}
}

// countWork adds a peer's reported work on suspects. A host that already runs a suspect alone takes precedence over
// hosts that are about to; among those the lowest name takes precedence.
func countWork(now time.Time, w *rocktable.World, h *rocktable.Host) {
	for _, u := range h.ReportedWork {
		precedes := u.Running || len(u.Servers) > 0 && h.Name < w.SelfHost().Name
		for _, name := range u.Servers {
			if s := w.ServerNamed(name); s != nil {
				s.PeerExclusive = s.PeerExclusive || precedes
			}
		}
		s := w.Suspects.GetOrPut(u.Fingerprint)
		s.Fingerprint = u.Fingerprint
		s.ExpiresAt = maxTime(s.ExpiresAt, now.Add(minWorkRetention))
		s.PeerSigns += u.Signs
		s.PeerRunsAlone = s.PeerRunsAlone || precedes
	}
}
