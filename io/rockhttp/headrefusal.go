package rockhttp

import (
	"bytes"
	"io"
	"net/http"
)

// headRefusal is an answer to a request whose head is not complete, for which net/http has no http.ResponseWriter.
type headRefusal struct {
	header http.Header
	status int // 0 until it is written
	body   bytes.Buffer
}

// Header returns the header fields, which may be changed until WriteHeader.
func (r *headRefusal) Header() http.Header { return r.header }

// WriteHeader sets the status, once.
func (r *headRefusal) WriteHeader(status int) {
	if r.status == 0 {
		r.status = status
	}
}

// Write adds to the body.
func (r *headRefusal) Write(p []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	return r.body.Write(p)
}

// writeTo sends the answer.
func (r *headRefusal) writeTo(w io.Writer) error {
	response := http.Response{
		StatusCode: r.status, ProtoMajor: 1, ProtoMinor: 1, Header: r.header,
		ContentLength: int64(r.body.Len()), Body: io.NopCloser(&r.body), Close: true,
	}
	return response.Write(w)
}
