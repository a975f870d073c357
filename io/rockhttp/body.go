package rockhttp

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockmemory"
)

const (
	// bodyTimeout limits the time to read a complete request body.
	bodyTimeout = 30 * time.Second
	// requestBytes is the memory for a request beside its head and body: the buffers and goroutines of its connections to
	// the caller and the backend server, and its rows.
	requestBytes = 64 << 10
	// dropTimeout limits the time in which the body of a refused request is read and dropped.
	dropTimeout = 2 * time.Second
	// longBodyBytes is the size from which bodyGrace and minBodyRate hold.
	longBodyBytes = 64 << 10
	// bodyGrace is the longest pause of a long body, so that a caller that stops sending does not keep memory that others
	// need. It outlasts a few retransmissions of TCP.
	bodyGrace = 5 * time.Second
	// minBodyRate is the speed, in bytes a second, at which each part of a long body has to arrive beside bodyGrace. It is
	// far below that of sound callers; bodyTimeout limits the whole.
	minBodyRate = 16 << 10
	// defaultHeadBytes limits the header fields if the configuration does not. net/http itself rejects heads of more than
	// largestHeadBytes, which no counter shows.
	defaultHeadBytes = 64 << 10
	largestHeadBytes = 2 * defaultHeadBytes
)

// ReadBody reads the body of a request into memory that it reserves from the holding before it reads, together with that
// for the head and for the request itself. Its caller closes the holding, also after a code or an error. ReadBody returns a
// code if the head or the body is too long, the body is too slow, its encoding is invalid, the holding has no room or it is
// needed for others, or the host refuses new requests before the body has ended, which the context closing tells; the
// connection is then closed after the answer, and DropBody has to be called for what is left of the body. It returns an
// error if the connection is broken, in which case an answer would not reach the caller.
func ReadBody(w http.ResponseWriter, r *http.Request, limits rocktable.RequestLimits, held *rockmemory.Holding, closing context.Context) ([]byte, rockreason.Code, error) {
	body, code, err := readBody(w, r, limits, held, closing)
	if code != "" {
		w.Header().Set("Connection", "close")
	}
	return body, code, err
}

func readBody(w http.ResponseWriter, r *http.Request, limits rocktable.RequestLimits, held *rockmemory.Holding, closing context.Context) ([]byte, rockreason.Code, error) {
	head := headLength(r)
	conn := connectionOf(r)
	switch {
	case head > cmp.Or(limits.MaxHeadBytes, defaultHeadBytes):
		return nil, rockreason.HeadTooLong, nil
	case r.ContentLength > limits.MaxBodyBytes:
		return nil, rockreason.BodyTooLong, nil
	case !conn.takeHead(held, requestBytes+head+lineBytes(headLines(r), requestLineBytes)):
		return nil, rockreason.MemoryFull, nil
	case r.Body == http.NoBody:
		return nil, "", nil // without a deadline: net/http reads already, to notice that the caller leaves
	}
	deadline := newBodyDeadline(w, closing)
	defer deadline.stop()
	begin := time.Now()
	reader := rockmemory.Reader{
		Source: http.MaxBytesReader(w, r.Body, limits.MaxBodyBytes), Held: held,
		MakeRoom:   func(n int64) bool { return conn.makeRoom(held, n) },
		BeforeStep: func(received, n int) { deadline.setStep(stepDeadline(begin, time.Now(), r.ContentLength, received, n)) },
	}
	conn.beginBody(held)
	body, err := reader.ReadAll(r.ContentLength)
	if isEvicted := conn.endBody(); isEvicted && err != nil {
		return nil, rockreason.MemoryFull, nil
	}
	r.Trailer = nil // it is not used, and may have as many lines as fit into the buffer of the connection
	if tooLong := new(http.MaxBytesError); errors.As(err, &tooLong) {
		return nil, rockreason.BodyTooLong, nil
	}
	if errors.Is(err, rockmemory.ErrNoRoom) {
		return nil, rockreason.MemoryFull, nil
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		if deadline.isClosing() {
			return nil, rockreason.ShuttingDown, nil
		}
		return nil, rockreason.RequestTooSlow, nil
	}
	if netErr := net.Error(nil); errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &netErr) || r.Context().Err() != nil {
		return nil, "", errors.Join(err, r.Context().Err())
	}
	if err != nil {
		return nil, rockreason.BrokenBody, nil
	}
	deadline.clear()
	return body, "", nil
}

// DropBody reads the rest of the body of a request that is answered, without holding it or the header of the request. If the connection were closed
// while the caller sends, some callers would see only a failed write and not the answer.
func DropBody(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	_ = control.Flush()
	connectionOf(r).dropHead(r)
	_ = control.SetReadDeadline(time.Now().Add(dropTimeout))
	_, _ = io.Copy(io.Discard, r.Body) // net/http closes the connection in any case
}

// stepDeadline returns the time by which a part of n bytes must have arrived, after the received ones. begin is the time at
// which the body began, stepBegin that of the part, and length the declared length of the body, or negative.
func stepDeadline(begin, stepBegin time.Time, length int64, received, n int) time.Time {
	end := begin.Add(bodyTimeout)
	if max(length, int64(received+n)) <= longBodyBytes {
		return end
	}
	if stepEnd := stepBegin.Add(bodyGrace + time.Duration(n)*time.Second/minBodyRate); stepEnd.Before(end) {
		return stepEnd
	}
	return end
}

// headLength returns the length in bytes that the header fields of a request have in HTTP/1.1.
func headLength(r *http.Request) int64 {
	n := len("Host: \r\n") + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(": \r\n") + len(v)
		}
	}
	return int64(n)
}

// headLines returns the number of header fields of a request.
func headLines(r *http.Request) int {
	n := 0
	for _, values := range r.Header {
		n += len(values)
	}
	return n
}
