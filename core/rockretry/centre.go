package rockretry

import (
	"slices"
	"time"

	"sassafrasrock/core/rocktable"
)

const (
	// centreFailureThreshold is the number of backend servers of another data centre that have to
	// fail within centreFailureWindow to open its circuit breaker. Without this breaker, a host
	// tries each of the backend servers once while the data centre is cut off.
	centreFailureThreshold = 3
	centreFailureWindow    = 2 * time.Second
	// maxCentreOpen limits the time for which the circuit breaker of a data centre stays open.
	maxCentreOpen = 4 * time.Second
)

// recordCentreFailure records that a backend server could not be used, and opens the circuit
// breaker of its data centre when enough of its backend servers failed. Only data centres other
// than this host's have a breaker, and only where the platform pushes its list. Attempts that began
// before the last trip add no information.
func recordCentreFailure(now time.Time, w *rocktable.World, s *rocktable.BackendServer, a *rocktable.Attempt) {
	dc := w.DataCentres.Get(s.DataCentre)
	if dc == nil || dc.ID == w.SelfHost().DataCentre || !w.Limits.PlatformPushes || a.StartedAt.Before(dc.BreakerTrippedAt) {
		return
	}
	dc.RecentFailures = slices.DeleteFunc(dc.RecentFailures, func(f rocktable.ServerFailure) bool {
		return f.Server == s.ID || now.Sub(f.At) > centreFailureWindow
	})
	dc.RecentFailures = append(dc.RecentFailures, rocktable.ServerFailure{Server: s.ID, At: now})
	if len(dc.RecentFailures) < centreFailureThreshold || now.Before(dc.BreakerOpenUntil) {
		return
	}
	dc.BreakerTrips++
	dc.BreakerTrippedAt = now
	dc.BreakerOpenUntil = now.Add(min(maxCentreOpen, minBreakerOpen<<min(dc.BreakerTrips-1, 8)))
	dc.RecentFailures = nil
	w.LogChange("dataCentre", dc.Name, "closed", "open")
}

// closeCentreBreaker closes the circuit breaker of a backend server's data centre when an attempt
// through it delivers a token, unless the attempt began before the last trip.
func closeCentreBreaker(w *rocktable.World, s *rocktable.BackendServer, a *rocktable.Attempt) {
	dc := w.DataCentres.Get(s.DataCentre)
	if dc == nil || dc.BreakerTrips == 0 || a.StartedAt.Before(dc.BreakerTrippedAt) {
		return
	}
	dc.BreakerTrips, dc.BreakerOpenUntil, dc.RecentFailures = 0, time.Time{}, nil
	w.LogChange("dataCentre", dc.Name, "open", "closed")
}

// IsCentreBreakerOpen reports whether the circuit breaker of a backend server's data centre is open.
func IsCentreBreakerOpen(now time.Time, w *rocktable.World, s *rocktable.BackendServer) bool {
	dc := w.DataCentres.Get(s.DataCentre)
	return dc != nil && dc.BreakerTrips > 0 && now.Before(dc.BreakerOpenUntil)
}

// startCentreTrial blocks other work while one attempt tests a data centre whose circuit
// breaker was open.
func startCentreTrial(now time.Time, w *rocktable.World, s *rocktable.BackendServer) {
	if dc := w.DataCentres.Get(s.DataCentre); dc != nil && dc.BreakerTrips > 0 {
		dc.BreakerOpenUntil = now.Add(trialLimit)
	}
}
