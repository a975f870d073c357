package rockretry

import (
	"slices"
	"time"

	"sassafrasrock/core/rocktable"
)

const (
	// centreFaults is the number of backend servers of another data centre that have to fail within centreWindow for its circuit breaker to open: without it a host tries each of them once while the data centre is cut off.
	centreFaults = 3
	centreWindow = 2 * time.Second
	// longestCentre limits the time for which the circuit breaker of a data centre stays open.
	longestCentre = 4 * time.Second
)

// noteCentre records that a backend server could not be used, and opens the circuit breaker of its data centre after several.
func noteCentre(now time.Time, w *rocktable.World, s *rocktable.BackendServer) {
	dc := w.DataCentres.Get(s.DataCentre)
	if dc == nil || dc.ID == w.SelfHost().DataCentre || !w.Limits.PlatformPushes {
		return
	}
	dc.RecentFailures = slices.DeleteFunc(dc.RecentFailures, func(f rocktable.ServerFailure) bool {
		return f.Server == s.ID || now.Sub(f.At) > centreWindow
	})
	dc.RecentFailures = append(dc.RecentFailures, rocktable.ServerFailure{Server: s.ID, At: now})
	if len(dc.RecentFailures) < centreFaults || now.Before(dc.BreakerOpenUntil) {
		return
	}
	dc.BreakerTrips++
	dc.BreakerTrippedAt = now
	dc.BreakerOpenUntil = now.Add(min(longestCentre, firstOpen<<min(dc.BreakerTrips-1, 8)))
	dc.RecentFailures = nil
	w.LogChange("dataCentre", dc.Name, "closed", "open")
}

// closeCentre closes the circuit breaker of a data centre that an attempt passed which began after its last trip.
func closeCentre(w *rocktable.World, s *rocktable.BackendServer, a *rocktable.Attempt) {
	dc := w.DataCentres.Get(s.DataCentre)
	if dc == nil || dc.BreakerTrips == 0 || a.StartedAt.Before(dc.BreakerTrippedAt) {
		return
	}
	dc.BreakerTrips, dc.BreakerOpenUntil, dc.RecentFailures = 0, time.Time{}, nil
	w.LogChange("dataCentre", dc.Name, "open", "closed")
}

// IsCentreOpen reports whether the circuit breaker of a backend server's data centre is open.
func IsCentreOpen(now time.Time, w *rocktable.World, s *rocktable.BackendServer) bool {
	dc := w.DataCentres.Get(s.DataCentre)
	return dc != nil && dc.BreakerTrips > 0 && now.Before(dc.BreakerOpenUntil)
}

// testCentre keeps other work away from a data centre whose circuit breaker was open while an attempt tests it.
func testCentre(now time.Time, w *rocktable.World, s *rocktable.BackendServer) {
	if dc := w.DataCentres.Get(s.DataCentre); dc != nil && dc.BreakerTrips > 0 {
		dc.BreakerOpenUntil = now.Add(testLimit)
	}
}
