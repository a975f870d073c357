package rockroute

import (
	"math"
	"slices"
	"time"

	"sassafrasrock/core/rockretry"
	"sassafrasrock/core/rocktable"
)

// nearEqual is the factor of the best cost up to which paths are chosen at random, so that hosts with the same late reports do not all choose the same backend server.
const nearEqual = 1.1

// Field holds the live backend servers of one pipeline for the searches of one tick.
type Field struct {
	Servers []*rocktable.BackendServer
	Bounds  []int   // layer boundaries at which a stage may begin or end, ascending; the last is the end of the model
	Begin   [][]int // positions in Servers that may begin a stage, by position in Bounds

	costs    []serverCost             // of the current search, by position in Servers
	best     []float64                // least cost from a boundary to the end, by position in Bounds
	onward   []onward                 // by position in Bounds and in centres
	centres  []rocktable.DataCentreID // data centres of the servers
	centreOf []int                    // position in centres, by position in Servers
	cross    []float64                // cost in seconds of the way from a data centre to another, by positions in centres
	edges    []edge                   // scratch of walk
}

// serverCost is the cost of a stage in seconds: once, and for each layer.
type serverCost struct {
	usable   bool
	noEntry  bool    // has no place for another request whose first stage it is
	enter    float64 // if it is the first stage
	once     float64
	perLayer float64
}

type edge struct {
	server, to int
	cost       float64
}

// carries reports whether a backend server holds layers of the pipeline's model.
func carries(s *rocktable.BackendServer, p *rocktable.Pipeline) bool {
	if s.ListedService != "" && s.ListedService != p.Config.Name {
		return false
	}
	return s.Status.Model == p.Config.Model && s.Status.Version == p.Config.Version
}

// newFields returns the live backend servers of each pipeline, without those that rest if the others cover every layer.
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
			if carries(s, p) {
				fields[i].Servers = append(fields[i].Servers, s)
			}
		}
	}
	for i, f := range fields {
		f.setBounds(pipelines[i].Config.Layers)
		f.setBegin()
		if closed := f.closed(now, w, pipelines[i].Config.Layers); closed != nil {
			fields[i] = closed
		}
	}
	return fields
}

// closed returns the field without the backend servers whose circuit breakers are open, or nil if there are none or the others don't cover every layer.
func (f *Field) closed(now time.Time, w *rocktable.World, layers int) *Field {
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

// setBounds collects the boundaries. A stage begins at the first layer of its backend server, unless the engine runs sub-ranges; it may end earlier than the server's range does.
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
	f.costs = make([]serverCost, 0, len(f.Servers))
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

// IsCovered reports whether the live backend servers cover every layer, whatever their load.
func (f *Field) IsCovered() bool {
	f.costs, f.cross = f.costs[:0], make([]float64, len(f.centres)*len(f.centres))
	for range f.Servers {
		f.costs = append(f.costs, serverCost{usable: true, once: 1})
	}
	f.search()
	return f.Bounds[0] == 0 && !math.IsInf(f.best[0], 1)
}

// Path returns a path over usable backend servers whose cost is near the least, or nil.
func (f *Field) Path(now time.Time, w *rocktable.World, r *rocktable.Request, usable func(*rocktable.World, *rocktable.BackendServer, *rocktable.Request) bool) []rocktable.Stage {
	f.costs = f.costs[:0]
	job := newJob(now, w, r)
	job.others = othersPart(f.Servers)
	f.setCrossing(&job, w)
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
	path := f.walk(w, walkFrom{limit: nearEqual * f.best[0], prev: -1})
	if path == nil {
		path = f.walk(w, walkFrom{limit: f.best[0], prev: -1})
	}
	return path
}

// search computes the least cost from each boundary to the end of the model, for a stage before it in each data centre.
func (f *Field) search() {
	last := len(f.Bounds) - 1
	f.best = slices.Grow(f.best[:0], last+1)[:last+1]
	f.onward = slices.Grow(f.onward[:0], (last+1)*len(f.centres))[:(last+1)*len(f.centres)]
	f.best[last] = 0
	for c := range f.centres {
		f.onward[last*len(f.centres)+c] = onward{by: -1}
	}
	for from := last - 1; from >= 0; from-- {
		f.best[from] = math.Inf(1)
		row := f.onward[from*len(f.centres) : (from+1)*len(f.centres)]
		for c := range row {
			row[c] = onward{least: math.Inf(1), next: math.Inf(1), by: -1}
		}
		for _, i := range f.Begin[from] {
			if !f.costs[i].usable {
				continue
			}
			cost := f.leastFrom(i, from)
			if from == 0 && f.costs[i].noEntry {
				continue
			}
			f.best[from] = min(f.best[from], cost+f.costs[i].enter)
			for c := range row {
				row[c].add(i, cost+f.crossing(c, i))
			}
		}
	}
}

// onward is the least cost from a boundary to the end after a stage in one data centre.
type onward struct {
	least float64
	by    int     // server of the first stage of that path
	next  float64 // least cost of a path whose first stage is on another server
}

func (o *onward) add(server int, cost float64) {
	switch {
	case cost < o.least:
		o.least, o.next, o.by = cost, o.least, server
	case cost < o.next:
		o.next = cost
	}
}

// crossing returns the cost of the way from a stage in a data centre to a stage on server i.
func (f *Field) crossing(centre, i int) float64 {
	return f.cross[centre*len(f.centres)+f.centreOf[i]]
}

// rest returns the least cost from a boundary to the end after a stage on server i: the next stage is on another one.
func (f *Field) rest(to, i int) float64 {
	o := &f.onward[to*len(f.centres)+f.centreOf[i]]
	if o.by == i {
		return o.next
	}
	return o.least
}

// leastFrom returns the least cost to the end of the model of a path whose next stage is on server i.
func (f *Field) leastFrom(i, from int) float64 {
	least := math.Inf(1)
	for to := from + 1; f.canEnd(i, to); to++ {
		least = min(least, f.stageCost(i, from, to)+f.rest(to, i))
	}
	return least
}

// canEnd reports whether a stage on server i can end at a boundary.
func (f *Field) canEnd(i, to int) bool {
	return to < len(f.Bounds) && f.Bounds[to] <= f.Servers[i].Status.LastLayer+1
}

func (f *Field) stageCost(i, from, to int) float64 {
	c := &f.costs[i]
	return c.once + c.perLayer*float64(f.Bounds[to]-f.Bounds[from])
}

// walkFrom is where a walk begins and how much it may cost.
type walkFrom struct {
	limit float64
	from  int // position in Bounds
	prev  int // server of the stage before it; -1 at the beginning of the model
	path  []rocktable.Stage
}

// walk follows random edges whose paths cost at most the limit; nil if it comes to a place where only backend servers that it already used go on.
func (f *Field) walk(w *rocktable.World, begin walkFrom) []rocktable.Stage {
	const slack = 1e-9 // for sums in another order
	path, limit, prev, spent := begin.path, begin.limit, begin.prev, 0.0
	for from := begin.from; from < len(f.Bounds)-1; {
		f.edges = f.edges[:0]
		for _, i := range f.Begin[from] {
			if !f.costs[i].usable || prev < 0 && f.costs[i].noEntry || uses(path, f.Servers[i].ID) {
				continue
			}
			for to := from + 1; f.canEnd(i, to); to++ {
				cost := f.stageCost(i, from, to)
				if prev < 0 {
					cost += f.costs[i].enter
				} else {
					cost += f.crossing(f.centreOf[prev], i)
				}
				if spent+cost+f.rest(to, i) <= limit*(1+slack) {
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
