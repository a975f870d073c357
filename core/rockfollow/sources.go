package rockfollow

import (
	"cmp"
	"slices"
	"time"

	"sassafrasrock/core/rockmember"
	"sassafrasrock/core/rocktable"
)

const (
	// followersPerDataCentre is the number of hosts of a data centre that follow the store.
	followersPerDataCentre = 2
	// maxCandidates limits the hosts of a data centre that follow the store while others of them are silent or do not
	// reach it.
	maxCandidates = 6
	// replacementsOfSilent is the number of hosts that replace a silent follower. It is above 1 because many hosts may
	// have failed together.
	replacementsOfSilent = 2
	// silenceLimit is the time without a notice after which a follower counts as silent. It is one notice and a margin, and
	// short enough that changes reach all hosts within 2 s although their followers have failed.
	silenceLimit = 1250 * time.Millisecond
	// startGrace is the time after its start in which a host misses neither notices nor changes. Its copies are new, and
	// the followers learn of it with their next read of the table of hosts. Those that started later than it read that
	// table have keys that it does not know, so that it must follow the store itself before its copies are too old.
	startGrace = 2 * time.Second
)

// chooseFollowers decides whether this host follows the store, and which hosts it expects to.
func chooseFollowers(now time.Time, w *rocktable.World) {
	if w.FollowedTables.Get(rocktable.HostsTable).Version == 0 {
		return // this host reads the tables once, and then knows the others
	}
	expected := make(map[rocktable.HostID]bool)
	follows := false
	w.Follow.SourceSilent = false
	wanted := followersPerDataCentre
	for _, h := range candidates(w) {
		if wanted == 0 || len(expected) == maxCandidates {
			break
		}
		wanted--
		expected[h.ID] = true
		switch {
		case h.Self:
			follows = true
			if w.Follow.StoreLost {
				wanted++
			}
		case isSilent(now, expectSource(now, w, h.ID)) && !hasJustStarted(now, w):
			wanted += replacementsOfSilent
			w.Follow.SourceSilent = true
		case w.Sources.Get(h.ID).StoreLost:
			wanted++
		}
	}
	for id, s := range w.Sources.All() {
		if !expected[id] {
			s.ExpectedSince = time.Time{}
		}
	}
	// The notices of the lease's holder show all hosts of the data centre that it is alive.
	follows = follows || w.Lease.Held || lacksSource(now, w)
	if follows != w.Follow.Follows {
		w.Follow.Follows, w.Follow.NoticeDue = follows, true
		w.Follow.StoreLost, w.Follow.StoreReached = false, false // not known before the first read
		for _, t := range w.FollowedTables.All() {
			t.ReadFailed = false
		}
		w.LogChange("follower", w.SelfHost().Name, onOff(!follows), onOff(follows))
	}
}

func onOff(on bool) string {
	if on {
		return "on"
	}
	return "off"
}

// candidates returns the hosts of this data centre that may follow the store, with the highest rendezvous hash first.
func candidates(w *rocktable.World) []*rocktable.Host {
	dc := w.SelfHost().DataCentre
	name := w.DataCentres.Get(dc).Name
	var hosts []*rocktable.Host
	ranks := make(map[rocktable.HostID]uint64)
	for _, h := range w.Hosts.All() {
		if h.DataCentre == dc && (h.State == rocktable.StateLive || h.State == rocktable.StateUnknown) {
			hosts = append(hosts, h)
			ranks[h.ID] = rockmember.RendezvousHash(name, h.Name)
		}
	}
	slices.SortFunc(hosts, func(a, b *rocktable.Host) int { return cmp.Compare(ranks[b.ID], ranks[a.ID]) })
	return hosts
}

// expectSource returns the row of a host that this host expects to follow the store.
func expectSource(now time.Time, w *rocktable.World, id rocktable.HostID) *rocktable.Source {
	s := w.Sources.GetOrPut(id)
	if s.ExpectedSince.IsZero() {
		s.ExpectedSince = now
	}
	return s
}

// isSilent reports whether an expected follower has sent no notice since it was expected to.
func isSilent(now time.Time, s *rocktable.Source) bool {
	since := s.ExpectedSince
	if s.NoticeAt.After(since) {
		since = s.NoticeAt
	}
	return now.Sub(since) > silenceLimit
}

// hasJustStarted reports whether this host is within startGrace.
func hasJustStarted(now time.Time, w *rocktable.World) bool {
	return now.Sub(w.StartedAt) < startGrace
}

// forgetRestarted forgets as sources the hosts whose rows have changed: they have restarted, and do not follow the store
// until they say so. Those that had them as their sources must learn the new keys from others.
func forgetRestarted(w *rocktable.World, changes []rocktable.TableChange) {
	for _, c := range changes {
		if c.Table != rocktable.HostsTable || c.Full {
			continue
		}
		for _, r := range c.Rows {
			if h := w.HostNamed(r.Key); h != nil && w.Sources.Get(h.ID) != nil {
				w.Sources.Get(h.ID).NoticeAt = time.Time{}
			}
		}
	}
}

// isHeard reports whether a source sent a notice within silenceLimit.
func isHeard(now time.Time, s *rocktable.Source) bool {
	return !s.NoticeAt.IsZero() && now.Sub(s.NoticeAt) <= silenceLimit
}

// lacksSource reports whether no source has sent a notice for so long that this host has to follow the store itself.
func lacksSource(now time.Time, w *rocktable.World) bool {
	st := &w.Follow
	for _, s := range w.Sources.All() {
		if isHeard(now, s) {
			st.NoSourceSince = time.Time{}
			return false
		}
	}
	if st.NoSourceSince.IsZero() {
		st.NoSourceSince = now
	}
	if hasJustStarted(now, w) {
		return false
	}
	// isHeard allowed silenceLimit already. The rest spreads the hosts that lost the same sources.
	return now.Sub(st.NoSourceSince) >= time.Duration(rockmember.RendezvousHash(w.SelfHost().Name, "source")%uint64(checkEvery))
}

// sourceStates reports whether a source of this host reaches the store, and whether one has lost it. A source that has
// only begun to follow the store knows neither.
func sourceStates(now time.Time, w *rocktable.World) (reached, lost bool) {
	for _, s := range w.Sources.All() {
		if isHeard(now, s) {
			reached = reached || s.StoreReached
			lost = lost || s.StoreLost
		}
	}
	return reached, lost
}
