package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pool is the service of the model runners.
const pool = "huvo1m"

// modelService returns the manifest's entry of a model service. One runner holds all layers.
func modelService() map[string]any {
	return map[string]any{
		"name": pool, "healthPath": "/healthz", "maxConnections": 1068, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": 192, "kvCapacity": 100000, "kvTokenBytes": 590000, "stride": 4, "step_ms": 1.02, "per_seq_ms": 0.00459,
			"context_per_k": 0.00615, "read_per_s": 164000.0, "layers": 80, "layerMb": 100.0, "actBytes": 29500, "pipeMbps": 13000.0,
			"models": []map[string]any{{"name": "daka510000", "pace": 1.0, "loadS": 14.0, "warmS": 1.0}},
			"usual":  map[string]any{"prompt": 100, "answer": 100},
			"kinds":  []map[string]any{{"name": "a100", "mb": 72000.0, "pace": 2.4, "readX": 3.2}},
		},
	}
}

// modelRunner plays a runner that holds all layers of the model. A stream has as many events as X-Token-Counts allows,
// with 4 tokens each, and one event in each interval.
type modelRunner struct {
	id, zone, addr string
	born           int64
	interval       time.Duration
	rec            *record

	mu   sync.Mutex
	runs map[string]int // by request id
}

func newModelRunner(ip, id, zone string, rec *record, interval time.Duration) (*modelRunner, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &modelRunner{id: id, zone: zone, addr: l.Addr().String(), born: time.Now().UnixMilli(), interval: interval, rec: rec, runs: make(map[string]int)}
	go http.Serve(l, s)
	return s, nil
}

func (s *modelRunner) state() map[string]any {
	return map[string]any{
		"stage": "prefill_decode", "models": []map[string]any{{"name": "daka510000", "version": 1, "adapters": []string{}}},
		"layers": map[string]any{"from": 0, "to": 80, "version": 1}, "kind": "a100", "born": s.born,
	}
}

// entry returns the runner's row in the store.
func (s *modelRunner) entry() map[string]any {
	e := s.state()
	for name, value := range map[string]any{
		"service": pool, "addr": s.addr, "zone": s.zone, "version": "v1", "slots": 192, "state": "ready", "coldLeftMs": 0, "sequence": 1,
	} {
		e[name] = value
	}
	return e
}

func (s *modelRunner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/-/report":
		report := s.state()
		for name, value := range map[string]any{"busy": false, "sequence": 0, "queued": 0, "running": 0, "kvUsed": 0, "kvTotal": 8000000, "kvHandles": 0, "pace": 1.0, "stalled": []string{}} {
			report[name] = value
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(report)
		return
	case "/-/order":
		return // the state already holds
	}
	if r.Header.Get("X-Expect-Runner") != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	s.stream(w, r)
}

func (s *modelRunner) stream(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	_, answer, _ := strings.Cut(r.Header.Get("X-Token-Counts"), ",")
	tokens, _ := strconv.Atoi(answer)
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	s.rec.line("runner %s: request %s runs after event %d", s.id, id, after)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Runner-Signature", "signed-"+s.id+"-"+id)
	for n := after + 1; n <= tokens/4; n++ {
		fmt.Fprintf(w, "id: %d\ndata: four tokens of %s\n\n", n, id)
		if err := http.NewResponseController(w).Flush(); err != nil || r.Context().Err() != nil {
			s.rec.line("runner %s: request %s: the channel was closed at event %d of %d", s.id, id, n, tokens/4)
			return
		}
		select {
		case <-time.After(s.interval):
		case <-r.Context().Done():
		}
	}
	s.rec.line("runner %s: request %s ended whole", s.id, id)
}
