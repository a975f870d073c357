package rockrelay

import (
	"context"
	"sync"
	"time"
)

// reportAge is the age up to which the answer to a question serves all attempts that enter at the same backend server.
const reportAge = 100 * time.Millisecond

// reports holds the last answers of backend servers on the requests that wait for others.
type reports struct {
	mu sync.Mutex
	by map[string]*report // by address
}

// report is the last answer of one backend server; its mutex is held during a question.
type report struct {
	mu      sync.Mutex
	at      time.Time
	waiting map[string]string
	err     error
}

// waitingFor returns the address of the backend server for which a request waits, or an empty one if it waits for none.
func (t *Relay) waitingFor(ctx context.Context, address, request string) (string, error) {
	t.reports.mu.Lock()
	if t.reports.by == nil {
		t.reports.by = make(map[string]*report)
	}
	r := t.reports.by[address]
	if r == nil {
		r = &report{}
		t.reports.by[address] = r
	}
	t.reports.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := t.Now(); r.at.IsZero() || now.Sub(r.at) > reportAge {
		r.waiting, r.err = t.Waiting(ctx, address)
		r.at = t.Now()
	}
	return r.waiting[request], r.err
}
