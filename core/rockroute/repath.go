package rockroute

import (
	"cmp"
	"math"
	"slices"
	"time"

	"sassafrasrock/core/rockadmit"
	"sassafrasrock/core/rockretry"
	"sassafrasrock/core/rocktable"
)

const (
	// maxRepaths limits the moves of one attempt. After each move the new stages must process all
	// tokens so far.
	maxRepaths = 3
	// soundSilence is the time for which sound backend servers may be silent. Within it, an attempt is given up only if
	// another path has room, because the request may find none later.
	soundSilence = 1200 * time.Millisecond
	// keptStageFactor multiplies the cost of stages that an attempt already uses, because they keep
	// its KV cache.
	keptStageFactor = 0.2
)

// continueStalledAttempts lets each request whose attempt waits for a stalled backend server go on without it: on
// another path, or with another attempt. An attempt whose request cannot go on keeps waiting.
func continueStalledAttempts(now time.Time, w *rocktable.World) {
	if len(w.Inbox.Stalls) == 0 {
		return
	}
	graphs := make(map[rocktable.PipelineID]*Graph) // a silent server stalls many attempts of a pipeline at once
	var reserved []reservedPath
	for _, stall := range urgentFirst(w, w.Inbox.Stalls) {
		r, a, p := stalledRequest(w, stall)
		if r == nil {
			continue
		}
		if stall.Session {
			abandonSessions(now, w, r, a, stall.Server)
			continue
		}
		if !acceptStall(w, a, stall) {
			continue
		}
		if graphs[p.ID] == nil {
			graphs[p.ID] = newGraphs(now, w, []*rocktable.Pipeline{p})[0]
		}
		if stall.Unmovable {
			if path, abandoned := abandonAttempt(now, w, graphs[p.ID], r, a, stall.Server); abandoned {
				// The next stalled attempts of this tick need room besides this one.
				res := reservedPath{path, memoryPerLayer(p, r)}
				rockadmit.AdjustLoad(w, res.path, res.memory, 1)
				reserved = append(reserved, res)
				continue
			}
		}
		if a.Repaths >= maxRepaths || a.Alone {
			continue
		}
		if path := pathWithout(now, w, graphs[p.ID], r, a, stall.Server, stall.RefusedBy); path != nil {
			moveAttempt(now, w, p, r, a, path)
		}
	}
	for _, res := range reserved {
		rockadmit.AdjustLoad(w, res.path, res.memory, -1)
	}
}

// urgentFirst returns the stalls in the order in which their attempts choose among the paths that are left: by rank, the
// most urgent one first, and as reported within a rank.
func urgentFirst(w *rocktable.World, stalls []rocktable.Stall) []rocktable.Stall {
	position := func(stall rocktable.Stall) int {
		if a := w.Attempts.Get(stall.Attempt); a != nil {
			if r := w.Requests.Get(a.Request); r != nil {
				if rank := w.Ranks.Get(r.Rank); rank != nil {
					return rank.Position
				}
			}
		}
		return math.MaxInt
	}
	ordered := slices.Clone(stalls)
	slices.SortStableFunc(ordered, func(a, b rocktable.Stall) int { return cmp.Compare(position(a), position(b)) })
	return ordered
}

// acceptStall reports whether a stall asks for a new path, and takes back a move that it reports as refused. A refused move is
// tried once more without the stage that refused it, since each order takes some of the time in which the stream has to
// go on.
func acceptStall(w *rocktable.World, a *rocktable.Attempt, stall rocktable.Stall) bool {
	if stall.RefusedMove == 0 {
		a.MoveRefused = false
		return stall.Unmovable || uses(a.Path, stall.Server) // otherwise it has been moved away already
	}
	if stall.RefusedMove != a.Moves || a.PathBefore == nil {
		return false // a later move replaced it
	}
	rockadmit.AdjustLoad(w, a.Path, a.Memory, -1)
	rockadmit.AdjustLoad(w, a.PathBefore, a.Memory, 1)
	a.Path, a.PathBefore = a.PathBefore, nil
	a.Repaths--
	again := !a.MoveRefused && stall.Server != 0 && stall.RefusedBy != 0
	a.MoveRefused = true
	return again
}

// stalledRequest returns the running request whose attempt a stall reports, the attempt and the pipeline, or nil if there
// is none any more. The pipeline is nil for an attempt with sessions on single stages.
func stalledRequest(w *rocktable.World, stall rocktable.Stall) (*rocktable.Request, *rocktable.Attempt, *rocktable.Pipeline) {
	a := w.Attempts.Get(stall.Attempt)
	if a == nil || a.Canceled || a.Abandoned {
		return nil, nil, nil
	}
	r := w.Requests.Get(a.Request)
	if r == nil || r.State != rocktable.RequestRunning {
		return nil, nil, nil
	}
	p := w.FullPathPipeline(r)
	if p == nil && !stall.Session {
		return nil, nil, nil
	}
	return r, a, p
}

