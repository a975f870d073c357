package rockstandin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// EarlyUploadBytes is the size of a request body that the sockets of a loopback connection do not hold, so that its sender is
// still writing when an EarlyAnswer arrives.
const EarlyUploadBytes = 4 << 20

// ConnEnd is the way in which a server ends a connection on which it has answered.
type ConnEnd string

// The ends of connections.
const (
	ConnClosed     ConnEnd = "closed" // for reading too; with unread bytes of the request, the kernel resets the connection
	ConnReset      ConnEnd = "reset"
	ConnHalfClosed ConnEnd = "halfClosed" // for writing; the rest of the request is not read
	ConnHalfOpen   ConnEnd = "halfOpen"   // closed for writing; the rest of the request is read
)

// EarlyAnswer is an answer that a server sends as soon as it has the head of a request.
type EarlyAnswer struct {
	Text  string        // head, and what is sent of the body
	Pause time.Duration // between the text and the end
	End   ConnEnd
	Whole bool // the text is a whole answer, and its end is in order
}

// EarlyAnswers returns answers to a request of EarlyUploadBytes, by their framing and end. Each has the fields, which end with
// line breaks, and the body.
func EarlyAnswers(fields, body string) map[string]EarlyAnswer {
	const pause = 2 * time.Millisecond // lets the client read the answer before its end
	head := func(first, framing string) string { return first + "\r\n" + fields + framing + "\r\n" }
	unframed := head("HTTP/1.1 200 OK", "")
	length := head("HTTP/1.1 200 OK", fmt.Sprintf("Content-Length: %d\r\n", len(body)+1))
	chunks := head("HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n")
	return map[string]EarlyAnswer{
		"no length, reset":                    {Text: unframed + body, Pause: pause, End: ConnReset},
		"no length, reset at once":            {Text: unframed + body, End: ConnReset},
		"no length, HTTP/1.0, reset":          {Text: head("HTTP/1.0 200 OK", "") + body, Pause: pause, End: ConnReset},
		"no length, no body, reset":           {Text: unframed, Pause: pause, End: ConnReset},
		"length, reset":                       {Text: length + body, Pause: pause, End: ConnReset},
		"chunks, reset":                       {Text: chunks + fmt.Sprintf("%x\r\n%s", len(body)+1, body), Pause: pause, End: ConnReset},
		"no length, closed in order":          {Text: unframed + body, End: ConnHalfClosed, Whole: true},
		"no length, closed in order, read on": {Text: unframed + body, End: ConnHalfOpen, Whole: true},
	}
}

// ServeEarly accepts connections on a loopback port that the kernel assigns, and answers each request as soon as it has the head.
// Connections that are half closed stay open until stop is closed.
func ServeEarly(answer func(r *http.Request) EarlyAnswer, stop <-chan struct{}) (net.Listener, error) {
	return ServeConns(func(conn net.Conn) {
		requests := bufio.NewReader(conn)
		req, err := http.ReadRequest(requests)
		if err != nil {
			return // the connection was opened only to see whether the process runs
		}
		answer(req).send(conn.(*net.TCPConn), requests, stop)
	})
}

// send sends the answer and ends the connection as far as closing it does not. upload is the rest of the request.
func (a EarlyAnswer) send(conn *net.TCPConn, upload io.Reader, stop <-chan struct{}) {
	_, _ = io.WriteString(conn, a.Text)
	time.Sleep(a.Pause)
	switch a.End {
	case ConnClosed:
	case ConnReset:
		_ = conn.SetLinger(0)
	case ConnHalfClosed:
		_ = conn.CloseWrite()
		<-stop
	case ConnHalfOpen:
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, upload)
	}
}
