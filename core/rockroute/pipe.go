package rockroute

import (
	"math"
	"time"

	"sassafrasrock/core/rockadmit"
	"sassafrasrock/core/rocktable"
)

const (
	// pipeWindow is the time constant, in seconds, of the load of a link.
	pipeWindow = 2.0
	// freePipe is the least part of a link's time that counts as free in the cost, so that the cost stays finite.
	freePipe = 0.02
	// pipeWeight is the factor of the time on a link in the cost of a path: the link is shared by all requests, and a path
	// that stays in its data centre costs the others nothing.
	pipeWeight = 6
)

// pipeTime returns the time in seconds for which the prompt of a request occupies the link between two data centres.
func pipeTime(e rocktable.EngineConfig, tokens float64) float64 {
	if e.PipeMbps <= 0 {
		return 0
	}
	return tokens * e.ActivationMB * 8 / e.PipeMbps
}

// setCrossing sets the costs of the ways between data centres for a search.
func (f *Field) setCrossing(j *job, w *rocktable.World) {
	n := len(f.centres)
	f.cross = make([]float64, n*n)
	if j.pipeline == nil {
		return
	}
	e := j.pipeline.Config.Engine
	hosts := float64(rockadmit.HostCount(w))
	for from := range n {
		for to := range n {
			if from == to {
				continue
			}
			load := hosts * pipeLoad(j.now, w.Pipes.Get(pipeKey(f.centres[from], f.centres[to])))
			wait := pipeTime(e, j.prompt+j.steps) / max(freePipe, 1-load)
			f.cross[from*n+to] = pipeWeight*wait + j.steps*hopSeconds
		}
	}
}

// pipeKey returns the key of the link between two data centres, which both directions share.
func pipeKey(a, b rocktable.DataCentreID) rocktable.PipeKey {
	return rocktable.PipeKey{One: min(a, b), Other: max(a, b)}
}

// pipeLoad returns the part of a link's time that this host uses.
func pipeLoad(now time.Time, p *rocktable.Pipe) float64 {
	if p == nil {
		return 0
	}
	return p.BusySeconds * math.Exp(-now.Sub(p.At).Seconds()/pipeWindow) / pipeWindow
}

// notePipes adds the prompt of a request to the load of the links that its path uses.
func notePipes(now time.Time, w *rocktable.World, e rocktable.EngineConfig, r *rocktable.Request, path []rocktable.Stage) {
	var last *rocktable.BackendServer
	for _, stage := range path {
		s := w.Servers.Get(stage.Server)
		if last != nil && s != nil && last.DataCentre != s.DataCentre {
			p := w.Pipes.GetOrPut(pipeKey(last.DataCentre, s.DataCentre))
			p.BusySeconds = p.BusySeconds*math.Exp(-now.Sub(p.At).Seconds()/pipeWindow) + pipeTime(e, float64(r.PromptTokens+r.Tokens)+e.AnswerTokens)
			p.At = now
		}
		last = s
	}
}
