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
	ConnClosed           ConnEnd = "closed" // for reading too; with unread bytes of the request, the kernel resets the connection
	ConnReset            ConnEnd = "reset"
	ConnHalfClosed       ConnEnd = "halfClosed"       // for writing; the rest of the request is read
	ConnHalfClosedUnread ConnEnd = "halfClosedUnread" // for writing; the rest of the request is not read
)

// EarlyAnswer is an answer that a server sends as soon as it has the head of a request.
type EarlyAnswer struct {
	Text  string        // head, and what is sent of the body
	Pause time.Duration // between the text and the end
	End   ConnEnd
	Whole bool // the text is a whole answer, and its end is in order
	// Attempts is the number of requests that show how a client takes the answer. Which of a read and a write gets the error of a
	// connection that is reset is decided by the kernel and the scheduler.
	Attempts int
}

// EarlyAnswers returns answers to a request of EarlyUploadBytes, by their framing and end. Each has the fields, which end with
// line breaks, and the body.
func EarlyAnswers(fields, body string) map[string]EarlyAnswer {
	const (
		pause    = 2 * time.Millisecond // lets the client read the answer before its end
		attempts = 12
	)
	head := func(first, framing string) string { return first + "\r\n" + fields + framing + "\r\n" }
	unframed := head("HTTP/1.1 200 OK", "")
	length := head("HTTP/1.1 200 OK", fmt.Sprintf("Content-Length: %d\r\n", len(body)+1))
	chunks := head("HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n")
	return map[string]EarlyAnswer{
		"no length, reset":                    {Text: unframed + body, Pause: pause, End: ConnReset, Attempts: attempts},
		"no length, reset at once":            {Text: unframed + body, End: ConnReset, Attempts: attempts},
		"no length, HTTP/1.0, reset":          {Text: head("HTTP/1.0 200 OK", "") + body, Pause: pause, End: ConnReset, Attempts: attempts},
		"no length, no body, reset":           {Text: unframed, Pause: pause, End: ConnReset, Attempts: attempts},
		"length, reset":                       {Text: length + body, Pause: pause, End: ConnReset, Attempts: attempts},
		"chunks, reset":                       {Text: chunks + fmt.Sprintf("%x\r\n%s", len(body)+1, body), Pause: pause, End: ConnReset, Attempts: attempts},
		"no length, closed in order":          {Text: unframed + body, End: ConnHalfClosedUnread, Whole: true, Attempts: 1},
		"no length, closed in order, read on": {Text: unframed + body, End: ConnHalfClosed, Whole: true, Attempts: 1},
	}
}

// EarlyServer answers requests as soon as it has their heads.
type EarlyServer struct {
	net.Listener
	answer func(r *http.Request) EarlyAnswer
	stop   chan struct{}
}

// ServeEarly starts an EarlyServer on a loopback port that the kernel assigns. Connections that are half closed stay open until
// the server is closed.
func ServeEarly(answer func(r *http.Request) EarlyAnswer) (*EarlyServer, error) {
	s := &EarlyServer{answer: answer, stop: make(chan struct{})}
	var err error
	s.Listener, err = ServeConns(s.serve)
	return s, err
}

// Close stops the server. It may be called once.
func (s *EarlyServer) Close() error {
	close(s.stop)
	return s.Listener.Close()
}

func (s *EarlyServer) serve(conn net.Conn) {
	requests := bufio.NewReader(conn)
	req, err := http.ReadRequest(requests)
	if err != nil {
		return // the connection was opened only to see whether the process runs
	}
	s.answer(req).send(conn.(*net.TCPConn), requests, s.stop)
}

// send sends the answer and ends the connection as far as closing it does not. upload is the rest of the request.
func (a EarlyAnswer) send(conn *net.TCPConn, upload io.Reader, stop <-chan struct{}) {
	_, _ = io.WriteString(conn, a.Text)
	time.Sleep(a.Pause)
	switch a.End {
	case ConnClosed:
	case ConnReset:
		_ = conn.SetLinger(0)
	case ConnHalfClosedUnread:
		_ = conn.CloseWrite()
		<-stop
	case ConnHalfClosed:
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, upload)
	}
}
