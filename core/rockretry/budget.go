package rockretry

import "sassafrasrock/core/rocktable"

// RetryBudget fields hold what was earned since the start, without the allowance; a budget is spent when it falls to minus the allowance.
const (
	// earnedPerSuccess is the part of a retry that each successful request earns. Together with the allowances and what was saved before, it keeps the extra work in a brown-out of 20 s under 10%.
	earnedPerSuccess = 0.05
	// callerAllowance and serverAllowance are the retries that are possible before any success. A backend server that reports more slots has one for each, so that the work of one crash can be replayed.
	callerAllowance = 8
	serverAllowance = 5
	// hostAllowance bounds the sum of the allowances: with thousands of callers they would be a burst of retries.
	hostAllowance = 10
	// prefillCost is the cost of a position in a prefill, in decode steps: a prefill computes its positions in one batch.
	prefillCost = 0.1
	// minCharge is the least that a retry costs, so that a request that fails at each attempt spends its budget.
	minCharge = 0.1
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

// charge returns what the next attempt costs, as a part of the work of the whole request.
// A stream that goes on repeats only the prefill of its prompt and of the tokens delivered so far; a request without a token repeats all.
func charge(r *rocktable.Request) float64 {
	if r.Tokens == 0 || r.MaxTokens == 0 {
		return 1
	}
	replay := prefillCost * float64(r.PromptTokens+r.Tokens)
	whole := prefillCost*float64(r.PromptTokens) + float64(r.MaxTokens)
	return min(1, max(minCharge, replay/whole))
}

// spend takes the cost of a retry from the budgets of the host, the caller and the backend server at fault, and reports whether all had that much.
func spend(w *rocktable.World, r *rocktable.Request, s *rocktable.BackendServer) bool {
	cost := charge(r)
	c := w.Callers.Get(r.Caller)
	if c == nil || w.RetryBudget+hostAllowance < cost || c.RetryBudget+callerAllowance < cost {
		return false
	}
	if s != nil && s.RetryBudget+float64(max(serverAllowance, s.Status.Slots)) < cost {
		return false
	}
	w.RetryBudget -= cost
	c.RetryBudget -= cost
	if s != nil {
		s.RetryBudget -= cost
	}
	return true
}
