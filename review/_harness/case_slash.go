package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

func init() { cases["slash"] = caseSlash }

// caseSlash sends a path that begins with two slashes on a route whose prefix is one slash. Consumer and runner use plain
// sockets, so that no library changes what is sent or seen.
func caseSlash() bool {
	s := newStore()
	s.write("op", "config", manifest(1, map[string]any{
		"name": "r-all", "host": "all.example", "prefix": "/", "kind": "non_idempotent", "timeoutMs": 2500, "latencyTargetMs": 150,
		"priority": 2, "service": "desk", "attempts": 1, "public": false,
	}))
	lines := make(chan string, 1)
	newRawApplication(s, "i-1", "desk", "dakar-plateau", 6, func(c net.Conn) {
		defer c.Close()
		r := bufio.NewReader(c)
		first, err := r.ReadString('\n')
		if err != nil {
			return
		}
		id := ""
		for line := first; line != "\r\n" && err == nil; line, err = r.ReadString('\n') {
			note("runner i-1 reads %q", line)
			_, _ = fmt.Sscanf(line, "X-Attempt-Id: %s", &id)
		}
		lines <- first
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Runner-Signature: sig.i-1.%s\r\nContent-Length: 2\r\n\r\nok", id, id)
	})
	e := startEntry(s, "front-1", "dakar-plateau")
	e.waitReady()
	time.Sleep(time.Second)
	path := "/ledger/squares/7?year=2026"
	if trouble {
		path = "//ledger/squares/7?year=2026"
	}
	c, err := net.Dial("tcp", e.callers)
	if err != nil {
		fail("dial: %v", err)
	}
	defer c.Close()
	want := "POST " + path + " HTTP/1.1\r\n"
	note("consumer sends %q", want)
	fmt.Fprintf(c, "%sHost: all.example\r\nX-Attempt-Id: 9c41d07be2a35f68\r\nX-Deadline-Ms: 2500\r\nX-Credential: key-1\r\nContent-Length: 0\r\n\r\n", want)
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		fail("no answer: %v", err)
	}
	body, _ := io.ReadAll(resp.Body)
	note("consumer gets %d %q, signature %q", resp.StatusCode, body, resp.Header.Get("X-Runner-Signature"))
	select {
	case got := <-lines:
		note("sent %q, run %q", want, got)
		return got == want
	default:
		return true // it was not run
	}
}
