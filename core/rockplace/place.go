package rockplace

import (
	"cmp"
	"slices"
	"time"

	"sassafrasrock/core/rocktable"
)

const (
	// planInterval is the time between comparisons of the plan with the backend servers.
	planInterval = 250 * time.Millisecond
	// settleTime is the time without a new backend server after which the first plan is made. The
	// backend servers register within a few seconds.
	settleTime = 800 * time.Millisecond
	// takeoverMemoryFraction is the fraction of its planned memory for requests that a backend
	// server keeps if it takes over layers of a lost one. With less it would slow down all requests
	// that pass through its other layers.
	takeoverMemoryFraction = 0.5
	// requestMemoryFraction is the fraction of the most even plan's memory for requests that the
	// plan keeps. The memory gained holds more layers on the fastest kinds, which shortens the time
	// of each token: it passes all layers one after the other.
	requestMemoryFraction = 0.36
	// lapseTimeout is the time for which the layers of a backend server with a missing entry are
	// not given to others. Entries lapse while a data centre is cut off. When the connection is
	// restored, its backend servers still hold their layers.
	lapseTimeout = 3 * time.Second
	// minMeanRequests is the memory for requests that each backend server must keep before a data
	// centre holds another copy of the layers, as a multiple of the memory of a mean request.
	minMeanRequests = 400
)

// System plans the layers of backend servers.
var System = rocktable.System{
	Name:        "rockplace",
	Description: "Plans which backend server of the data centre holds which layers, and reassigns the layers of lost ones.",
	Run:         run,
}

func run(now time.Time, w *rocktable.World) {
	st := &w.PlanState
	if len(w.Inbox.Arrivals) > 0 {
		st.RequestsArrived = true
	}
	if !w.Lease.Held {
		// Another host plans. This host's plan is outdated when it holds the lease again.
		w.Plan = rocktable.Table[rocktable.BackendServerID, rocktable.Placement]{}
		st.CountChangedAt, st.PlannedThisLease = time.Time{}, false
		return
	}
	if now.Before(st.NextCheck) && len(w.Inbox.HostLists)+len(w.Inbox.Peers)+len(w.Inbox.ConfigPushes) == 0 {
		w.WakeAt(st.NextCheck)
		return
	}
	st.NextCheck = now.Add(planInterval)
	for _, p := range w.Pipelines.All() {
		if p.Config.Engine.RunsFullPath() {
			w.WakeAt(st.NextCheck)
			planPipeline(now, w, p)
		}
	}
}

// holder is a backend server with the layers that it holds or is planned to hold.
type holder struct {
	server   *rocktable.BackendServer
	memoryMB float64
	from     int
	to       int  // exclusive; equal to from if it holds none
	lapsed   bool // its entry has been missing for less than lapseTimeout; it may still hold its layers and return
}

func (h *holder) layers() int { return h.to - h.from }

// planPipeline adapts the plan of a pipeline to the backend servers that groupOf returns.
func planPipeline(now time.Time, w *rocktable.World, p *rocktable.Pipeline) {
	st := &w.PlanState
	group := groupOf(now, w, p)
	deleteDeparted(w, group)
	if len(group) == 0 {
		return
	}
	if n := len(group); n != st.ServerCount {
		st.ServerCount, st.CountChangedAt = n, now
	}
	held := slices.ContainsFunc(group, func(h *holder) bool { return h.layers() > 0 })
	if !held || st.PlannedThisLease && !st.RequestsArrived {
		if now.Sub(st.CountChangedAt) < settleTime {
			return
		}
		if st.PlannedServerCount != st.ServerCount || !held {
			st.PlannedThisLease, st.PlannedServerCount = true, st.ServerCount
			assignAll(p.Config, group)
			storePlan(w, p, group)
		}
		return
	}
	repair(p.Config, group, requestMemoryFraction*evenRequestMemory(p.Config, group))
	storePlan(w, p, group)
}

// groupOf returns the backend servers that together hold the pipeline: those of the data centre if
// they have the capacity, otherwise all.
func groupOf(now time.Time, w *rocktable.World, p *rocktable.Pipeline) []*holder {
	var own, all []*holder
	home := w.SelfHost().DataCentre
	for _, s := range w.Servers.All() {
		kind, ok := p.Config.Engine.Kind(s.Kind)
		lapsed := s.State == rocktable.StateLeaving && !s.ListedLeaving && !s.Drained && now.Sub(s.LeavingSince) < lapseTimeout
		if !ok || s.ListedService != p.Config.Name || s.State != rocktable.StateLive && !lapsed {
			continue
		}
		h := &holder{server: s, memoryMB: kind.MemoryMB, lapsed: lapsed}
		if planned := w.Plan.Get(s.ID); planned != nil {
			h.from, h.to = planned.FirstLayer, planned.LastLayer+1
		} else if s.Status.Model == p.Config.Model && s.Status.LastLayer >= s.Status.FirstLayer {
			h.from, h.to = s.Status.FirstLayer, s.Status.LastLayer+1
		}
		all = append(all, h)
		if s.DataCentre == home {
			own = append(own, h)
		}
	}
	byName := func(a, b *holder) int { return cmp.Compare(a.server.Name, b.server.Name) }
	slices.SortFunc(own, byName)
	slices.SortFunc(all, byName)
	if _, ok := requestMemory(p.Config, own, 1); ok {
		return own
	}
	return all
}

