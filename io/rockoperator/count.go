package rockoperator

import (
	"net/http"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"sassafrasrock/core/rockreason"
)

// reasonHeader carries the code of a refusal in the response, for the counters and for clients.
const reasonHeader = "Sassafrasrock-Reason"

// refuse returns the error of a refused call with its reason.
func refuse(code connect.Code, reason rockreason.Code, format string, args ...any) error {
	err := connect.NewError(code, eris.Errorf(format, args...))
	err.Meta().Set(reasonHeader, string(reason))
	return err
}

// countingWriter counts invalid requests by the response's status, because Connect refuses what it cannot read before any handler or interceptor runs.
type countingWriter struct {
	http.ResponseWriter
	count func(rockreason.Code)
}

// WriteHeader counts the response and passes it on.
func (w countingWriter) WriteHeader(status int) {
	if code := w.Header().Get(reasonHeader); code != "" {
		w.count(rockreason.Code(code))
	} else if code, ok := reasonOfStatus(status); ok {
		w.count(code)
	}
	w.ResponseWriter.WriteHeader(status)
}

// Flush is used by Connect for gRPC.
func (w countingWriter) Flush() {
	// A writer that cannot be flushed sends at the end of the response.
	_ = http.NewResponseController(w.ResponseWriter).Flush()
}

// reasonOfStatus returns the reason of a status that Connect sends on its own.
func reasonOfStatus(status int) (rockreason.Code, bool) {
	switch status {
	case http.StatusBadRequest:
		return rockreason.BadJSON, true
	case http.StatusTooManyRequests, http.StatusRequestEntityTooLarge:
		// Connect maps a message over the limit to "resource exhausted", which is status 429.
		return rockreason.BodyTooLong, true
	case http.StatusNotFound, http.StatusUnsupportedMediaType, http.StatusMethodNotAllowed:
		return rockreason.UnknownPath, true
	}
	return "", false
}
