package rockroute

import (
	"math"
	"slices"
	"time"

	"sassafrasrock/core/rocktable"
)

// nearEqual is the factor of the best cost up to which paths are chosen at random, so that hosts with the same late reports do not all choose the same backend server.
const nearEqual = 1.1

type modelKey struct{ model, version string }

func keyOf(p *rocktable.Pipeline) modelKey {
	return modelKey{model: p.Config.Model, version: p.Config.Version}
}

// Field holds the live backend servers of one model for the searches of one tick.
type Field struct {
	Servers []*rocktable.BackendServer
	Bounds  []int // layer boundaries at which a stage may begin or end, ascending

	costs []serverCost // of the current search, by position in Servers
	best  []float64    // least cost from a boundary to the end, by position in Bounds
	edges []edge       // scratch of walk
}

// serverCost is the cost of a stage in seconds: once, and for each layer.
type serverCost struct {
	usable   bool
	once     float64
	perLayer float64
}

type edge struct {
	server, to int
	cost       float64
}

// newFields groups the live backend servers by the models of pipelines with waiting requests.
func newFields(w *rocktable.World) map[modelKey]*Field {
	fields := make(map[modelKey]*Field)
	for _, p := range w.Pipelines.All() {
		if p.Waiting > 0 {
			fields[keyOf(p)] = &Field{}
		}
	}
	for _, s := range w.Servers.All() {
		if s.State != rocktable.StateLive || s.Role != rocktable.RoleModel || s.Drained {
			continue
		}
		if f := fields[modelKey{model: s.Status.Model, version: s.Status.Version}]; f != nil {
			f.Servers = append(f.Servers, s)
		}
	}
	for _, f := range fields {
		f.setBounds()
	}
	return fields
}

// setBounds collects the boundaries. A stage begins at the first layer of its backend server, unless the engine runs sub-ranges; it may end earlier than the server's range does.
func (f *Field) setBounds() {
	subRanges := slices.ContainsFunc(f.Servers, func(s *rocktable.BackendServer) bool { return s.Status.SubRanges })
	for _, s := range f.Servers {
		f.Bounds = append(f.Bounds, s.Status.FirstLayer)
		if subRanges {
			f.Bounds = append(f.Bounds, s.Status.LastLayer+1)
		}
	}
	slices.Sort(f.Bounds)
	f.Bounds = slices.Compact(f.Bounds)
}

// close makes the end of the model the last boundary.
func (f *Field) close(layers int) {
	i, _ := slices.BinarySearch(f.Bounds, layers)
	f.Bounds = append(f.Bounds[:i], layers)
}

// IsCovered reports whether the live backend servers cover every layer, whatever their load.
func (f *Field) IsCovered(layers int) bool {
	if f == nil {
		return false
	}
	f.close(layers)
	f.costs = f.costs[:0]
	for range f.Servers {
		f.costs = append(f.costs, serverCost{usable: true, once: 1})
	}
	f.search()
	return f.Bounds[0] == 0 && !math.IsInf(f.best[0], 1)
}

// Path returns a path over usable backend servers whose cost is near the least, or nil.
func (f *Field) Path(now time.Time, w *rocktable.World, r *rocktable.Request, layers int, usable func(*rocktable.World, *rocktable.BackendServer, *rocktable.Request) bool) []rocktable.Stage {
	f.close(layers)
	f.costs = f.costs[:0]
	job := newJob(now, w, r)
	for _, s := range f.Servers {
		if !usable(w, s, r) {
			f.costs = append(f.costs, serverCost{})
			continue
		}
		f.costs = append(f.costs, job.cost(s))
	}
	f.search()
	if f.Bounds[0] != 0 || math.IsInf(f.best[0], 1) {
		return nil
	}
	path := f.walk(w, nearEqual*f.best[0])
	if path == nil {
		path = f.walk(w, f.best[0])
	}
	return path
}

// search computes the least cost from each boundary to the end of the model.
func (f *Field) search() {
	last := len(f.Bounds) - 1
	f.best = slices.Grow(f.best[:0], last+1)[:last+1]
	for i := range f.best {
		f.best[i] = math.Inf(1)
	}
	f.best[last] = 0
	starts := f.startsByBound()
	for from := last - 1; from >= 0; from-- {
		for _, i := range starts[from] {
			f.eachEnd(i, from, func(to int, cost float64) {
				f.best[from] = min(f.best[from], cost+f.best[to])
			})
		}
	}
}

// startsByBound lists, for each boundary, the usable backend servers at which a stage may begin there.
func (f *Field) startsByBound() [][]int {
	starts := make([][]int, len(f.Bounds))
	for i, s := range f.Servers {
		if !f.costs[i].usable {
			continue
		}
		from, _ := slices.BinarySearch(f.Bounds, s.Status.FirstLayer)
		for ; from < len(f.Bounds)-1 && f.Bounds[from] <= s.Status.LastLayer; from++ {
			starts[from] = append(starts[from], i)
			if !s.Status.SubRanges {
				break
			}
		}
	}
	return starts
}

// eachEnd calls visit for each boundary at which a stage of server i that begins at a boundary can end.
func (f *Field) eachEnd(i, from int, visit func(to int, cost float64)) {
	c := f.costs[i]
	end := f.Servers[i].Status.LastLayer + 1
	for to := from + 1; to < len(f.Bounds) && f.Bounds[to] <= end; to++ {
		visit(to, c.once+c.perLayer*float64(f.Bounds[to]-f.Bounds[from]))
	}
}

// walk follows random edges whose paths cost at most the limit; nil if it comes to a place where only backend servers that it already used go on.
func (f *Field) walk(w *rocktable.World, limit float64) []rocktable.Stage {
	const slack = 1e-9 // for sums in another order
	var path []rocktable.Stage
	spent := 0.0
	for from := 0; from < len(f.Bounds)-1; {
		f.edges = f.edges[:0]
		for i, s := range f.Servers {
			if !f.canBegin(i, from) || uses(path, s.ID) {
				continue
			}
			f.eachEnd(i, from, func(to int, cost float64) {
				if spent+cost+f.best[to] <= limit*(1+slack) {
					f.edges = append(f.edges, edge{server: i, to: to, cost: cost})
				}
			})
		}
		if len(f.edges) == 0 {
			return nil
		}
		e := f.edges[w.Rand.IntN(len(f.edges))]
		s := f.Servers[e.server]
		path = append(path, rocktable.Stage{
			Server: s.ID, Address: s.Address, FirstLayer: f.Bounds[from], LastLayer: f.Bounds[e.to] - 1, Incarnation: s.Incarnation,
		})
		spent += e.cost
		from = e.to
	}
	return path
}

func (f *Field) canBegin(i, from int) bool {
	s := f.Servers[i]
	if !f.costs[i].usable {
		return false
	}
	layer := f.Bounds[from]
	return layer == s.Status.FirstLayer || s.Status.SubRanges && s.Status.FirstLayer < layer && layer <= s.Status.LastLayer
}

func uses(path []rocktable.Stage, id rocktable.BackendServerID) bool {
	return slices.ContainsFunc(path, func(stage rocktable.Stage) bool { return stage.Server == id })
}
