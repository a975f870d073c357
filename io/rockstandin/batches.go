package rockstandin

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"sassafrasrock/io/rockengine"
)

func runBatches(now time.Time, w *World) {
	idle := make(map[string][]*Session)
	for _, e := range w.Engines.All() {
		s := w.Servers.Get(e.Name)
		if s.Down || s.hasFault(FaultFreeze) {
			continue
		}
		if len(e.Batch) > 0 && !now.Before(e.BatchEnd) {
			finishBatch(now, w, e, s)
		}
		if len(e.Batch) == 0 && !s.Down && e.Load != (Load{}) {
			idle[e.Name] = nil
		}
	}
	if len(idle) > 0 {
		for _, session := range w.Sessions.All() {
			if list, ok := idle[session.Engine]; ok {
				idle[session.Engine] = append(list, session)
			}
		}
	}
	for _, e := range w.Engines.All() {
		if sessions, ok := idle[e.Name]; ok {
			formBatch(now, w, e, w.Servers.Get(e.Name), sessions)
		}
		if len(e.Batch) > 0 && !w.Servers.Get(e.Name).hasFault(FaultFreeze) {
			w.WakeAt(e.BatchEnd)
		}
	}
}

// formBatch assigns free slots to waiting sessions, most urgent first, and starts a batch of the pending
// steps. A session that has to run alone gets a batch of its own.
func formBatch(now time.Time, w *World, e *Engine, s *Server, sessions []*Session) {
	slices.SortFunc(sessions, func(a, b *Session) int {
		return cmp.Or(cmp.Compare(a.Request.Priority, b.Request.Priority), cmp.Compare(a.ID, b.ID))
	})
	assignSlots(e, sessions)
	var members []*Session
	for _, session := range sessions {
		if !session.HasSlot || session.Pending == nil {
			continue
		}
		if session.Request.Alone {
			members = []*Session{session}
			break
		}
		members = append(members, session)
	}
	if len(members) == 0 {
		return
	}
	kind := w.Kinds.Get(e.Settings.Kind)
	durationMs := kind.StepMs + kind.PerSessionMs*float64(len(members)-1)
	for _, session := range members {
		session.Pending.InBatch = true
		if n := len(session.Pending.Inputs) - session.Pending.Cached; n > 1 {
			durationMs += kind.PrefillMs * float64(n)
		}
		e.Batch = append(e.Batch, session.ID)
	}
	e.BatchEnd = now.Add(milliseconds(durationMs * s.slowFactor()))
}

func assignSlots(e *Engine, sessions []*Session) {
	free := e.Settings.Slots
	for _, session := range sessions {
		if session.HasSlot {
			free--
		}
	}
	for _, session := range sessions {
		if free > 0 && !session.HasSlot {
			session.HasSlot = true
			e.Load.Queued--
			e.Load.Active++
			free--
		}
	}
}

func finishBatch(now time.Time, w *World, e *Engine, s *Server) {
	batch := e.Batch
	e.Batch = nil
	if fault, ok := s.Faults[FaultCrash]; ok {
		for _, id := range batch {
			session := w.Sessions.Get(id)
			if session != nil && session.Pending != nil && strings.Contains(session.Pending.Event.Step.Prompt, fault.Fault.Text) {
				triggerFault(s, FaultCrash)
				crash(now, w, s)
				return
			}
		}
	}
	e.Count.Batches++
	for _, id := range batch {
		// The session may have been closed while its batch ran.
		if session := w.Sessions.Get(id); session != nil && session.Pending != nil {
			finishStep(now, w, e, session)
		}
	}
}

func finishStep(now time.Time, w *World, e *Engine, session *Session) {
	pending := session.Pending
	session.Pending = nil
	before := session.KV.Position
	out := runInputs(now, w, e, pending)
	session.KV = pending.KV
	session.Steps++
	e.Count.Steps++
	e.Count.Positions += len(pending.Inputs) - pending.Cached
	count := w.Requests.GetOrPut(session.Request.Request)
	count.Steps++
	count.Positions += session.KV.Position - before
	reply := rockengine.StepReply{
		Epoch: session.Request.Epoch, Index: pending.Event.Step.Index,
		Position: session.KV.Position, Cached: pending.Cached,
	}
	if e.Settings.LastLayer == e.Settings.Layers-1 {
		reply.Token = tokenOf(out[len(out)-1])
		reply.Text = TokenText(reply.Token)
		reply.Done = isEndToken(reply.Token) || session.Request.MaxTokens > 0 && session.Steps >= session.Request.MaxTokens
	} else {
		reply.Activations = out
	}
	session.LastStep = &CompletedStep{Step: pending.Event.Step, Reply: reply}
	if triggerFault(w.Servers.Get(e.Name), FaultLostAnswer) {
		w.changeSockets(e.Name, SocketReset, 0)
		return
	}
	pending.Event.Reply(reply)
}
