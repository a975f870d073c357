package rockload

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"sassafrasrock/io/rockresponse"
)

const (
	progressInterval = time.Second
	// idleConnsPerTarget bounds the idle connections to a target that are kept for reuse. With a new
	// connection for each request the latencies would include its handshake.
	idleConnsPerTarget = 512
	// maxStreamBytes is far more than an answer of maxAnswerBytes takes as events.
	maxStreamBytes = 64 << 20
)

// Generator sends the load of a plan once and measures the answers.
type Generator struct {
	Plan     Plan
	Check    func(s Share, prompt, answer string) error // checks each complete answer; nil for no check
	Progress io.Writer                                  // terminal that shows the progress line; nil for none

	client   *http.Client
	now      func() time.Time
	mu       sync.Mutex
	report   *Report
	inFlight int
}

// Run sends the plan's requests and returns the report. When the context ends, Run stops sending, cancels
// the requests in flight and returns the report so far.
func (g *Generator) Run(ctx context.Context) (*Report, error) {
	plan, err := g.Plan.withDefaults()
	if err != nil {
		return nil, err
	}
	g.Plan = plan
	transport := rockresponse.New(&http.Transport{MaxIdleConnsPerHost: idleConnsPerTarget}, rockresponse.WithMaxBodyBytes(maxStreamBytes))
	defer transport.CloseIdleConnections()
	g.client = &http.Client{Transport: transport}
	g.now = time.Now
	g.report = newReport(plan)

	start := g.now()
	stopProgress := g.showProgress(start)
	g.send(ctx, start)
	stopProgress()
	g.report.Elapsed = g.now().Sub(start)
	return g.report, nil
}

// send starts each request at its scheduled time and waits until all have ended.
func (g *Generator) send(ctx context.Context, start time.Time) {
	var running sync.WaitGroup
	defer running.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for a := range g.Plan.Arrivals() {
		scheduled := start.Add(a.At)
		timer.Reset(scheduled.Sub(g.now()))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if !g.tryStart(a) {
			continue
		}
		running.Go(func() { g.finish(g.request(ctx, a, scheduled)) })
	}
}

// tryStart counts a request as sent, or as dropped if too many are in flight.
func (g *Generator) tryStart(a Arrival) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	row := g.report.row(a.Share)
	row.Sent++
	if g.inFlight >= g.Plan.MaxInFlight {
		row.Dropped++
		return false
	}
	g.inFlight++
	return true
}

func (g *Generator) finish(result Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	g.report.add(result)
}

// showProgress rewrites the progress line every progressInterval until the returned function is called.
func (g *Generator) showProgress(start time.Time) (stop func()) {
	if g.Progress == nil {
		return func() {}
	}
	done := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() {
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				fmt.Fprint(g.Progress, "\r\x1b[K")
				return
			case <-ticker.C:
				fmt.Fprintf(g.Progress, "\r\x1b[K%s", g.progressLine(start))
			}
		}
	})
	return func() {
		close(done)
		running.Wait()
	}
}

func (g *Generator) progressLine(start time.Time) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.report.total()
	return fmt.Sprintf("%.0f s: %d of at most %d sent, %d in flight, %d answered, %d refused, %d failed",
		g.now().Sub(start).Seconds(), t.Sent, g.Plan.Count, g.inFlight, t.Answered, t.Refused, t.Failed+t.Dropped)
}
