package rockroute

import (
	"math"
	"slices"
	"time"

	"sassafrasrock/core/rockretry"
	"sassafrasrock/core/rocktable"
)

// nearBestFactor limits the paths among which one is chosen at random: their cost is at most this
// factor times the least cost. Without the random choice, hosts with the same late reports would all
// choose the same backend server.
const nearBestFactor = 1.1

// Graph holds the live backend servers of one pipeline as a graph for the path searches of one
// tick. The nodes are layer boundaries; an edge is a stage on a backend server.
type Graph struct {
	Servers     []*rocktable.BackendServer
	Boundaries  []int   // layer boundaries at which a stage may begin or end, ascending; the last is the end of the model
	ServersFrom [][]int // by position in Boundaries: positions in Servers that may run a stage from there

	serverCosts []serverCost             // of the current search, by position in Servers
	leastCosts  []float64                // least cost from a boundary to the end of the model, by position in Boundaries
	suffixCosts []suffixCost             // by position in Boundaries times the number of centres, plus position in centres
	centres     []rocktable.DataCentreID // data centres of the servers
	centreOf    []int                    // position in centres, by position in Servers
	crossCosts  []float64                // transfer costs between data centres, in seconds; row: sender, column: receiver
	edges       []edge                   // scratch space of walk
}

// serverCost is the cost of a stage on a backend server, in seconds.
type serverCost struct {
	usable       bool
	noFirstStage bool    // all its slots are taken by requests whose first stage runs there
	asFirstStage float64 // added if it runs the first stage
	fixed        float64 // for the stage as a whole
	perLayer     float64
}

type edge struct {
	server, to int
	cost       float64
}

// holdsModel reports whether a backend server holds layers of the pipeline's model. Another writer may have left an entry
// with layers that the model does not have.
func holdsModel(s *rocktable.BackendServer, p *rocktable.Pipeline) bool {
	if s.ListedService != "" && s.ListedService != p.Config.Name {
		return false
	}
	return s.Status.Model == p.Config.Model && s.Status.Version == p.Config.Version && s.Status.IsWithin(p.Config.Layers)
}

// newGraphs returns, for each pipeline, a graph of its live backend servers. The graph leaves out
// those with an open circuit breaker if the others cover every layer.
func newGraphs(now time.Time, w *rocktable.World, pipelines []*rocktable.Pipeline) []*Graph {
	graphs := make([]*Graph, len(pipelines))
	for i := range graphs {
		graphs[i] = &Graph{Servers: make([]*rocktable.BackendServer, 0, w.Servers.Len()/len(pipelines))}
	}
	for _, s := range w.Servers.All() {
		if s.State != rocktable.StateLive || s.Role != rocktable.RoleModel || s.Drained {
			continue
		}
		if rockretry.IsForeign(now, s) {
			w.WakeAt(s.Foreign.ClosedUntil)
			continue
		}
		for i, p := range pipelines {
			if holdsModel(s, p) {
				graphs[i].Servers = append(graphs[i].Servers, s)
			}
		}
	}
	for i, g := range graphs {
		g.setBoundaries(pipelines[i].Config.Layers)
		g.setServersFrom()
		if reduced := g.withoutOpenBreakers(now, w, pipelines[i].Config.Layers); reduced != nil {
			graphs[i] = reduced
		}
	}
	return graphs
}

// withoutOpenBreakers returns g without the backend servers whose circuit breakers are open. It
// returns nil if no circuit breaker is open or the other backend servers don't cover every layer.
func (g *Graph) withoutOpenBreakers(now time.Time, w *rocktable.World, layers int) *Graph {
	isOpen := func(s *rocktable.BackendServer) bool {
		return rockretry.IsBreakerOpen(now, s) || rockretry.IsCentreBreakerOpen(now, w, s)
	}
	if !slices.ContainsFunc(g.Servers, isOpen) {
		return nil
	}
	rest := &Graph{Servers: slices.DeleteFunc(slices.Clone(g.Servers), isOpen)}
	rest.setBoundaries(layers)
	rest.setServersFrom()
	if !rest.IsCovered() {
		return nil
	}
	return rest
}

