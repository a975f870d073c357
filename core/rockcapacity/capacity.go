package rockcapacity

import (
	"slices"
	"time"

	"sassafrasrock/core/rocktable"
)

const (
	// refusalMargin is the fraction of the use at a refusal to which the usable memory is lowered.
	refusalMargin = 0.98
	// minUsable is the lower limit of the usable fraction. A refusal at less use is due to reservations that this host
	// does not know of yet, and reports of peers correct them within seconds.
	minUsable = 0.4
	// usableRisePerSecond is the rise of the usable fraction. A backend server whose capacity has come back is used in
	// full after some seconds, and a full one is tested about as often as its requests change.
	usableRisePerSecond = 0.05
	// shareInterval is the time between two derivations of this host's share of a full backend server. Peers report their
	// load about once a second.
	shareInterval = time.Second
	// shareUse is the used fraction from which hosts keep to their shares of a backend server.
	shareUse = 0.8
	// updateInterval is the time between two sums over the backend servers.
	updateInterval = 50 * time.Millisecond
	// minDecreaseInterval is the shortest time between two decreases, so that the refusals of one moment cause one.
	minDecreaseInterval = 250 * time.Millisecond
	// shortUse is the used fraction from which capacity is short, and freeUse the one below which it no longer is.
	// Hysteresis keeps the state from changing with each request.
	shortUse = 0.85
	freeUse  = 0.7
	// refusalMemory is the time after a refusal for lack of capacity within which capacity stays short.
	refusalMemory = time.Second
)

// System learns the usable memory of backend servers and adds up the use of it.
var System = rocktable.System{
	Name:        "rockcapacity",
	Description: "Learns from refusals how much of their memory backend servers have for requests, and adds up how much of it is used.",
	Run:         run,
}

func run(now time.Time, w *rocktable.World) {
	refused := false
	for _, s := range w.Servers.All() {
		if s.UsableMemoryIncarnation != s.Incarnation {
			s.UsableMemory = 0
		}
		if s.MemoryRefusalAt.Equal(now) {
			refused = true
			recordRefusal(now, w, s)
		}
	}
	for id, p := range w.Pipelines.All() {
		if !p.Config.Engine.RunsFullPath() {
			w.Capacities.Delete(id) // the configuration may have changed
			continue
		}
		if c := w.Capacities.GetOrPut(id); refused || now.Sub(c.UpdatedAt) >= updateInterval {
			raiseUsable(now, w, p.Config)
			deriveShares(now, w, p.Config)
			update(now, w, c, p)
		}
	}
	for id := range w.Capacities.All() {
		if w.Pipelines.Get(id) == nil {
			w.Capacities.Delete(id)
			return // the others are deleted in the next ticks
		}
	}
}

// UsableFraction returns the fraction of its memory for requests that a backend server has for the hosts.
func UsableFraction(s *rocktable.BackendServer) float64 {
	if s.UsableMemory == 0 {
		return 1
	}
	return s.UsableMemory
}

// raiseUsable raises the usable fractions of the backend servers of a pipeline for the time since the last refusal or rise.
func raiseUsable(now time.Time, w *rocktable.World, cfg rocktable.PipelineConfig) {
	for _, s := range w.Servers.All() {
		if s.UsableMemory == 0 || !holdsLayers(cfg, s) {
			continue
		}
		s.UsableMemory += usableRisePerSecond * max(0, now.Sub(s.UsableMemoryAt).Seconds())
		s.UsableMemoryAt = now
		if s.UsableMemory >= 1 {
			s.UsableMemory = 0
		}
	}
}

// deriveShares records what this host has reserved at each backend server. HasRoom derives the share of this host from it.
func deriveShares(now time.Time, w *rocktable.World, cfg rocktable.PipelineConfig) {
	for _, s := range w.Servers.All() {
		if now.Sub(s.ShareDerivedAt) >= shareInterval && holdsLayers(cfg, s) {
			s.ReservedAtReport, s.ShareDerivedAt = s.ReservedMemory, now
		}
	}
}

// HasRoom reports whether a backend server has room for a further reservation of this host, if the hosts together may fill
// the given part of its memory. All are in tokens x layers.
//
// While the backend server is nearly full, or its usable fraction is lowered, each host takes, or gives back, only its part
// of the difference between the limit and what all had reserved at the last report. Otherwise all hosts would fill the same
// free memory until the next report, and then wait until everything above the limit has ended. A host without a
// reservation there may make one that fits.
func HasRoom(w *rocktable.World, s *rocktable.BackendServer, need, limit float64) bool {
	limit *= UsableFraction(s)
	own, peers := s.ReservedAtReport, s.PeerReservedMemory
	isCalm := s.UsableMemory == 0 && max(own, s.ReservedMemory)+peers < shareUse*limit
	if isCalm || s.ShareDerivedAt.IsZero() {
		return s.ReservedMemory+peers+need <= limit
	}
	if s.ReservedMemory < 1 && peers+need <= limit {
		// In a large fleet each host's part may be smaller than one request, and no host would start any.
		return true
	}
	hosts := liveHosts(w)
	part := (own + need) / max(1, own+peers+hosts*need)
	share := own + (limit-own-peers)*part
	if own+peers <= limit {
		// A host below an even share may start requests up to it. Otherwise busy peers would exclude it for good.
		share = max(share, limit/hosts)
	}
	return s.ReservedMemory+need <= share
}

