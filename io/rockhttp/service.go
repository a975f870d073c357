package rockhttp

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/labstack/echo/v5"

	"sassafrasrock/core/rocklookup"
	"sassafrasrock/core/rockpromise"
	"sassafrasrock/core/rockreason"
	"sassafrasrock/io/rocktarget"
	"sassafrasrock/io/rocktraffic"
)

const (
	servicePrefix = "/v1/services/"
	maxKeyBytes   = 255 // of an idempotency key
)

// call answers /v1/services/{service}/*.
func (s *Server) call(c *echo.Context, v view) {
	goesOn := false
	defer func() {
		if !goesOn {
			v.held.Close()
		}
	}()
	goesOn = s.runCall(c, v)
}

// runCall runs and answers a call. It reports whether the call goes on because its caller left; Server.Call then closes
// the holding.
func (s *Server) runCall(c *echo.Context, v view) (goesOn bool) {
	r := c.Request()
	key := r.Header.Get("Idempotency-Key")
	if !isKeyValid(key) {
		s.refuse(c, rockreason.BadField, badField("Idempotency-Key", "the value", "up to 255 printable ASCII characters").detail)
		return false
	}
	path, query, err := rocktarget.Split(r)
	if err != nil {
		s.refuse(c, rockreason.BadTarget, "")
		return
	}
	service, path := splitPath(path)
	target, code := rocklookup.Service(v.snapshot, service, isReadOnly(r.Method), key)
	if code != "" {
		s.refuse(c, code, nameDetail("service", service))
		return false
	}
	body, ok := s.readBody(c, v)
	if !ok {
		return false
	}
	answer, err := s.Call(r.Context(), rocktraffic.CallRequest{
		Caller:         v.caller,
		Service:        target.Service,
		Idempotent:     target.Idempotent,
		IdempotencyKey: key,
		Method:         r.Method,
		Path:           path + query,
		ContentType:    r.Header.Get("Content-Type"),
		Body:           body,
		Held:           v.held,
	})
	answer, callerLeft := s.finalAnswer(r.Context(), answer, err)
	if callerLeft {
		return err != nil
	}
	row := answer.Recorded
	if answer.Reason == "" && (row == nil || row.Status < 200 || row.Status > 599) {
		// net/http panics on an invalid status code. It is unknown whether the call succeeded.
		answer.Reason = rockreason.OutcomeUnknown
		s.Count(answer.Reason)
	}
	if answer.Reason == "" && !rockpromise.MaySend(rockpromise.KindOf(target.Idempotent), rockreason.DidRun, row.Status) {
		// The service has no way to say that it did not run the call.
		answer.Reason = rockreason.OutcomeUnknown
		s.Count(answer.Reason)
	}
	if answer.Reason != "" {
		s.fail(c, answer, nil)
		return false
	}
	s.extendWriteDeadline(c)
	_ = c.Blob(row.Status, row.ContentType, row.Body) // a failed write means that the caller left
	return false
}

// isReadOnly reports whether a method only reads, in which case the call may be retried.
func isReadOnly(method string) bool {
	return method == http.MethodGet || method == http.MethodHead
}

// isKeyValid reports whether an idempotency key can be part of a header and of a row's key. An empty key is valid.
func isKeyValid(key string) bool {
	isUnprintable := func(r rune) bool { return r < ' ' || r > '~' }
	return len(key) <= maxKeyBytes && !strings.ContainsFunc(key, isUnprintable)
}

// splitPath returns the service named in a path and the rest of the path, both as sent but for the escapes of the service.
func splitPath(path string) (service, rest string) {
	segment, rest, _ := strings.Cut(strings.TrimPrefix(path, servicePrefix), "/")
	service, err := url.PathUnescape(segment)
	if err != nil {
		return "", "/"
	}
	return service, "/" + rest
}
