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
	// maxMessage holds the configuration of 2,700 callers (about 0.5 MiB) several times over.
	maxMessage = 4 << 20
	// maxChangeID is the longest change id, in bytes.
	maxChangeID = 128
	// changeTimeout ends a change that the control thread has not ended, so that a client without a deadline is not held forever.
	changeTimeout     = 30 * time.Second
	readHeaderTimeout = 5 * time.Second
	// readTimeout lets a slow link send maxMessage, and ends a client that sends its body forever.
	readTimeout     = 30 * time.Second
	idleTimeout     = 2 * time.Minute
	shutdownTimeout = 5 * time.Second
)

// Server serves the operators' RPCs and /debug/vars. Every function field must be set and may be called by several goroutines at once.
type Server struct {
	Access   Access
	Snapshot func() *rocktable.Snapshot
	Status   func(ctx context.Context) (*rocktable.Status, error)
	Change   func(ctx context.Context, change rocktable.ConfigChange) (rocktable.ConfigEnd, error)
	Drain    func(rocktable.Drain)
	Reset    func(rocktable.Reset)
	Count    func(rockreason.Code)
	Now      func() time.Time
	NewID    func() string // change ids of the server's own changes
}

// Handler returns the HTTP handler, guarded by the access.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	path, rpc := sassafrasrockv1connect.NewOperatorsHandler(s, connect.WithReadMaxBytes(maxMessage))
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

// Serve serves a listener until the context ends, and then lets running calls finish for a few seconds.
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
		// The log is for changes of state; a port scan would fill it with failed handshakes.
		ErrorLog: log.New(io.Discard, "", 0),
	}
	ended := make(chan error, 1)
	go func() {
		if server.TLSConfig != nil {
			ended <- server.ServeTLS(listener, "", "")
			return
		}
		ended <- server.Serve(listener)
	}()
	select {
	case err := <-ended:
		return eris.Wrap(err, "serve operators")
	case <-ctx.Done():
	}
	limit, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(limit); err != nil {
		return eris.Wrap(errors.Join(err, server.Close()), "stop serving operators")
	}
	return nil
}

// GetConfiguration returns the configuration in force at this host.
func (s *Server) GetConfiguration(context.Context, *connect.Request[v1.GetConfigurationRequest]) (*connect.Response[v1.GetConfigurationResponse], error) {
	snapshot := s.Snapshot()
	return connect.NewResponse(&v1.GetConfigurationResponse{
		Version:       snapshot.ConfigVersion,
		Configuration: rockschema.ConfigurationToProto(snapshot.Config),
	}), nil
}

// PutConfiguration checks a configuration, hands it on, and waits until it is accepted or refused.
func (s *Server) PutConfiguration(ctx context.Context, r *connect.Request[v1.PutConfigurationRequest]) (*connect.Response[v1.PutConfigurationResponse], error) {
	cfg := rockschema.ConfigurationFromProto(r.Msg.GetConfiguration())
	var wrong []*v1.FieldError
	if id := r.Msg.GetChangeId(); id == "" || len(id) > maxChangeID {
		wrong = append(wrong, &v1.FieldError{Field: "changeId", Value: id, Allowed: "1 to 128 bytes"})
	}
	for _, p := range CheckConfiguration(cfg) {
		wrong = append(wrong, &v1.FieldError{Field: p.Field, Value: p.Value, Allowed: p.Allowed})
	}
	if len(wrong) > 0 {
		s.Count(rockreason.ConfigInvalid)
		return connect.NewResponse(&v1.PutConfigurationResponse{
			Version: s.Snapshot().ConfigVersion,
			Reason:  string(rockreason.ConfigInvalid),
			Errors:  wrong,
		}), nil
	}
	end, err := s.change(ctx, rocktable.ConfigChange{
		ChangeID:        r.Msg.GetChangeId(),
		ExpectedVersion: r.Msg.GetExpectedVersion(),
		Configuration:   cfg,
	})
	if err != nil {
		return nil, rpcError(err)
	}
	return connect.NewResponse(&v1.PutConfigurationResponse{
		Accepted: end.Reason == "",
		Version:  end.Version,
		Reason:   string(end.Reason),
	}), nil
}

func (s *Server) change(ctx context.Context, change rocktable.ConfigChange) (rocktable.ConfigEnd, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	return s.Change(ctx, change)
}

// GetStatus returns what this host knows of hosts, backend servers and pipelines.
func (s *Server) GetStatus(ctx context.Context, _ *connect.Request[v1.GetStatusRequest]) (*connect.Response[v1.GetStatusResponse], error) {
	status, err := s.Status(ctx)
	if err != nil {
		return nil, rpcError(err)
	}
	return connect.NewResponse(rockschema.StatusToProto(s.Now(), status)), nil
}

// GetOutcomes returns this host's totals by caller and rank.
func (s *Server) GetOutcomes(ctx context.Context, _ *connect.Request[v1.GetOutcomesRequest]) (*connect.Response[v1.GetOutcomesResponse], error) {
	status, err := s.Status(ctx)
	if err != nil {
		return nil, rpcError(err)
	}
	return connect.NewResponse(rockschema.OutcomesToProto(status)), nil
}

// ResetQuarantine lifts the quarantine of a request content, if this host knows it.
func (s *Server) ResetQuarantine(ctx context.Context, r *connect.Request[v1.ResetQuarantineRequest]) (*connect.Response[v1.ResetQuarantineResponse], error) {
	fingerprint, err := rockschema.ParseFingerprint(r.Msg.GetFingerprint())
	if err != nil {
		return nil, refuse(connect.CodeInvalidArgument, rockreason.BadField,
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

// rpcError maps errors of the control thread to codes of the protocol.
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
