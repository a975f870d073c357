package rockroute

import (
	"math"
	"slices"
	"time"

	"sassafrasrock/core/rockadmit"
	"sassafrasrock/core/rocktable"
)

const (
	// maxRepaths limits the moves of one attempt: each makes new stages read all tokens so far.
	maxRepaths = 3
	// keptPart is the part of the cost of stages that an attempt already uses, since they keep its memory.
	keptPart = 0.2
)

// moveStalled moves the attempts that wait for a backend server to paths without it.
func moveStalled(now time.Time, w *rocktable.World) {
	for _, stall := range w.Inbox.Stalls {
		a := w.Attempts.Get(stall.Attempt)
		if a == nil || a.Canceled || a.Repaths >= maxRepaths {
			continue
		}
		r := w.Requests.Get(a.Request)
		if r == nil || r.State != rocktable.RequestRunning || a.Alone {
			continue
		}
		p := w.FullPathPipeline(r)
		if p == nil {
			continue
		}
		if path := detour(now, w, p, r, a, stall.Server); path != nil {
			move(now, w, p, r, a, path)
		}
	}
}

// detour returns a path with the first stage of an attempt and without the backend server that it waits for, or nil.
func detour(now time.Time, w *rocktable.World, p *rocktable.Pipeline, r *rocktable.Request, a *rocktable.Attempt, without rocktable.BackendServerID) []rocktable.Stage {
	first := a.Path[0]
	if first.Server == without {
		return nil // the request is known there only
	}
	f := newFields(now, w, []*rocktable.Pipeline{p})[0]
	prev := slices.IndexFunc(f.Servers, func(s *rocktable.BackendServer) bool { return s.ID == first.Server })
	from, found := slices.BinarySearch(f.Bounds, first.LastLayer+1)
	if prev < 0 || !found {
		return nil
	}
	job := newJob(now, w, r)
	f.setCrossing(&job, w)
	f.costs = f.costs[:0]
	for _, s := range f.Servers {
		kept := uses(a.Path, s.ID)
		if s.ID == without || !kept && !IsFree(w, s, r) {
			f.costs = append(f.costs, serverCost{})
			continue
		}
		c := job.cost(s)
		if kept {
			c.once, c.perLayer = c.once*keptPart, c.perLayer*keptPart
		}
		f.costs = append(f.costs, c)
	}
	f.search()
	best := f.rest(from, prev)
	if math.IsInf(best, 1) {
		return nil
	}
	return f.walk(w, walkFrom{limit: best, from: from, prev: prev, path: []rocktable.Stage{first}})
}

// move gives an attempt another path.
func move(now time.Time, w *rocktable.World, p *rocktable.Pipeline, r *rocktable.Request, a *rocktable.Attempt, path []rocktable.Stage) {
	rockadmit.Hold(w, a.Path, a.Memory, -1)
	rockadmit.Hold(w, path, a.Memory, 1)
	a.Path, a.ProgressAt = path, now
	a.Repaths++
	notePipes(now, w, p.Config.Engine, r, path)
	w.Outbox.Repaths = append(w.Outbox.Repaths, rocktable.Repath{Request: r.ID, Attempt: a.ID, Pipeline: p.Config, Path: path})
}
