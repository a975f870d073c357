package rockhttp

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"sassafrasrock/core/rockreason"
)

const (
	// bodyTimeout limits the time to read a complete request body.
	bodyTimeout = 30 * time.Second
	// maxHeadBytes limits the request line and headers. net/http itself rejects heads of more than
	// twice this size, which no counter shows.
	maxHeadBytes = 64 << 10
)

// ReadBody reads the body of a request, up to limit bytes. It returns a code if the head or the body is too long or the
// encoding of the body is invalid, or if the host refuses new requests before the body has ended, which the context closing
// tells. It returns an error if the connection is broken or too slow, in which case an answer would not reach the caller.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64, closing context.Context) ([]byte, rockreason.Code, error) {
	if headLength(r) > maxHeadBytes {
		return nil, rockreason.HeadTooLong, nil
	}
	deadline := newBodyDeadline(w, closing)
	defer deadline.stop()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if tooLong := new(http.MaxBytesError); errors.As(err, &tooLong) {
		return nil, rockreason.BodyTooLong, nil
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && deadline.isClosing() {
		return nil, rockreason.ShuttingDown, nil
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

// headLength returns the length in bytes that the head of a request has in HTTP/1.1.
func headLength(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len("  \r\n") + len("Host: \r\n") + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(": \r\n") + len(v)
		}
	}
	return n
}
