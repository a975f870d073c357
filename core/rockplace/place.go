package rockplace

import (
	"cmp"
	"slices"
	"time"

	"sassafrasrock/core/rockretry"
	"sassafrasrock/core/rocktable"
)

const (
	// planInterval is the time between comparisons of the plan with the backend servers.
	planInterval = 250 * time.Millisecond
	// settleTime is the time without a new backend server after which the first plan is made. The
	// backend servers register within a few seconds.
	settleTime = 800 * time.Millisecond
	// requestMemoryFraction is the fraction of the most even plan's memory for requests that the
	// plan keeps. The memory gained holds more layers on the fastest kinds, which shortens the time
	// of each token: it passes all layers one after the other.
	requestMemoryFraction = 0.36
	// lapseTimeout is the time for which the layers of a backend server with a missing entry are
	// not given to others. Entries lapse while a data centre is cut off. When the connection is
	// restored, its backend servers still hold their layers.
	lapseTimeout = 3 * time.Second
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
	for _, p := range w.ConfiguredPipelines() {
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
		if !ok || s.ListedService != p.Config.Name || s.State != rocktable.StateLive && !lapsed || rockretry.IsForeign(now, s) {
			continue
		}
		h := &holder{server: s, memoryMB: kind.MemoryMB, lapsed: lapsed}
		holdsLayers := s.Status.Model == p.Config.Model && s.Status.LastLayer >= s.Status.FirstLayer
		planned := w.Plan.Get(s.ID)
		switch {
		case holdsLayers && !s.Status.IsWithin(p.Config.Layers):
			continue // the entry of another writer, which names no backend server
		case planned != nil && planned.LastLayer < p.Config.Layers:
			h.from, h.to = planned.FirstLayer, planned.LastLayer+1
		case holdsLayers:
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
