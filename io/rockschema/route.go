package rockschema

import (
	"sassafrasrock/core/rocktable"
	v1 "sassafrasrock/schema/gen/sassafrasrock/v1"
)

func routeToProto(c rocktable.RouteConfig) *v1.Route {
	return &v1.Route{
		Name: c.Name, Host: c.Host, Prefix: c.Prefix, Targets: convertAll(c.Targets, targetToProto),
		Streaming: c.Streaming, Repeatable: c.Repeatable, Resumable: c.Resumable, Public: c.Public,
		Attempts: clampInt32(c.Attempts), TimeoutMs: clampInt32(c.TimeoutMs), TargetMs: clampInt32(c.TargetMs),
		GapMs: clampInt32(c.GapMs), Priority: clampInt32(c.Priority),
	}
}

func routeFromProto(m *v1.Route) rocktable.RouteConfig {
	return rocktable.RouteConfig{
		Name: m.GetName(), Host: m.GetHost(), Prefix: m.GetPrefix(), Targets: convertAll(m.GetTargets(), targetFromProto),
		Streaming: m.GetStreaming(), Repeatable: m.GetRepeatable(), Resumable: m.GetResumable(), Public: m.GetPublic(),
		Attempts: int(m.GetAttempts()), TimeoutMs: int(m.GetTimeoutMs()), TargetMs: int(m.GetTargetMs()),
		GapMs: int(m.GetGapMs()), Priority: int(m.GetPriority()),
	}
}

func targetToProto(t rocktable.RouteTarget) *v1.RouteTarget {
	return &v1.RouteTarget{Name: t.Name, Weight: clampInt32(t.Weight)}
}

func targetFromProto(m *v1.RouteTarget) rocktable.RouteTarget {
	return rocktable.RouteTarget{Name: m.GetName(), Weight: int(m.GetWeight())}
}

// engineToProto returns nil for engines that run a single stage of each session. Their settings are
// not published.
func engineToProto(e rocktable.EngineConfig) *v1.Engine {
	if !e.RunsFullPath() {
		return nil
	}
	return &v1.Engine{
		LayerMb: e.LayerMB, TokenBytes: e.TokenBytes, StepMs: e.StepMs, SequenceMs: e.SequenceMs, ContextMs: e.ContextMs,
		ReadPerSecond: e.ReadPerSecond, ActivationMb: e.ActivationMB, PipeMbps: e.LinkMbps,
		StepsPerEvent: clampInt32(e.StepsPerEvent), AnswerTokens: e.AnswerTokens, PromptTokens: e.PromptTokens,
		Kinds: convertAll(e.Kinds, kindToProto),
	}
}

func engineFromProto(m *v1.Engine) rocktable.EngineConfig {
	return rocktable.EngineConfig{
		LayerMB: m.GetLayerMb(), TokenBytes: m.GetTokenBytes(), StepMs: m.GetStepMs(), SequenceMs: m.GetSequenceMs(),
		ContextMs: m.GetContextMs(), ReadPerSecond: m.GetReadPerSecond(), ActivationMB: m.GetActivationMb(),
		LinkMbps: m.GetPipeMbps(), StepsPerEvent: int(m.GetStepsPerEvent()), AnswerTokens: m.GetAnswerTokens(),
		PromptTokens: m.GetPromptTokens(), Kinds: convertAll(m.GetKinds(), kindFromProto),
	}
}

func kindToProto(c rocktable.KindConfig) *v1.Kind {
	return &v1.Kind{Name: c.Name, MemoryMb: c.MemoryMB, Pace: c.Pace, ReadFactor: c.ReadFactor}
}

func kindFromProto(m *v1.Kind) rocktable.KindConfig {
	return rocktable.KindConfig{Name: m.GetName(), MemoryMB: m.GetMemoryMb(), Pace: m.GetPace(), ReadFactor: m.GetReadFactor()}
}

func priorityToProto(p *int) *int32 {
	if p == nil {
		return nil
	}
	n := clampInt32(*p)
	return &n
}

func priorityFromProto(m *v1.Caller) *int {
	if m.Priority == nil {
		return nil
	}
	n := int(m.GetPriority())
	return &n
}
