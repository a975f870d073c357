package rockmeasure

import (
	"math"
	"slices"
	"time"

	"sassafrasrock/io/rockfleet"
)

// MeanRequest is the average request of a load.
type MeanRequest struct {
	PromptTokens float64
	MaxTokens    float64
}

// ThroughputBound returns an upper bound of the tokens per second that a fleet delivers with any
// routing. It is the smaller of two limits.
//
// The first limit is the maximum flow from layer 0 to the end of the model. Each engine is an edge
// from its first layer to the one after its last. The capacity of the edge is the highest rate x, in
// tokens per second, for which the engine's slots suffice. At the rate x the engine's batches hold
// b(x) = x (s - p) / (1 - x p) sessions, where s is the time of a batch of one session and p the time
// of each further session. Both include the prefill time of a session, spread over its tokens. A
// session also holds its slot while its step is on the links and at the other stages, which takes at
// least the time c of the shortest cycle. The capacity is therefore the highest x for which
// b(x) + x c ≤ slots.
//
// The second limit applies to the fleet if the layer ranges of the engines do not overlap. A session
// holds a slot in every range, so the number of sessions is at most the number of slots of the
// smallest range. A flow X needs, in each range, the minimum of Σ b(x) + x l over all divisions of X
// among the engines of the range, where l is the round-trip time to the engine. The limit is the
// highest X for which the sum of these minima over all ranges is at most that number of slots.
func ThroughputBound(o *rockfleet.Options, mean MeanRequest, hostDataCentre string) float64 {
	edges := make([]flowEdge, 0, len(o.Engines))
	for _, e := range o.Engines {
		edges = append(edges, flowEdge{from: e.FirstLayer, to: e.LastLayer + 1, capacity: engineCapacity(o, e, mean, hostDataCentre)})
	}
	return min(maxFlow(edges, o.Layers), sessionBound(o, mean, hostDataCentre))
}

// sessionBound returns the highest flow whose sessions fit in the slots of every range. It is the
// second limit of ThroughputBound.
func sessionBound(o *rockfleet.Options, mean MeanRequest, hostDataCentre string) float64 {
	ranges := make(map[int][]rockfleet.EngineOptions)
	slots := make(map[int]int)
	for _, e := range o.Engines {
		ranges[e.FirstLayer] = append(ranges[e.FirstLayer], e)
		slots[e.FirstLayer] += e.Slots
	}
	minSlots := math.MaxInt
	for _, n := range slots {
		minSlots = min(minSlots, n)
	}
	return bisect(1e6, func(flow float64) bool {
		sum := 0.0
		for _, engines := range ranges {
			sum += minSessions(o, engines, mean, hostDataCentre, flow)
		}
		return sum <= float64(minSlots)
	})
}

// minSessions returns the minimum number of sessions that the engines of one range hold at a flow in
// tokens per second, or infinity if they cannot reach the flow. The minimum is at the division at
// which the marginal cost, in sessions for one more token per second, is the same at every engine.
func minSessions(o *rockfleet.Options, engines []rockfleet.EngineOptions, mean MeanRequest, hostDataCentre string, flow float64) float64 {
	divideFlow := func(marginalCost float64) (rate, sessions float64) {
		for _, e := range engines {
			step, perSession := batchTimes(o, e, mean)
			linkTime := roundTrip(o, e, hostDataCentre)
			if marginalCost <= linkTime {
				continue
			}
			x := max(0, (1-math.Sqrt((step-perSession)/(marginalCost-linkTime)))/perSession)
			rate += x
			sessions += x*(step-perSession)/(1-x*perSession) + x*linkTime
		}
		return rate, sessions
	}
	// Beyond this marginal cost the rate of an engine rises by less than a thousandth.
	const maxMarginalCost = 1e5
	marginalCost := bisect(maxMarginalCost, func(marginalCost float64) bool {
		rate, _ := divideFlow(marginalCost)
		return rate <= flow
	})
	rate, sessions := divideFlow(marginalCost)
	if rate < flow*0.999 {
		return math.Inf(1)
	}
	return sessions
}

// batchTimes returns the time of a batch of one session and the time of each further session, in
// seconds. Both include the prefill time of a session, spread over its tokens.
func batchTimes(o *rockfleet.Options, e rockfleet.EngineOptions, mean MeanRequest) (step, perSession float64) {
	kind := o.Kinds[e.Kind]
	prefill := kind.Prefill.Seconds() * mean.PromptTokens / mean.MaxTokens
	return kind.Step.Seconds() + prefill, kind.PerSession.Seconds() + prefill
}

// bisect returns the highest value from 0 to limit for which a condition holds. If the condition holds
// for a value, it has to hold for all smaller values.
func bisect(limit float64, holds func(float64) bool) float64 {
	low, high := 0.0, limit
	for range 80 {
		if mid := (low + high) / 2; holds(mid) {
			low = mid
		} else {
			high = mid
		}
	}
	return low
}

// engineCapacity returns the highest rate of an engine in tokens per second, which is the capacity of
// its edge in the maximum flow.
func engineCapacity(o *rockfleet.Options, e rockfleet.EngineOptions, mean MeanRequest, hostDataCentre string) float64 {
	step, perSession := batchTimes(o, e, mean)
	cycle := roundTrip(o, e, hostDataCentre) + shortestTime(o, 0, e.FirstLayer, hostDataCentre) + shortestTime(o, e.LastLayer+1, o.Layers, hostDataCentre)
	return bisect(1/perSession, func(x float64) bool {
		// A batch holds at least one session.
		batch := max(x*step, x*(step-perSession)/(1-x*perSession))
		return batch+x*cycle <= float64(e.Slots)
	})
}

// roundTrip returns the time of a message from a host to an engine and back, in seconds.
func roundTrip(o *rockfleet.Options, e rockfleet.EngineOptions, hostDataCentre string) float64 {
	if o.LinkDelay == nil {
		return time.Millisecond.Seconds()
	}
	return 2 * o.LinkDelay(hostDataCentre, e.DataCentre).Seconds()
}

// shortestTime returns the minimum time that a step spends at the stages from one layer to another and
// on their links, in seconds.
func shortestTime(o *rockfleet.Options, from, to int, hostDataCentre string) float64 {
	if from >= to {
		return 0
	}
	shortest := math.Inf(1)
	for _, e := range o.Engines {
		if e.FirstLayer == from && e.LastLayer < to {
			stage := roundTrip(o, e, hostDataCentre) + o.Kinds[e.Kind].Step.Seconds()
			shortest = min(shortest, stage+shortestTime(o, e.LastLayer+1, to, hostDataCentre))
		}
	}
	return shortest
}

type flowEdge struct {
	from, to int
	capacity float64
}

// maxFlow returns the maximum flow from node 0 to the last node. It uses shortest augmenting paths.
func maxFlow(edges []flowEdge, last int) float64 {
	// Edges are at even indices; the reverse edge of edge i is at i+1.
	var residual []flowEdge
	for _, e := range edges {
		residual = append(residual, e, flowEdge{from: e.to, to: e.from})
	}
	total := 0.0
	for {
		path := augmentingPath(residual, last)
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

// augmentingPath returns the indices of the edges of a shortest path from node 0 to the last node on
// which every edge has residual capacity, or nil if there is none.
func augmentingPath(edges []flowEdge, last int) []int {
	const minCapacity = 1e-9
	via := map[int]int{0: -1}
	queue := []int{0}
	for len(queue) > 0 && queue[0] != last {
		node := queue[0]
		queue = queue[1:]
		for i, e := range edges {
			if _, seen := via[e.to]; e.from == node && !seen && e.capacity > minCapacity {
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
