package rockroute

import (
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
	warmth  float64 // part of the prompt that is cached on warm
	home    rocktable.DataCentreID
	region  string
	regions *rocktable.Table[rocktable.DataCentreID, rocktable.DataCentre]
}

func newJob(now time.Time, w *rocktable.World, r *rocktable.Request) job {
	j := job{now: now, r: r, steps: float64(max(1, r.MaxTokens-r.Tokens)), prompt: float64(r.Prompt + r.Tokens), regions: &w.DataCentres}
	j.home = w.SelfHost().DataCentre
	if dc := w.DataCentres.Get(j.home); dc != nil {
		j.region = dc.Region
	}
	j.warm, j.warmth = warmServers(w, r)
	return j
}

// cost returns the cost of a stage: expected wait + work / speed + link, less the cached part of the prompt.
func (j *job) cost(s *rocktable.BackendServer) serverCost {
	slots := float64(max(1, s.Status.Slots))
	slotSpeed := s.Status.TokensPerSecond / slots
	if slotSpeed <= 0 {
		slotSpeed = defaultSlotSpeed
	}
	prompt := j.prompt
	if slices.Contains(j.warm, s.ID) {
		prompt *= 1 - j.warmth
	}
	load := expectedLoad(j.now, s)
	work := (j.steps + prompt/prefillSpeed) / slotSpeed
	busy := idleStep + (1-idleStep)*min(1, load/slots)
	wait := work * max(0, load+1-slots) / slots
	layers := float64(max(1, s.Status.LastLayer-s.Status.FirstLayer+1))
	link := s.RoundTrip.Seconds() * (j.steps + 1)
	works := 1 - min(maxFailures, rockretry.FailuresOf(j.now, s))
	factor := j.distance(s) / (works * works)
	c := serverCost{usable: true, once: (wait + link) * factor, perLayer: work * busy / layers * factor}
	if slices.Contains(j.r.Avoid, s.ID) {
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

// expectedLoad returns the attempts that a backend server probably has: the last report and what was sent since, but at least what is known to run.
func expectedLoad(now time.Time, s *rocktable.BackendServer) float64 {
	known := s.InFlight + s.PeerFlight
	if now.Sub(s.StatusAt) > staleReport {
		return float64(known)
	}
	return float64(max(known, s.Status.Active+s.Status.Queued+s.SentSince+s.PeerSent))
}

// isFree reports whether a backend server has a place for the request.
func isFree(_ *rocktable.World, s *rocktable.BackendServer, r *rocktable.Request) bool {
	if s.Exclusive != 0 && s.Exclusive != r.ID {
		return false
	}
	// Without this a request spends its attempts within milliseconds on backend servers that are restarting.
	if s.Unreached {
		return false
	}
	if s.InFlight+s.PeerFlight >= s.Status.Slots {
		return false
	}
	// Limit is 0 until the first decrease.
	return s.Limit == 0 || float64(s.InFlight) < max(1, s.Limit)
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
