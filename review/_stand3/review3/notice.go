package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["12"] = afterNotice }

// A machine's share of a core is a quota: in each period a busy process runs until the quota is used up, after quotaRuns, and
// then stands still until the period ends.
const (
	quotaPeriod = 100 * time.Millisecond
	quotaRuns   = 40 * time.Millisecond
)

// limitShare gives a busy host its share of a core, until stop is closed.
func limitShare(h *host, stop chan struct{}) {
	for next := time.Now(); ; {
		next = next.Add(quotaPeriod)
		select {
		case <-time.After(time.Until(next.Add(quotaRuns - quotaPeriod))):
		case <-stop:
			return
		}
		h.signal(syscall.SIGSTOP)
		time.Sleep(time.Until(next))
		h.signal(syscall.SIGCONT)
	}
}

// The requests of afterNotice. Those that were sent until excused after a SIGTERM may be given up at the end of the grace.
const (
	draftPath   = "/lohu930/"
	excused     = 3 * time.Second
	keptCount   = 50
	busyAfter   = 2 * time.Second // from the SIGTERM; the platform asks twice, a second apart, and then sends no new channels
	afterSpread = 50 * time.Millisecond
)

// afterNotice stops machines in turn. On channels that were kept open, requests for streams are sent just after the 3 s that
// follow each SIGTERM. The streams last for longer than what is left of the grace then.
func afterNotice(e *env) (bool, error) {
	s, err := newModelRunner(hostIP(100), "i-7f3a91c2", "dakar-yoff", e.rec, 100*time.Millisecond)
	if err != nil {
		return false, err
	}
	m := manifestOf(7, routeConfig{
		Name: "r-draft", Host: hostName, Prefix: draftPath, Service: pool, Kind: "streaming", TimeoutMs: 20000, TargetMs: 500,
		GapMs: 250, Attempts: 2, Sticky: true, Resumable: true,
	})
	m["services"] = append(m["services"].([]map[string]any), modelService())
	e.store.put("op", "config", m)
	e.store.put("servers", s.id, s.entry())
	if err := e.startHosts("dakar-yoff", "dakar-plateau", "dakar-rufisque", "dakar-yoff", "dakar-plateau", "dakar-rufisque"); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	counts := make(map[string]int)
	for n, h := range e.hosts {
		open, err := keepChannels(h, n)
		if err != nil {
			return false, err
		}
		wg.Go(func() {
			e.stopWhileBusy(s, h, n, open, func(end string) {
				mu.Lock()
				defer mu.Unlock()
				counts[end]++
			})
		})
	}
	wg.Wait()
	e.rec.line("requests that were sent later than %s after the SIGTERM of their machine: %v", excused, counts)
	e.rec.line("%d were taken, passed on to the runner and cut off in the middle of their streams; one breaks LOST", counts["cut off"])
	return counts["cut off"] > 0, nil
}

// keepChannels opens channels to a host and keeps them after a short stream on each, which takes 5 s. The channels are used
// again within four fifths of idleTimeoutMs.
func keepChannels(h *host, n int) ([]*channel, error) {
	var open []*channel
	for i := range keptCount {
		c, err := openChannel(h.front)
		if err != nil {
			return nil, err
		}
		if a := c.send(draft(fmt.Sprintf("aa%02x%04x", n, i), 4)); a.status != http.StatusOK || !a.complete {
			return nil, fmt.Errorf("warm-up: %s %s", a, a.body)
		}
		open = append(open, c)
	}
	return open, nil
}

// draft returns a request for a stream of at most so many tokens.
func draft(id string, tokens int) call {
	return call{
		method: "POST", path: draftPath + "2f", host: hostName, id: id, key: apiKey, body: "draft a biography", budget: 20 * time.Second,
		headers: map[string]string{"X-Model": "daka510000", "X-Token-Counts": fmt.Sprintf("100,%d", tokens), "X-Prompt-Prefix": "5c1e07a2:40," + id + ":60"},
	}
}

// stopWhileBusy stops a host while it sends a stream, and counts how the requests end that are sent too late to be excused.
func (e *env) stopWhileBusy(s *modelRunner, h *host, n int, open []*channel, count func(end string)) {
	var wg sync.WaitGroup
	wg.Go(func() { // keeps the process at work; its end is excused
		if c, err := openChannel(h.front); err == nil {
			defer c.close()
			id := fmt.Sprintf("cc%02x0000", n)
			e.rec.line("consumer: %s sent to %s before the SIGTERM: %s", id, h.name, c.send(draft(id, 400)))
		}
	})
	stop := make(chan struct{})
	go limitShare(h, stop)
	time.Sleep(700*time.Millisecond + time.Duration(rand.Int63n(int64(quotaPeriod))))
	signal := time.Now()
	if e.trouble {
		h.signal(syscall.SIGTERM)
		signal = time.Now()
		e.rec.line("platform: SIGTERM to %s", h.name)
	}
	time.AfterFunc(busyAfter, func() { close(stop) })
	for i, c := range open {
		wg.Go(func() {
			defer c.close()
			id := fmt.Sprintf("bb%02x%04x", n, i)
			time.Sleep(time.Until(signal.Add(excused + afterSpread*time.Duration(i+1)/keptCount)))
			after := time.Since(signal)
			a := c.send(draft(id, 320))
			s.mu.Lock()
			ran := s.runs[id] > 0
			s.mu.Unlock()
			end := fmt.Sprintf("status %d", a.status)
			switch {
			case a.status == http.StatusOK && a.complete:
				end = "whole"
			case a.status == http.StatusOK && ran:
				end = "cut off"
			}
			e.rec.line("consumer: %s sent to %s %.4f s after the SIGTERM: %s: %s", id, h.name, after.Seconds(), end, a)
			count(end)
		})
	}
	wg.Wait()
}