// deleteDeparted deletes the placements of backend servers that are no longer in the group.
func deleteDeparted(w *rocktable.World, group []*holder) {
	live := make(map[rocktable.BackendServerID]bool, len(group))
	for _, h := range group {
		live[h.server.ID] = true
	}
	for id := range w.Plan.All() {
		if !live[id] {
			w.Plan.Delete(id)
		}
	}
}

// requestMemory returns the memory for requests, in tokens, that each backend server keeps if the
// group holds the given number of copies of the layers. It also reports whether the group can hold
// them.
func requestMemory(cfg rocktable.PipelineConfig, group []*holder, copies int) (float64, bool) {
	if !fits(cfg, group, copies, 0) {
		return 0, false
	}
	low, high := 0.0, 1.0
	for fits(cfg, group, copies, high) && high < 1e12 {
		low, high = high, 2*high
	}
	for range 40 {
		if mid := (low + high) / 2; fits(cfg, group, copies, mid) {
			low = mid
		} else {
			high = mid
		}
	}
	return low, true
}

// fits reports whether the group can hold the given number of copies of the layers and keep memory
// for the given number of tokens on each backend server.
func fits(cfg rocktable.PipelineConfig, group []*holder, copies int, tokens float64) bool {
	complete, layers := 0, 0
	for _, h := range group {
		n := layerCapacity(cfg, h, tokens)
		if layers+n >= cfg.Layers {
			complete, layers = complete+1, 0
			continue
		}
		layers += n
	}
	return complete >= copies
}

// layerCapacity returns the number of layers that a backend server can hold besides memory for the
// given number of tokens.
func layerCapacity(cfg rocktable.PipelineConfig, h *holder, tokens float64) int {
	each := cfg.Engine.LayerMB + tokens*cfg.Engine.TokenBytes/1e6/float64(cfg.Layers)
	return min(cfg.Layers, int(h.memoryMB/each))
}

// evenRequestMemory returns the memory for requests, in tokens, that each backend server keeps in
// the most even plan. In that plan the group holds as many copies of the layers as leave each
// backend server the memory of minMeanRequests, and at least one copy.
func evenRequestMemory(cfg rocktable.PipelineConfig, group []*holder) float64 {
	enough := minMeanRequests * (cfg.Engine.PromptTokens + cfg.Engine.AnswerTokens)
	tokens, _ := requestMemory(cfg, group, 1)
	for copies := 2; ; copies++ {
		more, ok := requestMemory(cfg, group, copies)
		if !ok || more < enough {
			return tokens
		}
		tokens = more
	}
}

// assignAll assigns layers to every backend server of the group from scratch.
//
// The fastest kinds hold as many layers as leave them their memory for requests. The slowest kind
// that is needed holds the rest at the beginning of the model, with each range on several backend
// servers: a request begins where its first layer is, and a backend server accepts only a limited
// number of such requests at once.
func assignAll(cfg rocktable.PipelineConfig, group []*holder) {
	tokens := requestMemoryFraction * evenRequestMemory(cfg, group)
	left := cfg.Layers
	kinds := slices.Clone(cfg.Engine.Kinds)
	slices.SortStableFunc(kinds, func(a, b rocktable.KindConfig) int { return cmp.Compare(a.Pace, b.Pace) })
	for _, kind := range kinds {
		servers := serversOfKind(group, kind.Name)
		if len(servers) == 0 || left == 0 {
			continue
		}
		each := layerCapacity(cfg, servers[0], tokens)
		if each == 0 {
			continue
		}
		parts := min(len(servers), (left+each-1)/each)
		layers := min(left, parts*each)
		for i := range parts {
			n := (layers + parts - 1 - i) / parts
			for j := i; j < len(servers); j += parts {
				servers[j].from, servers[j].to = left-n, left
			}
			left -= n
		}
	}
	repair(cfg, group, tokens)
}

// serversOfKind returns the backend servers of one kind of accelerator.
func serversOfKind(group []*holder, kind string) []*holder {
	var servers []*holder
	for _, h := range group {
		if h.server.Kind == kind {
			servers = append(servers, h)
		}
	}
	return servers
}

// repair assigns layers to backend servers without any, assigns layers without a holder to others,
// and removes layers that were taken over and are no longer needed there. The argument tokens is
// the planned memory for requests.
func repair(cfg rocktable.PipelineConfig, group []*holder, tokens float64) {
	for _, h := range group {
		if h.layers() == 0 && !h.lapsed {
			if n := layerCapacity(cfg, h, tokens); n > 0 {
				h.from = leastCovered(cfg, group, n)
				h.to = h.from + n
			}
		}
	}
	for range cfg.Layers {
		from, to := firstGap(cfg, group)
		if from == to || !moveToGap(cfg, group, from, to, tokens) && !extendIntoGap(cfg, group, from, to, tokens) {
			break
		}
	}
	for _, h := range group {
		trim(cfg, group, h, tokens)
	}
}

