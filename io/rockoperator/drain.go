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
	// drainTries bounds the writes of the drained list when other operators' changes come first. With the pauses between
	// them they last about 6 s, longer than the 5 s between a host's reads of the configuration row.
	drainTries = 10
	// drainRetryAfter is the first pause after a conflict.
	drainRetryAfter = 50 * time.Millisecond
)

// DrainBackendServer stops new work to a backend server at once, or lifts that, and records it in the configuration.
func (s *Server) DrainBackendServer(ctx context.Context, r *connect.Request[v1.DrainBackendServerRequest]) (*connect.Response[v1.DrainBackendServerResponse], error) {
	name, lift := r.Msg.GetName(), r.Msg.GetLift()
	status, err := s.Status(ctx)
	if err != nil {
		return nil, rpcError(err)
	}
	isListed := slices.ContainsFunc(status.Servers, func(row rocktable.BackendServer) bool { return row.Name == name })
	// A server that is gone may still be in the drained list, and must be removable from it.
	if !isListed && !slices.Contains(status.Config.Drained, name) {
		return nil, refuse(connect.CodeNotFound, rockreason.BadField, "no backend server has the name %q", name)
	}
	s.Drain(rocktable.Drain{Server: name, Lift: lift})
	return connect.NewResponse(s.recordDrain(ctx, name, lift)), nil
}

// recordDrain writes the drained list by compare-and-set; the drain itself is in force whether or not that succeeds.
func (s *Server) recordDrain(ctx context.Context, name string, lift bool) *v1.DrainBackendServerResponse {
	response, err := backoff.Retry(ctx, func() (*v1.DrainBackendServerResponse, error) {
		return s.tryRecordDrain(ctx, name, lift)
	}, backoff.WithMaxTries(drainTries), backoff.WithBackOff(&backoff.ExponentialBackOff{
		InitialInterval:     drainRetryAfter,
		RandomizationFactor: backoff.DefaultRandomizationFactor,
		Multiplier:          2,
		MaxInterval:         time.Second,
	}))
	if err != nil {
		return &v1.DrainBackendServerResponse{Version: s.Snapshot().ConfigVersion}
	}
	return response
}

var errDrainConflict = eris.New("another change was accepted first")

func (s *Server) tryRecordDrain(ctx context.Context, name string, lift bool) (*v1.DrainBackendServerResponse, error) {
	snapshot := s.Snapshot()
	version := snapshot.ConfigVersion
	if version == 0 {
		// There is no configuration to record it in.
		return nil, backoff.Permanent(eris.New("no configuration is in force"))
	}
	if slices.Contains(snapshot.Config.Drained, name) != lift {
		return &v1.DrainBackendServerResponse{Recorded: true, Version: version}, nil
	}
	cfg := snapshot.Config
	cfg.Drained = changeDrained(cfg.Drained, name, lift)
	end, err := s.change(ctx, rocktable.ConfigChange{
		ChangeID:        "drain-" + s.NewID(),
		ExpectedVersion: version,
		Configuration:   cfg,
	})
	switch {
	case err != nil:
		return nil, backoff.Permanent(err)
	case end.Reason == "":
		return &v1.DrainBackendServerResponse{Recorded: true, Version: end.Version}, nil
	case end.Reason == rockreason.ConfigConflict:
		return nil, errDrainConflict
	}
	return nil, backoff.Permanent(eris.Errorf("refused: %s", end.Reason))
}

// changeDrained returns a changed copy: the list in the snapshot is shared.
func changeDrained(drained []string, name string, lift bool) []string {
	changed := slices.DeleteFunc(slices.Clone(drained), func(n string) bool { return n == name })
	if !lift {
		changed = append(changed, name)
		slices.Sort(changed)
	}
	return changed
}
