package rockhttp

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v5"

	"sassafrasrock/core/rockpromise"
	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// defaultRetryAfter is sent with refusals that allow a retry if the control thread gives no time.
const defaultRetryAfter = time.Second

// ErrorBody is the answer to a request that was refused or failed.
type ErrorBody struct {
	Error   ErrorDetail        `json:"error"`
	Outcome *rocktable.Outcome `json:"outcome,omitempty"` // only of a model request
}

// ErrorDetail explains a reason to a caller.
type ErrorDetail struct {
	Code         rockreason.Code `json:"code"`
	Title        string          `json:"title"`
	Text         string          `json:"text"`
	Ran          rockreason.Ran  `json:"ran"`
	Retryable    bool            `json:"retry"`
	RetryAfterMs int64           `json:"retryAfterMs,omitempty"`
}

// newError returns the body and the HTTP status for a reason.
func newError(code rockreason.Code, detail string, retryAfter time.Duration) (ErrorBody, int) {
	reason, ok := rockreason.Find(code)
	if !ok || reason.Status == 0 {
		// The reason is internal or unknown. BackendFailed does not claim that the request was not run.
		reason, _ = rockreason.Find(rockreason.BackendFailed)
	}
	if detail != "" {
		reason.Text += " " + detail
	}
	if !reason.Retryable {
		retryAfter = 0
	} else if retryAfter <= 0 {
		retryAfter = defaultRetryAfter
	}
	return ErrorBody{Error: ErrorDetail{
		Code:         reason.Code,
		Title:        reason.Title,
		Text:         reason.Text,
		Ran:          reason.Ran,
		Retryable:    reason.Retryable,
		RetryAfterMs: retryAfter.Milliseconds(),
	}}, rockpromise.Status(rockpromise.AtMostOnce, reason.Ran, reason.Status)
}

// refuse counts a refusal by the front end and answers with it.
func (s *Server) refuse(c *echo.Context, code rockreason.Code, detail string) {
	s.Count(code)
	body, status := newError(code, detail, 0)
	s.writeError(c, status, body)
}

// fail answers with the reason of the control thread, which has already counted it.
func (s *Server) fail(c *echo.Context, answer rocktable.Answer, outcome *rocktable.Outcome) {
	body, status := newError(answer.Reason, "", answer.RetryAfter)
	body.Outcome = outcome
	s.writeError(c, status, body)
}

// RefuseHead refuses a request before the end of its head.
func (s *Server) RefuseHead(w http.ResponseWriter, code rockreason.Code) {
	s.Count(code)
	body, status := newError(code, "", 0)
	setErrorHeader(w.Header(), status, body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // a failed write means that the caller left
}

func (s *Server) writeError(c *echo.Context, status int, body ErrorBody) {
	setErrorHeader(c.Response().Header(), status, body)
	s.writeJSON(c, status, body)
}

func setErrorHeader(header http.Header, status int, body ErrorBody) {
	if status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	if ms := body.Error.RetryAfterMs; ms > 0 {
		header.Set("Retry-After", strconv.FormatInt((ms+999)/1000, 10))
	}
}

// writeJSON answers with a JSON body. It ignores a failed write, which means that the caller left.
func (s *Server) writeJSON(c *echo.Context, status int, body any) {
	s.extendWriteDeadline(c)
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // all bodies consist of plain fields
	}
	c.Response().Header().Set("Content-Length", strconv.Itoa(len(data)))
	_ = c.JSONBlob(status, data)
}
