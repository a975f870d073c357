package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["13"] = leavingRunner }

// leavingRunner lets a runner say in its answers that it leaves while the store is out, so that the store cannot tell. The
// runner is taken away 2.5 s after it has begun to leave.
func leavingRunner(e *env) (bool, error) {
	const path = "/puxa403/"
	const drain = 2 * time.Second // drainMs
	work := func(*http.Request) time.Duration { return 300 * time.Millisecond }
	var runners []*runner
	for i, id := range []string{"i-7f3a91c2", "i-02d9e6b4"} {
		s, err := newRunner(hostIP(100+i), id, desk, "dakar-yoff", e.rec, work)
		if err != nil {
			return false, err
		}
		runners = append(runners, s)
		e.store.put("servers", s.id, s.entry("ready"))
	}
	e.store.put("op", "config", manifestOf(7, routeConfig{
		Name: "r-pay", Host: hostName, Prefix: path, Service: desk, Kind: "non_idempotent", TimeoutMs: 1200, TargetMs: 150, Attempts: 1,
	}))
	if err := e.startHosts("dakar-yoff", "dakar-plateau"); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)

	leaves := runners[0]
	var mu sync.Mutex
	told := make(map[string]time.Time) // when a host passed on the first answer with Server-Leaving, by host
	late, cut := 0, 0
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 8 * len(e.hosts) {
		h := e.hosts[i%len(e.hosts)]
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				id := fmt.Sprintf("%02x-%06x", i, n)
				c, err := openChannel(h.front)
				if err != nil {
					continue
				}
				sentAt := time.Now()
				a := c.send(call{method: "POST", path: path + "2f", host: hostName, id: id, key: apiKey, body: "pay", budget: 2500 * time.Millisecond})
				c.close()
				leaves.mu.Lock()
				reached := leaves.runs[id] > 0
				leaves.mu.Unlock()
				mu.Lock()
				since, isTold := told[h.name]
				if reached && isTold && sentAt.Sub(since) > drain {
					late++
					if a.status != http.StatusOK {
						cut++
					}
					e.rec.line("consumer: %s sent to %s %.3f s after it passed on Server-Leaving reached that runner", id, h.name, sentAt.Sub(since).Seconds())
				}
				if !isTold && a.header.Get("Server-Leaving") != "" {
					told[h.name] = time.Now()
					e.rec.line("consumer: %s: %s passed on an answer with Server-Leaving", id, h.name)
				}
				mu.Unlock()
				e.rec.line("consumer: %s at %s: %s", id, h.name, a)
			}
		})
	}
	time.Sleep(time.Second)
	if e.trouble {
		e.store.setOut(true)
		e.rec.line("store: out")
	}
	leaves.mu.Lock()
	leaves.leaving = true
	leaves.mu.Unlock()
	if !e.trouble {
		e.store.put("servers", leaves.id, leaves.entry("draining"))
	}
	e.rec.line("runner %s: leaves, and says so in its answers", leaves.id)
	time.Sleep(2500 * time.Millisecond)
	leaves.server.Close()
	e.rec.line("runner %s: is taken away", leaves.id)
	time.Sleep(2 * time.Second)
	if e.trouble {
		e.store.setOut(false)
		e.rec.line("store: back")
	}
	e.store.remove("servers", leaves.id)
	time.Sleep(3 * time.Second)
	close(stop)
	wg.Wait()
	e.rec.line("%d requests reached the leaving runner from a machine later than drainMs after that machine had passed on Server-Leaving; one breaks DRAIN", late)
	e.rec.line("%d of them, which must not run twice, got no answer of the runner", cut)
	return late > 0, nil
}
