package rockcheck

import (
	"fmt"
	"slices"
	"time"

	"sassafrasrock/core/rockmember"
	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

const (
	// leaveLimit is the longest time from the first report of a departure to the last new work.
	leaveLimit = 3 * time.Second
	// activeEverywhereWithin is the longest time until an accepted configuration is active on all
	// hosts.
	activeEverywhereWithin = 16 * time.Second
	// maxCrashes is the largest number of backend servers that one request content may crash.
	maxCrashes = 3
)

// checkTick checks the invariants that one tick of a host can violate.
func (f *Fleet) checkTick(h *Host, out *rocktable.Outbox) {
	if h.World.ConfigVersion < h.highestVersion {
		f.AddViolation("configuration", "%s: version %d is active after version %d", h.Name, h.World.ConfigVersion, h.highestVersion)
	}
	h.highestVersion = max(h.highestVersion, h.World.ConfigVersion)
	f.recordDepartures(h)
	for _, start := range out.Starts {
		for _, stage := range start.Path {
			f.checkLeaving(h, stage.Address)
		}
	}
	for _, start := range out.CallStarts {
		f.checkLeaving(h, start.Address)
	}
}

// checkLeaving checks that a host starts nothing on a backend server whose departure has been known
// to a connected host for longer than the limit.
func (f *Fleet) checkLeaving(h *Host, server string) {
	own := h.World.ServerNamed(server)
	for _, g := range f.Hosts {
		since, known := g.leavingSince[server]
		if !g.Running || !known || f.Now.Sub(since) <= leaveLimit {
			continue
		}
		// Both hosts must have been running and connected for the full time. The upper bits of
		// StatusSeq count departures and their ends; a higher count at h means that h knows of an
		// end of the departure that g has not received yet.
		connectedSince := latest(latest(g.UnfrozenAt, h.UnfrozenAt), f.Link.partitions[newSitePair(g.DataCentre, h.DataCentre)])
		ended := own.StatusSeq>>40 > g.World.ServerNamed(server).StatusSeq>>40
		if !ended && f.Now.Sub(connectedSince) > leaveLimit {
			f.AddViolation("leaving", "%s starts work on %s, which %s has known to be leaving for %v", h.Name, server, g.Name, f.Now.Sub(since))
		}
	}
}

// checkAnswer checks that the tokens are those of a run without faults, or a prefix of them unless
// the answer is complete.
func (f *Fleet) checkAnswer(c *Chat) {
	want := ReferenceTokens(c.Prompt, c.MaxTokens)
	got := c.Stream.Tokens
	if c.Answer.Reason == "" && !slices.Equal(got, want) {
		f.AddViolation("wholeAnswer", "%s: got tokens %v, want %v", c.Name, got, want)
	}
	if len(got) > len(want) || !slices.Equal(got, want[:len(got)]) {
		f.AddViolation("wholeAnswer", "%s: tokens %v are not a prefix of %v", c.Name, got, want)
	}
}

func isNotRun(a *rocktable.Answer) bool {
	reason, ok := rockreason.Find(a.Reason)
	return ok && reason.Ran == rockreason.NotRun
}

// checkStopped checks that a host answered all its requests before a graceful stop ended.
func (f *Fleet) checkStopped(h *Host) {
	for _, c := range h.chats {
		f.AddViolation("gracefulStop", "%s stopped before answering %s", h.Name, c.Name)
	}
	for _, c := range h.calls {
		f.AddViolation("gracefulStop", "%s stopped before answering call %s", h.Name, c.Name)
	}
}

// CheckRuns checks the answers against the steps and calls that the fakes ran.
func (f *Fleet) CheckRuns() {
	for _, c := range f.Chats {
		steps := 0
		for _, e := range f.Engines {
			steps += e.StepsRun[c.Name]
		}
		if c.Answer != nil && isNotRun(c.Answer) && steps > 0 {
			f.AddViolation("notRun", "%s was refused as not run (%s) but ran %d steps", c.Name, c.Answer.Reason, steps)
		}
	}
	for _, c := range f.Calls {
		f.checkCall(c)
	}
	for key, runs := range f.CallRunsByKey {
		if runs > 1 {
			f.AddViolation("atMostOnce", "calls with key %s ran %d times, want at most once", key, runs)
		}
	}
}

func (f *Fleet) checkCall(c *Call) {
	switch {
	case c.Answer == nil:
	case isNotRun(c.Answer) && f.CallRunsByName[c.Name] > 0:
		f.AddViolation("notRun", "call %s was refused as not run (%s) but ran", c.Name, c.Answer.Reason)
	case c.Answer.Reason != "":
	case c.Answer.Recorded == nil || string(c.Answer.Recorded.Body) != f.CallOutcomes[c.Key]:
		f.AddViolation("atMostOnce", "call %s: got answer %+v, want %q", c.Name, c.Answer.Recorded, f.CallOutcomes[c.Key])
	}
}

// CheckAnswered checks that every request was answered unless its host was killed.
func (f *Fleet) CheckAnswered() {
	for _, c := range f.Chats {
		if c.Answer == nil && !c.HostKilled {
			f.AddViolation("answered", "%s got no answer", c.Name)
		}
	}
	for _, c := range f.Calls {
		if c.Answer == nil && !c.HostKilled {
			f.AddViolation("answered", "call %s got no answer", c.Name)
		}
	}
}

// CheckCrashes checks the number of backend servers that each request content crashed, including
// requests with the same content that were sent after the answer. A request that was in flight
// together with an earlier one with the same content may cause further crashes, because its
// attempts may start before the crash of the other is known.
func (f *Fleet) CheckCrashes() {
	crashed := make(map[uint64][]string)
	overlap := make(map[uint64]int)
	var last *Chat
	for _, c := range f.Chats {
		if !c.Poison {
			continue
		}
		if len(c.CrashedEngines) > maxCrashes {
			f.AddViolation("crashes", "%s crashed too many backend servers: %v", c.Name, c.CrashedEngines)
		}
		fingerprint := c.Fingerprint
		crashed[fingerprint] = append(crashed[fingerprint], c.CrashedEngines...)
		if last != nil && last.Fingerprint == fingerprint && (last.Answer == nil || c.SentAt.Before(last.AnsweredAt)) {
			overlap[fingerprint]++
			if last.host != c.host {
				overlap[fingerprint] += maxCrashes - 1 // another host learns of the crashes only later, by gossip
			}
		}
		last = c
		if len(crashed[fingerprint]) > maxCrashes+overlap[fingerprint] {
			f.AddViolation("crashes", "content %x crashed too many backend servers: %v", fingerprint, crashed[fingerprint])
		}
	}
}

// CheckInnocent checks that requests other than poison requests were answered completely. With
// sameHost, it checks only hosts that received a poison request.
func (f *Fleet) CheckInnocent(sameHost bool) {
	poisoned := make(map[*Host]bool)
	for _, c := range f.Chats {
		poisoned[c.host] = poisoned[c.host] || c.Poison
	}
	for _, c := range f.Chats {
		if !c.Poison && c.Answer != nil && c.Answer.Reason != "" && (poisoned[c.host] || !sameHost) {
			f.AddViolation("innocent", "%s ended with %s", c.Name, c.Answer.Reason)
		}
	}
}

// CheckUninterrupted checks that every request was answered completely, except those that arrived
// in the same batch as the shutdown and were refused at once.
func (f *Fleet) CheckUninterrupted() {
	for _, c := range f.Chats {
		if c.Answer == nil || c.Answer.Reason == "" {
			continue
		}
		if c.Answer.Reason != rockreason.ShuttingDown || c.AnsweredAt.Sub(c.SentAt) > batchTime {
			f.AddViolation("gracefulStop", "%s ended with %s", c.Name, c.Answer.Reason)
		}
	}
}

// CheckConfiguration checks that every accepted change was written once and that the last version
// is active on all hosts.
func (f *Fleet) CheckConfiguration() {
	versions := f.Platform.Configs.Rows["configuration"]
	for _, end := range f.AcceptedChanges {
		i := slices.IndexFunc(versions, func(v Version[rocktable.ConfigRow]) bool { return v.Version == end.Version })
		if i < 0 || versions[i].Row.ChangeID != end.ChangeID {
			f.AddViolation("configuration", "change %s was accepted as version %d, which holds another change", end.ChangeID, end.Version)
		}
	}
	for i := 1; i < len(versions); i++ {
		earlier := versions[i].Row.Earlier
		if n := len(earlier); n == 0 || earlier[n-1].Version != versions[i-1].Version {
			f.AddViolation("configuration", "version %d is not based on version %d, which is lost", versions[i].Version, versions[i-1].Version)
		}
	}
	last := versions[len(versions)-1].Version
	for _, h := range f.Hosts {
		// A host that has just started accepts no requests until it has the last version.
		isStarting := f.Now.Sub(h.StartedAt) < activeEverywhereWithin && !h.World.Ready
		if h.Running && !isStarting && h.World.ConfigVersion != last {
			f.AddViolation("configuration", "%s: version %d is active %v after healing, want %d", h.Name, h.World.ConfigVersion, f.Now.Sub(f.HealedAt), last)
		}
	}
}

// CheckAgreement checks that all hosts agree on hosts, backend servers and quarantine after healing.
func (f *Fleet) CheckAgreement() {
	var first *Host
	for _, h := range f.Hosts {
		if !h.Running || h.Stopping {
			continue
		}
		if first == nil {
			first = h
		}
		for _, g := range f.Hosts {
			row := h.World.HostNamed(g.Name)
			if g.Running && !g.Stopping && (row == nil || row.State != rocktable.StateLive || row.Incarnation != g.Incarnation) {
				f.AddViolation("agreement", "%s sees %s as %s", h.Name, g.Name, hostText(row))
			}
		}
		f.compareServers(first, h)
	}
}

func hostText(row *rocktable.Host) string {
	if row == nil {
		return "missing"
	}
	return fmt.Sprintf("%s with incarnation %d", row.State, row.Incarnation)
}

func (f *Fleet) compareServers(a, b *Host) {
	for _, e := range f.Engines {
		one, two := a.World.ServerNamed(e.Name), b.World.ServerNamed(e.Name)
		if one == nil || two == nil || one.State != two.State || one.Drained != two.Drained {
			f.AddViolation("agreement", "%s sees %s as %s, and %s sees it as %s", a.Name, e.Name, serverText(one), b.Name, serverText(two))
			continue
		}
		if e.Up && one.State != rocktable.StateLive && !rockmember.IsLeaving(one) {
			f.AddViolation("agreement", "%s is up, but all hosts see it as %s", e.Name, one.State)
		}
	}
	for _, s := range a.World.Suspects.All() {
		if row := b.World.Suspects.Get(s.Fingerprint); s.Quarantined && (row == nil || !row.Quarantined) {
			f.AddViolation("agreement", "%s has quarantined %x, but %s has not", a.Name, s.Fingerprint, b.Name)
		}
	}
}

func serverText(s *rocktable.BackendServer) string {
	if s == nil {
		return "missing"
	}
	return fmt.Sprintf("%s, drained %v, departure count %d, report %d", s.State, s.Drained, s.StatusSeq>>40, s.StatusSeq&(1<<40-1))
}
