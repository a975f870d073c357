package main

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["foreign"] = caseForeign }

// caseForeign has another writer leave an entry in the table of runners. Fields are missing, and at the address is a web
// server that is no runner and answers 404 to paths that it doesn't know.
func caseForeign() bool {
	s := newStore()
	s.write("op", "config", manifest(1))
	runners := newRunners()
	runners.startAll(s)
	var strange atomic.Int64
	l := listen()
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			strange.Add(1)
			note("web server: %s %s, id %s, tenant %q, expected runner %q", r.Method, r.URL.Path, r.Header.Get("X-Attempt-Id"), r.Header.Get("X-Tenant"), r.Header.Get("X-Expect-Runner"))
			http.NotFound(w, r)
		}))
	}()
	e := startEntry(s, "front-1", "dakar-plateau")
	e.waitReady()
	time.Sleep(time.Second)
	if trouble {
		entry := map[string]any{"service": "desk", "addr": l.Addr().String(), "zone": "dakar-plateau", "state": "ready"}
		s.write("servers", "other-1", entry)
		note("another writer writes servers/other-1: %v", entry)
	}
	var got answers
	var wg sync.WaitGroup
	until := time.Now().Add(20 * time.Second)
	for i := range 10 {
		wg.Go(func() {
			c := newConsumer(e)
			for next := time.Now().Add(time.Duration(i) * 100 * time.Millisecond); next.Before(until); next = next.Add(time.Second) {
				time.Sleep(time.Until(next))
				got.add(c.send("POST", "/pay/x", 2500, nil))
			}
		})
	}
	wg.Wait()
	sent := got.count(all)
	denied := got.count(func(a answer) bool {
		return a.status >= 300 && a.status < 500 && a.status != 408 && a.status != 421 && a.status != 429 && a.signature == ""
	})
	note("sent %d, run by runners %d, arrived at the web server %d, ended with 3xx or 4xx that no runner signed %d, allowed 5 + %d", sent, runners.count(), strange.Load(), denied, sent/500)
	return denied <= 5+sent/500
}
