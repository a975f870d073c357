package rockhttp

import (
	"cmp"
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v5"

	"sassafrasrock/core/rocklookup"
	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockmemory"
	"sassafrasrock/io/rocktraffic"
)

const (
	// DefaultBodyLimitBytes limits a request body if Server.BodyLimitBytes is 0.
	DefaultBodyLimitBytes = 4 << 20
	// DefaultWriteTimeout limits each write of a part of an answer if Server.WriteTimeout is 0.
	DefaultWriteTimeout = 30 * time.Second
)

// Server serves callers' requests. The function fields must be set and safe for concurrent use.
type Server struct {
	// Snapshot returns the latest snapshot of the control state.
	Snapshot func() *rocktable.Snapshot
	// Chat runs a model request and passes its tokens to emit. It returns after the last call of
	// emit. It ends early if the context ends or emit fails.
	Chat func(ctx context.Context, request rocktraffic.ChatRequest, emit func(rocktraffic.Token) error) (rocktable.Answer, error)
	// Call runs a call to a service.
	Call func(ctx context.Context, request rocktraffic.CallRequest) (rocktable.Answer, error)
	// Status returns a copy of the control state.
	Status func(ctx context.Context) (*rocktable.Status, error)
	// Count counts a refusal that does not reach the control thread.
	Count func(code rockreason.Code)

	BodyLimitBytes int64               // bytes; 0 means DefaultBodyLimitBytes
	Memory         *rockmemory.Account // counts request bodies; nil means no limit
	WriteTimeout   time.Duration       // 0 means DefaultWriteTimeout

	// Closing ends when the host refuses new requests; nil means never.
	Closing context.Context
}

// HTTPServer returns an HTTP server for Handler that limits oversized heads. Connections.Watch limits slow and idle callers.
func (s *Server) HTTPServer() *http.Server {
	return &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: defaultHeadTimeout,
		IdleTimeout:       defaultIdleTimeout,
		MaxHeaderBytes:    largestHeadBytes,
		// net/http answers OPTIONS * with 200 before any handler sees it.
		DisableGeneralOptionsHandler: true,
	}
}

// Handler returns the handler for all paths.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.HTTPErrorHandler = func(c *echo.Context, _ error) { s.refuse(c, rockreason.UnknownPath, "") }
	e.POST("/v1/chat/completions", s.authorized(s.chat))
	e.Any("/v1/services/:service", s.authorized(s.call))
	e.Any("/v1/services/:service/*", s.authorized(s.call))
	e.GET("/v1/outcomes", s.authorized(s.outcomes))
	e.GET("/healthz", s.healthz)
	e.GET("/readyz", s.readyz)
	return e
}

// view is the control state that the handler of a request needs, taken from one snapshot.
type view struct {
	snapshot *rocktable.Snapshot
	caller   rocktable.CallerID
	held     *rockmemory.Holding // bytes of the request and its answer
}

// authorized returns a handler that refuses requests without a valid token, before their body is read.
func (s *Server) authorized(handle func(c *echo.Context, v view)) echo.HandlerFunc {
	return func(c *echo.Context) error {
		snapshot := s.Snapshot()
		caller, code := rocklookup.Caller(snapshot, tokenDigest(c.Request()))
		if code != "" {
			s.refuse(c, code, "")
			return nil
		}
		v := view{snapshot: snapshot, caller: caller}
		v.held = s.Memory.Open(rockmemory.Owner{Kind: rockmemory.Caller, Name: snapshot.CallerConfigs[caller].Name})
		handle(c, v)
		return nil
	}
}

// tokenDigest returns the hexadecimal SHA-256 of the bearer token, or an empty string if there is none.
func tokenDigest(r *http.Request) string {
	scheme, token, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return rocklookup.TokenDigest(strings.TrimSpace(token))
}

// readBody returns the request body. It returns false if the request is too long or invalid, after answering it.
func (s *Server) readBody(c *echo.Context, v view) ([]byte, bool) {
	limits := v.snapshot.Config.RequestLimits
	limits.MaxBodyBytes = cmp.Or(limits.MaxBodyBytes, s.BodyLimitBytes, DefaultBodyLimitBytes)
	body, code, err := ReadBody(c.Response(), c.Request(), limits, v.held, s.Closing)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if code != "" {
		v.held.Close()
		s.refuse(c, code, "")
		DropBody(c.Response(), c.Request())
	}
	return body, code == ""
}

// extendWriteDeadline sets the write deadline for the next part of the answer.
func (s *Server) extendWriteDeadline(c *echo.Context) {
	timeout := s.WriteTimeout
	if timeout == 0 {
		timeout = DefaultWriteTimeout
	}
	_ = http.NewResponseController(c.Response()).SetWriteDeadline(time.Now().Add(timeout))
}
