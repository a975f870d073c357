package rockroute

import (
	"math"
	"slices"
	"time"

	"sassafrasrock/core/rockretry"
	"sassafrasrock/core/rocktable"
)

// nearBestFactor is the factor of the least cost up to which paths are chosen at random. Without
// the random choice, hosts with the same late reports would all choose the same backend server.
const nearBestFactor = 1.1

// Field holds the live backend servers of one pipeline as a graph for the path searches of one
// tick. The nodes are layer boundaries; an edge is a stage on a backend server.
type Field struct {
	Servers []*rocktable.BackendServer
	Bounds  []int   // layer boundaries at which a stage may begin or end, ascending; the last is the end of the model
	Begin   [][]int // positions in Servers of those that may run a stage from a boundary, by position in Bounds

	serverCosts []serverCost             // of the current search, by position in Servers
	leastCosts  []float64                // least cost from a boundary to the end of the model, by position in Bounds
	suffixCosts []suffixCost             // by position in Bounds times the number of centres, plus position in centres
	centres     []rocktable.DataCentreID // data centres of the servers
	centreOf    []int                    // position in centres, by position in Servers
	crossCosts  []float64                // cost in seconds of a transfer between data centres; row of the sender, column of the receiver
	edges       []edge                   // scratch space of walk
}

// serverCost is the cost of a stage on a backend server, in seconds.
type serverCost struct {
	usable       bool
	noFirstStage bool    // its slots are taken by requests whose first stage it is
	asFirstStage float64 // added if it runs the first stage
	fixed        float64 // for the stage as a whole
	perLayer     float64
}

type edge struct {
	server, to int
	cost       float64
}

// holdsModel reports whether a backend server holds layers of the pipeline's model.
func holdsModel(s *rocktable.BackendServer, p *rocktable.Pipeline) bool {
	if s.ListedService != "" && s.ListedService != p.Config.Name {
		return false
	}
	return s.Status.Model == p.Config.Model && s.Status.Version == p.Config.Version
}

// newFields returns the live backend servers of each pipeline. It leaves out those with an open
// circuit breaker if the others cover every layer.
func newFields(now time.Time, w *rocktable.World, pipelines []*rocktable.Pipeline) []*Field {
	fields := make([]*Field, len(pipelines))
	for i := range fields {
		fields[i] = &Field{Servers: make([]*rocktable.BackendServer, 0, w.Servers.Len()/len(pipelines))}
	}
	for _, s := range w.Servers.All() {
		if s.State != rocktable.StateLive || s.Role != rocktable.RoleModel || s.Drained {
			continue
		}
		for i, p := range pipelines {
			if holdsModel(s, p) {
				fields[i].Servers = append(fields[i].Servers, s)
			}
		}
	}
	for i, f := range fields {
		f.setBounds(pipelines[i].Config.Layers)
		f.setBegin()
		if closed := f.withoutOpenBreakers(now, w, pipelines[i].Config.Layers); closed != nil {
			fields[i] = closed
		}
	}
	return fields
}

// withoutOpenBreakers returns f without the backend servers whose circuit breakers are open. It
// returns nil if no circuit breaker is open or the other backend servers don't cover every layer.
func (f *Field) withoutOpenBreakers(now time.Time, w *rocktable.World, layers int) *Field {
	isOpen := func(s *rocktable.BackendServer) bool {
		return rockretry.IsBreakerOpen(now, s) || rockretry.IsCentreOpen(now, w, s)
	}
	if !slices.ContainsFunc(f.Servers, isOpen) {
		return nil
	}
	rest := &Field{Servers: slices.DeleteFunc(slices.Clone(f.Servers), isOpen)}
	rest.setBounds(layers)
	rest.setBegin()
	if !rest.IsCovered() {
		return nil
	}
	return rest
}