// setBoundaries collects the boundaries. A stage begins at the first layer of its backend server,
// unless the engine runs sub-ranges. It may end before the backend server's range does.
func (g *Graph) setBoundaries(layers int) {
	subRanges := slices.ContainsFunc(g.Servers, func(s *rocktable.BackendServer) bool { return s.Status.SubRanges })
	for _, s := range g.Servers {
		g.Boundaries = append(g.Boundaries, s.Status.FirstLayer)
		if subRanges {
			g.Boundaries = append(g.Boundaries, s.Status.LastLayer+1)
		}
	}
	slices.Sort(g.Boundaries)
	g.Boundaries = slices.Compact(g.Boundaries)
	i, _ := slices.BinarySearch(g.Boundaries, layers)
	g.Boundaries = append(g.Boundaries[:i], layers)
}

func (g *Graph) setServersFrom() {
	for _, s := range g.Servers {
		c := slices.Index(g.centres, s.DataCentre)
		if c < 0 {
			c = len(g.centres)
			g.centres = append(g.centres, s.DataCentre)
		}
		g.centreOf = append(g.centreOf, c)
	}
	g.ServersFrom = make([][]int, len(g.Boundaries))
	g.serverCosts = make([]serverCost, 0, len(g.Servers))
	g.ServersFrom[0] = make([]int, 0, len(g.Servers))
	for i, s := range g.Servers {
		from, _ := slices.BinarySearch(g.Boundaries, s.Status.FirstLayer)
		for ; from < len(g.Boundaries)-1 && g.Boundaries[from] <= s.Status.LastLayer; from++ {
			g.ServersFrom[from] = append(g.ServersFrom[from], i)
			if !s.Status.SubRanges {
				break
			}
		}
	}
}

// IsCovered reports whether the live backend servers cover every layer, regardless of their load.
func (g *Graph) IsCovered() bool {
	g.serverCosts, g.crossCosts = g.serverCosts[:0], make([]float64, len(g.centres)*len(g.centres))
	for range g.Servers {
		g.serverCosts = append(g.serverCosts, serverCost{usable: true, fixed: 1})
	}
	g.search()
	return g.Boundaries[0] == 0 && !math.IsInf(g.leastCosts[0], 1)
}

// Path returns a path over usable backend servers with a cost near the least, or nil.
func (g *Graph) Path(now time.Time, w *rocktable.World, r *rocktable.Request, usable func(*rocktable.World, *rocktable.BackendServer, *rocktable.Request) bool) []rocktable.Stage {
	g.serverCosts = g.serverCosts[:0]
	model := newCostModel(now, w, r)
	model.othersPerSlot = otherSessionsPerSlot(g.Servers)
	g.setCrossCosts(&model, w)
	for _, s := range g.Servers {
		if !usable(w, s, r) {
			g.serverCosts = append(g.serverCosts, serverCost{})
			continue
		}
		g.serverCosts = append(g.serverCosts, model.cost(s))
	}
	g.search()
	if g.Boundaries[0] != 0 || math.IsInf(g.leastCosts[0], 1) {
		return nil
	}
	path := g.walk(w, walkStart{costLimit: nearBestFactor * g.leastCosts[0], prev: -1})
	if path == nil {
		path = g.walk(w, walkStart{costLimit: g.leastCosts[0], prev: -1})
	}
	return path
}

// search computes the least cost from each boundary to the end of the model, for each data centre
// in which the stage before the boundary may run.
func (g *Graph) search() {
	last := len(g.Boundaries) - 1
	g.leastCosts = slices.Grow(g.leastCosts[:0], last+1)[:last+1]
	g.suffixCosts = slices.Grow(g.suffixCosts[:0], (last+1)*len(g.centres))[:(last+1)*len(g.centres)]
	g.leastCosts[last] = 0
	for c := range g.centres {
		g.suffixCosts[last*len(g.centres)+c] = suffixCost{server: -1}
	}
	for from := last - 1; from >= 0; from-- {
		g.leastCosts[from] = math.Inf(1)
		row := g.suffixCosts[from*len(g.centres) : (from+1)*len(g.centres)]
		for c := range row {
			row[c] = suffixCost{least: math.Inf(1), secondLeast: math.Inf(1), server: -1}
		}
		for _, i := range g.ServersFrom[from] {
			if !g.serverCosts[i].usable {
				continue
			}
			cost := g.leastCostVia(i, from)
			if from == 0 && g.serverCosts[i].noFirstStage {
				continue
			}
			g.leastCosts[from] = min(g.leastCosts[from], cost+g.serverCosts[i].asFirstStage)
			for c := range row {
				row[c].add(i, cost+g.crossCost(c, i))
			}
		}
	}
}

