package main

import (
	"net/http"
	"sync"
	"time"
)

func init() { cases["refused"] = caseRefused }

// caseRefused has one of three runners fail part of its payments with a 503 of its own after it has run them. Consumers
// believe the promise of this status, and send the payment once more, with a new id.
func caseRefused() bool {
	s := newStore()
	s.write("op", "config", manifest(1))
	runners := newRunners()
	runners.startAll(s)
	if trouble {
		runners.fail = func(runner string, number int) bool { return runner == "i-1" && number%5 < 2 }
	}
	e := startEntry(s, "front-1", "dakar-plateau")
	e.waitReady()
	time.Sleep(time.Second)
	var got answers
	var mu sync.Mutex
	twice := 0
	var wg sync.WaitGroup
	for range 10 {
		wg.Go(func() {
			c := newConsumer(e)
			for range 10 {
				a := c.send("POST", "/pay/x", 2500, nil)
				got.add(a)
				if a.status == http.StatusServiceUnavailable {
					again := newConsumer(e).send("POST", "/pay/x", 2000, nil)
					note("payment %s was refused and sent again as %s", a.id, again.id)
					if runners.hasRun(a.id) && runners.hasRun(again.id) {
						mu.Lock()
						twice++
						mu.Unlock()
					}
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	broken := got.count(func(a answer) bool {
		return (a.status == 429 || a.status == 503 || a.status == 408 || a.status == 421) && runners.hasRun(a.id)
	})
	note("sent %d, answered 429, 503, 408 or 421 although run: %d, payments made twice: %d", got.count(all), broken, twice)
	return broken == 0
}
