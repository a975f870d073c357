package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["11"] = returnedRunner }

// returnedRunner takes the only runner of a service away as planned and starts it again under its id. Meanwhile the hosts
// are stopped and started in turn.
func returnedRunner(e *env) (bool, error) {
	const look, pay = "/cufi504/", "/puxa403/"
	quick := func(*http.Request) time.Duration { return 20 * time.Millisecond }
	steady, err := newRunner(hostIP(100), "i-5c0be2d4", "huvo11a", "dakar-yoff", e.rec, quick)
	if err != nil {
		return false, err
	}
	away, err := newRunner(hostIP(101), "i-7f3a91c2", desk, "dakar-yoff", e.rec, quick)
	if err != nil {
		return false, err
	}
	routes := []routeConfig{
		{Name: "r-look", Host: hostName, Prefix: look, Service: "huvo11a", Kind: "idempotent", TimeoutMs: 1200, TargetMs: 150, Attempts: 2},
		{Name: "r-pay", Host: hostName, Prefix: pay, Service: desk, Kind: "idempotent", TimeoutMs: 1200, TargetMs: 150, Attempts: 2},
	}
	e.store.put("op", "config", manifestOf(7, routes...))
	e.store.put("servers", steady.id, steady.entry("ready"))
	e.store.put("servers", away.id, away.entry("ready"))
	if err := e.startHosts("dakar-yoff", "dakar-plateau"); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	e.count("before", look, pay)

	// Planned: the route goes, and after it its runner.
	e.store.put("op", "config", manifestOf(8, routes[0]))
	e.rec.line("operator: manifest 8 acknowledged, without r-pay")
	time.Sleep(3 * time.Second)
	e.store.put("servers", away.id, away.entry("draining"))
	e.rec.line("runner %s: draining acknowledged", away.id)
	time.Sleep(4 * time.Second)
	away.server.Close()
	e.store.remove("servers", away.id)
	e.rec.line("runner %s: ended, its entry is removed", away.id)
	time.Sleep(3 * time.Second)
	if e.trouble {
		for _, h := range e.hosts {
			e.rec.line("platform: SIGTERM to %s", h.name)
			h.signal(syscall.SIGTERM)
			select {
			case <-h.ended:
			case <-time.After(8 * time.Second):
				h.kill()
			}
			if err := h.start(); err != nil {
				return false, err
			}
			if err := h.awaitReady(15 * time.Second); err != nil {
				return false, err
			}
			e.rec.line("platform: %s started again and ready", h.name)
			time.Sleep(2 * time.Second)
		}
	} else {
		time.Sleep(12 * time.Second)
	}

	// Planned: the runner starts again under its id, and its route is added again.
	back, err := newRunner(hostIP(102), away.id, desk, "dakar-yoff", e.rec, quick)
	if err != nil {
		return false, err
	}
	e.store.put("servers", back.id, back.entry("ready"))
	e.rec.line("runner %s: started again under its id, born %d, ready acknowledged", back.id, back.born)
	time.Sleep(5 * time.Second)
	e.store.put("op", "config", manifestOf(9, routes...))
	e.rec.line("operator: manifest 9 acknowledged, with r-pay")
	time.Sleep(5 * time.Second) // configApplyMs is 2000, contactMs 3000
	served := e.count("after", look, pay)
	e.rec.line("served of 80 requests each: first route %d, route added later %d; CONFIG breaks below a quarter", served[look], served[pay])
	return 4*served[pay] < served[look], nil
}

// count sends 40 requests for each path to each host, and returns the number that was served by path.
func (e *env) count(when string, paths ...string) map[string]int {
	served := make(map[string]int)
	sent := 0
	for range 40 {
		for _, h := range e.hosts {
			for _, path := range paths {
				sent++
				id := fmt.Sprintf("%s%06x", map[string]string{"before": "aa", "after": "bb"}[when], sent)
				c, err := openChannel(h.front)
				if err != nil {
					e.rec.line("consumer: %s not sent: %v", id, err)
					continue
				}
				a := c.send(call{method: "GET", path: path + "2f", host: hostName, id: id, key: apiKey, budget: 2500 * time.Millisecond})
				c.close()
				e.rec.line("consumer: %s %s at %s: %s %.80s", id, path, h.name, a, a.body)
				if a.status == http.StatusOK && a.complete {
					served[path]++
				}
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return served
}
