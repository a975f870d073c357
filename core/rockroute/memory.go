package rockroute

import (
	"slices"

	"sassafrasrock/core/rockretry"
	"sassafrasrock/core/rocktable"
)

const (
	// fullPart is the part of a backend server's memory up to which requests are sent there: an engine that runs out of memory preempts streams.
	fullPart = 0.95
	// answerPart is the mean part of an answer that has been generated while its request runs.
	answerPart = 0.5
	// crowdPart is the least part of the memory that counts as free in the cost, so that the cost stays finite.
	crowdPart = 0.05
	// stageSeconds is the time of a token between two stages in one data centre.
	stageSeconds = 0.0002
	// hopSeconds is the time of a token between two data centres, twice one way.
	hopSeconds = 0.001
)

// memoryOf returns the memory that a request reserves for each layer of its path, in tokens; 0 where engines manage it. An
// answer fills its memory as it grows, and most are much shorter than the request allows.
func memoryOf(p *rocktable.Pipeline, r *rocktable.Request) float64 {
	if p == nil || !p.Config.Engine.IsWholePath() {
		return 0
	}
	answer := float64(r.MaxTokens)
	if usual := p.Config.Engine.AnswerTokens; usual > 0 {
		answer = min(answer, usual)
	}
	return float64(r.Prompt) + answerPart*answer
}

// Memory returns the memory that a backend server has for requests with the layers it holds, in tokens x layers.
func Memory(cfg rocktable.PipelineConfig, s *rocktable.BackendServer) float64 {
	kind, ok := cfg.Engine.Kind(s.Kind)
	if !ok || cfg.Engine.TokenBytes <= 0 {
		return 0
	}
	layers := s.Status.LastLayer - s.Status.FirstLayer + 1
	free := kind.MemoryMB - float64(layers)*cfg.Engine.LayerMB
	return max(0, free) * 1e6 / cfg.Engine.TokenBytes * float64(cfg.Layers)
}

// usedMemory returns the part of a backend server's memory that this host and its peers have reserved.
func usedMemory(p *rocktable.Pipeline, s *rocktable.BackendServer) float64 {
	total := Memory(p.Config, s)
	if total <= 0 {
		return 1
	}
	return (s.Reserved + s.PeerMemory) / total
}

// hasMemory reports whether a request fits on the layers of a backend server.
func hasMemory(p *rocktable.Pipeline, s *rocktable.BackendServer, r *rocktable.Request) bool {
	total := Memory(p.Config, s)
	layers := float64(s.Status.LastLayer - s.Status.FirstLayer + 1)
	return s.Reserved+s.PeerMemory+memoryOf(p, r)*layers <= fullPart*total
}

// wholePathCost returns the cost of a stage by the times that the operators publish of the engines: the work of a request
// alone, more with the memory in use, and the way to another data centre.
func (j *job) wholePathCost(s *rocktable.BackendServer) serverCost {
	e := j.pipeline.Config.Engine
	layers := float64(j.pipeline.Config.Layers)
	kind, ok := e.Kind(s.Kind)
	if !ok {
		kind = rocktable.KindConfig{Pace: 1, ReadFactor: 1}
	}
	others := float64(s.InFlight + s.PeerFlight)
	step := e.StepMs + others*(e.SequenceMs+e.ContextMs*(e.PromptTokens+e.AnswerTokens)/1000)
	work := j.steps * step * kind.Pace / 1000
	if e.ReadPerSecond > 0 {
		work += j.prompt / e.ReadPerSecond * kind.ReadFactor
	}
	works := 1 - min(maxFailures, rockretry.FailuresOf(j.now, s))
	used := usedMemory(j.pipeline, s)
	crowd := max(crowdPart, 1-used*used)
	c := serverCost{usable: true, noEntry: s.Entered+s.PeerEnter >= s.Status.Slots, perLayer: work / layers / crowd / (works * works)}
	if s.DataCentre != j.home && s.DataCentre != 0 {
		c.enter = j.steps / float64(max(1, e.StepsPerEvent)) * hopSeconds * j.distance(s)
	}
	c.once = j.steps * stageSeconds
	if slices.Contains(j.r.Avoid, s.ID) {
		c.once += avoidCost
	}
	return c
}
