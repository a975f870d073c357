package rockcheck

import (
	"time"

	"sassafrasrock/core/rockmember"
	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
	"sassafrasrock/core/rocktick"
)

const (
	// batchTime is the time in which events gather for one tick.
	batchTime = 2 * time.Millisecond
	// peerTimeout is the time until the failure of a message to a peer is known.
	peerTimeout = 2 * time.Second
	// probeTimeout is the longest wait for the answer to a probe.
	probeTimeout = time.Second
)

// Host is one entry host: a World, its clock and the requests that callers sent to it.
type Host struct {
	Name        string
	DataCentre  string
	World       *rocktable.World
	Incarnation uint64
	Running     bool
	Stopping    bool // was told to stop
	StartedAt   time.Time
	FrozenUntil time.Time
	Offset      time.Duration // of its clock from the fleet's
	WokeAt      time.Time     // end of its last freeze

	inbox   rocktable.Inbox
	due     time.Time            // of the next tick; zero if none
	lastID  rocktable.RequestID  // of this incarnation
	version uint64               // highest configuration version seen in force
	leaving map[string]time.Time // when it learned that a backend server is leaving
	chats   map[rocktable.RequestID]*Chat
	calls   map[rocktable.RequestID]*Call
}

// Start starts a host, or starts it again with a higher incarnation and an empty World.
func (f *Fleet) Start(h *Host) {
	now := f.Now.Add(h.Offset)
	h.Incarnation++
	self := rocktable.Host{Name: h.Name, Address: h.Name}
	h.World = rocktable.NewWorld(now, self, rocktable.DataCentre{Name: h.DataCentre, Region: "r"}, h.Incarnation, rocktable.WithSeed(f.Rand.Uint64()))
	h.Running, h.Stopping, h.StartedAt, h.WokeAt = true, false, f.Now, f.Now
	h.inbox, h.due, h.lastID, h.version = rocktable.Inbox{}, time.Time{}, 0, 0
	h.FrozenUntil = time.Time{}
	h.leaving = make(map[string]time.Time)
	h.chats, h.calls = make(map[rocktable.RequestID]*Chat), make(map[rocktable.RequestID]*Call)
	f.post(h, func(*rocktable.Inbox) {})
}

// Kill ends a host; the connections of its callers break.
func (f *Fleet) Kill(h *Host) {
	h.Running = false
	// In order of the ids, so that a run can be repeated.
	for id := rocktable.RequestID(1); id <= h.lastID; id++ {
		if c := h.chats[id]; c != nil {
			c.Broken = true
			c.stop()
		}
		if c := h.calls[id]; c != nil {
			c.Broken = true
		}
	}
}

// Freeze stops a host for a while; it then goes on with what it believed.
func (f *Fleet) Freeze(h *Host, d time.Duration) {
	h.FrozenUntil = f.Now.Add(d)
	h.WokeAt = h.FrozenUntil
}

// post hands an event to a host's next tick.
func (f *Fleet) post(h *Host, fill func(in *rocktable.Inbox)) {
	fill(&h.inbox)
	f.tickAt(h, f.Now.Add(batchTime))
}

func (f *Fleet) tickAt(h *Host, at time.Time) {
	if at.Before(f.Now) {
		at = f.Now
	}
	if !h.due.IsZero() && !at.Before(h.due) {
		return
	}
	h.due = at
	f.toHost(h, at.Sub(f.Now), func() {
		if h.due.Equal(at) {
			f.tick(h)
		}
	})
}

