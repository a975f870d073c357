package rockstandin

import (
	"slices"
	"time"

	"sassafrasrock/io/rockengine"
)

// keepLostSession keeps a session whose connection was lost, with its slot, so that a router can resume
// it. An engine without resumption closes it instead.
func keepLostSession(now time.Time, w *World, id SessionID) {
	session := w.Sessions.Get(id)
	if session == nil {
		return // resumed on another stream, or already closed
	}
	if w.Engines.Get(session.Engine).Settings.NoResume {
		closeSession(w, id)
		return
	}
	w.LostAt.Put(id, now)
}

// expireLostSessions closes the lost sessions that were not resumed in time.
func expireLostSessions(now time.Time, w *World) {
	for id, since := range w.LostAt.All() {
		until := since.Add(w.Settings.Engine.resumeTime())
		if now.Before(until) {
			w.WakeAt(until)
			continue
		}
		w.Engines.Get(w.Sessions.Get(id).Engine).Count.ExpiredSessions++
		closeSession(w, id)
	}
}

// resumeSession moves a session to the stream of the event. The old stream may still be open, because a
// router detects a silent connection before the engine does. A leaving engine resumes sessions as well,
// since they are not new work.
func resumeSession(w *World, event OpenEvent) rockengine.OpenReply {
	e := w.Engines.Get(event.Engine)
	held := findSession(w, event)
	if held == nil || e.Settings.NoResume || w.Servers.Get(e.Name).Down {
		e.Count.RefusedSessions++
		return rockengine.OpenReply{Code: codeNoSession, Text: "the engine holds no such session"}
	}
	session := *held
	w.LostAt.Delete(session.ID)
	w.Sessions.Delete(session.ID)
	for i, id := range e.Batch {
		if id == session.ID {
			e.Batch[i] = event.Session
		}
	}
	session.ID = event.Session
	w.Sessions.Put(session.ID, session)
	e.Count.ResumedSessions++
	reply := rockengine.OpenReply{Accepted: true, Epoch: session.Request.Epoch, Position: session.KV.Position}
	if session.LastStep != nil {
		reply.Index = session.LastStep.Step.Index + 1
	}
	return reply
}

// findSession returns the session that was opened with the same request as the event's, or nil.
func findSession(w *World, event OpenEvent) *Session {
	opened := event.Request
	opened.Resume = false
	for _, session := range w.Sessions.All() {
		if session.Engine == event.Engine && session.Request == opened {
			return session
		}
	}
	return nil
}

// answerRetriedStep handles a step that was received before, and returns false for any other step. A
// completed step is answered with its stored reply; the reply of a pending step goes to the stream that
// sent the step last.
func answerRetriedStep(session *Session, event StepEvent) bool {
	if pending := session.Pending; pending != nil {
		if !isSameStep(pending.Event.Step, event.Step) {
			return false
		}
		pending.Event.Reply = event.Reply
		return true
	}
	if session.LastStep == nil || !isSameStep(session.LastStep.Step, event.Step) {
		return false
	}
	event.Reply(session.LastStep.Reply)
	return true
}

// isSameStep reports whether two steps have the same index and content. Steps that share an index but
// differ in content show a fault of the router.
func isSameStep(a, b rockengine.Step) bool {
	return a.Index == b.Index && a.Position == b.Position && a.Prompt == b.Prompt &&
		slices.Equal(a.Tokens, b.Tokens) && slices.Equal(a.Activations, b.Activations)
}