// setBounds collects the boundaries. A stage begins at the first layer of its backend server,
// unless the engine runs sub-ranges. It may end before the backend server's range does.
func (f *Field) setBounds(layers int) {
	subRanges := slices.ContainsFunc(f.Servers, func(s *rocktable.BackendServer) bool { return s.Status.SubRanges })
	for _, s := range f.Servers {
		f.Bounds = append(f.Bounds, s.Status.FirstLayer)
		if subRanges {
			f.Bounds = append(f.Bounds, s.Status.LastLayer+1)
		}
	}
	slices.Sort(f.Bounds)
	f.Bounds = slices.Compact(f.Bounds)
	i, _ := slices.BinarySearch(f.Bounds, layers)
	f.Bounds = append(f.Bounds[:i], layers)
}

func (f *Field) setBegin() {
	for _, s := range f.Servers {
		c := slices.Index(f.centres, s.DataCentre)
		if c < 0 {
			c = len(f.centres)
			f.centres = append(f.centres, s.DataCentre)
		}
		f.centreOf = append(f.centreOf, c)
	}
	f.Begin = make([][]int, len(f.Bounds))
	f.serverCosts = make([]serverCost, 0, len(f.Servers))
	f.Begin[0] = make([]int, 0, len(f.Servers))
	for i, s := range f.Servers {
		from, _ := slices.BinarySearch(f.Bounds, s.Status.FirstLayer)
		for ; from < len(f.Bounds)-1 && f.Bounds[from] <= s.Status.LastLayer; from++ {
			f.Begin[from] = append(f.Begin[from], i)
			if !s.Status.SubRanges {
				break
			}
		}
	}
}

// IsCovered reports whether the live backend servers cover every layer, regardless of their load.
func (f *Field) IsCovered() bool {
	f.serverCosts, f.crossCosts = f.serverCosts[:0], make([]float64, len(f.centres)*len(f.centres))
	for range f.Servers {
		f.serverCosts = append(f.serverCosts, serverCost{usable: true, fixed: 1})
	}
	f.search()
	return f.Bounds[0] == 0 && !math.IsInf(f.leastCosts[0], 1)
}

// Path returns a path over usable backend servers with a cost near the least, or nil.
func (f *Field) Path(now time.Time, w *rocktable.World, r *rocktable.Request, usable func(*rocktable.World, *rocktable.BackendServer, *rocktable.Request) bool) []rocktable.Stage {
	f.serverCosts = f.serverCosts[:0]
	model := newCostModel(now, w, r)
	model.othersPerSlot = otherSessionsPerSlot(f.Servers)
	f.setCrossCosts(&model, w)
	for _, s := range f.Servers {
		if !usable(w, s, r) {
			f.serverCosts = append(f.serverCosts, serverCost{})
			continue
		}
		f.serverCosts = append(f.serverCosts, model.cost(s))
	}
	f.search()
	if f.Bounds[0] != 0 || math.IsInf(f.leastCosts[0], 1) {
		return nil
	}
	path := f.walk(w, walkStart{costLimit: nearBestFactor * f.leastCosts[0], prev: -1})
	if path == nil {
		path = f.walk(w, walkStart{costLimit: f.leastCosts[0], prev: -1})
	}
	return path
}

// search computes the least cost from each boundary to the end of the model, for each data centre
// in which the stage before the boundary may run.
func (f *Field) search() {
	last := len(f.Bounds) - 1
	f.leastCosts = slices.Grow(f.leastCosts[:0], last+1)[:last+1]
	f.suffixCosts = slices.Grow(f.suffixCosts[:0], (last+1)*len(f.centres))[:(last+1)*len(f.centres)]
	f.leastCosts[last] = 0
	for c := range f.centres {
		f.suffixCosts[last*len(f.centres)+c] = suffixCost{server: -1}
	}
	for from := last - 1; from >= 0; from-- {
		f.leastCosts[from] = math.Inf(1)
		row := f.suffixCosts[from*len(f.centres) : (from+1)*len(f.centres)]
		for c := range row {
			row[c] = suffixCost{least: math.Inf(1), secondLeast: math.Inf(1), server: -1}
		}
		for _, i := range f.Begin[from] {
			if !f.serverCosts[i].usable {
				continue
			}
			cost := f.leastCostVia(i, from)
			if from == 0 && f.serverCosts[i].noFirstStage {
				continue
			}
			f.leastCosts[from] = min(f.leastCosts[from], cost+f.serverCosts[i].asFirstStage)
			for c := range row {
				row[c].add(i, cost+f.crossCost(c, i))
			}
		}
	}
}

