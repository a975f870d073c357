package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// runner plays a runner of a plain service. Its entry in the store is written by the test.
type runner struct {
	id, service, zone string
	slots             int
	addr              string
	born              int64
	rec               *record
	server            *http.Server
	work              func(r *http.Request) time.Duration // time to work on a request

	mu       sync.Mutex
	leaving  bool           // said in each answer
	runs     map[string]int // by request id
	sequence int
}

func newRunner(ip, id, service, zone string, rec *record, work func(r *http.Request) time.Duration) (*runner, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &runner{id: id, service: service, zone: zone, slots: 6, addr: l.Addr().String(), born: time.Now().UnixMilli(), rec: rec, work: work, runs: make(map[string]int)}
	s.server = &http.Server{Handler: s}
	go s.server.Serve(l)
	return s, nil
}

// entry returns the runner's row in the store.
func (s *runner) entry(state string) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	return map[string]any{
		"service": s.service, "addr": s.addr, "zone": s.zone, "version": "v1", "slots": s.slots, "state": state, "coldLeftMs": 0,
		"sequence": s.sequence, "born": s.born,
	}
}

func (s *runner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Runner-Id", s.id)
	if r.URL.Path == "/healthz" {
		return
	}
	if expects := r.Header.Get("X-Expect-Runner"); expects != "" && expects != s.id {
		s.rec.line("runner %s: request %s is for %s: 421", s.id, id, expects)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	s.rec.line("runner %s: request %s runs, X-Deadline-Ms %s", s.id, id, r.Header.Get("X-Deadline-Ms"))
	select {
	case <-time.After(s.work(r)):
	case <-r.Context().Done():
		s.rec.line("runner %s: request %s: the channel was closed, work is dropped", s.id, id)
		return
	}
	s.mu.Lock()
	if s.leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	s.mu.Unlock()
	body := fmt.Sprintf("answer of %s to %s", s.id, id)
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Runner-Signature", "signed-"+s.id+"-"+id)
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, err := io.WriteString(w, body)
	s.rec.line("runner %s: request %s answered, error %v", s.id, id, err)
}