// trim removes layers from the ends of the range of a backend server that holds more layers than
// its planned memory for requests allows, as long as another one reports that it holds them. It
// took these layers over from a backend server that is back or was replaced.
func trim(cfg rocktable.PipelineConfig, group []*holder, h *holder, tokens float64) {
	for !h.lapsed && h.layers() > max(1, layerCapacity(cfg, h, tokens)) {
		switch {
		case isReportedByAnother(group, h, h.from):
			h.from++
		case isReportedByAnother(group, h, h.to-1):
			h.to--
		default:
			return
		}
	}
}

// isReportedByAnother reports whether another backend server that keeps the layer reports that it
// holds it.
func isReportedByAnother(group []*holder, except *holder, layer int) bool {
	for _, h := range group {
		s := &h.server.Status
		if h != except && !h.lapsed && h.from <= layer && layer < h.to && s.Model != "" && s.FirstLayer <= layer && layer <= s.LastLayer {
			return true
		}
	}
	return false
}

// leastCovered returns the first of the n consecutive layers that most need another holder: layers
// without a holder, then those whose holders have the least memory.
func leastCovered(cfg rocktable.PipelineConfig, group []*holder, n int) int {
	need := make([]float64, cfg.Layers)
	for l := range need {
		memory := 0.0
		for _, h := range group {
			if h.from <= l && l < h.to && !h.lapsed {
				memory += (h.memoryMB - float64(h.layers())*cfg.Engine.LayerMB) / float64(h.layers())
			}
		}
		need[l] = 1 / max(1, memory)
	}
	best, most := 0, -1.0
	for from := 0; from+n <= cfg.Layers; from++ {
		sum := 0.0
		for _, v := range need[from : from+n] {
			sum += v
		}
		if sum > most {
			best, most = from, sum
		}
	}
	return best
}

// firstGap returns the first range of layers without a holder. The range is empty if there is none.
func firstGap(cfg rocktable.PipelineConfig, group []*holder) (from, to int) {
	held := make([]bool, cfg.Layers)
	for _, h := range group {
		for l := h.from; l < h.to; l++ {
			held[l] = true
		}
	}
	from = slices.Index(held, false)
	if from < 0 {
		return 0, 0
	}
	for to = from; to < cfg.Layers && !held[to]; to++ {
	}
	return from, to
}

// moveToGap assigns a gap to a backend server whose layers all have other holders, the one with the
// most of them. It reports whether there is one.
func moveToGap(cfg rocktable.PipelineConfig, group []*holder, from, to int, tokens float64) bool {
	var best *holder
	most := 0
	for _, h := range group {
		if h.lapsed || h.layers() == 0 || layerCapacity(cfg, h, tokens) == 0 {
			continue
		}
		if n := minOtherHolders(group, h); n > most {
			best, most = h, n
		}
	}
	if best == nil {
		return false
	}
	best.from, best.to = from, min(to, from+layerCapacity(cfg, best, tokens))
	return true
}

// minOtherHolders returns the least number of other holders over the layers of a backend server.
func minOtherHolders(group []*holder, h *holder) int {
	fewest := len(group)
	for l := h.from; l < h.to; l++ {
		n := 0
		for _, o := range group {
			if o != h && !o.lapsed && o.from <= l && l < o.to {
				n++
			}
		}
		fewest = min(fewest, n)
	}
	return fewest
}

// extendIntoGap adds one layer of a gap to an adjacent holder, the one with the most memory left
// for requests. It reports whether there is one.
func extendIntoGap(cfg rocktable.PipelineConfig, group []*holder, from, to int, tokens float64) bool {
	var best *holder
	most := 0.0
	for _, h := range group {
		if h.lapsed || h.layers() == 0 || h.to != from && h.from != to {
			continue
		}
		if h.layers()+1 > layerCapacity(cfg, h, takeoverMemoryFraction*tokens) {
			continue
		}
		left := h.memoryMB - float64(h.layers()+1)*cfg.Engine.LayerMB
		if perLayer := left / float64(h.layers()+1); best == nil || perLayer > most {
			best, most = h, perLayer
		}
	}
	switch {
	case best == nil:
		return false
	case best.to == from:
		best.to++
	default:
		best.from--
	}
	return true
}

// storePlan writes the layers of this data centre's backend servers into the plan.
func storePlan(w *rocktable.World, p *rocktable.Pipeline, group []*holder) {
	home := w.SelfHost().DataCentre
	for _, h := range group {
		if h.lapsed || h.server.DataCentre != home || h.layers() == 0 {
			continue
		}
		w.Plan.Put(h.server.ID, rocktable.Placement{
			Server: h.server.Name, Model: p.Config.Model, Version: p.Config.Version, FirstLayer: h.from, LastLayer: h.to - 1,
		})
	}
}
