package rockcheck

import (
	"fmt"
	"slices"
	"time"

	"sassafrasrock/core/rocktable"
)

// Event is one fault or request. A and B select the hosts, engines or applications that it affects.
type Event struct {
	At          time.Duration // after the start of the run
	Kind        int           // index in Kinds
	A, B        int
	For         time.Duration // duration of the fault
	RepeatAfter time.Duration // time after which the event occurs again; 0 means never
}

// Kind is a type of event.
type Kind struct {
	Name  string
	Apply func(f *Fleet, e Event)
}

// Kinds lists every type of event.
var Kinds = []Kind{
	{"killHost", func(f *Fleet, e Event) {
		h := f.hostAt(e.A)
		f.Kill(h)
		f.AfterFunc(e.For, func() { f.restart(h) })
	}},
	{"restartHost", func(f *Fleet, e Event) {
		h := f.hostAt(e.A)
		f.Kill(h)
		f.Start(h)
	}},
	{"freezeHost", func(f *Fleet, e Event) { f.Freeze(f.hostAt(e.A), e.For) }},
	{"stopHost", func(f *Fleet, e Event) {
		if h := f.hostAt(e.A); h.Running && !h.Stopping {
			f.Shutdown(h)
			f.AfterFunc(30*time.Second, func() { f.restart(h) })
		}
	}},
	{"cutDataCentres", func(f *Fleet, e Event) { f.Partition(f.hostAt(e.A).DataCentre, f.hostAt(e.B).DataCentre, e.For) }},
	{"cutPlatform", func(f *Fleet, e Event) { f.Partition(f.hostAt(e.A).DataCentre, platformSite, e.For) }},
	{"platformOut", func(f *Fleet, e Event) { f.Platform.UnavailableUntil = f.Now.Add(e.For) }},
	{"oldReads", func(f *Fleet, e Event) { f.Platform.StaleReadsUntil = f.Now.Add(e.For) }},
	{"loseTableAnswers", func(f *Fleet, e Event) { f.Platform.WriteAnswersToLose += 1 + e.A%3 }},
	{"lagList", func(f *Fleet, e Event) { f.Platform.ListLag = e.For }},
	{"crashEngine", func(f *Fleet, e Event) { f.Crash(f.engineAt(e.A), e.For) }},
	{"freezeEngine", func(f *Fleet, e Event) { f.engineAt(e.A).FrozenUntil = f.Now.Add(e.For) }},
	{"refuse", func(f *Fleet, e Event) { f.engineAt(e.A).RefuseUntil = f.Now.Add(e.For) }},
	{"stopApplication", func(f *Fleet, e Event) { f.StopApplication(f.Applications[e.A%len(f.Applications)], e.For) }},
	{"leaveListed", func(f *Fleet, e Event) { f.SetListed(f.engineAt(e.A).Name, "leaving") }},
	{"leaveReported", func(f *Fleet, e Event) { f.engineAt(e.A).Leaving = true }},
	{"drain", func(f *Fleet, e Event) { f.drain(f.hostAt(e.B), f.engineAt(e.A).Name, false) }},
	{"lift", func(f *Fleet, e Event) { f.drain(f.hostAt(e.B), f.engineAt(e.A).Name, true) }},
	{"change", func(f *Fleet, e Event) { f.SendChange(f.hostAt(e.A), f.changeID(e), e.A) }},
	{"changesRace", func(f *Fleet, e Event) {
		f.SendChange(f.hostAt(e.A), f.changeID(e)+"-one", e.A)
		f.SendChange(f.hostAt(e.B), f.changeID(e)+"-two", e.B)
	}},
	{"flood", func(f *Fleet, e Event) {
		for range 60 {
			f.sendUniqueChat(f.hostAt(e.A), 1)
		}
	}},
	{"poison", func(f *Fleet, e Event) {
		if h := f.hostAt(e.A); h.Running {
			// Poison requests come from a caller of their own, because each caller has its own
			// retry budget.
			f.SendChat(h, "ferry", 0, []uint32{666, uint32(e.At)}, 5).Poison = true
		}
	}},
	{"callTwice", func(f *Fleet, e Event) { f.callTwice(f.hostAt(e.A), f.hostAt(e.B)) }},
	{"clockJump", func(f *Fleet, e Event) {
		// Decisions use monotonic clocks, which only jump forward.
		f.hostAt(e.A).Offset += e.For
	}},
}

