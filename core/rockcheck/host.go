package rockcheck

import (
	"time"

	"sassafrasrock/core/rockmember"
	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
	"sassafrasrock/core/rocktick"
)

const (
	// batchTime is the time for which events are collected for one tick.
	batchTime = 2 * time.Millisecond
	// peerTimeout is the longest time until the failure of a message to a peer is reported.
	peerTimeout = 2 * time.Second
	// probeTimeout is the longest wait for the answer to a probe.
	probeTimeout = time.Second
)

// Host is a simulated entry host: its World, its clock and its unanswered requests.
type Host struct {
	Name        string
	DataCentre  string
	World       *rocktable.World
	Incarnation uint64
	Running     bool
	Stopping    bool // by a graceful stop
	StartedAt   time.Time
	FrozenUntil time.Time
	Offset      time.Duration // of its clock, relative to the fleet's
	UnfrozenAt  time.Time     // start, or end of the last freeze

	inbox          rocktable.Inbox
	nextTick       time.Time            // zero if none is scheduled
	lastID         rocktable.RequestID  // of this incarnation
	highestVersion uint64               // highest configuration version that was active
	leavingSince   map[string]time.Time // time when the host learned of the departure, by name of the backend server
	chats          map[rocktable.RequestID]*Chat
	calls          map[rocktable.RequestID]*Call
}

// Start starts or restarts a host with a new incarnation and an empty World.
func (f *Fleet) Start(h *Host) {
	now := f.Now.Add(h.Offset)
	h.Incarnation++
	self := rocktable.Host{Name: h.Name, Address: h.Name}
	h.World = rocktable.NewWorld(now, self, rocktable.DataCentre{Name: h.DataCentre, Region: "r"}, h.Incarnation, rocktable.WithSeed(f.Rand.Uint64()))
	h.Running, h.Stopping, h.StartedAt, h.UnfrozenAt = true, false, f.Now, f.Now
	h.inbox, h.nextTick, h.lastID, h.highestVersion = rocktable.Inbox{}, time.Time{}, 0, 0
	h.FrozenUntil = time.Time{}
	h.leavingSince = make(map[string]time.Time)
	h.chats, h.calls = make(map[rocktable.RequestID]*Chat), make(map[rocktable.RequestID]*Call)
	f.post(h, func(*rocktable.Inbox) {})
}

// Kill ends a host without notice. Its callers lose their connections.
func (f *Fleet) Kill(h *Host) {
	h.Running = false
	// The order of the ids keeps a run repeatable; map order would not.
	for id := rocktable.RequestID(1); id <= h.lastID; id++ {
		if c := h.chats[id]; c != nil {
			c.HostKilled = true
			c.stop()
		}
		if c := h.calls[id]; c != nil {
			c.HostKilled = true
		}
	}
}

// Freeze suspends a host for a while. It then continues with its old state.
func (f *Fleet) Freeze(h *Host, d time.Duration) {
	h.FrozenUntil = f.Now.Add(d)
	h.UnfrozenAt = h.FrozenUntil
}

// post adds events to a host's inbox and schedules a tick.
func (f *Fleet) post(h *Host, fill func(in *rocktable.Inbox)) {
	fill(&h.inbox)
	f.tickAt(h, f.Now.Add(batchTime))
}

func (f *Fleet) tickAt(h *Host, at time.Time) {
	if at.Before(f.Now) {
		at = f.Now
	}
	if !h.nextTick.IsZero() && !at.Before(h.nextTick) {
		return
	}
	h.nextTick = at
	f.deliverToHost(h, at.Sub(f.Now), func() {
		if h.nextTick.Equal(at) {
			f.tick(h)
		}
	})
}

func (f *Fleet) tick(h *Host) {
	in := h.inbox
	h.inbox, h.nextTick = rocktable.Inbox{}, time.Time{}
	if f.Options.EditInbox != nil {
		f.Options.EditInbox(f, h, &in)
	}
	h.World.Inbox = in
	result := rocktick.Run(f.Now.Add(h.Offset), h.World)
	for _, v := range result.Violations {
		f.AddViolation(v.Invariant, "%s: %v", h.Name, v.Err)
	}
	if f.Options.EditOutbox != nil {
		f.Options.EditOutbox(f, h, &result.Outbox)
	}
	if f.Options.OnTick != nil {
		f.Options.OnTick(f, h, &result.Outbox)
	}
	f.checkTick(h, &result.Outbox)
	f.dispatch(h, result.Outbox)
	if !result.Wake.IsZero() && h.Running {
		// A deadline that has already passed is handled in the next batch.
		f.tickAt(h, latest(result.Wake.Add(-h.Offset), f.Now.Add(batchTime)))
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// dispatch executes the actions of a tick. Attempts and calls start 1 ms later, so a freeze may
// occur in between.
func (f *Fleet) dispatch(h *Host, out rocktable.Outbox) {
	for _, start := range out.Starts {
		if c := h.chats[start.Request]; c != nil {
			f.deliverToHost(h, time.Millisecond, func() { c.begin(start) })
		}
	}
	for _, cancel := range out.Cancels {
		for _, c := range h.chats {
			c.cancel(cancel) // at most one request has this attempt
		}
	}
	for _, start := range out.CallStarts {
		if c := h.calls[start.Request]; c != nil {
			f.deliverToHost(h, time.Millisecond, func() { f.runCall(h, c, start) })
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
		f.deliverToHost(h, f.between(time.Millisecond, peerTimeout), func() {
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
		f.deliverToHost(to, f.delay(), func() {
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

// Shutdown starts the graceful stop of a host.
func (f *Fleet) Shutdown(h *Host) {
	h.Stopping = true
	if f.Options.StopAtOnce {
		f.checkStopped(h)
		f.Kill(h)
		return
	}
	f.post(h, func(in *rocktable.Inbox) { in.Shutdowns = append(in.Shutdowns, rocktable.Shutdown{}) })
}

// recordDepartures records when the host learned of each departure, and removes those that ended.
func (f *Fleet) recordDepartures(h *Host) {
	for _, s := range h.World.Servers.All() {
		_, known := h.leavingSince[s.Name]
		departed := rockmember.IsLeaving(s) || s.Drained
		switch {
		case departed && !known:
			h.leavingSince[s.Name] = f.Now
		case !departed && known:
			delete(h.leavingSince, s.Name)
		}
	}
}

func (f *Fleet) answer(h *Host, a rocktable.Answer) {
	f.AnswerCounts[a.Reason]++
	if c := h.chats[a.Request]; c != nil {
		c.Answer, c.AnsweredAt = &a, f.Now
		c.stop()
		delete(h.chats, a.Request)
		f.trace(h.Name, "answer %s: %s, %d tokens, %d attempts", c.Name, answerText(a.Reason), len(c.Stream.Tokens), a.Outcome.Attempts)
		f.checkAnswer(c)
	}
	if c := h.calls[a.Request]; c != nil {
		c.Answer = &a
		delete(h.calls, a.Request)
		f.trace(h.Name, "answer %s: %s", c.Name, answerText(a.Reason))
	}
}

func answerText(code rockreason.Code) rockreason.Code {
	if code == "" {
		return "whole"
	}
	return code
}
