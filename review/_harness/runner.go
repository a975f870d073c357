package main

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var nextPort atomic.Int64

func init() { nextPort.Store(time.Now().UnixNano() / 1000 % 15000) }

// application is a runner of a plain service.
type application struct {
	id, address string
	born        int64
	store       *store
	entry       map[string]any
}

// newApplication starts a runner that answers with a handler, and writes its entry to the store.
func newApplication(s *store, id, service, zone string, slots int, handle http.HandlerFunc) *application {
	l := listen()
	a := newEntry(s, id, service, zone, l.Addr().String(), slots)
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch {
			case r.URL.Path == "/healthz":
				w.Header().Set("X-Runner-Id", id)
			case r.Header.Get("X-Expect-Runner") != id:
				w.Header().Set("X-Runner-Id", id)
				w.WriteHeader(http.StatusMisdirectedRequest)
			default:
				w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
				handle(w, r)
			}
		}))
	}()
	return a
}

// newRawApplication starts a runner that speaks for itself on each connection.
func newRawApplication(s *store, id, service, zone string, slots int, serve func(c net.Conn)) *application {
	l := listen()
	a := newEntry(s, id, service, zone, l.Addr().String(), slots)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return a
}

func newEntry(s *store, id, service, zone, address string, slots int) *application {
	a := &application{id: id, address: address, born: time.Now().UnixMilli(), store: s}
	a.entry = map[string]any{
		"service": service, "addr": address, "zone": zone, "version": "v1", "slots": slots, "state": "ready", "coldLeftMs": 0,
		"sequence": 1, "born": a.born,
	}
	s.write("servers", id, a.entry)
	return a
}
