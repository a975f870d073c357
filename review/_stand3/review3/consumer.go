package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// channel is a consumer's connection, which is kept for many requests.
type channel struct {
	conn net.Conn
	r    *bufio.Reader
}

func openChannel(address string) (*channel, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn: conn, r: bufio.NewReader(conn)}, nil
}

func (c *channel) close() { c.conn.Close() }

// answer is what a consumer got for a request.
type answer struct {
	status   int // 0 if the channel was closed without an answer
	header   http.Header
	body     []byte
	complete bool
	err      error
	took     time.Duration
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer: %v (after %.3f s)", a.err, a.took.Seconds())
	}
	return fmt.Sprintf("status %d, %d bytes, complete %t, err %v (after %.3f s)", a.status, len(a.body), a.complete, a.err, a.took.Seconds())
}

// call is a consumer's request.
type call struct {
	method, path, host, id, key string
	headers                     map[string]string
	body                        string
	budget                      time.Duration
}

// send sends a request and reads its answer to the end, or until a while after the time budget.
func (c *channel) send(q call) answer {
	begin := time.Now()
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", q.method, q.path, q.host, q.id, q.budget.Milliseconds())
	if q.key != "" {
		fmt.Fprintf(&b, "X-Credential: %s\r\n", q.key)
	}
	for name, value := range q.headers {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if q.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n" + q.body)
	_ = c.conn.SetDeadline(begin.Add(q.budget + 3*time.Second))
	if _, err := io.WriteString(c.conn, b.String()); err != nil {
		return answer{err: err, took: time.Since(begin)}
	}
	resp, err := http.ReadResponse(c.r, &http.Request{Method: q.method})
	if err != nil {
		return answer{err: err, took: time.Since(begin)}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: body, complete: err == nil, err: err, took: time.Since(begin)}
}

// isClosed reports whether the channel was closed without an answer, other than by the consumer's own time limit.
func (a answer) isClosed() bool {
	var timeout net.Error
	return a.status == 0 && a.err != nil && !(errors.As(a.err, &timeout) && timeout.Timeout())
}