// suffixCost is the least cost from a boundary to the end of the model if the stage before the
// boundary runs in a certain data centre.
type suffixCost struct {
	least       float64
	server      int     // position in Servers of the first stage of the cheapest path; -1 if there is none
	secondLeast float64 // least cost of a path whose first stage runs on another backend server
}

func (c *suffixCost) add(server int, cost float64) {
	switch {
	case cost < c.least:
		c.least, c.secondLeast, c.server = cost, c.least, server
	case cost < c.secondLeast:
		c.secondLeast = cost
	}
}

// crossCost returns the cost of the transfer from a stage in a data centre to a stage on server i.
func (g *Graph) crossCost(centre, i int) float64 {
	return g.crossCosts[centre*len(g.centres)+g.centreOf[i]]
}

// costAfter returns the least cost from a boundary to the end of the model after a stage on server
// i. The next stage runs on another backend server.
func (g *Graph) costAfter(to, i int) float64 {
	c := &g.suffixCosts[to*len(g.centres)+g.centreOf[i]]
	if c.server == i {
		return c.secondLeast
	}
	return c.least
}

// leastCostVia returns the least cost to the end of the model of a path whose next stage runs on
// server i.
func (g *Graph) leastCostVia(i, from int) float64 {
	least := math.Inf(1)
	for to := from + 1; g.canEnd(i, to); to++ {
		least = min(least, g.stageCost(i, from, to)+g.costAfter(to, i))
	}
	return least
}

// canEnd reports whether a stage on server i can end at a boundary.
func (g *Graph) canEnd(i, to int) bool {
	return to < len(g.Boundaries) && g.Boundaries[to] <= g.Servers[i].Status.LastLayer+1
}

func (g *Graph) stageCost(i, from, to int) float64 {
	c := &g.serverCosts[i]
	return c.fixed + c.perLayer*float64(g.Boundaries[to]-g.Boundaries[from])
}

// walkStart is the position from which a walk completes a path, and the limit of its cost.
type walkStart struct {
	costLimit float64           // cost in seconds that the walk may add
	from      int               // position in Boundaries
	prev      int               // position in Servers of the stage before; -1 at the beginning of the model
	path      []rocktable.Stage // stages chosen before
}

// walk completes a path over randomly chosen edges within the cost limit. The search does not
// exclude paths that use a backend server twice. walk returns nil if it reaches a boundary from
// which only backend servers continue that the path already uses.
func (g *Graph) walk(w *rocktable.World, begin walkStart) []rocktable.Stage {
	const tolerance = 1e-9 // relative; the walk and the search add costs in different orders
	path, limit, prev, spent := begin.path, begin.costLimit, begin.prev, 0.0
	for from := begin.from; from < len(g.Boundaries)-1; {
		g.edges = g.edges[:0]
		for _, i := range g.ServersFrom[from] {
			if !g.serverCosts[i].usable || prev < 0 && g.serverCosts[i].noFirstStage || uses(path, g.Servers[i].ID) {
				continue
			}
			for to := from + 1; g.canEnd(i, to); to++ {
				cost := g.stageCost(i, from, to)
				if prev < 0 {
					cost += g.serverCosts[i].asFirstStage
				} else {
					cost += g.crossCost(g.centreOf[prev], i)
				}
				if spent+cost+g.costAfter(to, i) <= limit*(1+tolerance) {
					g.edges = append(g.edges, edge{server: i, to: to, cost: cost})
				}
			}
		}
		if len(g.edges) == 0 {
			return nil
		}
		e := g.edges[w.Rand.IntN(len(g.edges))]
		s := g.Servers[e.server]
		path = append(path, rocktable.Stage{
			Server: s.ID, Name: s.Name, Address: s.Address, FirstLayer: g.Boundaries[from], LastLayer: g.Boundaries[e.to] - 1, Incarnation: s.Incarnation,
			Resume: s.Status.Resume,
		})
		spent += e.cost
		prev = e.server
		from = e.to
	}
	return path
}

func uses(path []rocktable.Stage, id rocktable.BackendServerID) bool {
	return slices.ContainsFunc(path, func(stage rocktable.Stage) bool { return stage.Server == id })
}
