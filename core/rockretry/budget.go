package rockretry

import "sassafrasrock/core/rocktable"

// The RetryBudget fields hold the retries earned less the retries spent since the start. They begin
// at 0. A budget is exhausted when it falls to minus its allowance.
const (
	// earnedPerSuccess is the fraction of a retry that each successful request earns. Together with
	// the allowances and the retries saved before, it keeps the extra work in a brown-out of 20 s
	// under 10%.
	earnedPerSuccess = 0.05
	// callerAllowance and serverAllowance are the retries that are available before any success. A
	// backend server that reports more slots than serverAllowance has one retry for each slot,
	// enough to replay the work that a crash interrupts.
	callerAllowance = 8
	serverAllowance = 5
	// hostAllowance limits the sum of the allowances in use at one host. With thousands of callers,
	// their allowances alone would permit a burst of retries.
	hostAllowance = 10
	// prefillCost is the cost of one position of a prefill, in decode steps. It is below 1 because
	// a prefill computes its positions in one batch.
	prefillCost = 0.1
	// minRetryCost is the lowest cost of a retry. It makes a request that fails at each attempt
	// exhaust its budget.
	minRetryCost = 0.1
	// maxCallerBudget, maxServerBudget and maxHostBudget limit the saved retries: they suffice to
	// replay the work of a busy backend server that crashes, but not to retry throughout a long
	// outage.
	maxCallerBudget = 50
	maxServerBudget = 64
	maxHostBudget   = 200
)

// creditSuccess adds the retries earned by a success to the budgets of the host, the caller and the
// backend servers on the path.
func creditSuccess(w *rocktable.World, r *rocktable.Request, a *rocktable.Attempt) {
	w.RetryBudget = min(maxHostBudget, w.RetryBudget+earnedPerSuccess)
	if c := w.Callers.Get(r.Caller); c != nil {
		c.RetryBudget = min(maxCallerBudget, c.RetryBudget+earnedPerSuccess)
	}
	for _, stage := range a.Path {
		if s := w.Servers.Get(stage.Server); s != nil {
			s.RetryBudget = min(maxServerBudget, s.RetryBudget+earnedPerSuccess)
		}
	}
}

// retryCost returns the cost of the next attempt, as a fraction of the work of the whole request. A
// stream that continues repeats only the prefill of its prompt and of the tokens delivered so far;
// a request without a delivered token repeats all of its work.
func retryCost(r *rocktable.Request) float64 {
	if r.Tokens == 0 || r.MaxTokens == 0 {
		return 1
	}
	replay := prefillCost * float64(r.PromptTokens+r.Tokens)
	total := prefillCost*float64(r.PromptTokens) + float64(r.MaxTokens)
	return min(1, max(minRetryCost, replay/total))
}

// spendBudgets takes the cost of a retry from the budgets of the host, the caller and the failed
// backend server, and reports whether all of them covered it. If one does not, nothing is taken.
func spendBudgets(w *rocktable.World, r *rocktable.Request, s *rocktable.BackendServer) bool {
	cost := retryCost(r)
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
