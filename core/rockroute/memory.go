package rockroute

import (
	"math"
	"slices"
	"time"

	"sassafrasrock/core/rockmember"
	"sassafrasrock/core/rockretry"
	"sassafrasrock/core/rocktable"
)

const (
	// fullPart is the part of a backend server's memory up to which requests are sent there: an engine that runs out of memory preempts streams.
	fullPart = 0.95
	// fullWindow is the time constant with which a refusal for want of memory is forgotten: about that of the requests that
	// fill it.
	fullWindow = 2 * time.Second
	// answerPart is the mean part of an answer that has been generated while its request runs.
	answerPart = 0.5
	// crowdPart is the least part of the memory that counts as free in the cost, so that the cost stays finite.
	crowdPart = 0.05
	// stageSeconds is the time of a token between two stages in one data centre.
	stageSeconds = 0.0002
	// preferencePart is the part of its cost by which a backend server differs at most between hosts that have heard of no
	// other's load.
	preferencePart = 0.3
	// hopSeconds is the time of a token between two data centres, twice one way.
	hopSeconds = 0.001
)

// memoryOf returns the memory that a request reserves for each layer of its path, in tokens, where engines run a whole path.
// An answer fills its memory as it grows, and most are much shorter than the request allows.
func memoryOf(p *rocktable.Pipeline, r *rocktable.Request) float64 {
	answer := float64(r.MaxTokens)
	if usual := p.Config.Engine.AnswerTokens; usual > 0 {
		answer = min(answer, usual)
	}
	return float64(r.PromptTokens) + answerPart*answer
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

// unknownMemory returns the memory that is taken as reserved beside what this host and its peers are known to have reserved:
// after a refusal all that seemed free, less as the refusal ages, and less if most peers told of their load a moment ago.
func unknownMemory(now time.Time, total, unheard float64, s *rocktable.BackendServer) float64 {
	if s.MemoryRefusalAt.IsZero() {
		return 0
	}
	return unheard * max(0, total-s.MemoryAtRefusal) * math.Exp(-now.Sub(s.MemoryRefusalAt).Seconds()/fullWindow.Seconds())
}

// usedMemory returns the part of a backend server's memory that this host and its peers have reserved.
func usedMemory(now time.Time, p *rocktable.Pipeline, unheard float64, s *rocktable.BackendServer) float64 {
	total := Memory(p.Config, s)
	if total <= 0 {
		return 1
	}
	return min(1, (s.ReservedMemory+s.PeerReservedMemory+unknownMemory(now, total, unheard, s))/total)
}

// hasMemory reports whether a request fits on the layers of a backend server.
func hasMemory(p *rocktable.Pipeline, s *rocktable.BackendServer, r *rocktable.Request) bool {
	total := Memory(p.Config, s)
	layers := float64(s.Status.LastLayer - s.Status.FirstLayer + 1)
	return s.ReservedMemory+s.PeerReservedMemory+memoryOf(p, r)*layers <= fullPart*total
}

// preference returns a number from 0 to 1 that differs between hosts for a backend server. What hosts know of each other's
// reservations is seconds old in large fleets: with equal costs all of them would go to the same backend server until they
// hear of its load.
func preference(host string, s *rocktable.BackendServer) float64 {
	return float64(rockmember.Rendezvous(host, s.Name)) / math.MaxUint64
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
	others := float64(s.InFlight + s.PeerInFlight)
	step := e.StepMs + others*(e.SequenceMs+e.ContextMs*(e.PromptTokens+e.AnswerTokens)/1000)
	work := j.steps * step * kind.Pace / 1000
	if e.ReadPerSecond > 0 {
		work += j.prompt / e.ReadPerSecond * kind.ReadFactor
	}
	works := 1 - min(maxFailures, rockretry.FailuresOf(j.now, s))
	used := usedMemory(j.now, j.pipeline, j.unheard, s)
	crowd := max(crowdPart, 1-used*used)
	c := serverCost{usable: true, noEntry: s.FirstStageInFlight+s.PeerFirstStageInFlight >= s.Status.Slots, perLayer: work / layers / crowd / (works * works)}
	if j.unheard > 0 {
		c.perLayer *= 1 + preferencePart*j.unheard*preference(j.self, s)
	}
	if s.DataCentre != j.home && s.DataCentre != 0 {
		c.enter = j.steps / float64(max(1, e.StepsPerEvent)) * hopSeconds * j.distance(s)
	}
	c.once = j.steps * stageSeconds
	if slices.Contains(j.r.AvoidServers, s.ID) {
		c.once += avoidCost
	}
	return c
}