// abandonSessions ends an attempt with sessions on single stages that waits for a backend server, if the request can go
// on with another one.
func abandonSessions(now time.Time, w *rocktable.World, r *rocktable.Request, a *rocktable.Attempt, server rocktable.BackendServerID) {
	if s := w.Servers.Get(server); s != nil && !rockretry.IsLastRun(r) && rockretry.GrantRetry(now, w, r, a, s) {
		endAbandoned(w, r, a, server)
	}
}

// endAbandoned ends an attempt because a backend server does not answer.
func endAbandoned(w *rocktable.World, r *rocktable.Request, a *rocktable.Attempt, server rocktable.BackendServerID) {
	a.Abandoned = true
	w.Outbox.Cancels = append(w.Outbox.Cancels, rocktable.Cancel{Request: r.ID, Attempt: a.ID, StalledServer: server})
}

// reservedPath is a path with room for a request that is about to start.
type reservedPath struct {
	path   []rocktable.Stage
	memory float64 // for each layer, in tokens
}

// abandonAttempt ends an attempt that waits for a backend server if the request can go on with another one. It reports
// whether it did, with the path that has room for the request, which is nil after soundSilence. Silence does
// not show that a backend server has failed, so that an attempt whose request cannot go on elsewhere keeps waiting.
func abandonAttempt(now time.Time, w *rocktable.World, g *Graph, r *rocktable.Request, a *rocktable.Attempt, server rocktable.BackendServerID) (path []rocktable.Stage, abandoned bool) {
	s := w.Servers.Get(server)
	if s == nil || rockretry.IsLastRun(r) {
		return nil, false
	}
	if a.StuckSince.IsZero() {
		a.StuckSince = now
	}
	if now.Sub(a.StuckSince) < soundSilence {
		if r.Alone {
			return nil, false // the search would change the reservations under the running attempt
		}
		if path = findPath(now, w, g, w.Pipelines.Get(r.Pipeline), r, cheapestPath); path == nil || uses(path, server) {
			return nil, false
		}
	}
	if !rockretry.GrantRetry(now, w, r, a, s) {
		return nil, false
	}
	endAbandoned(w, r, a, server)
	return path, true
}

// pathWithout returns a path that keeps the first stage of an attempt and excludes some backend
// servers, or nil.
func pathWithout(now time.Time, w *rocktable.World, g *Graph, r *rocktable.Request, a *rocktable.Attempt, without ...rocktable.BackendServerID) []rocktable.Stage {
	first := a.Path[0]
	if slices.Contains(without, first.Server) {
		return nil // only the engine of the first stage has the request
	}
	prev := slices.IndexFunc(g.Servers, func(s *rocktable.BackendServer) bool { return s.ID == first.Server })
	from, found := slices.BinarySearch(g.Boundaries, first.LastLayer+1)
	if prev < 0 || !found {
		return nil
	}
	model := newCostModel(now, w, r)
	g.setCrossCosts(&model, w)
	g.serverCosts = g.serverCosts[:0]
	for _, s := range g.Servers {
		kept := uses(a.Path, s.ID)
		if slices.Contains(without, s.ID) || !kept && !HasCapacity(w, s, r) {
			g.serverCosts = append(g.serverCosts, serverCost{})
			continue
		}
		c := model.cost(s)
		if kept {
			c.fixed, c.perLayer = c.fixed*keptStageFactor, c.perLayer*keptStageFactor
		}
		g.serverCosts = append(g.serverCosts, c)
	}
	g.search()
	best := g.costAfter(from, prev)
	if math.IsInf(best, 1) {
		return nil
	}
	return g.walk(w, walkStart{costLimit: best, from: from, prev: prev, path: []rocktable.Stage{first}})
}

// moveAttempt assigns another path to an attempt, adjusts the load of the backend servers and adds
// the move to the outbox.
func moveAttempt(now time.Time, w *rocktable.World, p *rocktable.Pipeline, r *rocktable.Request, a *rocktable.Attempt, path []rocktable.Stage) {
	rockadmit.AdjustLoad(w, a.Path, a.Memory, -1)
	rockadmit.AdjustLoad(w, path, a.Memory, 1)
	a.PathBefore, a.Path, a.ProgressAt = a.Path, path, now
	a.Repaths++
	a.Moves++
	recordLinkLoad(now, w, p.Config.Engine, r, path)
	w.Outbox.Repaths = append(w.Outbox.Repaths, rocktable.Repath{Request: r.ID, Attempt: a.ID, Pipeline: p.Config, Path: path, Move: a.Moves})
}
