package rockclaim

import (
	"slices"
	"time"

	"sassafrasrock/core/rockretry"
	"sassafrasrock/core/rocktable"
)

// runLimit returns the runs that an idempotent call may have.
func runLimit(r *rocktable.Request) int {
	if r.MaxAttempts > 0 {
		return r.MaxAttempts
	}
	return maxRuns
}

// pickListed returns the backend server with the least load among those that the platform lists for the service, or nil.
// One whose circuit breaker is open comes last, and one of another data centre after those of this one.
func pickListed(now time.Time, w *rocktable.World, r *rocktable.Request, service *rocktable.Service) *rocktable.BackendServer {
	var best *rocktable.BackendServer
	var least float64
	home := w.SelfHost().DataCentre
	for _, s := range w.Servers.All() {
		if s.ListedService != service.Config.Name || s.State != rocktable.StateLive || s.Address == "" || slices.Contains(r.AvoidServers, s.ID) {
			continue
		}
		load := listedLoad(now, w, s, home)
		if best == nil || load < least {
			best, least = s, load
		}
	}
	return best
}

// listedLoad orders the backend servers of a listed service.
func listedLoad(now time.Time, w *rocktable.World, s *rocktable.BackendServer, home rocktable.DataCentreID) float64 {
	const (
		farPart  = 0.25 // of the slots: that much more load at home is taken before a call leaves the data centre
		openCost = 100  // more than any load in parts of the slots
	)
	load := float64(s.InFlight+s.PeerInFlight) / float64(max(1, s.Status.Slots))
	if s.DataCentre != home {
		load += farPart
	}
	if rockretry.IsBreakerOpen(now, s) || rockretry.IsCentreOpen(now, w, s) {
		load += openCost
	}
	return load
}
