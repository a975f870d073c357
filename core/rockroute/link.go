package rockroute

import (
	"math"
	"time"

	"sassafrasrock/core/rockadmit"
	"sassafrasrock/core/rocktable"
)

const (
	// linkDecaySeconds is the time constant with which the load of a link decays.
	linkDecaySeconds = 2.0
	// minFreeLinkFraction is the lower limit of the free fraction of a link's time in the cost,
	// which keeps the cost finite.
	minFreeLinkFraction = 0.02
	// linkCostFactor multiplies the time on a link in the cost of a path. All requests share the
	// link, and a path within one data centre does not use it.
	linkCostFactor = 6
)

// linkSeconds returns the time for which the given tokens of a request occupy the link between two
// data centres.
func linkSeconds(e rocktable.EngineConfig, tokens float64) float64 {
	if e.LinkMbps <= 0 {
		return 0
	}
	return tokens * e.ActivationMB * 8 / e.LinkMbps
}

// setCrossCosts sets the costs of transfers between data centres for a search.
func (g *Graph) setCrossCosts(m *costModel, w *rocktable.World) {
	n := len(g.centres)
	g.crossCosts = make([]float64, n*n)
	if m.pipeline == nil {
		return
	}
	e := m.pipeline.Config.Engine
	hosts := float64(rockadmit.HostCount(w))
	for from := range n {
		for to := range n {
			if from == to {
				continue
			}
			load := hosts * linkLoad(m.now, w.LinkLoads.Get(linkKey(g.centres[from], g.centres[to])))
			wait := linkSeconds(e, m.prefillTokens+m.decodeTokens) / max(minFreeLinkFraction, 1-load)
			g.crossCosts[from*n+to] = linkCostFactor*wait + m.decodeTokens*dataCentreTransferSeconds
		}
	}
}

// linkKey returns the key of the link between two data centres, which both directions share.
func linkKey(a, b rocktable.DataCentreID) rocktable.LinkKey {
	return rocktable.LinkKey{One: min(a, b), Other: max(a, b)}
}

// linkLoad returns the fraction of a link's time that this host uses.
func linkLoad(now time.Time, p *rocktable.LinkLoad) float64 {
	if p == nil {
		return 0
	}
	return p.BusySeconds * math.Exp(-now.Sub(p.At).Seconds()/linkDecaySeconds) / linkDecaySeconds
}

// recordLinkLoad adds the prompt and the expected answer of a request to the load of the links that
// its path uses.
func recordLinkLoad(now time.Time, w *rocktable.World, e rocktable.EngineConfig, r *rocktable.Request, path []rocktable.Stage) {
	var last *rocktable.BackendServer
	for _, stage := range path {
		s := w.Servers.Get(stage.Server)
		if last != nil && s != nil && last.DataCentre != s.DataCentre {
			p := w.LinkLoads.GetOrPut(linkKey(last.DataCentre, s.DataCentre))
			p.BusySeconds = p.BusySeconds*math.Exp(-now.Sub(p.At).Seconds()/linkDecaySeconds) + linkSeconds(e, float64(r.PromptTokens+r.Tokens)+e.AnswerTokens)
			p.At = now
		}
		last = s
	}
}
