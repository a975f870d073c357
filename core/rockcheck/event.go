package rockcheck

import (
	"fmt"
	"slices"
	"time"

	"sassafrasrock/core/rocktable"
)

// Event is one fault or request, drawn at random. A and B choose what it concerns.
type Event struct {
	At    time.Duration
	Kind  int // position in Kinds
	A, B  int
	For   time.Duration
	Again time.Duration // the same event comes again after this time; 0 means not
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
		f.After(e.For, func() { f.restart(h) })
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
			f.After(30*time.Second, func() { f.restart(h) })
		}
	}},
	{"cutDataCentres", func(f *Fleet, e Event) { f.Cut(f.hostAt(e.A).DataCentre, f.hostAt(e.B).DataCentre, e.For) }},
	{"cutPlatform", func(f *Fleet, e Event) { f.Cut(f.hostAt(e.A).DataCentre, platformPlace, e.For) }},
	{"platformOut", func(f *Fleet, e Event) { f.Platform.OutUntil = f.Now.Add(e.For) }},
	{"oldReads", func(f *Fleet, e Event) { f.Platform.OldUntil = f.Now.Add(e.For) }},
	{"loseTableAnswers", func(f *Fleet, e Event) { f.Platform.LoseNext += 1 + e.A%3 }},
	{"lagList", func(f *Fleet, e Event) { f.Platform.Lag = e.For }},
	{"crashEngine", func(f *Fleet, e Event) { f.Crash(f.engineAt(e.A), e.For) }},
	{"freezeEngine", func(f *Fleet, e Event) { f.engineAt(e.A).FrozenUntil = f.Now.Add(e.For) }},
	{"refuse", func(f *Fleet, e Event) { f.engineAt(e.A).RefuseUntil = f.Now.Add(e.For) }},
	{"stopApplication", func(f *Fleet, e Event) { f.StopApplication(f.Applications[e.A%len(f.Applications)], e.For) }},
	{"leaveListed", func(f *Fleet, e Event) { f.SetListed(f.engineAt(e.A).Name, "leaving") }},
	{"leaveReported", func(f *Fleet, e Event) { f.engineAt(e.A).Leaving = true }},
	{"drain", func(f *Fleet, e Event) { f.drain(f.hostAt(e.B), f.engineAt(e.A).Name, false) }},
	{"lift", func(f *Fleet, e Event) { f.drain(f.hostAt(e.B), f.engineAt(e.A).Name, true) }},
	{"change", func(f *Fleet, e Event) { f.Change(f.hostAt(e.A), f.changeName(e), e.A) }},
	{"changesRace", func(f *Fleet, e Event) {
		f.Change(f.hostAt(e.A), f.changeName(e)+"-one", e.A)
		f.Change(f.hostAt(e.B), f.changeName(e)+"-two", e.B)
	}},
	{"flood", func(f *Fleet, e Event) {
		for range 60 {
			f.askAny(f.hostAt(e.A), 1)
		}
	}},
	{"poison", func(f *Fleet, e Event) {
		if h := f.hostAt(e.A); h.Running {
			// Another caller than that of innocent requests, because callers have retry budgets of their own.
			f.Ask(h, "ferry", 0, []uint32{666, uint32(e.At)}, 5).Poison = true
		}
	}},
	{"callTwice", func(f *Fleet, e Event) { f.callTwice(f.hostAt(e.A), f.hostAt(e.B)) }},
	{"clockJump", func(f *Fleet, e Event) {
		// The clocks that decisions use are monotonic, so that they only jump forward.
		f.hostAt(e.A).Offset += e.For
	}},
}

// Apply schedules an event, and its repetition.
func (f *Fleet) Apply(e Event) {
	do := func() {
		f.trace("-", "event %s", Kinds[e.Kind].Name)
		Kinds[e.Kind].Apply(f, e)
	}
	f.After(e.At, do)
	if e.Again > 0 {
		f.After(e.At+e.Again, do)
	}
}

// KindNamed returns the position of a kind.
func KindNamed(name string) int {
	return slices.IndexFunc(Kinds, func(k Kind) bool { return k.Name == name })
}

func (f *Fleet) hostAt(i int) *Host     { return f.Hosts[i%len(f.Hosts)] }
func (f *Fleet) engineAt(i int) *Engine { return f.Engines[i%len(f.Engines)] }

// restart starts a host that does not run.
func (f *Fleet) restart(h *Host) {
	if !h.Running {
		f.Start(h)
	}
}

func (f *Fleet) drain(h *Host, server string, lift bool) {
	f.trace(h.Name, "drain %s, lift %v", server, lift)
	f.post(h, func(in *rocktable.Inbox) { in.Drains = append(in.Drains, rocktable.Drain{Server: server, Lift: lift}) })
}

func (f *Fleet) changeName(e Event) string {
	return fmt.Sprintf("change-%d-%d-%d", e.At.Milliseconds(), e.A, e.B)
}

// Change is an operator's change of a caller's limit at a host, based on the version in force there.
func (f *Fleet) Change(h *Host, id string, weight int) {
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
		f.Accepted = append(f.Accepted, end)
	}
}

// askAny sends a request with a content that no other has.
func (f *Fleet) askAny(h *Host, rank rocktable.RankID) {
	if !h.Running || h.Stopping {
		return
	}
	f.lastNo++
	prompt := []uint32{uint32(f.lastNo), f.Rand.Uint32(), 7}
	f.Ask(h, "guild", rank, prompt, 2+f.Rand.IntN(12))
}

// callTwice sends a call through two hosts at the same time, and later through the first again.
func (f *Fleet) callTwice(a, b *Host) {
	f.lastNo++
	key := fmt.Sprintf("key-%d", f.lastNo)
	call := func(h *Host) {
		if h.Running {
			f.Call(h, key)
		}
	}
	call(a)
	call(b)
	f.After(f.between(time.Second, 8*time.Second), func() { call(a) })
}

// Traffic sends ordinary requests and calls until a time.
func (f *Fleet) Traffic(until time.Duration) {
	for at := 3 * time.Second; at < until; at += 250 * time.Millisecond {
		f.After(at, func() {
			f.askAny(f.hostAt(f.Rand.IntN(len(f.Hosts))), rocktable.RankID(f.Rand.IntN(2)))
			if f.Rand.IntN(3) == 0 {
				f.callTwice(f.hostAt(f.Rand.IntN(len(f.Hosts))), f.hostAt(f.Rand.IntN(len(f.Hosts))))
			}
		})
	}
}

// Heal ends every fault.
func (f *Fleet) Heal() {
	f.HealedAt = f.Now
	for p, until := range f.Link.cuts {
		if f.Now.Before(until) {
			f.Link.cuts[p] = f.Now
		}
	}
	f.Platform.OutUntil, f.Platform.OldUntil, f.Platform.LoseNext, f.Platform.Lag = time.Time{}, time.Time{}, 0, time.Second
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
