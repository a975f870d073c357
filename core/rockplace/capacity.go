package rockplace

import "sassafrasrock/core/rocktable"

// minMeanRequests is the memory for requests that each backend server must keep before a data
// centre holds another copy of the layers, as a multiple of the memory of a mean request.
const minMeanRequests = 400

// requestMemory returns the memory for requests, in tokens, that each backend server keeps if the
// group holds the given number of copies of the layers. It also reports whether the group can hold
// them.
func requestMemory(cfg rocktable.PipelineConfig, group []*holder, copies int) (float64, bool) {
	if !fits(cfg, group, copies, 0) {
		return 0, false
	}
	low, high := 0.0, 1.0
	for fits(cfg, group, copies, high) && high < 1e12 {
		low, high = high, 2*high
	}
	for range 40 {
		if mid := (low + high) / 2; fits(cfg, group, copies, mid) {
			low = mid
		} else {
			high = mid
		}
	}
	return low, true
}

// fits reports whether the group can hold the given number of copies of the layers and keep memory
// for the given number of tokens on each backend server.
func fits(cfg rocktable.PipelineConfig, group []*holder, copies int, tokens float64) bool {
	complete, layers := 0, 0
	for _, h := range group {
		n := layerCapacity(cfg, h, tokens)
		if layers+n >= cfg.Layers {
			complete, layers = complete+1, 0
			continue
		}
		layers += n
	}
	return complete >= copies
}

// layerCapacity returns the number of layers that a backend server can hold besides memory for the
// given number of tokens.
func layerCapacity(cfg rocktable.PipelineConfig, h *holder, tokens float64) int {
	each := cfg.Engine.LayerMB + tokens*cfg.Engine.TokenBytes/1e6/float64(cfg.Layers)
	return min(cfg.Layers, int(h.memoryMB/each))
}

// evenRequestMemory returns the memory for requests, in tokens, that each backend server keeps in
// the most even plan. In that plan the group holds as many copies of the layers as leave each
// backend server the memory of minMeanRequests, and at least one copy.
func evenRequestMemory(cfg rocktable.PipelineConfig, group []*holder) float64 {
	enough := minMeanRequests * (cfg.Engine.PromptTokens + cfg.Engine.AnswerTokens)
	tokens, _ := requestMemory(cfg, group, 1)
	for copies := 2; ; copies++ {
		more, ok := requestMemory(cfg, group, copies)
		if !ok || more < enough {
			return tokens
		}
		tokens = more
	}
}
