package main

import (
	"io"
	"net/http"
	"sync"
	"time"
)

// workTime is the time in which a runner of the application runs a request.
const workTime = 30 * time.Millisecond

// runners are runners of the application. They record what they run.
type runners struct {
	fail func(runner string, number int) bool // whether a run ends with a 503; nil for none

	mu      sync.Mutex
	runs    map[string]int // by id of the request
	numbers map[string]int // runs so far, by runner
}

func newRunners() *runners {
	return &runners{runs: make(map[string]int), numbers: make(map[string]int)}
}

// startAll starts one runner in each zone.
func (r *runners) startAll(s *store) {
	r.start(s, "i-1", "dakar-plateau")
	r.start(s, "i-2", "dakar-yoff")
	r.start(s, "i-3", "dakar-rufisque")
}

func (r *runners) start(s *store, id, zone string) {
	newApplication(s, id, "desk", zone, 6, func(w http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		attempt := req.Header.Get("X-Attempt-Id")
		number := r.begin(id, attempt)
		time.Sleep(workTime)
		w.Header().Set("X-Runner-Signature", "sig."+id+"."+attempt)
		if r.fail != nil && r.fail(id, number) {
			note("runner %s has run %s and answers 503", id, attempt)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write(make([]byte, 800))
	})
}

// begin records that a runner runs a request, and returns how many it ran before.
func (r *runners) begin(runner, attempt string) int {
	note("runner %s runs %s", runner, attempt)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[attempt]++
	r.numbers[runner]++
	return r.numbers[runner] - 1
}

func (r *runners) hasRun(attempt string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[attempt] > 0
}

// count returns the number of requests that were run.
func (r *runners) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs)
}
