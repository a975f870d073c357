package rockroute

import (
	"math"
	"slices"
	"time"

	"sassafrasrock/core/rockretry"
	"sassafrasrock/core/rocktable"
)

const (
	// prefillTokensPerStep is the number of prompt tokens that an engine processes in the time of
	// one generated token. It is large because a prompt is processed as one batch.
	prefillTokensPerStep = 8
	// defaultSlotTokensPerSecond is the speed of one slot of an engine that reports none.
	defaultSlotTokensPerSecond = 10
	// maxReportAge is the age from which a status report is ignored in the estimate of the load.
	maxReportAge = 5 * time.Second
	// reportLag is the usual age of a status report when it arrives. reportDecayTime is the time
	// constant with which a report loses its weight, about the length of a request.
	reportLag       = 500 * time.Millisecond
	reportDecayTime = time.Second
	// idleStepFraction is the length of a step of an idle engine as a fraction of that of a full
	// one.
	idleStepFraction = 0.5
	// otherDataCentreFactor and otherRegionFactor multiply the cost outside this host's data
	// centre. Work leaves the data centre only if it is much slower there.
	otherDataCentreFactor = 1.25
	otherRegionFactor     = 2
	// maxFailureFraction limits the fraction of failures in the cost. The cost is divided by the
	// square of the fraction that succeeds: a failed attempt must be run again and also spends
	// retry budget.
	maxFailureFraction = 0.9
	// avoidedServerCost is added, in seconds, for a backend server that failed the request.
	// The request runs there again only if no other backend server covers its layers.
	avoidedServerCost = 10000
	// maxHintServers limits the backend servers in one prefix hint, and maxHints the number of
	// hints.
	maxHintServers = 8
	maxHints       = 4096
	// maxPrefixBlocks limits the prefix blocks of one prompt that are looked up and recorded.
	maxPrefixBlocks = 32
)

// costModel holds the properties of a request and of this host that determine the cost of a stage.
type costModel struct {
	now                time.Time
	r                  *rocktable.Request
	decodeTokens       float64                     // tokens still to generate
	prefillTokens      float64                     // prompt tokens and tokens generated so far
	cachedOn           []rocktable.BackendServerID // backend servers that probably have cached a prefix of the prompt
	othersPerSlot      float64                     // see otherSessionsPerSlot
	cachedFraction     float64                     // fraction of the prompt that is cached on cachedOn
	hostName           string                      // name of this host
	unreportedFraction float64                     // see Gossip.UnreportedFraction
	dataCentre         rocktable.DataCentreID      // of this host
	region             string                      // of this host
	dataCentres        *rocktable.Table[rocktable.DataCentreID, rocktable.DataCentre]

	pipeline *rocktable.Pipeline // of the request if its engines run a full path, otherwise nil
}

func newCostModel(now time.Time, w *rocktable.World, r *rocktable.Request) costModel {
	m := costModel{now: now, r: r, decodeTokens: float64(max(1, r.MaxTokens-r.Tokens)), prefillTokens: float64(r.PromptTokens + r.Tokens), dataCentres: &w.DataCentres}
	m.hostName, m.dataCentre, m.unreportedFraction = w.SelfHost().Name, w.SelfHost().DataCentre, w.Gossip.UnreportedFraction
	if dc := w.DataCentres.Get(m.dataCentre); dc != nil {
		m.region = dc.Region
	}
	m.cachedOn, m.cachedFraction = cachedPrefixServers(w, r)
	if p := w.FullPathPipeline(r); p != nil {
		m.pipeline = p
	}
	return m
}

// cost returns the cost of a stage: expected wait + work / speed + network time, multiplied by
// factors for the distance and for recent failures. The cached fraction of the prompt costs nothing.
func (m *costModel) cost(s *rocktable.BackendServer) serverCost {
	if m.pipeline != nil {
		return m.fullPathCost(s)
	}
	slots := float64(max(1, s.Status.Slots))
	slotSpeed := s.Status.TokensPerSecond / slots
	if slotSpeed <= 0 {
		slotSpeed = defaultSlotTokensPerSecond
	}
	prompt := m.prefillTokens
	if slices.Contains(m.cachedOn, s.ID) {
		prompt *= 1 - m.cachedFraction
	}
	load := expectedLoad(m.now, s, m.othersPerSlot)
	work := (m.decodeTokens + prompt/prefillTokensPerStep) / slotSpeed
	busy := idleStepFraction + (1-idleStepFraction)*min(1, load/slots)
	wait := work * max(0, load+1-slots) / slots
	layers := float64(max(1, s.Status.LastLayer-s.Status.FirstLayer+1))
	link := s.RoundTrip.Seconds() * (m.decodeTokens + 1)
	successFraction := 1 - min(maxFailureFraction, rockretry.FailureFraction(m.now, s))
	factor := m.distanceFactor(s) / (successFraction * successFraction)
	c := serverCost{usable: true, fixed: (wait + link) * factor, perLayer: work * busy / layers * factor}
	if slices.Contains(m.r.AvoidServers, s.ID) {
		c.fixed += avoidedServerCost
	}
	return c
}

