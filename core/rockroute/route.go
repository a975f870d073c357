package rockroute

import (
	"time"

	"sassafrasrock/core/rockadmit"
	"sassafrasrock/core/rocktable"
)

// System starts waiting requests on paths.
var System = rocktable.System{
	Name: "rockroute",
	Doc:  "Finds a path for each waiting request, in the order of rockadmit, and starts it.",
	Run:  run,
}

func run(now time.Time, w *rocktable.World) {
	skip := make(map[rocktable.RequestID]bool)
	for r := rockadmit.Next(now, w, skip); r != nil; r = rockadmit.Next(now, w, skip) {
		path := FindPath(now, w, r)
		if path == nil {
			skip[r.ID] = true
			continue
		}
		rockadmit.Remove(w, r)
		start(now, w, r, path)
	}
}

// FindPath returns the cheapest path for the request, or nil if no free backend servers cover every layer.
func FindPath(now time.Time, w *rocktable.World, r *rocktable.Request) []rocktable.Stage {
	p := w.Pipelines.Get(r.Pipeline)
	if p == nil {
		return nil
	}
	var path []rocktable.Stage
	for layer := 0; layer < p.Config.Layers; {
		s := pick(w, p, r, layer)
		if s == nil {
			return nil
		}
		path = append(path, rocktable.Stage{Server: s.ID, Address: s.Address, FirstLayer: layer, LastLayer: s.Status.LastLayer})
		layer = s.Status.LastLayer + 1
	}
	return path
}

// pick returns the backend server with the fewest attempts whose range begins at the layer.
func pick(w *rocktable.World, p *rocktable.Pipeline, r *rocktable.Request, layer int) *rocktable.BackendServer {
	var best *rocktable.BackendServer
	for _, s := range w.Servers.All() {
		fits := s.State == rocktable.StateLive && s.Role == rocktable.RoleModel && s.Status.Model == p.Config.Model &&
			s.Status.FirstLayer == layer && s.InFlight < s.Status.Slots && !avoids(r, s.ID)
		if fits && (best == nil || s.InFlight < best.InFlight) {
			best = s
		}
	}
	return best
}

func avoids(r *rocktable.Request, id rocktable.BackendServerID) bool {
	for _, avoid := range r.Avoid {
		if avoid == id {
			return true
		}
	}
	return false
}

func start(now time.Time, w *rocktable.World, r *rocktable.Request, path []rocktable.Stage) {
	id := w.NextAttempt()
	r.Epoch++
	r.Attempts++
	r.Attempt, r.State = id, rocktable.RequestRunning
	for _, stage := range path {
		s := w.Servers.Get(stage.Server)
		s.InFlight++
		s.SentSince++
	}
	w.Attempts.Put(id, rocktable.Attempt{ID: id, Request: r.ID, Epoch: r.Epoch, Path: path, Started: now, Progress: now})
	rank := w.Ranks.Get(r.Rank)
	w.Outbox.Starts = append(w.Outbox.Starts, rocktable.Start{
		Request:   r.ID,
		Attempt:   id,
		Epoch:     r.Epoch,
		Pipeline:  w.Pipelines.Get(r.Pipeline).Config,
		Path:      path,
		Priority:  r.Rank,
		Alone:     r.Alone,
		StepLimit: max(10*rank.Config.Gap(), 2*time.Second),
		OpenLimit: max(4*rank.Config.FirstToken(), 5*time.Second),
	})
}
