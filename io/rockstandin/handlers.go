package rockstandin

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockengine"
	"sassafrasrock/io/rockmemory"
	"sassafrasrock/io/rockplatform"
)

// maxLineBytes limits each line of a session's stream, maxBodyBytes any other request body, and maxHeldBytes all bodies that
// are held at a time.
const (
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

func (s *Standin) engineHandler(name string, sockets *serverSockets) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/sessions", func(rw http.ResponseWriter, r *http.Request) { s.serveSession(name, sockets, rw, r) })
	mux.HandleFunc("GET /v1/status", func(rw http.ResponseWriter, r *http.Request) {
		s.answerQuery(rw, r, func(_ time.Time, w *World) any { return statusOf(w, w.Engines.Get(name)) })
	})
	mux.HandleFunc("GET /v1/cacheEvents", func(rw http.ResponseWriter, r *http.Request) {
		// A missing or invalid number reads as 0, which requests all events.
		after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		s.answerQuery(rw, r, func(now time.Time, w *World) any { return cacheEventsAfter(now, w.Engines.Get(name), after) })
	})
	mux.HandleFunc("POST /v1/orders", func(rw http.ResponseWriter, r *http.Request) { s.serveOrder(name, rw, r) })
	mux.HandleFunc("POST /v1/kv/export", func(rw http.ResponseWriter, r *http.Request) { s.serveExport(name, rw, r) })
	mux.HandleFunc("POST /v1/kv/import", func(rw http.ResponseWriter, r *http.Request) { s.serveImport(name, rw, r) })
	return mux
}

// answerQuery answers with the result of a query of the state.
func (s *Standin) answerQuery(rw http.ResponseWriter, r *http.Request, read func(now time.Time, w *World) any) {
	v, err := query(r.Context(), s, read)
	if err != nil {
		abort()
	}
	writeJSON(rw, http.StatusOK, v)
}

func (s *Standin) serveSession(name string, sockets *serverSockets, rw http.ResponseWriter, r *http.Request) {
	id := SessionID(s.lastSession.Add(1))
	flusher := http.NewResponseController(rw)
	rw.WriteHeader(http.StatusOK)
	if flusher.Flush() != nil {
		return
	}
	lines := bufio.NewReader(r.Body)
	var open rockengine.OpenRequest
	if readLine(lines, &open) != nil {
		return
	}
	reply, err := postAndWait(r.Context(), s, func(in *Inbox, reply func(rockengine.OpenReply)) {
		in.Opens = append(in.Opens, OpenEvent{Engine: name, Session: id, Request: open, Reply: reply})
	})
	if err == nil && !reply.Accepted {
		writeLine(rw, flusher, reply)
		return
	}
	if err != nil || !writeLine(rw, flusher, reply) {
		err = s.awaitStreamEnd(lines)
	}
	for err == nil {
		err = s.serveStep(id, sockets, lines, rw, flusher, r)
	}
	s.reportStreamEnd(id, isCanceled(err))
}

// serveStep serves one step. It returns nil if the stream continues, and otherwise the error that ended
// it.
func (s *Standin) serveStep(id SessionID, sockets *serverSockets, lines *bufio.Reader, rw io.Writer, flusher *http.ResponseController, r *http.Request) error {
	var step rockengine.Step
	if err := readLine(lines, &step); err != nil {
		return err
	}
	reply, err := postAndWait(r.Context(), s, func(in *Inbox, reply func(rockengine.StepReply)) {
		in.Steps = append(in.Steps, StepEvent{Session: id, Step: step, Reply: reply})
	})
	if err == nil && sleepOrDone(r, sockets.answerDelay()) && writeLine(rw, flusher, reply) {
		return nil
	}
	return s.awaitStreamEnd(lines)
}

// reportStreamEnd reports to the control thread that the stream of a session has ended.
func (s *Standin) reportStreamEnd(id SessionID, canceled bool) {
	s.post(func(in *Inbox) {
		if canceled {
			in.Closes = append(in.Closes, id)
		} else {
			in.LostStreams = append(in.LostStreams, id)
		}
	})
}

// awaitStreamEnd discards the rest of a stream to which nothing more can be written, and returns the
// error that ended it: io.EOF if the router closed it.
func (s *Standin) awaitStreamEnd(lines io.Reader) error {
	select {
	case <-s.done:
		return ErrStopped
	default:
	}
	if _, err := io.Copy(io.Discard, lines); err != nil {
		return err
	}
	return io.EOF
}

// streamReset has the fields of the unexported error of net/http for an HTTP/2 stream that the client
// has reset. The As method of that error matches a struct by its fields.
type streamReset struct {
	StreamID uint32
	Code     uint32
	Cause    error
}

// Error implements the error interface.
func (e streamReset) Error() string {
	return fmt.Sprintf("stream %d was reset with code %d", e.StreamID, e.Code)
}

// isCanceled reports whether the router ended a stream, either by closing or resetting it or with an
// invalid line. Otherwise the connection was lost.
func isCanceled(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, errInvalidLine) || errors.As(err, new(streamReset))
}

// errInvalidLine is returned for a line of a session's stream that is too long or not valid JSON.
var errInvalidLine = errors.New("invalid line in a session's stream")

