package rockstandin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockmemory"
)

// maxHeadBytes limits the head of a request, maxLineBytes each line of a session's stream, maxBodyBytes any other request body,
// and maxHeldBytes all bodies that are held at a time.
const (
	maxHeadBytes = 64 << 10
	maxLineBytes = 4 << 20
	maxBodyBytes = 16 << 20
	maxHeldBytes = 32 << 20
)

// writeJSON answers with a status and a JSON body.
func writeJSON(rw http.ResponseWriter, status int, v any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	// A write fails only if the client has closed the connection.
	_ = json.NewEncoder(rw).Encode(v)
}

// readBody returns the body of a request, or answers with status 413 or 503 and returns false. The body counts towards
// maxHeldBytes until the request ends.
func (s *Standin) readBody(rw http.ResponseWriter, r *http.Request) ([]byte, bool) {
	held := s.memory.Open()
	context.AfterFunc(r.Context(), held.Close)
	reader := rockmemory.Reader{Source: http.MaxBytesReader(rw, r.Body, maxBodyBytes), Held: held}
	body, err := reader.ReadAll(-1)
	if err == nil {
		return body, true
	}
	status := http.StatusRequestEntityTooLarge
	if errors.Is(err, rockmemory.ErrNoRoom) {
		status = http.StatusServiceUnavailable
	}
	writeJSON(rw, status, map[string]string{"error": err.Error()})
	return nil, false
}

// readJSON decodes a body, or answers with an error and returns false.
func (s *Standin) readJSON(rw http.ResponseWriter, r *http.Request, v any) bool {
	body, ok := s.readBody(rw, r)
	if !ok {
		return false
	}
	if err := json.Unmarshal(body, v); err != nil {
		writeJSON(rw, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return false
	}
	return true
}

// abort ends the request without an answer: net/http closes an HTTP/1 connection and resets an HTTP/2
// stream.
func abort() { panic(http.ErrAbortHandler) }

// sendRaw sends a text as it is on an HTTP/1 connection, and closes it.
func sendRaw(rw http.ResponseWriter, text string) {
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		abort()
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, text) // a write fails only if the client has closed the connection
}

// sleepOrDone waits for d, or until the client cancels the request. It reports whether the request is
// still active.
func sleepOrDone(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// withDelay delays each request by the delay of FaultSlow. Requests on one connection are delayed
// independently of each other, as on a link with a high latency.
func withDelay(sockets *serverSockets, next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if sleepOrDone(r, sockets.answerDelay()) {
			next.ServeHTTP(rw, r)
		}
	})
}

// answerQuery answers with the result of a query of the state.
func (s *Standin) answerQuery(rw http.ResponseWriter, r *http.Request, read func(now time.Time, w *World) any) {
	v, err := query(r.Context(), s, read)
	if err != nil {
		abort()
	}
	writeJSON(rw, http.StatusOK, v)
}

// errInvalidLine is returned for a line of a session's stream that is too long or not valid JSON.
var errInvalidLine = errors.New("invalid line in a session's stream")

func (s *Standin) applicationHandler(name string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(rw http.ResponseWriter, r *http.Request) {
		s.answerQuery(rw, r, func(_ time.Time, w *World) any {
			server := w.Servers.Get(name)
			return map[string]any{"state": hostOf(server).State, "incarnation": server.Incarnation}
		})
	})
	mux.HandleFunc("/", func(rw http.ResponseWriter, r *http.Request) { s.serveCall(name, rw, r) })
	return mux
}

func (s *Standin) serveCall(name string, rw http.ResponseWriter, r *http.Request) {
	body, ok := s.readBody(rw, r)
	if !ok {
		return
	}
	reply, err := postAndWait(r.Context(), s, func(in *Inbox, reply func(CallReply)) {
		in.Calls = append(in.Calls, CallEvent{
			Server: name, Key: r.Header.Get("Idempotency-Key"),
			Method: r.Method, Path: r.URL.Path, Body: body, Reply: reply,
		})
	})
	if err != nil || reply.DropAnswer {
		abort()
	}
	if reply.RawAnswer != "" {
		sendRaw(rw, reply.RawAnswer)
		return
	}
	writeJSON(rw, reply.Status, reply.Body)
}

func (s *Standin) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/faults", func(rw http.ResponseWriter, r *http.Request) {
		var fault Fault
		if !s.readJSON(rw, r, &fault) {
			return
		}
		if err := s.Fault(fault); err != nil {
			writeJSON(rw, http.StatusBadRequest, map[string]string{"error": err.Error()})
			return
		}
		writeJSON(rw, http.StatusOK, fault)
	})
	mux.HandleFunc("GET /v1/counts", func(rw http.ResponseWriter, r *http.Request) {
		s.answerQuery(rw, r, func(_ time.Time, w *World) any { return countsOf(w) })
	})
	mux.HandleFunc("POST /v1/hosts", func(rw http.ResponseWriter, r *http.Request) {
		var host rocktable.ListedHost
		if !s.readJSON(rw, r, &host) {
			return
		}
		if err := s.SetHost(host); err != nil {
			abort()
		}
		writeJSON(rw, http.StatusOK, host)
	})
	mux.HandleFunc("DELETE /v1/hosts/{name}", func(rw http.ResponseWriter, r *http.Request) {
		if err := s.RemoveHost(r.PathValue("name")); err != nil {
			abort()
		}
		writeJSON(rw, http.StatusOK, struct{}{})
	})
	return mux
}
