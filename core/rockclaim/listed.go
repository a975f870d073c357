package rockclaim

import (
	"slices"
	"time"

	"sassafrasrock/core/rockretry"
	"sassafrasrock/core/rocktable"
)

// maxRunsOf returns the highest number of runs that an idempotent call may have.
func maxRunsOf(r *rocktable.Request) int {
	if r.MaxAttempts > 0 {
		return r.MaxAttempts
	}
	return maxRuns
}

// pickListed returns the backend server with the least load among those that the platform lists for the service, or
// nil. Backend servers with an open circuit breaker come last. Those of other data centres count as more loaded than
// they are, which keeps calls in this data centre unless its load is clearly higher.
func pickListed(now time.Time, w *rocktable.World, r *rocktable.Request, service *rocktable.Service) *rocktable.BackendServer {
	var best *rocktable.BackendServer
	var least float64
	localCentre := w.SelfHost().DataCentre
	for _, s := range w.Servers.All() {
		if s.ListedService != service.Config.Name || s.State != rocktable.StateLive || s.Address == "" || rockretry.IsForeign(now, s) || slices.Contains(r.AvoidServers, s.ID) || isUnready(now, r, s) {
			continue
		}
		load := listedLoad(now, w, s, localCentre)
		if best == nil || load < least {
			best, least = s, load
		}
	}
	return best
}

// listedLoad returns the load by which the backend servers of a listed service are compared, as a fraction of their
// slots.
func listedLoad(now time.Time, w *rocktable.World, s *rocktable.BackendServer, localCentre rocktable.DataCentreID) float64 {
	const (
		remotePenalty      = 0.25 // fraction of the slots by which local load may be higher before a call leaves the data centre
		openBreakerPenalty = 100  // more than any load as a fraction of the slots
	)
	load := float64(s.InFlight+s.PeerInFlight) / float64(max(1, s.Status.Slots))
	if s.DataCentre != localCentre {
		load += remotePenalty
	}
	if rockretry.IsBreakerOpen(now, s) || rockretry.IsCentreBreakerOpen(now, w, s) {
		load += openBreakerPenalty
	}
	return load
}
