package rockoperator

import (
	"context"
	"errors"
	"expvar"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockschema"
	v1 "sassafrasrock/schema/gen/sassafrasrock/v1"
	"sassafrasrock/schema/gen/sassafrasrock/v1/sassafrasrockv1connect"
)

const (
	// maxMessageBytes is several times the size of a configuration with 2,700 callers (about 0.5 MiB).
	maxMessageBytes  = 4 << 20
	maxChangeIDBytes = 128
	// changeTimeout bounds the wait for the control thread to accept or reject a change. Without it, a
	// client without a deadline could wait forever.
	changeTimeout     = 30 * time.Second
	readHeaderTimeout = 5 * time.Second
	// readTimeout is long enough to receive maxMessageBytes over a slow link, and ends requests whose
	// body does not end.
	readTimeout     = 30 * time.Second
	idleTimeout     = 2 * time.Minute
	shutdownTimeout = 5 * time.Second
)

// Server serves the operators' RPCs and /debug/vars. Every function field must be set and safe for
// concurrent use.
type Server struct {
	Access      Access
	Snapshot    func() *rocktable.Snapshot
	Status      func(ctx context.Context) (*rocktable.Status, error)
	Change      func(ctx context.Context, change rocktable.ConfigChange) (rocktable.ConfigEnd, error)
	Drain       func(rocktable.Drain)
	Reset       func(rocktable.Reset)
	Count       func(rockreason.Code)
	Now         func() time.Time
	NewChangeID func() string // returns the ID of a change that the server makes itself
}

// Handler returns the HTTP handler, which serves only requests that Access allows.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	path, rpc := sassafrasrockv1connect.NewOperatorsHandler(s, connect.WithReadMaxBytes(maxMessageBytes))
	mux.Handle(path, rpc)
	mux.Handle("GET /debug/vars", expvar.Handler())
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.Access.allows(r) {
			s.Count(rockreason.Unauthorized)
			http.Error(w, "unauthorized", http.StatusUnauthorized)
			return
		}
		mux.ServeHTTP(countingWriter{ResponseWriter: w, count: s.Count}, r)
	})
}

// Serve serves a listener until the context ends. It then waits up to shutdownTimeout for running calls.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	if err := s.Access.Check(listener.Addr().String()); err != nil {
		return errors.Join(err, listener.Close())
	}
	server := &http.Server{
		Handler:           s.Handler(),
		TLSConfig:         s.Access.TLSConfig(),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		// Errors of connections are not logged: a port scan would fill the log with failed handshakes.
		ErrorLog: log.New(io.Discard, "", 0),
	}
	served := make(chan error, 1)
	go func() {
		if server.TLSConfig != nil {
			served <- server.ServeTLS(listener, "", "")
			return
		}
		served <- server.Serve(listener)
	}()
	select {
	case err := <-served:
		return eris.Wrap(err, "serving operators")
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(shutdownCtx); err != nil {
		return eris.Wrap(errors.Join(err, server.Close()), "shutting down the operators' server")
	}
	return nil
}

// GetConfiguration returns the active configuration of this host.
func (s *Server) GetConfiguration(context.Context, *connect.Request[v1.GetConfigurationRequest]) (*connect.Response[v1.GetConfigurationResponse], error) {
	snapshot := s.Snapshot()
	return connect.NewResponse(&v1.GetConfigurationResponse{
		Version:       snapshot.ConfigVersion,
		Configuration: rockschema.ConfigurationToProto(snapshot.Config),
	}), nil
}

// PutConfiguration validates a configuration, submits it to the control thread and waits until it is
// accepted or rejected.
func (s *Server) PutConfiguration(ctx context.Context, r *connect.Request[v1.PutConfigurationRequest]) (*connect.Response[v1.PutConfigurationResponse], error) {
	cfg := rockschema.ConfigurationFromProto(r.Msg.GetConfiguration())
	var fieldErrors []*v1.FieldError
	if id := r.Msg.GetChangeId(); id == "" || len(id) > maxChangeIDBytes {
		fieldErrors = append(fieldErrors, &v1.FieldError{Field: "changeId", Value: id, Allowed: "1 to 128 bytes"})
	}
	for _, p := range CheckConfiguration(cfg) {
		fieldErrors = append(fieldErrors, &v1.FieldError{Field: p.Field, Value: p.Value, Allowed: p.Allowed})
	}
	if len(fieldErrors) > 0 {
		s.Count(rockreason.ConfigInvalid)
		return connect.NewResponse(&v1.PutConfigurationResponse{
			Version: s.Snapshot().ConfigVersion,
			Reason:  string(rockreason.ConfigInvalid),
			Errors:  fieldErrors,
		}), nil
	}
	result, err := s.change(ctx, rocktable.ConfigChange{
		ChangeID:        r.Msg.GetChangeId(),
		ExpectedVersion: r.Msg.GetExpectedVersion(),
		Configuration:   cfg,
	})
	if err != nil {
		return nil, rpcError(err)
	}
	return connect.NewResponse(&v1.PutConfigurationResponse{
		Accepted: result.Reason == "",
		Version:  result.Version,
		Reason:   string(result.Reason),
	}), nil
}

func (s *Server) change(ctx context.Context, change rocktable.ConfigChange) (rocktable.ConfigEnd, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	return s.Change(ctx, change)
}

// GetStatus returns this host's view of hosts, backend servers and pipelines.
func (s *Server) GetStatus(ctx context.Context, _ *connect.Request[v1.GetStatusRequest]) (*connect.Response[v1.GetStatusResponse], error) {
	status, err := s.Status(ctx)
	if err != nil {
		return nil, rpcError(err)
	}
	return connect.NewResponse(rockschema.StatusToProto(s.Now(), status)), nil
}

// GetOutcomes returns the totals of this host's requests by caller and rank.
func (s *Server) GetOutcomes(ctx context.Context, _ *connect.Request[v1.GetOutcomesRequest]) (*connect.Response[v1.GetOutcomesResponse], error) {
	status, err := s.Status(ctx)
	if err != nil {
		return nil, rpcError(err)
	}
	return connect.NewResponse(rockschema.OutcomesToProto(status)), nil
}

// ResetQuarantine lifts the quarantine of a request fingerprint, if it is a suspect on this host.
func (s *Server) ResetQuarantine(ctx context.Context, r *connect.Request[v1.ResetQuarantineRequest]) (*connect.Response[v1.ResetQuarantineResponse], error) {
	fingerprint, err := rockschema.ParseFingerprint(r.Msg.GetFingerprint())
	if err != nil {
		return nil, rejection(connect.CodeInvalidArgument, rockreason.BadField,
			"fingerprint: %q is not allowed; allowed: 1 to 16 hexadecimal digits", r.Msg.GetFingerprint())
	}
	status, err := s.Status(ctx)
	if err != nil {
		return nil, rpcError(err)
	}
	found := false
	for _, row := range status.Suspects {
		found = found || row.Fingerprint == fingerprint
	}
	if found {
		s.Reset(rocktable.Reset{Fingerprint: fingerprint})
	}
	return connect.NewResponse(&v1.ResetQuarantineResponse{Found: found}), nil
}

// rpcError converts an error of the control thread to an error with a Connect code.
func rpcError(err error) error {
	code := connect.CodeUnavailable
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		code = connect.CodeDeadlineExceeded
	case errors.Is(err, context.Canceled):
		code = connect.CodeCanceled
	}
	return connect.NewError(code, err)
}
