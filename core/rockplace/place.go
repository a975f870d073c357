package rockplace

import (
	"cmp"
	"slices"
	"time"

	"sassafrasrock/core/rocktable"
)

const (
	// planEvery is the time between comparisons of the plan with the backend servers.
	planEvery = 250 * time.Millisecond
	// settleTime is the time without a new backend server after which the first plan is made: they register within some seconds.
	settleTime = 800 * time.Millisecond
	// strainPart is the part of its planned memory for requests that a backend server keeps when it takes layers over from one
	// that was lost. With less it would hold up all requests that pass through its other layers.
	strainPart = 0.5
	// memoryPart is the part of the memory for requests that the most even plan would leave, which the plan keeps. What it takes goes to layers on the fastest kinds, because each token passes all layers one after the other.
	memoryPart = 0.36
	// lapseLimit is the time for which the layers of a backend server whose entry is missing are not given to its neighbours:
	// entries lapse while a data centre is cut off, and it is back with its layers afterwards.
	lapseLimit = 3 * time.Second
	// secondCopy is the memory for requests, as a multiple of what the mean request takes, that each backend server must keep before a data centre holds another copy of the layers.
	secondCopy = 400
)

// System plans the layers of backend servers.
var System = rocktable.System{
	Name: "rockplace",
	Doc:  "Plans which backend server of the data centre holds which layers, and gives the layers of lost ones to others.",
	Run:  run,
}

func run(now time.Time, w *rocktable.World) {
	st := &w.PlanState
	if len(w.Inbox.Arrivals) > 0 {
		st.RequestsArrived = true
	}
	if !w.Lease.Held {
		// Another host plans; what this one planned is old when it holds the lease again.
		w.Plan = rocktable.Table[rocktable.BackendServerID, rocktable.Placement]{}
		st.CountChangedAt, st.PlannedThisLease = time.Time{}, false
		return
	}
	if now.Before(st.NextCheck) && len(w.Inbox.HostLists)+len(w.Inbox.Peers)+len(w.Inbox.ConfigPushes) == 0 {
		w.WakeAt(st.NextCheck)
		return
	}
	st.NextCheck = now.Add(planEvery)
	for _, p := range w.Pipelines.All() {
		if p.Config.Engine.RunsFullPath() {
			w.WakeAt(st.NextCheck)
			planPipeline(now, w, p)
		}
	}
}

// holder is a backend server with the layers that it holds or is to hold.
type holder struct {
	server *rocktable.BackendServer
	memory float64 // MB
	from   int
	to     int  // exclusive; equal to from for none
	lapsed bool // its entry is missing for a short time; it may still hold its layers and be back
}

func (h *holder) layers() int { return h.to - h.from }

// planPipeline brings the plan of a pipeline in line with the backend servers of the group.
func planPipeline(now time.Time, w *rocktable.World, p *rocktable.Pipeline) {
	st := &w.PlanState
	group := groupOf(now, w, p)
	dropGone(w, group)
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
			layOut(p.Config, group)
			keep(w, p, group)
		}
		return
	}
	mend(p.Config, group, memoryPart*evenMemory(p.Config, group))
	keep(w, p, group)
}

