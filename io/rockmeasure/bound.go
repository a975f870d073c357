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

// Bound returns the tokens per second that no way of routing can exceed: the
// maximum flow from layer 0 to the end of the model, in which each engine is an
// edge from its first layer to the one after its last. The capacity of an edge is
// the highest rate x for which the engine's slots suffice. At the rate x its
// batches hold b = x (s - p) / (1 - x p) sessions, with s the time of a batch of
// one session and p that of each further session with its part of the prefill. A
// session also holds its slot while its step is on the links and at the other
// stages, at least for the time c of the shortest cycle. So the capacity is the
// highest x with b + x c ≤ slots. The bound can't be reached: it counts the other
// stages as if their batches held one session and had no queue.
func Bound(o *rockfleet.Options, work Work, hostCentre string) float64 {
	edges := make([]flowEdge, 0, len(o.Engines))
	for _, e := range o.Engines {
		edges = append(edges, flowEdge{from: e.First, to: e.Last + 1, capacity: capacity(o, e, work, hostCentre)})
	}
	return maxFlow(edges, o.Layers)
}

// capacity returns the highest rate of an engine in tokens per second.
func capacity(o *rockfleet.Options, e rockfleet.EngineOptions, work Work, hostCentre string) float64 {
	kind := o.Kinds[e.Kind]
	perPrefill := kind.Prefill.Seconds() * work.Prompt / work.MaxTokens
	step, per := kind.Step.Seconds()+perPrefill, kind.PerSession.Seconds()+perPrefill
	cycle := linkTime(o, e, hostCentre) + shortest(o, 0, e.First, hostCentre) + shortest(o, e.Last+1, o.Layers, hostCentre)
	low, high := 0.0, float64(e.Slots)/(step+per*float64(e.Slots-1))
	for range 60 {
		x := (low + high) / 2
		// A batch holds at least the one session.
		batch := max(x*step, x*(step-per)/(1-x*per))
		if x*per < 1 && batch+x*cycle <= float64(e.Slots) {
			low = x
		} else {
			high = x
		}
	}
	return low
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
