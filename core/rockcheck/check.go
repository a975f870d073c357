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
	// leaveLimit is the time from the first notice of a departure to the last new work.
	leaveLimit = 3 * time.Second
	// inForceWithin is the time from the acceptance of a configuration to its being in force everywhere.
	inForceWithin = 16 * time.Second
	// maxCrashes is the number of backend servers that one request content may crash.
	maxCrashes = 3
)

// checkTick checks what one tick of a host may break.
func (f *Fleet) checkTick(h *Host, out *rocktable.Outbox) {
	if h.World.ConfigVersion < h.version {
		f.Violate("configuration", "%s: version %d is in force after %d", h.Name, h.World.ConfigVersion, h.version)
	}
	h.version = max(h.version, h.World.ConfigVersion)
	f.noteLeaving(h)
	for _, start := range out.Starts {
		for _, stage := range start.Path {
			f.checkLeaving(h, stage.Address)
		}
	}
	for _, start := range out.CallStarts {
		f.checkLeaving(h, start.Address)
	}
}

// checkLeaving checks that a host starts nothing on a backend server of whose departure a connected host knows for longer than the limit.
func (f *Fleet) checkLeaving(h *Host, server string) {
	own := h.World.ServerNamed(server)
	for _, g := range f.Hosts {
		since, known := g.leaving[server]
		if !g.Running || !known || f.Now.Sub(since) <= leaveLimit {
			continue
		}
		// Both must have run and been connected for the whole time; a report with a higher number ended the departure.
		calm := latest(latest(g.WokeAt, h.WokeAt), f.Link.cuts[pairOf(g.DataCentre, h.DataCentre)])
		ended := own.StatusSeq>>40 > g.World.ServerNamed(server).StatusSeq>>40
		if !ended && f.Now.Sub(calm) > leaveLimit {
			f.Violate("leaving", "%s starts on %s, and %s knows for %v that it is leaving", h.Name, server, g.Name, f.Now.Sub(since))
		}
	}
}

// checkAnswer checks an answer against the undisturbed run and against its reason.
func (f *Fleet) checkAnswer(c *Chat) {
	want := Reference(c.Prompt, c.MaxTokens)
	got := c.Stream.Tokens
	if c.Answer.Reason == "" && !slices.Equal(got, want) {
		f.Violate("wholeAnswer", "%s: tokens %v, want %v", c.Name, got, want)
	}
	if len(got) > len(want) || !slices.Equal(got, want[:len(got)]) {
		f.Violate("wholeAnswer", "%s: tokens %v are not the beginning of %v", c.Name, got, want)
	}
}

func isNotRun(a *rocktable.Answer) bool {
	reason, ok := rockreason.Find(a.Reason)
	return ok && reason.Ran == rockreason.NotRun
}

// checkStopped checks that a graceful stop left no request without its answer.
func (f *Fleet) checkStopped(h *Host) {
	for _, c := range h.chats {
		f.Violate("gracefulStop", "%s stopped before it answered %s", h.Name, c.Name)
	}
	for _, c := range h.calls {
		f.Violate("gracefulStop", "%s stopped before it answered call %s", h.Name, c.Name)
	}
}

// CheckWitness checks the answers against what ran at the fakes.
func (f *Fleet) CheckWitness() {
	for _, c := range f.Chats {
		steps := 0
		for _, e := range f.Engines {
			steps += e.Runs[c.Name]
		}
		if c.Answer != nil && isNotRun(c.Answer) && steps > 0 {
			f.Violate("notRun", "%s was refused as not run (%s) and ran %d steps", c.Name, c.Answer.Reason, steps)
		}
	}
	for _, c := range f.Calls {
		f.checkCall(c)
	}
	for key, runs := range f.Runs {
		if runs > 1 {
			f.Violate("atMostOnce", "%s ran %d times", key, runs)
		}
	}
}

func (f *Fleet) checkCall(c *Call) {
	switch {
	case c.Answer == nil:
	case isNotRun(c.Answer) && f.RunsOf[c.Name] > 0:
		f.Violate("notRun", "call %s was refused as not run (%s) and ran", c.Name, c.Answer.Reason)
	case c.Answer.Reason != "":
	case c.Answer.Recorded == nil || string(c.Answer.Recorded.Body) != f.Outcomes[c.Key]:
		f.Violate("atMostOnce", "call %s was answered with %+v, want %q", c.Name, c.Answer.Recorded, f.Outcomes[c.Key])
	}
}

// CheckAnswered checks that every request whose host was not killed has its answer.
func (f *Fleet) CheckAnswered() {
	for _, c := range f.Chats {
		if c.Answer == nil && !c.Broken {
			f.Violate("answered", "%s got no answer", c.Name)
		}
	}
	for _, c := range f.Calls {
		if c.Answer == nil && !c.Broken {
			f.Violate("answered", "call %s got no answer", c.Name)
		}
	}
}