// groupOf returns the backend servers that together hold the pipeline: those of the data centre if they can, otherwise all.
func groupOf(now time.Time, w *rocktable.World, p *rocktable.Pipeline) []*holder {
	var own, all []*holder
	home := w.SelfHost().DataCentre
	for _, s := range w.Servers.All() {
		kind, ok := p.Config.Engine.Kind(s.Kind)
		lapsed := s.State == rocktable.StateLeaving && !s.ListedLeaving && !s.Drained && now.Sub(s.LeavingSince) < lapseLimit
		if !ok || s.ListedService != p.Config.Name || s.State != rocktable.StateLive && !lapsed {
			continue
		}
		h := &holder{server: s, memory: kind.MemoryMB, lapsed: lapsed}
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
	if _, ok := share(p.Config, own, 1); ok {
		return own
	}
	return all
}

// dropGone forgets what backend servers were to hold that have left the group or started again without layers.
func dropGone(w *rocktable.World, group []*holder) {
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

// share returns the memory, in tokens, that each backend server keeps for requests when the group holds so many copies of the layers, and whether it can hold them.
func share(cfg rocktable.PipelineConfig, group []*holder, copies int) (float64, bool) {
	if !holds(cfg, group, copies, 0) {
		return 0, false
	}
	low, high := 0.0, 1.0
	for holds(cfg, group, copies, high) && high < 1e12 {
		low, high = high, 2*high
	}
	for range 40 {
		if mid := (low + high) / 2; holds(cfg, group, copies, mid) {
			low = mid
		} else {
			high = mid
		}
	}
	return low, true
}

// holds reports whether the group can hold so many copies of the layers with memory for that many tokens on each backend server.
func holds(cfg rocktable.PipelineConfig, group []*holder, copies int, tokens float64) bool {
	done, at := 0, 0
	for _, h := range group {
		n := room(cfg, h, tokens)
		if at+n >= cfg.Layers {
			done, at = done+1, 0
			continue
		}
		at += n
	}
	return done >= copies
}

// room returns the layers that a backend server can hold with memory for that many tokens.
func room(cfg rocktable.PipelineConfig, h *holder, tokens float64) int {
	each := cfg.Engine.LayerMB + tokens*cfg.Engine.TokenBytes/1e6/float64(cfg.Layers)
	return min(cfg.Layers, int(h.memory/each))
}

// evenMemory returns the memory for requests, in tokens, that each backend server keeps if the group holds as many copies of
// the layers as leave enough for a busy backend server, at least one.
func evenMemory(cfg rocktable.PipelineConfig, group []*holder) float64 {
	enough := secondCopy * (cfg.Engine.PromptTokens + cfg.Engine.AnswerTokens)
	tokens, _ := share(cfg, group, 1)
	for copies := 2; ; copies++ {
		more, ok := share(cfg, group, copies)
		if !ok || more < enough {
			return tokens
		}
		tokens = more
	}
}

// layOut gives every backend server of the group its layers anew. The fastest kinds hold as many as leave them their memory
// for requests. The slowest kind that is needed holds the rest at the beginning of the model, each part on several backend
// servers: a request enters where its first layer is, and a backend server takes only so many at once.
func layOut(cfg rocktable.PipelineConfig, group []*holder) {
	tokens := memoryPart * evenMemory(cfg, group)
	left := cfg.Layers
	kinds := slices.Clone(cfg.Engine.Kinds)
	slices.SortStableFunc(kinds, func(a, b rocktable.KindConfig) int { return cmp.Compare(a.Pace, b.Pace) })
	for _, kind := range kinds {
		of := ofKind(group, kind.Name)
		if len(of) == 0 || left == 0 {
			continue
		}
		each := room(cfg, of[0], tokens)
		if each == 0 {
			continue
		}
		parts := min(len(of), (left+each-1)/each)
		whole := min(left, parts*each)
		for i := range parts {
			n := (whole + parts - 1 - i) / parts
			for j := i; j < len(of); j += parts {
				of[j].from, of[j].to = left-n, left
			}
			left -= n
		}
	}
	mend(cfg, group, tokens)
}

// ofKind returns the backend servers of one kind.
func ofKind(group []*holder, kind string) []*holder {
	var of []*holder
	for _, h := range group {
		if h.server.Kind == kind {
			of = append(of, h)
		}
	}
	return of
}

// mend gives layers to backend servers without any, layers that nobody holds to others, and takes back what was taken over;
// tokens is the planned memory for requests.
func mend(cfg rocktable.PipelineConfig, group []*holder, tokens float64) {
	for _, h := range group {
		if h.layers() == 0 && !h.lapsed {
			if n := room(cfg, h, tokens); n > 0 {
				h.from = weakest(cfg, group, n)
				h.to = h.from + n
			}
		}
	}
	for range cfg.Layers {
		from, to := firstGap(cfg, group)
		if from == to || !move(cfg, group, from, to, tokens) && !fill(cfg, group, from, to, tokens) {
			break
		}
	}
	for _, h := range group {
		trim(cfg, group, h, tokens)
	}
}

// trim takes layers from the ends of a backend server that holds more than its memory for requests allows, as long as another
// one reports that it holds them: it took them over for one that is back or was replaced.
func trim(cfg rocktable.PipelineConfig, group []*holder, h *holder, tokens float64) {
	for !h.lapsed && h.layers() > max(1, room(cfg, h, tokens)) {
		switch {
		case isReported(group, h, h.from):
			h.from++
		case isReported(group, h, h.to-1):
			h.to--
		default:
			return
		}
	}
}

// isReported reports whether another backend server that keeps the layer reports that it holds it.
func isReported(group []*holder, except *holder, layer int) bool {
	for _, h := range group {
		s := &h.server.Status
		if h != except && !h.lapsed && h.from <= layer && layer < h.to && s.Model != "" && s.FirstLayer <= layer && layer <= s.LastLayer {
			return true
		}
	}
	return false
}

// weakest returns the first of n layers that need another holder most: those that nobody holds, then those whose holders have the least memory.
func weakest(cfg rocktable.PipelineConfig, group []*holder, n int) int {
	need := make([]float64, cfg.Layers)
	for l := range need {
		memory := 0.0
		for _, h := range group {
			if h.from <= l && l < h.to && !h.lapsed {
				memory += (h.memory - float64(h.layers())*cfg.Engine.LayerMB) / float64(h.layers())
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

// firstGap returns the first layers that nobody holds; the range is empty if there are none.
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

// move gives a gap to a backend server whose layers all are on others too, the one with the most of these, and reports whether there is one.
func move(cfg rocktable.PipelineConfig, group []*holder, from, to int, tokens float64) bool {
	var best *holder
	most := 0
	for _, h := range group {
		if h.lapsed || h.layers() == 0 || room(cfg, h, tokens) == 0 {
			continue
		}
		if n := fewestOthers(group, h); n > most {
			best, most = h, n
		}
	}
	if best == nil {
		return false
	}
	best.from, best.to = from, min(to, from+room(cfg, best, tokens))
	return true
}

// fewestOthers returns the least number of other backend servers that hold a layer of a backend server.
func fewestOthers(group []*holder, h *holder) int {
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

// fill extends one of the holders beside a gap by one layer, the one with the most memory left for requests, and reports whether one could.
func fill(cfg rocktable.PipelineConfig, group []*holder, from, to int, tokens float64) bool {
	var best *holder
	most := 0.0
	for _, h := range group {
		if h.lapsed || h.layers() == 0 || h.to != from && h.from != to {
			continue
		}
		if h.layers()+1 > room(cfg, h, strainPart*tokens) {
			continue
		}
		left := h.memory - float64(h.layers()+1)*cfg.Engine.LayerMB
		if part := left / float64(h.layers()+1); best == nil || part > most {
			best, most = h, part
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

// keep writes what the backend servers of this data centre are to hold into the plan.
func keep(w *rocktable.World, p *rocktable.Pipeline, group []*holder) {
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
