package rockresponse

import (
	"errors"
	"fmt"
	"io"
	"net/http"
)

// EndsWithConnection reports whether the body of a response ends with its connection, as it has neither a length nor chunks.
// HTTP/2 marks each end.
func EndsWithConnection(resp *http.Response) bool {
	return resp.ProtoMajor == 1 && resp.Body != http.NoBody && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// unframedBody is the body of a response that ends with its connection.
type unframedBody struct {
	io.ReadCloser
	conn *watchedConn
}

// Read returns io.ErrUnexpectedEOF instead of io.EOF if the connection was aborted.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if aborted := b.conn.closeAtEnd(); aborted != nil {
		return n, fmt.Errorf("%w: connection was aborted: %w", io.ErrUnexpectedEOF, aborted)
	}
	return n, err
}

// limitedBody is the body of a response, of which at most left bytes may still be read.
type limitedBody struct {
	io.ReadCloser
	left int64
}

// Read returns ErrTooLong if the body goes on after the limit.
func (b *limitedBody) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	n, err := b.ReadCloser.Read(p[:min(int64(len(p)), b.left+1)])
	if int64(n) > b.left {
		n, err = int(b.left), ErrTooLong
	}
	b.left -= int64(n)
	return n, err
}

// trailedBody is the body of a response that trailer fields may follow.
type trailedBody struct {
	io.ReadCloser
	resp      *http.Response
	transport *http.Transport
}

// Read returns ErrMalformed instead of io.EOF if the name of a trailer field is invalid.
func (b *trailedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if malformed := checkNames(receivedFields(b.resp.Trailer)); malformed != nil {
		b.transport.CloseIdleConnections()
		return n, malformed
	}
	return n, err
}

// receivedFields returns the fields of a trailer that has arrived. net/http also lists those that the head announced, with
// nil values.
func receivedFields(trailer http.Header) http.Header {
	received := make(http.Header)
	for name, values := range trailer {
		if values != nil {
			received[name] = values
		}
	}
	return received
}
