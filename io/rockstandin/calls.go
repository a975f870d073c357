package rockstandin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"
)

func runCalls(now time.Time, w *World) {
	for _, event := range w.Inbox.Calls {
		startCall(now, w, event)
	}
	// A crash deletes the other calls of its server, so it has to wait until the loop over the calls ends.
	crashed := make(map[string]bool)
	for id, call := range w.Calls.All() {
		s := w.Servers.Get(call.Event.Server)
		switch {
		case s.hasFault(FaultFreeze) || crashed[s.Name]:
		case now.Before(call.End):
			w.WakeAt(call.End)
		default:
			event := call.Event
			w.Calls.Delete(id)
			crashed[s.Name] = finishCall(w, s, event)
		}
	}
	for _, s := range w.Servers.All() {
		if crashed[s.Name] {
			crash(now, w, s)
		}
	}
}

func startCall(now time.Time, w *World, event CallEvent) {
	s := w.Servers.Get(event.Server)
	if s.Down {
		event.Reply(CallReply{DropAnswer: true})
		return
	}
	w.lastCall++
	w.Calls.Put(w.lastCall, PendingCall{Event: event, End: now.Add(milliseconds(s.CallMs * s.slowFactor()))})
}

// finishCall executes a call and reports whether a fault crashes the server before or after it.
func finishCall(w *World, s *Server, event CallEvent) (crashed bool) {
	isPost := event.Method == http.MethodPost
	if isPost && triggerFault(s, FaultCrashBefore) {
		event.Reply(CallReply{DropAnswer: true})
		return true
	}
	reply := executeCall(w, event)
	if isPost && triggerFault(s, FaultCrashAfter) {
		event.Reply(CallReply{DropAnswer: true})
		return true
	}
	reply.DropAnswer = isPost && triggerFault(s, FaultLostAnswer)
	if isPost {
		reply.RawAnswer = takeRawAnswer(s)
	}
	event.Reply(reply)
	return false
}

// squareBody is the body of a POST to /squares.
type squareBody struct {
	Number int64 `json:"number"`
}

func executeCall(w *World, event CallEvent) CallReply {
	path, _, _ := strings.Cut(event.Path, "?")
	switch {
	case event.Method == http.MethodPost && path == "/squares":
		return postSquare(w, event)
	case event.Method == http.MethodPost && path == "/orders":
		return postOrder(w, event)
	case event.Method == http.MethodGet && strings.HasPrefix(path, "/squares/"):
		id := strings.TrimPrefix(path, "/squares/")
		if square := w.Squares.Get(id); square != nil {
			return CallReply{Status: http.StatusOK, Body: map[string]any{"id": id, "square": *square}}
		}
	}
	return CallReply{Status: http.StatusNotFound, Body: map[string]any{"error": "not found"}}
}

func postSquare(w *World, event CallEvent) CallReply {
	var body squareBody
	if err := json.Unmarshal(event.Body, &body); err != nil {
		return CallReply{Status: http.StatusBadRequest, Body: map[string]any{"error": err.Error()}}
	}
	countRun(w, event)
	id := "s" + strconv.Itoa(w.Squares.Len()+1)
	w.Squares.Put(id, body.Number*body.Number)
	return CallReply{Status: http.StatusCreated, Body: map[string]any{"id": id, "square": body.Number * body.Number}}
}

func postOrder(w *World, event CallEvent) CallReply {
	var body OrderBody
	if err := json.Unmarshal(event.Body, &body); err != nil {
		return CallReply{Status: http.StatusBadRequest, Body: map[string]any{"error": err.Error()}}
	}
	countRun(w, event)
	id := "o" + strconv.Itoa(w.Orders.Len()+1)
	w.Orders.Put(id, body)
	return CallReply{Status: http.StatusCreated, Body: map[string]any{"id": id, "item": body.Item, "quantity": body.Quantity}}
}

func countRun(w *World, event CallEvent) { *w.Runs.GetOrPut(event.Key)++ }
