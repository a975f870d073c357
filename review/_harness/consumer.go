package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// answer is what a consumer got for one attempt.
type answer struct {
	id, signature string
	status        int // 0 if no answer came
	body          int // bytes
	err           error
}

// answers collects answers of several consumers.
type answers struct {
	mu   sync.Mutex
	list []answer
}

func (a *answers) add(one answer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, one)
}

func (a *answers) count(is func(answer) bool) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, one := range a.list {
		if is(one) {
			n++
		}
	}
	return n
}

// patience is the longest time that a consumer waits, far beyond its time budget.
const patience = 10 * time.Second

var lastAttempt atomic.Int64

// consumer sends requests to one host, one at a time, on a channel that it keeps.
type consumer struct {
	host           *entry
	client         *http.Client
	bytesPerSecond int // of a body that it sends; 0 for no limit
}

func newConsumer(e *entry) *consumer {
	return &consumer{host: e, client: &http.Client{Timeout: patience, Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}}
}

// send sends a request and reads its answer.
func (c *consumer) send(method, path string, deadlineMs int, body []byte) answer {
	a := answer{id: fmt.Sprintf("%08x", lastAttempt.Add(1))}
	req, err := http.NewRequest(method, "http://"+c.host.callers+path, &pacedReader{left: body, bytesPerSecond: c.bytesPerSecond, begin: time.Now()})
	if err != nil {
		fail("request: %v", err)
	}
	req.ContentLength = int64(len(body))
	if len(body) == 0 {
		req.Body = http.NoBody
	}
	req.Host = "ficu95.example"
	req.Header.Set("X-Attempt-Id", a.id)
	req.Header.Set("X-Credential", "key-1")
	req.Header.Set("X-Deadline-Ms", strconv.Itoa(deadlineMs))
	note("consumer of %s sends %s: %s %s, %d bytes", c.host.name, a.id, method, path, len(body))
	resp, err := c.client.Do(req)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		a.status, a.body, a.signature = resp.StatusCode, len(data), resp.Header.Get("X-Runner-Signature")
	}
	if err != nil {
		a.err, a.status = err, 0
	}
	note("consumer gets %s: status %d, %d bytes, signature %q, error %v", a.id, a.status, a.body, a.signature, a.err)
	return a
}

// pacedReader reads a body at a limited speed.
type pacedReader struct {
	left           []byte
	bytesPerSecond int
	begin          time.Time
	sent           int
}

func (r *pacedReader) Read(p []byte) (int, error) {
	if len(r.left) == 0 {
		return 0, io.EOF
	}
	n := copy(p[:min(len(p), 32<<10)], r.left)
	r.left, r.sent = r.left[n:], r.sent+n
	if r.bytesPerSecond > 0 {
		time.Sleep(time.Until(r.begin.Add(time.Duration(float64(r.sent) / float64(r.bytesPerSecond) * float64(time.Second)))))
	}
	return n, nil
}

func all(answer) bool { return true }

func isServed(a answer) bool { return a.status == http.StatusOK && a.signature != "" }

func isUnanswered(a answer) bool { return a.status == 0 }
