package rockroute

import (
	"math"
	"slices"
	"time"

	"sassafrasrock/core/rockretry"
	"sassafrasrock/core/rocktable"
)

const (
	// prefillSpeed is the number of prompt tokens that an engine processes in the time of one generated token; a prompt is one large batch.
	prefillSpeed = 8
	// defaultSlotSpeed is the speed of one slot, in tokens per second, of an engine that reports none.
	defaultSlotSpeed = 10
	// staleReport is the age after which a report says nothing about the load.
	staleReport = 5 * time.Second
	// reportLag is the usual age of a report when it arrives, and reportWindow the time constant with which it loses its weight. It is about the length of a request.
	reportLag    = 500 * time.Millisecond
	reportWindow = time.Second
	// idleStep is the length of a step of an idle engine as a part of that of a full one.
	idleStep = 0.5
	// otherDataCentre and otherRegion are factors of the cost outside this host's data centre, so that work leaves it only when it is much slower there.
	otherDataCentre = 1.25
	otherRegion     = 2
	// maxFailures limits the part of failures in the cost. The cost is divided by the square of the part that succeeds: a failed attempt must be run again, and it spends retry budget too.
	maxFailures = 0.9
	// avoidCost is added, in seconds, for a backend server that failed the request: it is used only if nothing else covers the layers.
	avoidCost = 10000
	// hintServers limits the backend servers that one prefix hint holds, and maxHints the hints.
	hintServers = 8
	maxHints    = 4096
	// maxBlocks limits the blocks of one prompt that are looked up and recorded.
	maxBlocks = 32
)

// job is what the cost of a stage needs to know of a request.
type job struct {
	now     time.Time
	r       *rocktable.Request
	steps   float64 // tokens still to be generated
	prompt  float64 // tokens of the prefill step
	warm    []rocktable.BackendServerID
	others  float64 // sessions of others over slots, of all backend servers of the pipeline
	warmth  float64 // part of the prompt that is cached on warm
	self    string  // name of this host
	unheard float64 // part of the peers whose load is not known
	home    rocktable.DataCentreID
	region  string
	regions *rocktable.Table[rocktable.DataCentreID, rocktable.DataCentre]

	pipeline *rocktable.Pipeline // whose engines run a whole path; nil for others
	memory   float64             // that it reserves for each layer, in tokens
}

func newJob(now time.Time, w *rocktable.World, r *rocktable.Request) job {
	j := job{now: now, r: r, steps: float64(max(1, r.MaxTokens-r.Tokens)), prompt: float64(r.PromptTokens + r.Tokens), regions: &w.DataCentres}
	j.self, j.home, j.unheard = w.SelfHost().Name, w.SelfHost().DataCentre, w.Gossip.UnreportedFraction
	if dc := w.DataCentres.Get(j.home); dc != nil {
		j.region = dc.Region
	}
	j.warm, j.warmth = warmServers(w, r)
	if p := w.FullPathPipeline(r); p != nil {
		j.pipeline, j.memory = p, memoryOf(p, r)
	}
	return j
}

// cost returns the cost of a stage: expected wait + work / speed + link, less the cached part of the prompt.
func (j *job) cost(s *rocktable.BackendServer) serverCost {
	if j.pipeline != nil {
		return j.wholePathCost(s)
	}
	slots := float64(max(1, s.Status.Slots))
	slotSpeed := s.Status.TokensPerSecond / slots
	if slotSpeed <= 0 {
		slotSpeed = defaultSlotSpeed
	}
	prompt := j.prompt
	if slices.Contains(j.warm, s.ID) {
		prompt *= 1 - j.warmth
	}
	load := expectedLoad(j.now, s, j.others)
	work := (j.steps + prompt/prefillSpeed) / slotSpeed
	busy := idleStep + (1-idleStep)*min(1, load/slots)
	wait := work * max(0, load+1-slots) / slots
	layers := float64(max(1, s.Status.LastLayer-s.Status.FirstLayer+1))
	link := s.RoundTrip.Seconds() * (j.steps + 1)
	works := 1 - min(maxFailures, rockretry.FailuresOf(j.now, s))
	factor := j.distance(s) / (works * works)
	c := serverCost{usable: true, once: (wait + link) * factor, perLayer: work * busy / layers * factor}
	if slices.Contains(j.r.AvoidServers, s.ID) {
		c.once += avoidCost
	}
	return c
}

