package rockroute

import (
	"time"

	"sassafrasrock/core/rockadmit"
	"sassafrasrock/core/rockcrash"
	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rockretry"
	"sassafrasrock/core/rocktable"
)

const (
	// noPathWait is the time that requests wait for a path when no live backend servers cover every layer.
	noPathWait = 2 * time.Second
	// retryEvery is the time between searches for places when no event can have freed one.
	retryEvery = 50 * time.Millisecond
)

// System starts waiting requests on paths.
var System = rocktable.System{
	Name: "rockroute",
	Doc:  "Finds a path for each waiting request, in the order of rockadmit, and starts it.",
	Run:  func(now time.Time, w *rocktable.World) { run(now, w, cheapest) },
}

// Find returns a path for a request over free backend servers, or nil.
type Find func(now time.Time, w *rocktable.World, f *Field, r *rocktable.Request) []rocktable.Stage

// SystemWith returns the system with another choice of paths, except for suspects, which run alone.
func SystemWith(choose Find) rocktable.System {
	s := System
	s.Run = func(now time.Time, w *rocktable.World) { run(now, w, choose) }
	return s
}

func cheapest(now time.Time, w *rocktable.World, f *Field, r *rocktable.Request) []rocktable.Stage {
	return f.Path(now, w, r, IsFree)
}

func run(now time.Time, w *rocktable.World, choose Find) {
	noteProbes(w)
	moveStalled(now, w)
	all := mayHaveFreed(w)
	var due []*rocktable.Pipeline
	for _, p := range w.Pipelines.All() {
		arrived := len(w.Inbox.Arrivals) > 0 && !p.Backlogged
		switch {
		case p.Waiting == 0 && !p.Backlogged:
		case !all && !p.CapacityFreed && !arrived && now.Before(p.PathSearchAt.Add(retryEvery)):
			w.WakeAt(p.PathSearchAt.Add(retryEvery))
		default:
			due = append(due, p)
		}
	}
	if len(due) == 0 {
		return
	}
	fields := newFields(now, w, due)
	for i, p := range due {
		p.PathSearchAt, p.CapacityFreed = now, false
		serve(now, w, p, fields[i], choose)
	}
}

// mayHaveFreed reports whether an event of this tick can have freed places or changed the paths of any pipeline.
func mayHaveFreed(w *rocktable.World) bool {
	in := &w.Inbox
	return len(in.Peers) > 0 || len(in.HostLists) > 0 || len(in.ConfigResults) > 0 || len(in.Drains) > 0 || len(in.Resets) > 0
}

// noteProbes marks the pipelines whose backend servers reported.
func noteProbes(w *rocktable.World) {
	for _, probe := range w.Inbox.Probes {
		s := w.Servers.Get(probe.Server)
		if s == nil || s.Role != rocktable.RoleModel {
			continue
		}
		for _, p := range w.Pipelines.All() {
			if p.Backlogged && carries(s, p) {
				p.CapacityFreed = true
			}
		}
	}
}

// serve starts requests of a pipeline until no place or no request is left.
func serve(now time.Time, w *rocktable.World, p *rocktable.Pipeline, f *Field, choose Find) {
	turn := rockadmit.NewTurn(now, w, p)
	checked := false
	for r := turn.Next(now, w); r != nil; r = turn.Next(now, w) {
		path := find(now, w, f, p, r, choose)
		if path != nil {
			p.NoPathSince = time.Time{}
			turn.Take(now, w, r)
			start(now, w, r, path)
			continue
		}
		if !checked {
			checked = true
			notePath(now, p, f)
		}
		if !p.NoPathSince.IsZero() && !now.Before(p.NoPathSince.Add(noPathWait)) {
			refuseWaiting(w, turn)
			break
		}
		turn.Hold(r)
	}
	turn.Close(now)
	if p.Waiting == 0 {
		return
	}
	if !p.NoPathSince.IsZero() {
		w.WakeAt(latest(p.NoPathSince.Add(noPathWait), now.Add(retryEvery)))
		return
	}
	for _, lane := range turn.Lanes {
		if lane != nil && len(lane.FrontQueue) > 0 {
			w.WakeAt(now.Add(retryEvery))
		}
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// notePath tells no path from no free place.
func notePath(now time.Time, p *rocktable.Pipeline, f *Field) {
	switch {
	case f.IsCovered():
		p.NoPathSince = time.Time{}
	case p.NoPathSince.IsZero():
		p.NoPathSince = now
	}
}

// refuseWaiting refuses the waiting requests of a pipeline without a path. Requests that may have run stay, up to their stall limit.
func refuseWaiting(w *rocktable.World, turn *rockadmit.Turn) {
	for r := turn.Drop(w); r != nil; r = turn.Drop(w) {
		w.Answer(r.ID, rockreason.NoPath)
	}
}

func find(now time.Time, w *rocktable.World, f *Field, p *rocktable.Pipeline, r *rocktable.Request, choose Find) []rocktable.Stage {
	if now.Before(r.NotBefore) {
		w.WakeAt(r.NotBefore)
		return nil
	}
	if r.Alone {
		if rockcrash.MustWait(w, r.Fingerprint) {
			return nil
		}
		return f.alonePath(now, w, p, r)
	}
	return choose(now, w, f, r)
}

// FindPath returns the cheapest path for the request, or nil if no free backend servers cover every layer.
func FindPath(now time.Time, w *rocktable.World, r *rocktable.Request) []rocktable.Stage {
	p := w.Pipelines.Get(r.Pipeline)
	if p == nil {
		return nil
	}
	return find(now, w, newFields(now, w, []*rocktable.Pipeline{p})[0], p, r, cheapest)
}

func start(now time.Time, w *rocktable.World, r *rocktable.Request, path []rocktable.Stage) {
	id := w.NextAttempt()
	r.Epoch++
	r.Attempts++
	r.Attempt, r.State, r.MayHaveRun = id, rocktable.RequestRunning, true
	rank := w.Ranks.Get(r.Rank)
	memory, step, open := 0.0, rockretry.StepLimit(rank.Config), rockretry.OpenLimit(rank.Config)
	if p := w.FullPathPipeline(r); p != nil {
		memory = memoryOf(p, r)
		step, open = rockretry.EventLimit(rank.Config), rockretry.FirstEventLimit(rank.Config)
		notePipes(now, w, p.Config.Engine, r, path)
	}
	rockadmit.Hold(w, path, memory, 1)
	for _, stage := range path {
		if memory > 0 {
			rockretry.NoteTest(now, w, w.Servers.Get(stage.Server))
		}
	}
	if r.Alone {
		if s := w.Suspects.Get(r.Fingerprint); s != nil {
			s.RunsAlone = true
		}
	}
	notePrefixes(w, r, path)
	w.Attempts.Put(id, rocktable.Attempt{ID: id, Request: r.ID, Epoch: r.Epoch, Path: path, StartedAt: now, ProgressAt: now, Alone: r.Alone, Memory: memory})
	w.Outbox.Starts = append(w.Outbox.Starts, rocktable.Start{
		Request:         r.ID,
		Attempt:         id,
		Epoch:           r.Epoch,
		Pipeline:        w.Pipelines.Get(r.Pipeline).Config,
		Path:            path,
		Priority:        r.Rank,
		Alone:           r.Alone,
		StepLimit:       step,
		FirstTokenLimit: open,
		SilenceLimit:    rockretry.AskLimit(rank.Config),
		Deadline:        r.Deadline,
	})
}
