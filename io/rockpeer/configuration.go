package rockpeer

import (
	"sassafrasrock/core/rocktable"
	sassafrasrockv1 "sassafrasrock/schema/gen/sassafrasrock/v1"
)

func configurationToProto(c rocktable.Configuration) *sassafrasrockv1.Configuration {
	return &sassafrasrockv1.Configuration{
		Pipelines: convert(c.Pipelines, pipelineToProto),
		Ranks:     convert(c.Ranks, rankToProto),
		Callers:   convert(c.Callers, callerToProto),
		Services:  convert(c.Services, serviceToProto),
		Drained:   c.Drained,
	}
}

func configurationFromProto(p *sassafrasrockv1.Configuration) rocktable.Configuration {
	return rocktable.Configuration{
		Pipelines: convert(p.Pipelines, pipelineFromProto),
		Ranks:     convert(p.Ranks, rankFromProto),
		Callers:   convert(p.Callers, callerFromProto),
		Services:  convert(p.Services, serviceFromProto),
		Drained:   p.Drained,
	}
}

// isConfiguration reports whether no number is negative, infinite or undefined; operators' changes were validated in full.
func isConfiguration(p *sassafrasrockv1.Configuration) bool {
	for _, c := range p.Pipelines {
		if c.Layers < 0 {
			return false
		}
		for _, placement := range c.Placements {
			if placement.FirstLayer < 0 || placement.LastLayer < 0 {
				return false
			}
		}
	}
	for _, c := range p.Ranks {
		if c.FirstTokenMs < 0 || c.GapMs < 0 || c.MaxQueue < 0 || !isRate(c.Worth) || !isRate(c.Floor) {
			return false
		}
	}
	for _, c := range p.Callers {
		if !isRate(c.Weight) || !isRate(c.TokensPerSecond) || !isRate(c.Burst) {
			return false
		}
	}
	for _, c := range p.Services {
		if c.TimeoutMs < 0 {
			return false
		}
	}
	return true
}

func pipelineToProto(c rocktable.PipelineConfig) *sassafrasrockv1.Pipeline {
	return &sassafrasrockv1.Pipeline{
		Name: c.Name, Model: c.Model, Version: c.Version, Layers: int32(c.Layers),
		Placements: convert(c.Placements, placementToProto),
	}
}

func pipelineFromProto(p *sassafrasrockv1.Pipeline) rocktable.PipelineConfig {
	return rocktable.PipelineConfig{
		Name: p.Name, Model: p.Model, Version: p.Version, Layers: int(p.Layers),
		Placements: convert(p.Placements, placementFromProto),
	}
}

func placementToProto(c rocktable.Placement) *sassafrasrockv1.Placement {
	return &sassafrasrockv1.Placement{
		BackendServer: c.Server, FirstLayer: int32(c.FirstLayer), LastLayer: int32(c.LastLayer), Adapter: c.Adapter,
	}
}

func placementFromProto(p *sassafrasrockv1.Placement) rocktable.Placement {
	return rocktable.Placement{
		Server: p.BackendServer, FirstLayer: int(p.FirstLayer), LastLayer: int(p.LastLayer), Adapter: p.Adapter,
	}
}

func rankToProto(c rocktable.RankConfig) *sassafrasrockv1.Rank {
	return &sassafrasrockv1.Rank{
		Name: c.Name, FirstTokenMs: int32(c.FirstTokenMs), GapMs: int32(c.GapMs),
		Worth: c.Worth, Floor: c.Floor, MaxQueue: int32(c.MaxQueue),
	}
}

func rankFromProto(p *sassafrasrockv1.Rank) rocktable.RankConfig {
	return rocktable.RankConfig{
		Name: p.Name, FirstTokenMs: int(p.FirstTokenMs), GapMs: int(p.GapMs),
		Worth: p.Worth, Floor: p.Floor, MaxQueue: int(p.MaxQueue),
	}
}

func callerToProto(c rocktable.CallerConfig) *sassafrasrockv1.Caller {
	return &sassafrasrockv1.Caller{
		Name: c.Name, TokenSha256: c.TokenSHA256, Weight: c.Weight,
		TokensPerSecond: c.TokensPerSecond, Burst: c.Burst, Ranks: c.Ranks,
	}
}

func callerFromProto(p *sassafrasrockv1.Caller) rocktable.CallerConfig {
	return rocktable.CallerConfig{
		Name: p.Name, TokenSHA256: p.TokenSha256, Weight: p.Weight,
		TokensPerSecond: p.TokensPerSecond, Burst: p.Burst, Ranks: p.Ranks,
	}
}

func serviceToProto(c rocktable.ServiceConfig) *sassafrasrockv1.Service {
	return &sassafrasrockv1.Service{Name: c.Name, BackendServers: c.Servers, Idempotent: c.Idempotent, TimeoutMs: int32(c.TimeoutMs)}
}

func serviceFromProto(p *sassafrasrockv1.Service) rocktable.ServiceConfig {
	return rocktable.ServiceConfig{Name: p.Name, Servers: p.BackendServers, Idempotent: p.Idempotent, TimeoutMs: int(p.TimeoutMs)}
}
