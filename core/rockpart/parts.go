package rockpart

import (
	"iter"

	"sassafrasrock/core/rocktable"
)

// partsOf returns what may be the cause if a request crashes its backend server, with the position of each: the parts of
// its prompt, without the last one, and then its whole content, which fewer sound requests share than any part. Contents
// whose stages this host runs itself are left to rockcrash.
func partsOf(w *rocktable.World, r *rocktable.Request) iter.Seq2[int, rocktable.PartID] {
	return func(yield func(int, rocktable.PartID) bool) {
		for depth, id := range r.Parts {
			if !yield(depth, id) {
				return
			}
		}
		if r.Fingerprint != 0 && (r.Call != nil || w.FullPathPipeline(r) != nil) {
			yield(len(r.Parts), rocktable.PartID(r.Fingerprint))
		}
	}
}

func hasPart(w *rocktable.World, r *rocktable.Request, id rocktable.PartID) bool {
	for _, part := range partsOf(w, r) {
		if part == id {
			return true
		}
	}
	return false
}