// CheckCrashes checks the number of backend servers that each request crashed, together with resends after its answer.
// A request with the same content that was in flight at the same time counts for itself, because its attempts begin
// before the crash of the other is known.
func (f *Fleet) CheckCrashes() {
	crashed := make(map[uint64][]string)
	overlap := make(map[uint64]int)
	var last *Chat
	for _, c := range f.Chats {
		if !c.Poison {
			continue
		}
		if len(c.Crashed) > maxCrashes {
			f.Violate("crashes", "%s crashed %v", c.Name, c.Crashed)
		}
		print := c.Fingerprint
		crashed[print] = append(crashed[print], c.Crashed...)
		if last != nil && last.Fingerprint == print && (last.Answer == nil || c.At.Before(last.AnsweredAt)) {
			overlap[print]++
			if last.h != c.h {
				overlap[print] += maxCrashes - 1 // a host learns of another's crashes by gossip, later
			}
		}
		last = c
		if len(crashed[print]) > maxCrashes+overlap[print] {
			f.Violate("crashes", "content %x crashed %v", print, crashed[print])
		}
	}
}

// CheckInnocent checks that all other requests, or those of the hosts of poisonous ones, were answered.
func (f *Fleet) CheckInnocent(sameHost bool) {
	poisoned := make(map[*Host]bool)
	for _, c := range f.Chats {
		poisoned[c.h] = poisoned[c.h] || c.Poison
	}
	for _, c := range f.Chats {
		if !c.Poison && c.Answer != nil && c.Answer.Reason != "" && (poisoned[c.h] || !sameHost) {
			f.Violate("innocent", "%s was answered with %s", c.Name, c.Answer.Reason)
		}
	}
}

// CheckInterrupted checks that every request was answered whole, but for those that arrived in one batch with the
// shutdown and were refused at once.
func (f *Fleet) CheckInterrupted() {
	for _, c := range f.Chats {
		if c.Answer == nil || c.Answer.Reason == "" {
			continue
		}
		if c.Answer.Reason != rockreason.ShuttingDown || c.AnsweredAt.Sub(c.At) > batchTime {
			f.Violate("gracefulStop", "%s was answered with %s", c.Name, c.Answer.Reason)
		}
	}
}

// CheckConfiguration checks that every accepted change was written once and that the last version is in force everywhere.
func (f *Fleet) CheckConfiguration() {
	versions := f.Platform.Configs.Rows["configuration"]
	for _, end := range f.Accepted {
		i := slices.IndexFunc(versions, func(v Version[rocktable.ConfigRow]) bool { return v.Version == end.Version })
		if i < 0 || versions[i].Row.ChangeID != end.ChangeID {
			f.Violate("configuration", "change %s was accepted as version %d, which is not its", end.ChangeID, end.Version)
		}
	}
	for i := 1; i < len(versions); i++ {
		earlier := versions[i].Row.Earlier
		if n := len(earlier); n == 0 || earlier[n-1].Version != versions[i-1].Version {
			f.Violate("configuration", "version %d does not follow version %d, which is lost", versions[i].Version, versions[i-1].Version)
		}
	}
	last := versions[len(versions)-1].Version
	for _, h := range f.Hosts {
		// A host that has just started takes no requests until it has the last version.
		isStarting := f.Now.Sub(h.StartedAt) < inForceWithin && !h.World.Ready
		if h.Running && !isStarting && h.World.ConfigVersion != last {
			f.Violate("configuration", "%s has version %d in force %v after healing, want %d", h.Name, h.World.ConfigVersion, f.Now.Sub(f.HealedAt), last)
		}
	}
}

// CheckAgreement checks that all hosts agree after healing.
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
				f.Violate("agreement", "%s holds %s to be %s", h.Name, g.Name, hostText(row))
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
			f.Violate("agreement", "%s holds %s to be %s, %s holds it to be %s", a.Name, e.Name, serverText(one), b.Name, serverText(two))
			continue
		}
		if e.Up && one.State != rocktable.StateLive && !rockmember.IsDeparted(one) {
			f.Violate("agreement", "%s is up and all hosts hold it to be %s", e.Name, one.State)
		}
	}
	for _, s := range a.World.Suspects.All() {
		if row := b.World.Suspects.Get(s.Fingerprint); s.Quarantined && (row == nil || !row.Quarantined) {
			f.Violate("agreement", "%s has quarantined %x and %s has not", a.Name, s.Fingerprint, b.Name)
		}
	}
}

func serverText(s *rocktable.BackendServer) string {
	if s == nil {
		return "missing"
	}
	return fmt.Sprintf("%s, drained %v, number %d/%d", s.State, s.Drained, s.StatusSeq>>40, s.StatusSeq&(1<<40-1))
}
