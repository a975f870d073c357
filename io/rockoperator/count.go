package rockoperator

import (
	"net/http"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"sassafrasrock/core/rockreason"
)

// reasonHeader is the response header with the reason code of a rejected call. countingWriter and
// clients read it.
const reasonHeader = "Sassafrasrock-Reason"

// rejection returns the error of a rejected call, with the reason code in its metadata.
func rejection(code connect.Code, reason rockreason.Code, format string, args ...any) error {
	err := connect.NewError(code, eris.Errorf(format, args...))
	err.Meta().Set(reasonHeader, string(reason))
	return err
}

// countingWriter counts rejected requests by the reason header or, without one, by the status of the
// response. The status is needed because Connect rejects a request that it cannot decode before any
// handler or interceptor runs.
type countingWriter struct {
	http.ResponseWriter
	count func(rockreason.Code)
}

// WriteHeader counts a rejected request and writes the header.
func (w countingWriter) WriteHeader(status int) {
	if code := w.Header().Get(reasonHeader); code != "" {
		w.count(rockreason.Code(code))
	} else if code, ok := reasonOfStatus(status); ok {
		w.count(code)
	}
	w.ResponseWriter.WriteHeader(status)
}

// Flush sends buffered data; Connect requires it for gRPC.
func (w countingWriter) Flush() {
	// The error is ignored: a writer without Flush sends its data at the end of the response.
	_ = http.NewResponseController(w.ResponseWriter).Flush()
}

// reasonOfStatus returns the reason code for a status with which Connect rejects a request itself.
func reasonOfStatus(status int) (rockreason.Code, bool) {
	switch status {
	case http.StatusBadRequest:
		return rockreason.BadJSON, true
	case http.StatusTooManyRequests, http.StatusRequestEntityTooLarge:
		// For a message over the limit Connect returns "resource exhausted", which maps to status 429.
		return rockreason.BodyTooLong, true
	case http.StatusNotFound, http.StatusUnsupportedMediaType, http.StatusMethodNotAllowed:
		return rockreason.UnknownPath, true
	}
	return "", false
}
