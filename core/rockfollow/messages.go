package rockfollow

import (
	"time"

	"sassafrasrock/core/rockmember"
	"sassafrasrock/core/rocktable"
)

const (
	// noticeEvery is the time between two notices of a follower to the hosts of its data centre.
	noticeEvery = 800 * time.Millisecond
	// requestAfter is the time for which a change may be missing before this host asks a peer for it. Followers read
	// the changes of a table at different moments, at most one interval apart.
	requestAfter = 600 * time.Millisecond
	// requestEvery is the time between two requests for the changes of a table.
	requestEvery = 700 * time.Millisecond
	// readAfter is the time for which a change may be missing before this host reads it from the store.
	readAfter = 2 * time.Second
)

// applyMessage applies what a peer says about the followed tables. A host that this one does not know yet is not heard.
func applyMessage(now time.Time, w *rocktable.World, m rocktable.PeerMessage) {
	sender := w.HostNamed(m.Sender)
	if sender == nil || sender.Self || m.Incarnation < sender.Incarnation {
		return
	}
	if sender.DataCentre == w.SelfHost().DataCentre {
		recordSource(now, w, sender.ID, m)
	}
	for _, u := range m.Tables {
		applyUpdate(now, w, sender.ID, u)
		t := w.FollowedTables.Get(u.Table)
		if t == nil || !m.StoreReached {
			continue
		}
		if t.Digest == u.Digest && t.Era == comparableEra(w, t, u.Era) {
			t.ConfirmedAt = now
		}
		doubtEra(now, t, u.Era)
	}
	if len(m.TableRequests) > 0 {
		answerRequests(w, m)
	}
}

func recordSource(now time.Time, w *rocktable.World, id rocktable.HostID, m rocktable.PeerMessage) {
	if !m.FollowsStore {
		if s := w.Sources.Get(id); s != nil {
			s.NoticeAt = time.Time{}
		}
		return
	}
	s := w.Sources.GetOrPut(id)
	if m.StoreLost && !s.StoreLost {
		w.Follow.NextCheck = now // another host may have to follow the store
	}
	s.NoticeAt, s.StoreLost, s.StoreReached = now, m.StoreLost, m.StoreReached
}

// answerRequests sends the changes that a peer asks for. A copy that may lack changes is not sent.
func answerRequests(w *rocktable.World, m rocktable.PeerMessage) {
	reply := newMessage(w)
	for _, r := range m.TableRequests {
		t := w.FollowedTables.Get(r.Table)
		if t == nil || t.Mixed || t.Era < w.Follow.Era {
			continue
		}
		after := rocktable.StoreVersion{Era: comparableEra(w, t, r.Era), Version: r.After}
		if t.StoreVersion().Compare(after) <= 0 {
			continue
		}
		if u, fits := updateAfter(t, after); fits {
			setUpdate(&reply, u)
		}
	}
	rockmember.SendTo(w, m, reply)
}

// newMessage returns a message that carries nothing but this host's state as a source.
func newMessage(w *rocktable.World) rocktable.PeerMessage {
	m := rockmember.SelfMessage(w)
	m.Reply = true
	return m
}

// setUpdate replaces the notice of a table by an update with rows.
func setUpdate(m *rocktable.PeerMessage, u rocktable.TableUpdate) {
	for i := range m.Tables {
		if m.Tables[i].Table == u.Table {
			m.Tables[i] = u
			return
		}
	}
	m.Tables = append(m.Tables, u)
}

