package rockstandin

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"sassafrasrock/io/rockengine"
)

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
