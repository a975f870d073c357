package rockschema

import (
	"math"

	"sassafrasrock/core/rocktable"
	v1 "sassafrasrock/schema/gen/sassafrasrock/v1"
)

// ConfigurationToProto converts a configuration to its message. Integers outside the range of a field
// are clamped to it.
func ConfigurationToProto(cfg rocktable.Configuration) *v1.Configuration {
	return &v1.Configuration{
		Pipelines: convertAll(cfg.Pipelines, pipelineToProto),
		Ranks:     convertAll(cfg.Ranks, rankToProto),
		Callers:   convertAll(cfg.Callers, callerToProto),
		Services:  convertAll(cfg.Services, serviceToProto),
		Drained:   cfg.Drained,
		Routes:    convertAll(cfg.Routes, routeToProto),

		RequestLimits: requestLimitsToProto(cfg.RequestLimits),
	}
}

// ConfigurationFromProto converts a message to a configuration without validating it. A nil message
// gives an empty configuration.
func ConfigurationFromProto(m *v1.Configuration) rocktable.Configuration {
	return rocktable.Configuration{
		Pipelines: convertAll(m.GetPipelines(), pipelineFromProto),
		Ranks:     convertAll(m.GetRanks(), rankFromProto),
		Callers:   convertAll(m.GetCallers(), callerFromProto),
		Services:  convertAll(m.GetServices(), serviceFromProto),
		Drained:   m.GetDrained(),
		Routes:    convertAll(m.GetRoutes(), routeFromProto),

		RequestLimits: requestLimitsFromProto(m.GetRequestLimits()),
	}
}

// requestLimitsToProto returns nil for limits that are all the front end's own.
func requestLimitsToProto(l rocktable.RequestLimits) *v1.RequestLimits {
	if l == (rocktable.RequestLimits{}) {
		return nil
	}
	return &v1.RequestLimits{
		MaxHeadBytes:  l.MaxHeadBytes,
		MaxBodyBytes:  l.MaxBodyBytes,
		HeadTimeoutMs: clampInt32(l.HeadTimeoutMs),
		IdleTimeoutMs: clampInt32(l.IdleTimeoutMs),
	}
}

func requestLimitsFromProto(m *v1.RequestLimits) rocktable.RequestLimits {
	return rocktable.RequestLimits{
		MaxHeadBytes:  m.GetMaxHeadBytes(),
		MaxBodyBytes:  m.GetMaxBodyBytes(),
		HeadTimeoutMs: int(m.GetHeadTimeoutMs()),
		IdleTimeoutMs: int(m.GetIdleTimeoutMs()),
	}
}

func pipelineToProto(c rocktable.PipelineConfig) *v1.Pipeline {
	return &v1.Pipeline{
		Name:       c.Name,
		Model:      c.Model,
		Version:    c.Version,
		Layers:     clampInt32(c.Layers),
		Placements: convertAll(c.Placements, placementToProto),
		Engine:     engineToProto(c.Engine),
	}
}

func pipelineFromProto(m *v1.Pipeline) rocktable.PipelineConfig {
	return rocktable.PipelineConfig{
		Name:       m.GetName(),
		Model:      m.GetModel(),
		Version:    m.GetVersion(),
		Layers:     int(m.GetLayers()),
		Placements: convertAll(m.GetPlacements(), placementFromProto),
		Engine:     engineFromProto(m.GetEngine()),
	}
}

func placementToProto(p rocktable.Placement) *v1.Placement {
	return &v1.Placement{
		BackendServer: p.Server,
		FirstLayer:    clampInt32(p.FirstLayer),
		LastLayer:     clampInt32(p.LastLayer),
		Adapter:       p.Adapter,
	}
}

func placementFromProto(m *v1.Placement) rocktable.Placement {
	return rocktable.Placement{
		Server:     m.GetBackendServer(),
		FirstLayer: int(m.GetFirstLayer()),
		LastLayer:  int(m.GetLastLayer()),
		Adapter:    m.GetAdapter(),
	}
}

func rankToProto(c rocktable.RankConfig) *v1.Rank {
	return &v1.Rank{
		Name:         c.Name,
		FirstTokenMs: clampInt32(c.FirstTokenMs),
		GapMs:        clampInt32(c.GapMs),
		Worth:        c.Worth,
		Floor:        c.Floor,
		MaxQueue:     clampInt32(c.MaxQueue),
	}
}

func rankFromProto(m *v1.Rank) rocktable.RankConfig {
	return rocktable.RankConfig{
		Name:         m.GetName(),
		FirstTokenMs: int(m.GetFirstTokenMs()),
		GapMs:        int(m.GetGapMs()),
		Worth:        m.GetWorth(),
		Floor:        m.GetFloor(),
		MaxQueue:     int(m.GetMaxQueue()),
	}
}

func callerToProto(c rocktable.CallerConfig) *v1.Caller {
	return &v1.Caller{
		Name:            c.Name,
		TokenSha256:     c.TokenSHA256,
		Weight:          c.Weight,
		TokensPerSecond: c.TokensPerSecond,
		Burst:           c.Burst,
		Ranks:           c.Ranks,
		MoreSha256:      c.MoreSHA256,
		Priority:        priorityToProto(c.Priority),
	}
}

func callerFromProto(m *v1.Caller) rocktable.CallerConfig {
	return rocktable.CallerConfig{
		Name:            m.GetName(),
		TokenSHA256:     m.GetTokenSha256(),
		Weight:          m.GetWeight(),
		TokensPerSecond: m.GetTokensPerSecond(),
		Burst:           m.GetBurst(),
		Ranks:           m.GetRanks(),
		MoreSHA256:      m.GetMoreSha256(),
		Priority:        priorityFromProto(m),
	}
}

func serviceToProto(c rocktable.ServiceConfig) *v1.Service {
	return &v1.Service{
		Name:           c.Name,
		BackendServers: c.Servers,
		Idempotent:     c.Idempotent,
		TimeoutMs:      clampInt32(c.TimeoutMs),
		Listed:         c.Listed,
	}
}

func serviceFromProto(m *v1.Service) rocktable.ServiceConfig {
	return rocktable.ServiceConfig{
		Name:       m.GetName(),
		Servers:    m.GetBackendServers(),
		Idempotent: m.GetIdempotent(),
		TimeoutMs:  int(m.GetTimeoutMs()),
		Listed:     m.GetListed(),
	}
}

// convertAll converts every element of a slice. An empty slice becomes nil, because the two are the
// same in protobuf and a round trip must compare equal.
func convertAll[A, B any](in []A, convert func(A) B) []B {
	if len(in) == 0 {
		return nil
	}
	out := make([]B, len(in))
	for i, v := range in {
		out[i] = convert(v)
	}
	return out
}

func clampInt32(n int) int32 {
	return int32(min(max(n, math.MinInt32), math.MaxInt32))
}

func clampUint32(n int) uint32 {
	return uint32(min(max(n, 0), math.MaxUint32))
}
