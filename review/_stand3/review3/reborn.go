package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["11"] = rebornRunner }

// rebornRunner cuts the link to a runner of a plain service while it answers without a length. Its process crashes behind
// the cut and starts again.
func rebornRunner(e *env) (bool, error) {
	const path = "/cufi504/"
	const pause = 1500 * time.Millisecond
	s, err := startRunner(hostIP(100), "i-7f3a91c2", pause)
	if err != nil {
		return false, err
	}
	defer func() { s.kill() }()
	k, err := newLink(hostIP(101), s.addr)
	if err != nil {
		return false, err
	}
	entry := func(id string, born time.Time) map[string]any {
		return map[string]any{
			"service": desk, "addr": k.addr, "zone": "dakar-yoff", "version": "v1", "slots": 6, "state": "ready", "coldLeftMs": 0,
			"sequence": 1, "born": born.UnixMilli(),
		}
	}
	e.store.put("op", "config", manifestOf(7, routeConfig{
		Name: "r-look", Host: hostName, Prefix: path, Service: desk, Kind: "idempotent", TimeoutMs: 8000, TargetMs: 2000, Attempts: 1,
	}))
	e.store.put("servers", s.id, entry(s.id, time.Now()))
	if err := e.startHosts("dakar-yoff"); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)

	var wg sync.WaitGroup
	var mu sync.Mutex
	short, whole := 0, 0
	for n := range 6 {
		wg.Go(func() {
			c, err := openChannel(e.hosts[0].front)
			if err != nil {
				return
			}
			defer c.close()
			id := fmt.Sprintf("%016x", n+1)
			e.rec.line("consumer: %s sent", id)
			a := c.send(call{method: "GET", path: path + "2f", host: hostName, id: id, key: apiKey, budget: 8 * time.Second})
			e.rec.line("consumer: %s: %s, signature %q, body %q", id, a, a.header.Get("X-Runner-Signature"), a.body)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.status == http.StatusOK && a.complete && string(a.body) == firstPart+secondPart:
				whole++
			case a.status == http.StatusOK && a.complete:
				short++
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	if e.trouble {
		k.cut()
		e.rec.line("link to runner %s: cut", s.id)
		time.Sleep(300 * time.Millisecond)
		s.kill()
		e.rec.line("runner %s: its process is killed behind the cut", s.id)
		time.Sleep(2 * time.Second)
		if s, err = startRunner(hostIP(102), "i-02d9e6b4", pause); err != nil {
			return false, err
		}
		k.setTarget(s.addr)
		e.rec.line("runner %s: started at the same address, behind the cut", s.id)
		time.Sleep(700 * time.Millisecond)
		k.heal()
		e.store.put("servers", s.id, entry(s.id, time.Now()))
		e.rec.line("link: healed after 3 s; runner %s is listed", s.id)
	}
	wg.Wait()
	e.rec.line("%d answers were whole; %d were passed on as whole successes without their end: one breaks MIXED", whole, short)
	return short > 0, nil
}
