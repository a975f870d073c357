package rockstandin

import (
	"encoding/json"
	"fmt"
	"time"

	"sassafrasrock/io/rockengine"
)

// maxPositions is the largest size of a session's KV cache, in positions.
const maxPositions = 32768

// maxImports is the largest number of imported KV caches, over all engines, whose sessions have not been
// opened yet.
const maxImports = 1024

// The codes of an OpenReply that refuses a session; the engine has started nothing.
const (
	codeFull        = "full"
	codeLeaving     = "leaving"
	codeWrongLayers = "wrongLayers"
	codeWrongModel  = "wrongModel"
	codeNoSession   = "noSession"
)

func runSessions(now time.Time, w *World) {
	for _, id := range w.Inbox.Closes {
		closeSession(w, id)
	}
	for _, id := range w.Inbox.LostStreams {
		keepLostSession(now, w, id)
	}
	for _, event := range w.Inbox.Exports {
		event.Reply(exportCache(w, event))
	}
	for _, event := range w.Inbox.Imports {
		event.Reply(importCache(w, event))
	}
	for _, event := range w.Inbox.Opens {
		if event.Request.Resume {
			event.Reply(resumeSession(w, event))
			continue
		}
		event.Reply(openSession(now, w, event))
	}
	for _, event := range w.Inbox.Steps {
		startStep(w, event)
	}
	expireLostSessions(now, w)
}

func closeSession(w *World, id SessionID) {
	session := w.Sessions.Get(id)
	if session == nil {
		return
	}
	e := w.Engines.Get(session.Engine)
	if session.Pending != nil {
		e.Count.CanceledSteps++
	}
	removeSession(w, session)
}

// removeSession removes a session and frees its slot.
func removeSession(w *World, session *Session) {
	load := &w.Engines.Get(session.Engine).Load
	if session.HasSlot {
		load.Active--
	} else {
		load.Queued--
	}
	w.LostAt.Delete(session.ID)
	w.Sessions.Delete(session.ID)
}

func openSession(now time.Time, w *World, event OpenEvent) rockengine.OpenReply {
	e, s, req := w.Engines.Get(event.Engine), w.Servers.Get(event.Engine), event.Request
	if reply := checkOpen(w, e, s, req); !reply.Accepted {
		e.Count.RefusedSessions++
		return reply
	}
	session := Session{ID: event.Session, Engine: e.Name, Request: req}
	session.KV = KVCache{
		Model: e.Settings.Model, Version: e.Settings.Version,
		FirstLayer: e.Settings.FirstLayer, LastLayer: e.Settings.LastLayer,
		Layers: make([]uint64, len(e.Seeds)),
	}
	key := ImportKey{Engine: e.Name, Request: req.Request, Epoch: req.Epoch}
	if kv := w.Imports.Get(key); kv != nil {
		session.KV = *kv
		w.Imports.Delete(key)
	}
	w.Sessions.Put(session.ID, session)
	e.Load.Queued++
	e.Count.Sessions++
	if !s.LeavingSince.IsZero() {
		e.Count.LeavingSessions++
		e.Count.LastLeavingMs = max(e.Count.LastLeavingMs, now.Sub(s.LeavingSince).Milliseconds())
	}
	w.Requests.GetOrPut(req.Request).Sessions++
	return rockengine.OpenReply{Accepted: true}
}

func checkOpen(w *World, e *Engine, s *Server, req rockengine.OpenRequest) rockengine.OpenReply {
	held := e.Settings
	switch {
	case s.Down:
		return rockengine.OpenReply{Code: codeLeaving, Text: "the engine is stopping"}
	case s.Faults[FaultLeaving].Fault.Refuse:
		return rockengine.OpenReply{Code: codeLeaving, Text: "the engine is leaving"}
	case e.PendingOrder != nil || req.Model != held.Model || req.Version != "" && req.Version != held.Version:
		return rockengine.OpenReply{Code: codeWrongModel, Text: fmt.Sprintf("the engine holds %s %s", held.Model, held.Version)}
	case req.FirstLayer != held.FirstLayer || req.LastLayer != held.LastLayer:
		return rockengine.OpenReply{Code: codeWrongLayers, Text: fmt.Sprintf("the engine holds layers %d-%d", held.FirstLayer, held.LastLayer)}
	case e.Load.Queued >= held.QueueSize+held.Slots-e.Load.Active:
		return rockengine.OpenReply{Code: codeFull, Text: "the engine's queue is full"}
	}
	return rockengine.OpenReply{Accepted: true}
}