func (m *costModel) distanceFactor(s *rocktable.BackendServer) float64 {
	if s.DataCentre == m.dataCentre || s.DataCentre == 0 {
		return 1
	}
	if dc := m.dataCentres.Get(s.DataCentre); dc != nil && dc.Region == m.region {
		return otherDataCentreFactor
	}
	return otherRegionFactor
}

// expectedLoad returns an estimate of the sessions on a backend server: the attempts of this host,
// and the sessions of others. Reports about others are late, and the load would swing if all hosts
// relied on them. The older a report is, the closer the estimate is to the mean of the pipeline's
// backend servers.
func expectedLoad(now time.Time, s *rocktable.BackendServer, othersPerSlot float64) float64 {
	age := now.Sub(s.StatusAt)
	if age > maxReportAge {
		return float64(s.InFlight + s.PeerInFlight)
	}
	mean := othersPerSlot * float64(max(1, s.Status.Slots))
	return float64(s.InFlight) + mean + (float64(s.OtherSessionsAtReport)-mean)*math.Exp(-(age+reportLag).Seconds()/reportDecayTime.Seconds())
}

// otherSessionsPerSlot returns the sessions that do not belong to this host, per slot, on all the
// backend servers.
func otherSessionsPerSlot(servers []*rocktable.BackendServer) float64 {
	others, slots := 0, 0
	for _, s := range servers {
		others += s.OtherSessionsAtReport
		slots += max(1, s.Status.Slots)
	}
	return float64(others) / float64(max(1, slots))
}

// HasCapacity reports whether a backend server has capacity for the request.
func HasCapacity(w *rocktable.World, s *rocktable.BackendServer, r *rocktable.Request) bool {
	if s.ExclusiveRequest != 0 && s.ExclusiveRequest != r.ID || s.PeerExclusive && s.ExclusiveRequest == 0 {
		return false
	}
	if p := w.FullPathPipeline(r); p != nil {
		return hasMemory(w, p, s, r)
	}
	// Without this check a request would use up its attempts within milliseconds on backend servers
	// that are restarting.
	if s.ConnectionFailed {
		return false
	}
	if rockretry.IsBreakerHalfOpen(s) {
		return false
	}
	if s.InFlight >= s.Status.Slots || float64(s.InFlight) >= slotShare(w, s) {
		return false
	}
	// Until a report includes the sessions of peers, the load that the peers reported is used.
	if s.OtherSessionsAtReport == 0 && s.InFlight+s.PeerInFlight >= s.Status.Slots {
		return false
	}
	// ConcurrencyLimit is 0 until the first decrease.
	return s.ConcurrencyLimit == 0 || float64(s.InFlight) < max(1, s.ConcurrencyLimit)
}

// slotShare returns the number of attempts that this host may have at a backend server.
//
// Peers report their load once a second and only for some backend servers. A status report counts
// all sessions but lags. If each host took all slots that a report shows as free, or waited for all
// sessions above the slots to end, all hosts would do so at once and the load would swing. So a
// host takes, or gives back, only its share of the difference.
func slotShare(w *rocktable.World, s *rocktable.BackendServer) float64 {
	slots := float64(s.Status.Slots)
	own, others := float64(s.InFlightAtReport), float64(s.OtherSessionsAtReport)
	share := own + (slots-own-others)*(own+1)/(own+others+1)
	// A host below an even share may start attempts up to that share. Otherwise busy peers would
	// exclude it permanently.
	return max(share, math.Floor(slots/float64(max(1, w.Hosts.Len()))))
}

// cachedPrefixServers returns the backend servers that recently ran the longest known prefix of the
// prompt, and the fraction of the prompt that the prefix makes up.
func cachedPrefixServers(w *rocktable.World, r *rocktable.Request) ([]rocktable.BackendServerID, float64) {
	n := min(len(r.Prefix), maxPrefixBlocks)
	for i := n - 1; i >= 0; i-- {
		if hint := w.Prefixes.Get(r.Prefix[i]); hint != nil {
			return hint.Servers, float64(i+1) / float64(len(r.Prefix)+1)
		}
	}
	return nil, 0
}

// recordPrefixes records the backend servers of the path in the hints for the prefixes of the
// prompt.
func recordPrefixes(w *rocktable.World, r *rocktable.Request, path []rocktable.Stage) {
	for _, hash := range r.Prefix[:min(len(r.Prefix), maxPrefixBlocks)] {
		hint := w.Prefixes.Get(hash)
		if hint == nil {
			hint = addHint(w, hash)
		}
		for _, stage := range path {
			if slices.Contains(hint.Servers, stage.Server) {
				continue
			}
			if len(hint.Servers) == maxHintServers {
				hint.Servers = append(hint.Servers[:0], hint.Servers[1:]...)
			}
			hint.Servers = append(hint.Servers, stage.Server)
		}
	}
}

func addHint(w *rocktable.World, hash uint64) *rocktable.PrefixHint {
	if len(w.PrefixOrder) >= maxHints {
		w.Prefixes.Delete(w.PrefixOrder[0])
		w.PrefixOrder = w.PrefixOrder[1:]
	}
	w.PrefixOrder = append(w.PrefixOrder, hash)
	return w.Prefixes.Put(hash, rocktable.PrefixHint{})
}