func (f *Fleet) tick(h *Host) {
	in := h.inbox
	h.inbox, h.due = rocktable.Inbox{}, time.Time{}
	if f.Options.Before != nil {
		f.Options.Before(f, h, &in)
	}
	h.World.Inbox = in
	result := rocktick.Run(f.Now.Add(h.Offset), h.World)
	for _, v := range result.Violations {
		f.Violate(v.Invariant, "%s: %v", h.Name, v.Err)
	}
	if f.Options.After != nil {
		f.Options.After(f, h, &result.Outbox)
	}
	if f.Options.Ticked != nil {
		f.Options.Ticked(f, h, &result.Outbox)
	}
	f.checkTick(h, &result.Outbox)
	f.carry(h, result.Outbox)
	if !result.Wake.IsZero() && h.Running {
		// A deadline that has passed is served by the next batch.
		f.tickAt(h, latest(result.Wake.Add(-h.Offset), f.Now.Add(batchTime)))
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// carry executes the actions of a tick; traffic starts a moment later, so that a freeze can come between.
func (f *Fleet) carry(h *Host, out rocktable.Outbox) {
	for _, start := range out.Starts {
		if c := h.chats[start.Request]; c != nil {
			f.toHost(h, time.Millisecond, func() { c.begin(start) })
		}
	}
	for _, cancel := range out.Cancels {
		for _, c := range h.chats {
			c.cancel(cancel.Attempt) // of at most one request
		}
	}
	for _, start := range out.CallStarts {
		if c := h.calls[start.Request]; c != nil {
			f.toHost(h, time.Millisecond, func() { f.runCall(h, c, start) })
		}
	}
	for _, answer := range out.Answers {
		f.answer(h, answer)
	}
	for range out.ListReads {
		f.readList(h)
	}
	for _, p := range out.Probes {
		f.probe(h, p)
	}
	for _, s := range out.PeerSends {
		f.sendToPeer(h, s)
	}
	for _, o := range out.Orders {
		f.order(h, o)
	}
	for _, op := range out.ConfigOps {
		runTable(f, h, &f.Platform.Configs, op, func(in *rocktable.Inbox) *[]rocktable.TableResult[rocktable.ConfigRow] { return &in.ConfigResults })
	}
	for _, op := range out.LeaseOps {
		runTable(f, h, &f.Platform.Leases, op, func(in *rocktable.Inbox) *[]rocktable.TableResult[rocktable.LeaseRow] { return &in.LeaseResults })
	}
	for _, op := range out.ClaimOps {
		runTable(f, h, &f.Platform.Claims, op, func(in *rocktable.Inbox) *[]rocktable.TableResult[rocktable.ClaimRow] { return &in.ClaimResults })
	}
	for _, end := range out.ConfigEnds {
		f.endChange(h, end)
	}
	if out.ShutdownDone && h.Stopping {
		f.checkStopped(h)
		f.Kill(h)
	}
}

func (f *Fleet) sendToPeer(h *Host, s rocktable.PeerSend) {
	to := f.host(s.Address)
	if to == nil || !to.Running || !f.Reaches(h.DataCentre, to.DataCentre) {
		f.toHost(h, f.between(time.Millisecond, peerTimeout), func() {
			f.post(h, func(in *rocktable.Inbox) {
				in.PeerFailures = append(in.PeerFailures, rocktable.PeerFailure{Host: s.Host})
			})
		})
		return
	}
	copies := 1
	if f.chance(0.02) {
		copies = 2
	}
	for range copies {
		f.toHost(to, f.delay(), func() {
			if f.Reaches(h.DataCentre, to.DataCentre) {
				f.post(to, func(in *rocktable.Inbox) { in.Peers = append(in.Peers, s.Message) })
			}
		})
	}
}

func (f *Fleet) host(name string) *Host {
	for _, h := range f.Hosts {
		if h.Name == name {
			return h
		}
	}
	return nil
}

// Shutdown tells a host to stop gracefully.
func (f *Fleet) Shutdown(h *Host) {
	h.Stopping = true
	if f.Options.StopAtOnce {
		f.checkStopped(h)
		f.Kill(h)
		return
	}
	f.post(h, func(in *rocktable.Inbox) { in.Shutdowns = append(in.Shutdowns, rocktable.Shutdown{}) })
}

// noteLeaving records when the host learned of departures.
func (f *Fleet) noteLeaving(h *Host) {
	for _, s := range h.World.Servers.All() {
		_, known := h.leaving[s.Name]
		departed := rockmember.IsDeparted(s) || s.Drained
		switch {
		case departed && !known:
			h.leaving[s.Name] = f.Now
		case !departed && known:
			delete(h.leaving, s.Name)
		}
	}
}

func (f *Fleet) answer(h *Host, a rocktable.Answer) {
	f.Answers[a.Reason]++
	if c := h.chats[a.Request]; c != nil {
		c.Answer, c.AnsweredAt = &a, f.Now
		c.stop()
		delete(h.chats, a.Request)
		f.trace(h.Name, "answer %s: %s, %d tokens, %d attempts", c.Name, orWhole(a.Reason), len(c.Stream.Tokens), a.Outcome.Attempts)
		f.checkAnswer(c)
	}
	if c := h.calls[a.Request]; c != nil {
		c.Answer = &a
		delete(h.calls, a.Request)
		f.trace(h.Name, "answer %s: %s", c.Name, orWhole(a.Reason))
	}
}

func orWhole(code rockreason.Code) rockreason.Code {
	if code == "" {
		return "whole"
	}
	return code
}