func startStep(w *World, event StepEvent) {
	session := w.Sessions.Get(event.Session)
	if session == nil {
		// The engine has stopped or loaded other layers, or the session was resumed on another stream.
		event.Reply(rockengine.StepReply{Index: event.Step.Index, Position: event.Step.Position, Error: "the stream has no session"})
		return
	}
	e := w.Engines.Get(session.Engine)
	if answerRetriedStep(session, event) {
		e.Count.RetriedSteps++
		return
	}
	pending := PendingStep{Event: event}
	if refusal := readInputs(session, &pending); refusal != "" {
		e.Count.RefusedSteps++
		event.Reply(rockengine.StepReply{
			Epoch: session.Request.Epoch, Index: event.Step.Index, Position: session.KV.Position, Error: refusal,
		})
		return
	}
	loadCachedPrefix(w, e, session, &pending)
	session.Pending = &pending
}

// readInputs validates a step and fills in the input activations of the engine's first layer. It returns
// the reason if the step is refused, and otherwise "".
func readInputs(session *Session, pending *PendingStep) string {
	step, position := pending.Event.Step, session.KV.Position
	switch {
	case session.Pending != nil:
		return "the last step has not ended"
	case session.LastStep != nil && step.Index <= session.LastStep.Step.Index:
		return fmt.Sprintf("index %d, but index %d has run", step.Index, session.LastStep.Step.Index)
	case step.Position != position:
		return fmt.Sprintf("position %d, but the session holds %d", step.Position, position)
	case step.Prompt != "" && position != 0:
		return "a prompt after the first position"
	}
	if session.KV.FirstLayer == 0 {
		if len(step.Activations) > 0 {
			return "activations for layer 0"
		}
		for i, token := range append(Tokenise(step.Prompt), step.Tokens...) {
			pending.Inputs = append(pending.Inputs, embed(token, position+i))
		}
		pending.PrefixHashes = rockengine.PrefixHashes(step.Prompt)
	} else {
		if step.Prompt != "" || len(step.Tokens) > 0 {
			return "a prompt or tokens for a later layer"
		}
		pending.Inputs = step.Activations
	}
	switch n := len(pending.Inputs); {
	case n == 0:
		return "a step without positions"
	case position+n > maxPositions:
		return fmt.Sprintf("%d positions, at most %d", position+n, maxPositions)
	}
	return ""
}

func exportCache(w *World, event ExportEvent) rockengine.CacheTransfer {
	for _, session := range w.Sessions.All() {
		if session.Engine != event.Engine || session.Request.Request != event.Transfer.Request || session.Request.Epoch != event.Transfer.Epoch {
			continue
		}
		state, err := json.Marshal(session.KV)
		if err != nil {
			return rockengine.CacheTransfer{}
		}
		return rockengine.CacheTransfer{Request: event.Transfer.Request, Epoch: event.Transfer.Epoch, State: state}
	}
	return rockengine.CacheTransfer{}
}

func importCache(w *World, event ImportEvent) string {
	e := w.Engines.Get(event.Engine)
	var kv KVCache
	if err := json.Unmarshal(event.Transfer.State, &kv); err != nil {
		return err.Error()
	}
	held := e.Settings
	switch {
	case kv.Model != held.Model || kv.Version != held.Version:
		return fmt.Sprintf("KV cache of %s %s at an engine with %s %s", kv.Model, kv.Version, held.Model, held.Version)
	case kv.FirstLayer != held.FirstLayer || kv.LastLayer != held.LastLayer || len(kv.Layers) != len(e.Seeds):
		return fmt.Sprintf("KV cache of layers %d-%d at an engine with %d-%d", kv.FirstLayer, kv.LastLayer, held.FirstLayer, held.LastLayer)
	case w.Imports.Len() >= maxImports:
		return "too much KV cache waits for its session"
	}
	w.Imports.Put(ImportKey{Engine: e.Name, Request: event.Transfer.Request, Epoch: event.Transfer.Epoch}, kv)
	return ""
}