// readLine decodes the next line. Its error is errInvalidLine, or the read error that ended the stream.
func readLine(lines *bufio.Reader, v any) error {
	line, err := rockengine.ReadLine(lines, maxLineBytes)
	if err == nil {
		err = json.Unmarshal(line, v)
	} else if !errors.Is(err, rockengine.ErrTooLarge) {
		return err
	}
	if err != nil {
		return fmt.Errorf("%w: %w", errInvalidLine, err)
	}
	return nil
}

func writeLine(rw io.Writer, flusher *http.ResponseController, v any) bool {
	return json.NewEncoder(rw).Encode(v) == nil && flusher.Flush() == nil
}

func (s *Standin) serveOrder(name string, rw http.ResponseWriter, r *http.Request) {
	var order rockengine.OrderRequest
	if !s.readJSON(rw, r, &order) {
		return
	}
	reply, err := postAndWait(r.Context(), s, func(in *Inbox, reply func(rockengine.OrderReply)) {
		in.Orders = append(in.Orders, OrderEvent{Engine: name, Order: order, Reply: reply})
	})
	if err != nil {
		abort()
	}
	writeJSON(rw, http.StatusOK, reply)
}

func (s *Standin) serveExport(name string, rw http.ResponseWriter, r *http.Request) {
	var move rockengine.CacheTransfer
	if !s.readJSON(rw, r, &move) {
		return
	}
	reply, err := postAndWait(r.Context(), s, func(in *Inbox, reply func(rockengine.CacheTransfer)) {
		in.Exports = append(in.Exports, ExportEvent{Engine: name, Transfer: move, Reply: reply})
	})
	switch {
	case err != nil:
		abort()
	case len(reply.State) == 0:
		writeJSON(rw, http.StatusNotFound, map[string]string{"error": "no such session"})
	default:
		writeJSON(rw, http.StatusOK, reply)
	}
}

func (s *Standin) serveImport(name string, rw http.ResponseWriter, r *http.Request) {
	var move rockengine.CacheTransfer
	if !s.readJSON(rw, r, &move) {
		return
	}
	refusal, err := postAndWait(r.Context(), s, func(in *Inbox, reply func(string)) {
		in.Imports = append(in.Imports, ImportEvent{Engine: name, Transfer: move, Reply: reply})
	})
	switch {
	case err != nil:
		abort()
	case refusal != "":
		writeJSON(rw, http.StatusConflict, map[string]string{"error": refusal})
	default:
		writeJSON(rw, http.StatusOK, struct{}{})
	}
}

func (s *Standin) platformHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/hosts", func(rw http.ResponseWriter, r *http.Request) {
		if !s.awaitReadDelay(r) {
			return
		}
		s.answerQuery(rw, r, func(now time.Time, w *World) any {
			w.Platform.Count.ListReads++
			return rockplatform.HostList{Hosts: laggedList(now, w)}
		})
	})
	mux.HandleFunc("GET /v1/tables/{table}/{key}", func(rw http.ResponseWriter, r *http.Request) { s.serveRow(rw, r, nil) })
	mux.HandleFunc("PUT /v1/tables/{table}/{key}", func(rw http.ResponseWriter, r *http.Request) {
		put := new(rockplatform.PutRequest)
		if s.readJSON(rw, r, put) {
			s.serveRow(rw, r, put)
		}
	})
	mux.HandleFunc("GET /v1/objects/{name}", func(rw http.ResponseWriter, r *http.Request) { s.serveObject(rw, r, false) })
	mux.HandleFunc("PUT /v1/objects/{name}", func(rw http.ResponseWriter, r *http.Request) { s.serveObject(rw, r, true) })
	return mux
}

// awaitReadDelay waits for the duration of a platform read and reports whether the request is still
// active.
func (s *Standin) awaitReadDelay(r *http.Request) bool {
	delay, err := query(r.Context(), s, func(_ time.Time, w *World) time.Duration {
		return milliseconds(w.Settings.Platform.ReadMs * w.Servers.Get(PlatformName).slowFactor())
	})
	return err == nil && sleepOrDone(r, delay)
}

func (s *Standin) serveRow(rw http.ResponseWriter, r *http.Request, put *rockplatform.PutRequest) {
	key := RowKey{Table: r.PathValue("table"), Key: r.PathValue("key")}
	reply, err := postAndWait(r.Context(), s, func(in *Inbox, reply func(RowReply)) {
		in.Rows = append(in.Rows, RowEvent{Key: key, Put: put, Reply: reply})
	})
	if err != nil || !sleepOrDone(r, reply.Delay) || reply.DropAnswer {
		abort()
	}
	if reply.RawAnswer != "" {
		sendRaw(rw, reply.RawAnswer)
		return
	}
	writeJSON(rw, reply.Status, reply.Row)
}

func (s *Standin) serveObject(rw http.ResponseWriter, r *http.Request, write bool) {
	var body []byte
	if write {
		var ok bool
		if body, ok = s.readBody(rw, r); !ok {
			return
		}
	}
	type object struct {
		body []byte
		ok   bool
	}
	found, err := postAndWait(r.Context(), s, func(in *Inbox, reply func(object)) {
		in.Objects = append(in.Objects, ObjectEvent{
			Name: r.PathValue("name"), Write: write, Body: body,
			Reply: func(body []byte, ok bool) { reply(object{body: body, ok: ok}) },
		})
	})
	switch {
	case err != nil:
		abort()
	case !found.ok:
		writeJSON(rw, http.StatusNotFound, map[string]string{"error": "no such object"})
	default:
		_, _ = rw.Write(found.body)
	}
}

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
