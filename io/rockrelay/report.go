package rockrelay

import (
	"context"
	"sync"
	"time"
)

// waitReportMaxAge is the age up to which attempts with the same first backend server share one of its reports.
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

// waitingFor returns the address of the backend server that a request is waiting for, or an empty
// string if there is none. The parameter address names the backend server that runs the first stage
// of the request.
func (t *Relay) waitingFor(ctx context.Context, address, request string) (string, error) {
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
	if now := t.Now(); r.receivedAt.IsZero() || now.Sub(r.receivedAt) > waitReportMaxAge {
		// The attempt that asks may end at any moment; others share its report.
		fetchCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
		defer cancel()
		r.waiting, r.err = t.FetchWaiting(fetchCtx, address)
		r.receivedAt = t.Now()
	}
	return r.waiting[request], r.err
}
