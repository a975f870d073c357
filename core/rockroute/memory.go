package rockroute

import (
	"math"
	"slices"
	"time"

	"sassafrasrock/core/rockcapacity"
	"sassafrasrock/core/rockmember"
	"sassafrasrock/core/rockretry"
	"sassafrasrock/core/rocktable"
)

const (
	// maxMemoryFraction is the fraction of a backend server's memory up to which requests are sent
	// there. An engine that runs out of memory preempts streams.
	maxMemoryFraction = 0.95
	// refusalDecayTime is the time constant with which the effect of a refusal for lack of memory
	// fades. It is about the length of the requests that fill the memory.
	refusalDecayTime = 2 * time.Second
	// meanAnswerFraction is the mean fraction of an answer that has been generated while its
	// request runs.
	meanAnswerFraction = 0.5
	// minFreeMemoryFraction is the lower limit of the free fraction of the memory in the cost,
	// which keeps the cost finite.
	minFreeMemoryFraction = 0.05
	// stageTransferSeconds is the time to transfer a token between two stages in one data centre.
	stageTransferSeconds = 0.0002
	// maxPreference is the largest fraction by which hosts differ in the cost of a backend server.
	// It applies in full if no peer has reported its load recently, and is multiplied by
	// Gossip.UnreportedFraction otherwise.
	maxPreference = 0.3
	// dataCentreTransferSeconds is the time to transfer a token between two data centres, twice the
	// one-way delay.
	dataCentreTransferSeconds = 0.001
)

// memoryPerLayer returns the memory, in tokens, that a request reserves for each layer of its path
// if engines run a full path. An answer fills its memory as it grows, and most answers are much
// shorter than the request allows.
func memoryPerLayer(p *rocktable.Pipeline, r *rocktable.Request) float64 {
	answer := float64(r.MaxTokens)
	if mean := p.Config.Engine.AnswerTokens; mean > 0 {
		answer = min(answer, mean)
	}
	return float64(r.PromptTokens) + meanAnswerFraction*answer
}

// unreportedMemory returns an estimate of the reserved memory that neither this host nor its peers
// account for. After a refusal it is all memory that seemed free. It falls as the refusal ages, and
// it is smaller if most peers reported their load recently.
func unreportedMemory(now time.Time, total, unreported float64, s *rocktable.BackendServer) float64 {
	if s.MemoryRefusalAt.IsZero() {
		return 0
	}
	return unreported * max(0, total-s.MemoryAtRefusal) * math.Exp(-now.Sub(s.MemoryRefusalAt).Seconds()/refusalDecayTime.Seconds())
}

// usedMemoryFraction returns the fraction of a backend server's memory that this host and its peers
// have reserved.
func usedMemoryFraction(now time.Time, p *rocktable.Pipeline, unreported float64, s *rocktable.BackendServer) float64 {
	total := rockcapacity.RequestMemory(p.Config, s)
	if total <= 0 {
		return 1
	}
	return min(1, (s.ReservedMemory+s.PeerReservedMemory+unreportedMemory(now, total, unreported, s))/total)
}

// hasMemory reports whether a backend server has enough memory for a request that runs on all its
// layers. A request that never ran leaves a part to more urgent ones while capacity is short.
func hasMemory(w *rocktable.World, p *rocktable.Pipeline, s *rocktable.BackendServer, r *rocktable.Request) bool {
	limit := maxMemoryFraction * rockcapacity.RequestMemory(p.Config, s)
	if r.CapacityShare > 0 && !r.MayHaveRun {
		limit *= r.CapacityShare
	}
	layers := float64(s.Status.LastLayer - s.Status.FirstLayer + 1)
	return rockcapacity.HasRoom(w, s, memoryPerLayer(p, r)*layers, limit)
}

// hostPreference returns a number from 0 to 1 for a backend server that differs between hosts. In
// large fleets hosts know each other's reservations only with a delay of seconds. With equal costs
// all hosts would choose the same backend server until its load is reported.
func hostPreference(host string, s *rocktable.BackendServer) float64 {
	return float64(rockmember.RendezvousHash(host, s.Name)) / math.MaxUint64
}

// fullPathCost returns the cost of a stage on an engine that runs full paths. It is computed from
// the times that operators publish for the engines: the time of the request if it runs alone,
// increased with the memory in use, and the transfer to another data centre.
func (m *costModel) fullPathCost(s *rocktable.BackendServer) serverCost {
	e := m.pipeline.Config.Engine
	layers := float64(m.pipeline.Config.Layers)
	kind, ok := e.Kind(s.Kind)
	if !ok {
		kind = rocktable.KindConfig{Pace: 1, ReadFactor: 1}
	}
	others := float64(s.InFlight + s.PeerInFlight)
	step := e.StepMs + others*(e.SequenceMs+e.ContextMs*(e.PromptTokens+e.AnswerTokens)/1000)
	work := m.decodeTokens * step * kind.Pace / 1000
	if e.ReadPerSecond > 0 {
		work += m.prefillTokens / e.ReadPerSecond * kind.ReadFactor
	}
	successFraction := 1 - min(maxFailureFraction, rockretry.FailureFraction(m.now, s))
	used := usedMemoryFraction(m.now, m.pipeline, m.unreportedFraction, s)
	free := max(minFreeMemoryFraction, 1-used*used)
	c := serverCost{usable: true, noFirstStage: s.FirstStageInFlight+s.PeerFirstStageInFlight >= s.Status.Slots, perLayer: work / layers / free / (successFraction * successFraction)}
	if m.unreportedFraction > 0 {
		c.perLayer *= 1 + maxPreference*m.unreportedFraction*hostPreference(m.hostName, s)
	}
	if s.DataCentre != m.dataCentre && s.DataCentre != 0 {
		c.asFirstStage = m.decodeTokens / float64(max(1, e.StepsPerEvent)) * dataCentreTransferSeconds * m.distanceFactor(s)
	}
	c.fixed = m.decodeTokens * stageTransferSeconds
	if slices.Contains(m.r.AvoidServers, s.ID) {
		c.fixed += avoidedServerCost
	}
	return c
}
