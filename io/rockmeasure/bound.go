package rockmeasure

import (
	"math"
	"slices"
	"time"

	"sassafrasrock/io/rockfleet"
)

// Work describes the requests of a load on average.
type Work struct {
	Prompt    float64 // tokens
	MaxTokens float64
}

// Bound returns the tokens per second that no way of routing can exceed. It is
// the smaller one of two limits.
//
// The first is the maximum flow from layer 0 to the end of the model, in which
// each engine is an edge from its first layer to the one after its last. The
// capacity of an edge is the highest rate x for which the engine's slots suffice.
// At the rate x its batches hold b(x) = x (s - p) / (1 - x p) sessions, with s the
// time of a batch of one session and p that of each further session, both with a
// session's part of the prefill. A session also holds its slot while its step is
// on the links and at the other stages, at least for the time c of the shortest
// cycle. So the capacity is the highest x with b(x) + x c ≤ slots.
//
// The second holds for the fleet as a whole, where the ranges do not overlap. A
// session holds a slot in every range, so that no range has more sessions than
// slots. The flow X needs at least the sum over all ranges of the smallest
// sessions in batches and on links, Σ b(x) + x l with the link time l, over all
// ways to divide X among the engines of the range.
func Bound(o *rockfleet.Options, work Work, hostCentre string) float64 {
	edges := make([]flowEdge, 0, len(o.Engines))
	for _, e := range o.Engines {
		edges = append(edges, flowEdge{from: e.First, to: e.Last + 1, capacity: capacity(o, e, work, hostCentre)})
	}
	return min(maxFlow(edges, o.Layers), sessionBound(o, work, hostCentre))
}

// sessionBound returns the highest flow whose sessions fit in the slots of every range.
func sessionBound(o *rockfleet.Options, work Work, hostCentre string) float64 {
	ranges := make(map[int][]rockfleet.EngineOptions)
	slots := make(map[int]int)
	for _, e := range o.Engines {
		ranges[e.First] = append(ranges[e.First], e)
		slots[e.First] += e.Slots
	}
	fewest := math.MaxInt
	for _, n := range slots {
		fewest = min(fewest, n)
	}
	return highest(1e6, func(flow float64) bool {
		sum := 0.0
		for _, engines := range ranges {
			sum += sessions(o, engines, work, hostCentre, flow)
		}
		return sum <= float64(fewest)
	})
}

// sessions returns the fewest sessions that engines of one range need for a flow. It is least where one more token costs the same at every engine.
func sessions(o *rockfleet.Options, engines []rockfleet.EngineOptions, work Work, hostCentre string, flow float64) float64 {
	divide := func(price float64) (rate, held float64) {
		for _, e := range engines {
			step, per := times(o, e, work)
			link := linkTime(o, e, hostCentre)
			if price <= link {
				continue
			}
			x := max(0, (1-math.Sqrt((step-per)/(price-link)))/per)
			rate += x
			held += x*(step-per)/(1-x*per) + x*link
		}
		return rate, held
	}
	// Above this price engines gain less than a thousandth of their rate.
	const highestPrice = 1e5
	price := highest(highestPrice, func(price float64) bool {
		rate, _ := divide(price)
		return rate <= flow
	})
	rate, held := divide(price)
	if rate < flow*0.999 {
		return math.Inf(1)
	}
	return held
}

// times returns the time of a batch of one session and that of each further session, in seconds, with a session's part of the prefill.
func times(o *rockfleet.Options, e rockfleet.EngineOptions, work Work) (step, per float64) {
	kind := o.Kinds[e.Kind]
	prefill := kind.Prefill.Seconds() * work.Prompt / work.MaxTokens
	return kind.Step.Seconds() + prefill, kind.PerSession.Seconds() + prefill
}

// highest returns the highest value up to a limit for which a condition holds that holds for all smaller values.
func highest(limit float64, holds func(float64) bool) float64 {
	low, high := 0.0, limit
	for range 80 {
		if middle := (low + high) / 2; holds(middle) {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// capacity returns the highest rate of an engine in tokens per second.
func capacity(o *rockfleet.Options, e rockfleet.EngineOptions, work Work, hostCentre string) float64 {
	step, per := times(o, e, work)
	cycle := linkTime(o, e, hostCentre) + shortest(o, 0, e.First, hostCentre) + shortest(o, e.Last+1, o.Layers, hostCentre)
	return highest(1/per, func(x float64) bool {
		// A batch holds at least the one session.
		batch := max(x*step, x*(step-per)/(1-x*per))
		return batch+x*cycle <= float64(e.Slots)
	})
}

func linkTime(o *rockfleet.Options, e rockfleet.EngineOptions, hostCentre string) float64 {
	if o.Links == nil {
		return time.Millisecond.Seconds()
	}
	return 2 * o.Links(hostCentre, e.DataCentre).Seconds()
}

// shortest returns the least time of a step from one layer to another, in seconds.
func shortest(o *rockfleet.Options, from, to int, hostCentre string) float64 {
	if from >= to {
		return 0
	}
	best := math.Inf(1)
	for _, e := range o.Engines {
		if e.First == from && e.Last < to {
			own := linkTime(o, e, hostCentre) + o.Kinds[e.Kind].Step.Seconds()
			best = min(best, own+shortest(o, e.Last+1, to, hostCentre))
		}
	}
	return best
}

type flowEdge struct {
	from, to int
	capacity float64
}

// maxFlow returns the maximum flow from node 0 to the last node by shortest augmenting paths.
func maxFlow(edges []flowEdge, last int) float64 {
	// The backward edge of edge i is at i+1.
	var residual []flowEdge
	for _, e := range edges {
		residual = append(residual, e, flowEdge{from: e.to, to: e.from})
	}
	total := 0.0
	for {
		path := augmenting(residual, last)
		if path == nil {
			return total
		}
		flow := math.Inf(1)
		for _, i := range path {
			flow = min(flow, residual[i].capacity)
		}
		for _, i := range path {
			residual[i].capacity -= flow
			residual[i^1].capacity += flow
		}
		total += flow
	}
}

// augmenting returns the edges of a shortest path from node 0 to the last node with capacity left, or nil.
func augmenting(edges []flowEdge, last int) []int {
	const least = 1e-9
	via := map[int]int{0: -1}
	queue := []int{0}
	for len(queue) > 0 && queue[0] != last {
		node := queue[0]
		queue = queue[1:]
		for i, e := range edges {
			if _, seen := via[e.to]; e.from == node && !seen && e.capacity > least {
				via[e.to] = i
				queue = append(queue, e.to)
			}
		}
	}
	if _, found := via[last]; !found {
		return nil
	}
	var path []int
	for node := last; node != 0; node = edges[via[node]].from {
		path = append(path, via[node])
	}
	slices.Reverse(path)
	return path
}
