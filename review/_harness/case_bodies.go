package main

import (
	"sync"
	"time"
)

func init() { cases["bodies"] = caseBodies }

const (
	// bodyCallers is the number of consumers at each machine. Each sends one payment in bodyInterval.
	bodyCallers  = 30
	bodyInterval = 4 * time.Second
	// bodySpeed is the speed of one consumer's upload in bytes a second. All uploads to a machine stay below its link.
	bodySpeed = 3 << 20
)

// caseBodies has many consumers send bodies of the greatest length at once. The machines are restarted when they exceed
// their memory.
func caseBodies() bool {
	s := newStore()
	s.write("op", "config", manifest(1))
	runners := newRunners()
	runners.startAll(s)
	hosts := []*entry{startEntry(s, "front-1", "dakar-plateau"), startEntry(s, "front-2", "dakar-plateau")}
	for _, e := range hosts {
		e.waitReady()
		go e.watchMemory()
	}
	time.Sleep(time.Second)
	body := make([]byte, 800)
	if trouble {
		body = make([]byte, maxBodyBytes)
	}
	var got answers
	var wg sync.WaitGroup
	until := time.Now().Add(75 * time.Second)
	for _, e := range hosts {
		for range bodyCallers {
			wg.Go(func() {
				c := newConsumer(e)
				c.bytesPerSecond = bodySpeed
				for next := time.Now(); next.Before(until) && !allEndedThrice(hosts); next = next.Add(bodyInterval) {
					time.Sleep(time.Until(next))
					got.add(c.send("POST", "/pay/x", 2500, body))
				}
			})
		}
	}
	wg.Wait()
	note("sent %d, served %d, without an answer %d", got.count(all), got.count(isServed), got.count(isUnanswered))
	return reportEnds(hosts)
}
