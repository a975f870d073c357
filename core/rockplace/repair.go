package rockplace

import (
	"slices"

	"sassafrasrock/core/rocktable"
)

// takeoverMemoryFraction is the fraction of its planned memory for requests that a backend
// server keeps if it takes over layers of a lost one. With less it would slow down all requests
// that pass through its other layers.
const takeoverMemoryFraction = 0.5

// repair assigns layers to backend servers without any, assigns layers without a holder to others,
// and removes layers that were taken over and are no longer needed there. The argument tokens is
// the planned memory for requests.
func repair(cfg rocktable.PipelineConfig, group []*holder, tokens float64) {
	for _, h := range group {
		if h.layers() == 0 && !h.lapsed {
			if n := layerCapacity(cfg, h, tokens); n > 0 {
				h.from = leastCovered(cfg, group, n)
				h.to = h.from + n
			}
		}
	}
	for range cfg.Layers {
		from, to := firstGap(cfg, group)
		if from == to || !moveToGap(cfg, group, from, to, tokens) && !extendIntoGap(cfg, group, from, to, tokens) {
			break
		}
	}
	for _, h := range group {
		trim(cfg, group, h, tokens)
	}
}

// trim removes layers from the ends of the range of a backend server that holds more layers than
// its planned memory for requests allows, as long as another one reports that it holds them. It
// took these layers over from a backend server that is back or was replaced.
func trim(cfg rocktable.PipelineConfig, group []*holder, h *holder, tokens float64) {
	for !h.lapsed && h.layers() > max(1, layerCapacity(cfg, h, tokens)) {
		switch {
		case isReportedByAnother(group, h, h.from):
			h.from++
		case isReportedByAnother(group, h, h.to-1):
			h.to--
		default:
			return
		}
	}
}

// isReportedByAnother reports whether another backend server that keeps the layer reports that it
// holds it.
func isReportedByAnother(group []*holder, except *holder, layer int) bool {
	for _, h := range group {
		s := &h.server.Status
		if h != except && !h.lapsed && h.from <= layer && layer < h.to && s.Model != "" && s.FirstLayer <= layer && layer <= s.LastLayer {
			return true
		}
	}
	return false
}

// leastCovered returns the first of the n consecutive layers that most need another holder: layers
// without a holder, then those whose holders have the least memory.
func leastCovered(cfg rocktable.PipelineConfig, group []*holder, n int) int {
	need := make([]float64, cfg.Layers)
	for l := range need {
		memory := 0.0
		for _, h := range group {
			if h.from <= l && l < h.to && !h.lapsed {
				memory += (h.memoryMB - float64(h.layers())*cfg.Engine.LayerMB) / float64(h.layers())
			}
		}
		need[l] = 1 / max(1, memory)
	}
	best, most := 0, -1.0
	for from := 0; from+n <= cfg.Layers; from++ {
		sum := 0.0
		for _, v := range need[from : from+n] {
			sum += v
		}
		if sum > most {
			best, most = from, sum
		}
	}
	return best
}

// firstGap returns the first range of layers without a holder. The range is empty if there is none.
func firstGap(cfg rocktable.PipelineConfig, group []*holder) (from, to int) {
	held := make([]bool, cfg.Layers)
	for _, h := range group {
		for l := h.from; l < h.to; l++ {
			held[l] = true
		}
	}
	from = slices.Index(held, false)
	if from < 0 {
		return 0, 0
	}
	for to = from; to < cfg.Layers && !held[to]; to++ {
	}
	return from, to
}

// moveToGap assigns a gap to a backend server whose layers all have other holders, the one with the
// most of them. It reports whether there is one.
func moveToGap(cfg rocktable.PipelineConfig, group []*holder, from, to int, tokens float64) bool {
	var best *holder
	most := 0
	for _, h := range group {
		if h.lapsed || h.layers() == 0 || layerCapacity(cfg, h, tokens) == 0 {
			continue
		}
		if n := minOtherHolders(group, h); n > most {
			best, most = h, n
		}
	}
	if best == nil {
		return false
	}
	best.from, best.to = from, min(to, from+layerCapacity(cfg, best, tokens))
	return true
}

// minOtherHolders returns the least number of other holders over the layers of a backend server.
func minOtherHolders(group []*holder, h *holder) int {
	fewest := len(group)
	for l := h.from; l < h.to; l++ {
		n := 0
		for _, o := range group {
			if o != h && !o.lapsed && o.from <= l && l < o.to {
				n++
			}
		}
		fewest = min(fewest, n)
	}
	return fewest
}

// extendIntoGap adds one layer of a gap to an adjacent holder, the one with the most memory left
// for requests. It reports whether there is one.
func extendIntoGap(cfg rocktable.PipelineConfig, group []*holder, from, to int, tokens float64) bool {
	var best *holder
	most := 0.0
	for _, h := range group {
		if h.lapsed || h.layers() == 0 || h.to != from && h.from != to {
			continue
		}
		if h.layers()+1 > layerCapacity(cfg, h, takeoverMemoryFraction*tokens) {
			continue
		}
		left := h.memoryMB - float64(h.layers()+1)*cfg.Engine.LayerMB
		if perLayer := left / float64(h.layers()+1); best == nil || perLayer > most {
			best, most = h, perLayer
		}
	}
	switch {
	case best == nil:
		return false
	case best.to == from:
		best.to++
	default:
		best.from--
	}
	return true
}
