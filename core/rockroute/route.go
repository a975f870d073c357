package rockroute

import (
	"time"

	"sassafrasrock/core/rockadmit"
	"sassafrasrock/core/rockcrash"
	"sassafrasrock/core/rockend"
	"sassafrasrock/core/rockpart"
	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rockretry"
	"sassafrasrock/core/rocktable"
)

const (
	// noPathWait is the time that requests wait for a path while the live backend servers do not
	// cover every layer.
	noPathWait = 2 * time.Second
	// searchInterval is the time between path searches for queued requests if no event can have
	// freed capacity.
	searchInterval = 50 * time.Millisecond
)

// System starts queued requests on paths.
var System = rocktable.System{
	Name:        "rockroute",
	Description: "Finds a path for each queued request, in the order of rockadmit, and starts it.",
	Run:         func(now time.Time, w *rocktable.World) { run(now, w, cheapestPath) },
}

// PathFunc returns a path for a request over backend servers with capacity, or nil.
type PathFunc func(now time.Time, w *rocktable.World, g *Graph, r *rocktable.Request) []rocktable.Stage

// SystemWith returns the system with another choice of paths. Suspects that run alone keep the
// built-in choice.
func SystemWith(choose PathFunc) rocktable.System {
	s := System
	s.Run = func(now time.Time, w *rocktable.World) { run(now, w, choose) }
	return s
}

func cheapestPath(now time.Time, w *rocktable.World, g *Graph, r *rocktable.Request) []rocktable.Stage {
	return g.Path(now, w, r, HasCapacity)
}

func run(now time.Time, w *rocktable.World, choose PathFunc) {
	markReportedPipelines(w)
	continueStalledAttempts(now, w)
	all := mayFreeCapacity(w)
	var due []*rocktable.Pipeline
	for _, p := range w.Pipelines.All() {
		arrived := len(w.Inbox.Arrivals) > 0 && !p.Backlogged
		switch {
		case p.Waiting == 0 && !p.Backlogged:
		case !all && !p.CapacityFreed && !arrived && now.Before(p.PathSearchAt.Add(searchInterval)):
			w.WakeAt(p.PathSearchAt.Add(searchInterval))
		default:
			due = append(due, p)
		}
	}
	if len(due) == 0 {
		return
	}
	graphs := newGraphs(now, w, due)
	for i, p := range due {
		p.PathSearchAt, p.CapacityFreed = now, false
		startWaiting(now, w, p, graphs[i], choose)
	}
}

// mayFreeCapacity reports whether an event of this tick may have freed capacity or changed the
// paths of any pipeline.
func mayFreeCapacity(w *rocktable.World) bool {
	in := &w.Inbox
	return len(in.Peers) > 0 || len(in.HostLists) > 0 || len(in.ConfigResults) > 0 || len(in.Drains) > 0 || len(in.Resets) > 0
}

// markReportedPipelines marks the pipelines with a backlog whose backend servers sent a status
// report.
func markReportedPipelines(w *rocktable.World) {
	for _, probe := range w.Inbox.Probes {
		s := w.Servers.Get(probe.Server)
		if s == nil || s.Role != rocktable.RoleModel {
			continue
		}
		for _, p := range w.Pipelines.All() {
			if p.Backlogged && holdsModel(s, p) {
				p.CapacityFreed = true
			}
		}
	}
}

