package rockretry

import "sassafrasrock/core/rocktable"

// RetryBudget fields hold what was earned since the start, without the allowance; a budget is spent when it falls to minus the allowance.
const (
	// earnedPerSuccess is the part of a retry that each successful request earns. It keeps the extra work in a brown-out under 10%.
	earnedPerSuccess = 0.08
	// callerAllowance and serverAllowance are the retries that are possible before any success. A backend server that reports more slots has one for each, so that the work of one crash can be replayed.
	callerAllowance = 3
	serverAllowance = 5
	// hostAllowance bounds the sum of the allowances: with thousands of callers they would be a burst of retries.
	hostAllowance = 20
	// callerSavings, serverSavings and hostSavings limit what is saved, so that a crash of a busy server can be replayed but a long outage can't.
	callerSavings = 50
	serverSavings = 64
	hostSavings   = 200
)

// earn adds a success to the budgets of the caller and of the backend servers on the path.
func earn(w *rocktable.World, r *rocktable.Request, a *rocktable.Attempt) {
	w.RetryBudget = min(hostSavings, w.RetryBudget+earnedPerSuccess)
	if c := w.Callers.Get(r.Caller); c != nil {
		c.RetryBudget = min(callerSavings, c.RetryBudget+earnedPerSuccess)
	}
	for _, stage := range a.Path {
		if s := w.Servers.Get(stage.Server); s != nil {
			s.RetryBudget = min(serverSavings, s.RetryBudget+earnedPerSuccess)
		}
	}
}

// spend takes one retry from the budgets of the host, the caller and the backend server at fault, and reports whether all had one.
func spend(w *rocktable.World, c *rocktable.Caller, s *rocktable.BackendServer) bool {
	if w.RetryBudget+hostAllowance < 1 {
		return false
	}
	if c == nil || c.RetryBudget+callerAllowance < 1 {
		return false
	}
	if s != nil && s.RetryBudget+float64(max(serverAllowance, s.Status.Slots)) < 1 {
		return false
	}
	w.RetryBudget--
	c.RetryBudget--
	if s != nil {
		s.RetryBudget--
	}
	return true
}