// ScheduleEvent schedules an event and its repetition.
func (f *Fleet) ScheduleEvent(e Event) {
	do := func() {
		f.trace("-", "event %s", Kinds[e.Kind].Name)
		Kinds[e.Kind].Apply(f, e)
	}
	f.AfterFunc(e.At, do)
	if e.RepeatAfter > 0 {
		f.AfterFunc(e.At+e.RepeatAfter, do)
	}
}

// KindIndex returns the index of a kind in Kinds, or -1.
func KindIndex(name string) int {
	return slices.IndexFunc(Kinds, func(k Kind) bool { return k.Name == name })
}

func (f *Fleet) hostAt(i int) *Host     { return f.Hosts[i%len(f.Hosts)] }
func (f *Fleet) engineAt(i int) *Engine { return f.Engines[i%len(f.Engines)] }

// restart starts a host unless it is running.
func (f *Fleet) restart(h *Host) {
	if !h.Running {
		f.Start(h)
	}
}

func (f *Fleet) drain(h *Host, server string, lift bool) {
	f.trace(h.Name, "drain %s, lift %v", server, lift)
	f.post(h, func(in *rocktable.Inbox) { in.Drains = append(in.Drains, rocktable.Drain{Server: server, Lift: lift}) })
}

func (f *Fleet) changeID(e Event) string {
	return fmt.Sprintf("change-%d-%d-%d", e.At.Milliseconds(), e.A, e.B)
}

// SendChange sends an operator's change of a caller's weight to a host, based on the version active
// there.
func (f *Fleet) SendChange(h *Host, id string, weight int) {
	w := h.World
	if !h.Running || w.ConfigVersion == 0 {
		return
	}
	cfg := w.Config.Configuration
	cfg.Callers = slices.Clone(cfg.Callers)
	cfg.Callers[1].Weight = float64(1 + weight%100)
	f.trace(h.Name, "change %s expects version %d", id, w.ConfigVersion)
	change := rocktable.ConfigChange{ChangeID: id, ExpectedVersion: w.ConfigVersion, Configuration: cfg}
	f.post(h, func(in *rocktable.Inbox) { in.ConfigChanges = append(in.ConfigChanges, change) })
}

func (f *Fleet) endChange(h *Host, end rocktable.ConfigEnd) {
	f.trace(h.Name, "change %s ends: %q, version %d", end.ChangeID, end.Reason, end.Version)
	if end.Reason == "" {
		f.AcceptedChanges = append(f.AcceptedChanges, end)
	}
}

// sendUniqueChat sends a request whose content no other request has.
func (f *Fleet) sendUniqueChat(h *Host, rank rocktable.RankID) {
	if !h.Running || h.Stopping {
		return
	}
	f.lastUnique++
	prompt := []uint32{uint32(f.lastUnique), f.Rand.Uint32(), 7}
	f.SendChat(h, "guild", rank, prompt, 2+f.Rand.IntN(12))
}

// callTwice sends the same call to two hosts at the same time, and later to the first one again.
func (f *Fleet) callTwice(a, b *Host) {
	f.lastUnique++
	key := fmt.Sprintf("key-%d", f.lastUnique)
	call := func(h *Host) {
		if h.Running {
			f.SendCall(h, key)
		}
	}
	call(a)
	call(b)
	f.AfterFunc(f.between(time.Second, 8*time.Second), func() { call(a) })
}

// ScheduleTraffic schedules ordinary requests and calls until a time.
func (f *Fleet) ScheduleTraffic(until time.Duration) {
	for at := 3 * time.Second; at < until; at += 250 * time.Millisecond {
		f.AfterFunc(at, func() {
			f.sendUniqueChat(f.hostAt(f.Rand.IntN(len(f.Hosts))), rocktable.RankID(f.Rand.IntN(2)))
			if f.Rand.IntN(3) == 0 {
				f.callTwice(f.hostAt(f.Rand.IntN(len(f.Hosts))), f.hostAt(f.Rand.IntN(len(f.Hosts))))
			}
		})
	}
}

// Heal ends every fault.
func (f *Fleet) Heal() {
	f.HealedAt = f.Now
	for p, until := range f.Link.partitions {
		if f.Now.Before(until) {
			f.Link.partitions[p] = f.Now
		}
	}
	f.Platform.UnavailableUntil, f.Platform.StaleReadsUntil, f.Platform.WriteAnswersToLose, f.Platform.ListLag = time.Time{}, time.Time{}, 0, time.Second
	for _, e := range f.Engines {
		e.FrozenUntil, e.RefuseUntil = time.Time{}, time.Time{}
	}
	for _, h := range f.Hosts {
		if h.FrozenUntil.After(f.Now) {
			f.Freeze(h, 0)
			f.tickAt(h, f.Now.Add(batchTime))
		}
	}
}