// startWaiting starts queued requests of a pipeline until none is left or no path has capacity.
func startWaiting(now time.Time, w *rocktable.World, p *rocktable.Pipeline, g *Graph, choose PathFunc) {
	scheduler := rockadmit.NewScheduler(now, w, p)
	checked := false
	for r := scheduler.Next(now, w); r != nil; r = scheduler.Next(now, w) {
		if rockadmit.IsFirstTokenWindowFull(now, w, p, r) {
			scheduler.Hold(r)
			continue
		}
		path := findPath(now, w, g, p, r, choose)
		if path != nil {
			p.NoPathSince = time.Time{}
			scheduler.Start(now, w, r)
			startAttempt(now, w, r, path)
			continue
		}
		if !checked {
			checked = true
			updateNoPathSince(now, p, g)
		}
		if !p.NoPathSince.IsZero() && !now.Before(p.NoPathSince.Add(noPathWait)) {
			refuseWaiting(w, scheduler)
			break
		}
		scheduler.Defer(r)
	}
	scheduler.UpdateServiceRate(now)
	if p.Waiting == 0 {
		return
	}
	if !p.NoPathSince.IsZero() {
		w.WakeAt(latest(p.NoPathSince.Add(noPathWait), now.Add(searchInterval)))
		return
	}
	for _, lane := range scheduler.Lanes {
		if lane != nil && len(lane.FrontQueue) > 0 {
			w.WakeAt(now.Add(searchInterval))
		}
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// updateNoPathSince records the time since which the live backend servers do not cover every layer.
// A lack of free capacity does not count.
func updateNoPathSince(now time.Time, p *rocktable.Pipeline, g *Graph) {
	switch {
	case g.IsCovered():
		p.NoPathSince = time.Time{}
	case p.NoPathSince.IsZero():
		p.NoPathSince = now
	}
}

// refuseWaiting refuses the queued requests of a pipeline without a path. Requests that may have
// run stay queued until their stall limit.
func refuseWaiting(w *rocktable.World, scheduler *rockadmit.Scheduler) {
	for r := scheduler.RemoveNotRun(w); r != nil; r = scheduler.RemoveNotRun(w) {
		rockend.Refuse(w, r.ID, rockreason.NoPath, 0)
	}
}

// awaitsBudget reports whether a request waits for the shared budget of retries, and takes its next attempt from the
// budget if that has room.
func awaitsBudget(now time.Time, w *rocktable.World, r *rocktable.Request) bool {
	if r.AwaitsBudget && rockretry.SpendSharedBudget(now, w, r) {
		r.AwaitsBudget = false
	}
	if r.AwaitsBudget {
		w.WakeAt(now.Add(searchInterval))
	}
	return r.AwaitsBudget
}

func findPath(now time.Time, w *rocktable.World, g *Graph, p *rocktable.Pipeline, r *rocktable.Request, choose PathFunc) []rocktable.Stage {
	if now.Before(r.NotBefore) {
		w.WakeAt(r.NotBefore)
		return nil
	}
	if rockpart.MustWait(now, w, r) || awaitsBudget(now, w, r) {
		return nil
	}
	if r.Alone {
		if rockcrash.MustWait(w, r.Fingerprint) {
			return nil
		}
		return g.alonePath(now, w, p, r)
	}
	r.CapacityShare = rockadmit.CapacityShare(w, r)
	return choose(now, w, g, r)
}

// FindPath returns the cheapest path for a request, or nil if the backend servers with capacity do
// not cover every layer.
func FindPath(now time.Time, w *rocktable.World, r *rocktable.Request) []rocktable.Stage {
	p := w.Pipelines.Get(r.Pipeline)
	if p == nil {
		return nil
	}
	return findPath(now, w, newGraphs(now, w, []*rocktable.Pipeline{p})[0], p, r, cheapestPath)
}

func startAttempt(now time.Time, w *rocktable.World, r *rocktable.Request, path []rocktable.Stage) {
	id := w.NextAttempt()
	r.Epoch++
	r.Attempts++
	r.Attempt, r.State, r.MayHaveRun = id, rocktable.RequestRunning, true
	rank := w.Ranks.Get(r.Rank)
	memory, stepLimit, firstTokenLimit := 0.0, rockretry.StepLimit(rank.Config), rockretry.FirstTokenLimit(rank.Config)
	waitLimit := rockretry.WaitLimit(now, rank.Config, r)
	if p := w.FullPathPipeline(r); p != nil {
		memory = memoryPerLayer(p, r)
		stepLimit, firstTokenLimit = rockretry.EventLimit(rank.Config), rockretry.FirstEventLimit(rank.Config)
		recordLinkLoad(now, w, p.Config.Engine, r, path)
	}
	rockadmit.AdjustLoad(w, path, memory, 1)
	for _, stage := range path {
		if memory > 0 {
			rockretry.StartTrial(now, w, w.Servers.Get(stage.Server))
		}
	}
	if r.Alone {
		if s := w.Suspects.Get(r.Fingerprint); s != nil {
			s.RunsAlone = true
		}
	}
	recordPrefixes(w, r, path)
	w.Attempts.Put(id, rocktable.Attempt{ID: id, Request: r.ID, Epoch: r.Epoch, Path: path, StartedAt: now, ProgressAt: now, Alone: r.Alone, Memory: memory})
	w.Outbox.Starts = append(w.Outbox.Starts, rocktable.Start{
		Request:         r.ID,
		Attempt:         id,
		Epoch:           r.Epoch,
		Pipeline:        w.Pipelines.Get(r.Pipeline).Config,
		Path:            path,
		Priority:        rank.Position,
		Alone:           r.Alone,
		StepLimit:       stepLimit,
		FirstTokenLimit: firstTokenLimit,
		WaitLimit:       waitLimit,
		SilenceLimit:    rockretry.SilenceLimit(rank.Config),
		Deadline:        r.Deadline,
	})
}