// suffixCost is the least cost from a boundary to the end of the model if the stage before the
// boundary runs in a certain data centre.
type suffixCost struct {
	least       float64
	server      int     // position in Servers of the first stage of the cheapest path from the boundary; -1 if there is none
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
func (f *Field) crossCost(centre, i int) float64 {
	return f.crossCosts[centre*len(f.centres)+f.centreOf[i]]
}

// costAfter returns the least cost from a boundary to the end of the model after a stage on server
// i. The next stage runs on another backend server.
func (f *Field) costAfter(to, i int) float64 {
	c := &f.suffixCosts[to*len(f.centres)+f.centreOf[i]]
	if c.server == i {
		return c.secondLeast
	}
	return c.least
}

// leastCostVia returns the least cost to the end of the model of a path whose next stage runs on
// server i.
func (f *Field) leastCostVia(i, from int) float64 {
	least := math.Inf(1)
	for to := from + 1; f.canEnd(i, to); to++ {
		least = min(least, f.stageCost(i, from, to)+f.costAfter(to, i))
	}
	return least
}

// canEnd reports whether a stage on server i can end at a boundary.
func (f *Field) canEnd(i, to int) bool {
	return to < len(f.Bounds) && f.Bounds[to] <= f.Servers[i].Status.LastLayer+1
}

func (f *Field) stageCost(i, from, to int) float64 {
	c := &f.serverCosts[i]
	return c.fixed + c.perLayer*float64(f.Bounds[to]-f.Bounds[from])
}

// walkStart is the position from which a walk completes a path, and the limit of its cost.
type walkStart struct {
	costLimit float64           // cost in seconds that the walk may add
	from      int               // position in Bounds
	prev      int               // position in Servers of the stage before; -1 at the beginning of the model
	path      []rocktable.Stage // stages chosen before
}

// walk completes a path over randomly chosen edges within the cost limit. The search does not
// exclude paths that use a backend server twice. walk returns nil if it reaches a boundary from
// which only backend servers continue that the path already uses.
func (f *Field) walk(w *rocktable.World, begin walkStart) []rocktable.Stage {
	const tolerance = 1e-9 // relative; the walk and the search add costs in different orders
	path, limit, prev, spent := begin.path, begin.costLimit, begin.prev, 0.0
	for from := begin.from; from < len(f.Bounds)-1; {
		f.edges = f.edges[:0]
		for _, i := range f.Begin[from] {
			if !f.serverCosts[i].usable || prev < 0 && f.serverCosts[i].noFirstStage || uses(path, f.Servers[i].ID) {
				continue
			}
			for to := from + 1; f.canEnd(i, to); to++ {
				cost := f.stageCost(i, from, to)
				if prev < 0 {
					cost += f.serverCosts[i].asFirstStage
				} else {
					cost += f.crossCost(f.centreOf[prev], i)
				}
				if spent+cost+f.costAfter(to, i) <= limit*(1+tolerance) {
					f.edges = append(f.edges, edge{server: i, to: to, cost: cost})
				}
			}
		}
		if len(f.edges) == 0 {
			return nil
		}
		e := f.edges[w.Rand.IntN(len(f.edges))]
		s := f.Servers[e.server]
		path = append(path, rocktable.Stage{
			Server: s.ID, Name: s.Name, Address: s.Address, FirstLayer: f.Bounds[from], LastLayer: f.Bounds[e.to] - 1, Incarnation: s.Incarnation,
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
