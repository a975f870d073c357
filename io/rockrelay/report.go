package rockrelay

import (
	"context"
	"sync"
	"time"
)

// waitReportMaxAge is the age up to which attempts with the same first backend server share one of its reports, so that
// the number of queries does not grow with that of silent attempts.
const waitReportMaxAge = 100 * time.Millisecond

// waitReports caches the last report of each backend server on the requests that wait for other backend servers.
type waitReports struct {
	mu        sync.Mutex
	byAddress map[string]*waitReport
}

// waitReport is the last report of one backend server. The mutex is held while a new one is fetched, so that concurrent
// attempts cause one fetch.
type waitReport struct {
	mu         sync.Mutex
	receivedAt time.Time
	waiting    map[string]string // as returned by FetchWaiting
	err        error
}

// waitAnswer tells what a backend server reports on the request that asks.
type waitAnswer struct {
	address    string            // of the backend server that the request is waiting for; empty if there is none
	waiting    map[string]string // the whole report
	receivedAt time.Time
}

// waitingFor returns what the backend server at an address, which runs the first stage of a request, reports on it.
func (t *Relay) waitingFor(ctx context.Context, address, request string) (waitAnswer, error) {
	t.waitReports.mu.Lock()
	if t.waitReports.byAddress == nil {
		t.waitReports.byAddress = make(map[string]*waitReport)
	}
	r := t.waitReports.byAddress[address]
	if r == nil {
		r = &waitReport{}
		t.waitReports.byAddress[address] = r
	}
	t.waitReports.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := t.Now(); r.receivedAt.IsZero() || now.Sub(r.receivedAt) >= waitReportMaxAge {
		// The attempt that asks may end at any moment; others share its report.
		fetchCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
		defer cancel()
		r.waiting, r.err = t.FetchWaiting(fetchCtx, address)
		r.receivedAt = t.Now()
	}
	return waitAnswer{r.waiting[request], r.waiting, r.receivedAt}, r.err
}
