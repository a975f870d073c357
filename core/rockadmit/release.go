package rockadmit

import (
	"slices"

	"sassafrasrock/core/rocktable"
)

// AdjustLoad adds an attempt to the load of the backend servers of its path (sign 1) or subtracts it (sign -1).
// memory is the reservation for one layer, in tokens.
func AdjustLoad(w *rocktable.World, path []rocktable.Stage, memory float64, sign int) {
	for i, stage := range path {
		s := w.Servers.Get(stage.Server)
		if s == nil {
			continue
		}
		if i == 0 {
			s.FirstStageInFlight += sign
		}
		s.InFlight += sign
		s.ReservedMemory = max(0, s.ReservedMemory+float64(sign)*memory*float64(stage.LastLayer-stage.FirstLayer+1))
	}
}

// ReleaseAttempt deletes an attempt and releases its slots, memory and reservations on backend servers.
func ReleaseAttempt(w *rocktable.World, a *rocktable.Attempt) {
	AdjustLoad(w, a.Path, a.Memory, -1)
	for _, stage := range a.Path {
		if s := w.Servers.Get(stage.Server); s != nil && s.ExclusiveRequest == a.Request {
			s.ExclusiveRequest = 0
		}
	}
	w.Attempts.Delete(a.ID)
	r := w.Requests.Get(a.Request)
	if r == nil {
		return
	}
	if p := w.Pipelines.Get(r.Pipeline); p != nil {
		p.CapacityFreed = true
	}
	if !a.Alone {
		return
	}
	Unreserve(w, r)
	if s := w.Suspects.Get(r.Fingerprint); s != nil {
		s.RunsAlone = false
	}
}

// Unreserve releases the backend servers that were reserved for a suspect.
func Unreserve(w *rocktable.World, r *rocktable.Request) {
	p := w.Pipelines.Get(r.Pipeline)
	if p == nil {
		return
	}
	i := slices.Index(p.AloneRequests, r.ID)
	if i < 0 {
		return
	}
	p.CapacityFreed = true
	p.AloneRequests = slices.Delete(p.AloneRequests, i, i+1)
	for _, s := range w.Servers.All() {
		if s.ExclusiveRequest == r.ID {
			s.ExclusiveRequest = 0
		}
	}
}