// requestMissing asks peers for changes that are missing for some time, and then reads them from the store.
func requestMissing(now time.Time, w *rocktable.World) {
	for _, f := range followedTables {
		t := w.FollowedTables.Get(f.id)
		if t.GapVersion == 0 {
			continue
		}
		missing := now.Sub(t.GapSince)
		if missing >= readAfter && !hasJustStarted(now, w) {
			// The complete table, because a copy that differs from that of a peer may have gone wrong before.
			t.ReadOnce, t.ReadAll = true, true
		}
		h := w.Hosts.Get(t.GapHost)
		if h == nil || missing < requestAfter && t.GapEra <= t.Era || now.Sub(t.RequestedAt) < requestEvery {
			continue
		}
		t.RequestedAt = now
		m := newMessage(w)
		m.TableRequests = []rocktable.TableRequest{{Table: t.ID, Era: t.Era, After: t.Version}}
		w.Outbox.PeerSends = append(w.Outbox.PeerSends, rocktable.PeerSend{Host: h.ID, Address: h.Address, Message: m})
	}
}

// sendChanges sends the changes of this tick to the hosts of the data centre that have this host as their source, if it
// follows the store.
func sendChanges(now time.Time, w *rocktable.World, changes []rocktable.TableChange) {
	if !w.Follow.Follows || len(changes) == 0 {
		return
	}
	m := newMessage(w)
	sent := false
	for _, c := range changes {
		t := w.FollowedTables.Get(c.Table)
		if c.Full || len(c.Rows) == 0 || t.Mixed || rowBytes(c.Rows) > maxUpdateBytes {
			continue // peers notice by the digest, and ask for what they lack
		}
		setUpdate(&m, rocktable.TableUpdate{Table: t.ID, Era: t.Era, Version: t.Version, Digest: t.Digest, Rows: c.Rows})
		sent = true
	}
	if !sent {
		return
	}
	followers := heardFollowers(now, w)
	for _, h := range localPeers(w) {
		// Followers may have failed together, while the notices of some are not missed yet.
		if s := w.Sources.Get(h.ID); w.Follow.SourceSilent || s != nil && s.StoreLost || sourceOf(followers, h) == w.Self {
			send(w, h, m)
		}
	}
}

func rowBytes(rows []rocktable.TableRow) int {
	size := 0
	for _, r := range rows {
		size += len(r.Key) + len(r.Value)
	}
	return size
}

// sendNotices sends this host's versions to all hosts of the data centre if it follows the store, and once after it has
// stopped to.
func sendNotices(now time.Time, w *rocktable.World) {
	st := &w.Follow
	if !st.NoticeDue && (!st.Follows || now.Before(st.NextNotice)) {
		if st.Follows {
			w.WakeAt(st.NextNotice)
		}
		return
	}
	st.NoticeDue, st.NextNotice = false, now.Add(noticeEvery)
	if st.Follows {
		w.WakeAt(st.NextNotice)
	}
	m := newMessage(w)
	for _, h := range localPeers(w) {
		send(w, h, m)
	}
}

func send(w *rocktable.World, h *rocktable.Host, m rocktable.PeerMessage) {
	w.Outbox.PeerSends = append(w.Outbox.PeerSends, rocktable.PeerSend{Host: h.ID, Address: h.Address, Message: m})
}

// localPeers returns the other hosts of this data centre that are not known to be down.
func localPeers(w *rocktable.World) []*rocktable.Host {
	var hosts []*rocktable.Host
	for _, h := range w.Hosts.All() {
		if !h.Self && h.Address != "" && h.DataCentre == w.SelfHost().DataCentre && h.State != rocktable.StateDown {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// heardFollowers returns this host and the other hosts that follow the store.
func heardFollowers(now time.Time, w *rocktable.World) []*rocktable.Host {
	followers := []*rocktable.Host{w.SelfHost()}
	for id, s := range w.Sources.All() {
		if h := w.Hosts.Get(id); h != nil && isHeard(now, s) && !s.StoreLost {
			followers = append(followers, h)
		}
	}
	return followers
}

// sourceOf returns the follower that sends changes to a host: the one with the highest rendezvous hash.
func sourceOf(followers []*rocktable.Host, to *rocktable.Host) rocktable.HostID {
	var source rocktable.HostID
	var highest uint64
	for _, f := range followers {
		if hash := rockmember.RendezvousHash(f.Name, to.Name); hash >= highest {
			source, highest = f.ID, hash
		}
	}
	return source
}
