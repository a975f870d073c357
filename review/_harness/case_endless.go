package main

import (
	"bufio"
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["endless"] = caseEndless }

const (
	// endlessShare is the share of its requests that the runner in trouble answers with bytes without end. It is the
	// largest x of srv_grey in the site file.
	endlessShare = 0.45
	// endlessSpeed is the speed of one such answer in bytes a second.
	endlessSpeed = 12 << 20
	// endlessCallers is the number of consumers at each machine. Each sends one lookup a second.
	endlessCallers = 24
)

// caseEndless has one of three runners in trouble. The machines are restarted when they exceed their memory.
func caseEndless() bool {
	s := newStore()
	s.write("op", "config", manifest(1))
	runners := newRunners()
	runners.start(s, "i-1", "dakar-yoff")
	runners.start(s, "i-2", "dakar-rufisque")
	var endless atomic.Int64
	newRawApplication(s, "i-3", "desk", "dakar-plateau", 6, func(c net.Conn) {
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		id := r.Header.Get("X-Attempt-Id")
		if !trouble || rand.Float64() >= endlessShare {
			runners.begin("i-3", id)
			time.Sleep(workTime)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Runner-Signature: sig.i-3.%s\r\nContent-Length: 800\r\n\r\n%s", id, id, make([]byte, 800))
			return
		}
		endless.Add(1)
		note("runner i-3 sends bytes without end for %s", id)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n\r\n", id)
		sendWithoutEnd(c)
	})
	hosts := []*entry{startEntry(s, "front-1", "dakar-plateau"), startEntry(s, "front-2", "dakar-plateau")}
	for _, e := range hosts {
		e.waitReady()
		go e.watchMemory()
	}
	time.Sleep(time.Second)
	var got answers
	var wg sync.WaitGroup
	until := time.Now().Add(75 * time.Second)
	for _, e := range hosts {
		for range endlessCallers {
			wg.Go(func() {
				c := newConsumer(e)
				for next := time.Now(); next.Before(until) && !allEndedThrice(hosts); next = next.Add(time.Second) {
					time.Sleep(time.Until(next))
					got.add(c.send("GET", "/lookup/x", 2500, nil))
				}
			})
		}
	}
	wg.Wait()
	note("sent %d, served %d, without an answer %d, answers without end %d", got.count(all), got.count(isServed), got.count(isUnanswered), endless.Load())
	return reportEnds(hosts)
}

// sendWithoutEnd sends bytes that are no answer until the other side closes.
func sendWithoutEnd(c net.Conn) {
	junk := bytes.Repeat([]byte{0xff}, 64<<10)
	begin, sent := time.Now(), 0
	for {
		if _, err := c.Write(junk); err != nil {
			return
		}
		sent += len(junk)
		time.Sleep(time.Until(begin.Add(time.Duration(float64(sent) / endlessSpeed * float64(time.Second)))))
	}
}