// liveHosts returns the number of hosts that are not known to be down.
func liveHosts(w *rocktable.World) float64 {
	n := 0
	for _, h := range w.Hosts.All() {
		if h.State != rocktable.StateDown {
			n++
		}
	}
	return float64(max(1, n))
}

// RequestMemory returns the memory, in tokens x layers, that a backend server has for requests besides the layers that it
// holds, by the figures of its kind.
func RequestMemory(cfg rocktable.PipelineConfig, s *rocktable.BackendServer) float64 {
	kind, ok := cfg.Engine.Kind(s.Kind)
	if !ok || cfg.Engine.TokenBytes <= 0 {
		return 0
	}
	layers := s.Status.LastLayer - s.Status.FirstLayer + 1
	free := kind.MemoryMB - float64(layers)*cfg.Engine.LayerMB
	return max(0, free) * 1e6 / cfg.Engine.TokenBytes * float64(cfg.Layers)
}

// recordRefusal lowers the usable fraction of a backend server to less than what was in use when it refused.
func recordRefusal(now time.Time, w *rocktable.World, s *rocktable.BackendServer) {
	p := pipelineOf(w, s)
	if p == nil {
		return
	}
	w.Capacities.GetOrPut(p.ID).RefusedAt = now
	total := RequestMemory(p.Config, s)
	if total <= 0 || now.Sub(s.UsableLoweredAt) < minDecreaseInterval {
		return
	}
	used := min(s.MemoryAtRefusal/total, UsableFraction(s))
	s.UsableMemory = max(minUsable, refusalMargin*used)
	s.UsableMemoryAt, s.UsableLoweredAt, s.UsableMemoryIncarnation = now, now, s.Incarnation
}

// pipelineOf returns the pipeline of which a backend server holds layers, or nil.
func pipelineOf(w *rocktable.World, s *rocktable.BackendServer) *rocktable.Pipeline {
	for _, p := range w.Pipelines.All() {
		if p.Config.Engine.RunsFullPath() && holdsLayers(p.Config, s) {
			return p
		}
	}
	return nil
}

func holdsLayers(cfg rocktable.PipelineConfig, s *rocktable.BackendServer) bool {
	return s.ListedService == cfg.Name && s.Status.Model == cfg.Model && s.Status.Version == cfg.Version && s.Status.IsWithin(cfg.Layers)
}

// update computes the use of a pipeline's capacity and whether it is short.
func update(now time.Time, w *rocktable.World, c *rocktable.Capacity, p *rocktable.Pipeline) {
	c.UpdatedAt, c.UsedFraction = now, usedFraction(w, p.Config)
	switch {
	case c.UsedFraction >= shortUse || !c.RefusedAt.IsZero() && now.Sub(c.RefusedAt) < refusalMemory:
		if c.ShortSince.IsZero() {
			c.ShortSince = now
			w.LogChange("capacity", p.Config.Name, "free", "short")
		}
	case c.UsedFraction < freeUse && !c.ShortSince.IsZero():
		c.ShortSince = time.Time{}
		w.LogChange("capacity", p.Config.Name, "short", "free")
	}
}

// usedFraction returns the used fraction of the usable memory at the layer where it is highest. All requests pass each
// layer, so that the layer with the least capacity bounds how many run.
func usedFraction(w *rocktable.World, cfg rocktable.PipelineConfig) float64 {
	// Sums over the backend servers that hold a layer, in tokens: differences at the first layer and after the last one.
	used, usable := make([]float64, cfg.Layers+1), make([]float64, cfg.Layers+1)
	// The sums at a layer that no backend server holds are not exactly 0.
	holders := make([]int, cfg.Layers+1)
	for _, s := range w.Servers.All() {
		if s.State != rocktable.StateLive || s.Drained || !holdsLayers(cfg, s) {
			continue
		}
		layers := float64(s.Status.LastLayer - s.Status.FirstLayer + 1)
		inUse, limit := (s.ReservedMemory+s.PeerReservedMemory)/layers, UsableFraction(s)*RequestMemory(cfg, s)/layers
		used[s.Status.FirstLayer] += inUse
		used[s.Status.LastLayer+1] -= inUse
		usable[s.Status.FirstLayer] += limit
		usable[s.Status.LastLayer+1] -= limit
		holders[s.Status.FirstLayer]++
		holders[s.Status.LastLayer+1]--
	}
	fractions := make([]float64, cfg.Layers)
	inUse, limit, held := 0.0, 0.0, 0
	for layer := range cfg.Layers {
		inUse += used[layer]
		limit += usable[layer]
		held += holders[layer]
		if held > 0 && limit > 0 {
			fractions[layer] = max(0, inUse) / limit
		}
	}
	return slices.Max(fractions)
}

// IsShort reports whether the capacity of a pipeline is short.
func IsShort(w *rocktable.World, id rocktable.PipelineID) bool {
	c := w.Capacities.Get(id)
	return c != nil && !c.ShortSince.IsZero()
}