func (j *job) distance(s *rocktable.BackendServer) float64 {
	if s.DataCentre == j.home || s.DataCentre == 0 {
		return 1
	}
	if dc := j.regions.Get(s.DataCentre); dc != nil && dc.Region == j.region {
		return otherDataCentre
	}
	return otherRegion
}

// expectedLoad returns the attempts that a backend server probably has: those of this host, and the sessions of others.
// Reports of others are late. If all hosts followed them, the load would swing: the older a report is, the more the estimate goes towards the mean of the pipeline's backend servers.
func expectedLoad(now time.Time, s *rocktable.BackendServer, others float64) float64 {
	age := now.Sub(s.StatusAt)
	if age > staleReport {
		return float64(s.InFlight + s.PeerInFlight)
	}
	mean := others * float64(max(1, s.Status.Slots))
	return float64(s.InFlight) + mean + (float64(s.OtherSessionsAtReport)-mean)*math.Exp(-(age+reportLag).Seconds()/reportWindow.Seconds())
}

// othersPart returns the sessions of others over the slots of the backend servers.
func othersPart(servers []*rocktable.BackendServer) float64 {
	others, slots := 0, 0
	for _, s := range servers {
		others += s.OtherSessionsAtReport
		slots += max(1, s.Status.Slots)
	}
	return float64(others) / float64(max(1, slots))
}

// IsFree reports whether a backend server has a place for the request.
func IsFree(w *rocktable.World, s *rocktable.BackendServer, r *rocktable.Request) bool {
	if s.ExclusiveRequest != 0 && s.ExclusiveRequest != r.ID || s.PeerExclusive && s.ExclusiveRequest == 0 {
		return false
	}
	if p := w.FullPathPipeline(r); p != nil {
		return hasMemory(p, s, r)
	}
	// Without this a request spends its attempts within milliseconds on backend servers that are restarting.
	if s.ConnectionFailed {
		return false
	}
	if rockretry.IsBreakerHalfOpen(s) {
		return false
	}
	if s.InFlight >= s.Status.Slots || float64(s.InFlight) >= slotPart(w, s) {
		return false
	}
	// Before a report shows the sessions of peers, what they told counts.
	if s.OtherSessionsAtReport == 0 && s.InFlight+s.PeerInFlight >= s.Status.Slots {
		return false
	}
	// Limit is 0 until the first decrease.
	return s.ConcurrencyLimit == 0 || float64(s.InFlight) < max(1, s.ConcurrencyLimit)
}

// slotPart returns the attempts that this host may have at a backend server.
// Peers tell their load once a second and only for some backend servers, and a report counts all sessions but lags. If each host took all slots that a report shows as free, or waited for all that are too many, all would do so at once and the load would swing. So a host takes, or gives back, its part of the difference.
func slotPart(w *rocktable.World, s *rocktable.BackendServer) float64 {
	slots := float64(s.Status.Slots)
	own, others := float64(s.InFlightAtReport), float64(s.OtherSessionsAtReport)
	part := own + (slots-own-others)*(own+1)/(own+others+1)
	// A host with less than an even part may start up to that, or busy peers would keep it out for ever.
	return max(part, math.Floor(slots/float64(max(1, w.Hosts.Len()))))
}

// warmServers returns the backend servers that recently ran the longest known prefix of the prompt, and its part of the prompt.
func warmServers(w *rocktable.World, r *rocktable.Request) ([]rocktable.BackendServerID, float64) {
	n := min(len(r.Prefix), maxBlocks)
	for i := n - 1; i >= 0; i-- {
		if hint := w.Prefixes.Get(r.Prefix[i]); hint != nil {
			return hint.Servers, float64(i+1) / float64(len(r.Prefix)+1)
		}
	}
	return nil, 0
}

// notePrefixes records that the path now holds the prefixes of the prompt.
func notePrefixes(w *rocktable.World, r *rocktable.Request, path []rocktable.Stage) {
	for _, hash := range r.Prefix[:min(len(r.Prefix), maxBlocks)] {
		hint := w.Prefixes.Get(hash)
		if hint == nil {
			hint = addHint(w, hash)
		}
		for _, stage := range path {
			if slices.Contains(hint.Servers, stage.Server) {
				continue
			}
			if len(hint.Servers) == hintServers {
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
