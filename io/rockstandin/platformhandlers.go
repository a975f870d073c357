package rockstandin

import (
	"net/http"
	"time"

	"sassafrasrock/io/rockplatform"
)

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
