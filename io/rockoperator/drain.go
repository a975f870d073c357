package rockoperator

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
	v1 "sassafrasrock/schema/gen/sassafrasrock/v1"
)

const (
	// maxDrainAttempts bounds the writes of the drained list that conflict with other operators' changes.
	// With their pauses the attempts take about 6 s, which is longer than the 5 s between two reads of
	// the configuration row by a host.
	maxDrainAttempts = 10
	// drainRetryInterval is the pause after the first conflict. It doubles after each further one, up to 1 s.
	drainRetryInterval = 50 * time.Millisecond
)

// DrainBackendServer starts or lifts the drain of a backend server. A drained server gets no new work.
// The change takes effect on this host at once and is then recorded in the configuration.
func (s *Server) DrainBackendServer(ctx context.Context, r *connect.Request[v1.DrainBackendServerRequest]) (*connect.Response[v1.DrainBackendServerResponse], error) {
	name, lift := r.Msg.GetName(), r.Msg.GetLift()
	status, err := s.Status(ctx)
	if err != nil {
		return nil, rpcError(err)
	}
	isListed := slices.ContainsFunc(status.Servers, func(row rocktable.BackendServer) bool { return row.Name == name })
	// A backend server that no longer exists may still be in the drained list. It must be possible to
	// remove it.
	if !isListed && !slices.Contains(status.Config.Drained, name) {
		return nil, rejection(connect.CodeNotFound, rockreason.BadField, "no backend server has the name %q", name)
	}
	s.Drain(rocktable.Drain{Server: name, Lift: lift})
	return connect.NewResponse(s.recordDrain(ctx, name, lift)), nil
}

// recordDrain writes the drained list to the configuration by compare-and-set, and retries after a
// conflict. The drain is in effect on this host even if recording it fails.
func (s *Server) recordDrain(ctx context.Context, name string, lift bool) *v1.DrainBackendServerResponse {
	response, err := backoff.Retry(ctx, func() (*v1.DrainBackendServerResponse, error) {
		return s.tryRecordDrain(ctx, name, lift)
	}, backoff.WithMaxTries(maxDrainAttempts), backoff.WithBackOff(&backoff.ExponentialBackOff{
		InitialInterval:     drainRetryInterval,
		RandomizationFactor: backoff.DefaultRandomizationFactor,
		Multiplier:          2,
		MaxInterval:         time.Second,
	}))
	if err != nil {
		return &v1.DrainBackendServerResponse{Version: s.Snapshot().ConfigVersion}
	}
	return response
}

var errDrainConflict = eris.New("another configuration change was accepted first")

func (s *Server) tryRecordDrain(ctx context.Context, name string, lift bool) (*v1.DrainBackendServerResponse, error) {
	snapshot := s.Snapshot()
	version := snapshot.ConfigVersion
	if version == 0 {
		return nil, backoff.Permanent(eris.New("no configuration to record the drain in"))
	}
	if slices.Contains(snapshot.Config.Drained, name) != lift {
		return &v1.DrainBackendServerResponse{Recorded: true, Version: version}, nil
	}
	cfg := snapshot.Config
	cfg.Drained = withDrainChange(cfg.Drained, name, lift)
	result, err := s.change(ctx, rocktable.ConfigChange{
		ChangeID:        "drain-" + s.NewChangeID(),
		ExpectedVersion: version,
		Configuration:   cfg,
	})
	switch {
	case err != nil:
		return nil, backoff.Permanent(err)
	case result.Reason == "":
		return &v1.DrainBackendServerResponse{Recorded: true, Version: result.Version}, nil
	case result.Reason == rockreason.ConfigConflict:
		return nil, errDrainConflict
	}
	return nil, backoff.Permanent(eris.Errorf("change rejected: %s", result.Reason))
}

// withDrainChange returns a copy of the drained list with the name added or removed. It does not change
// the list in place, because the snapshot shares it.
func withDrainChange(drained []string, name string, lift bool) []string {
	changed := slices.DeleteFunc(slices.Clone(drained), func(n string) bool { return n == name })
	if !lift {
		changed = append(changed, name)
		slices.Sort(changed)
	}
	return changed
}
