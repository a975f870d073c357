package rockend

import (
	"fmt"
	"slices"
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// Rule says when a cause may end a request.
type Rule struct {
	Cause rocktable.Cause
	Text  string // what must hold, for the pages
	// Begun is set if the cause may end a request of which an attempt may have run.
	Begun bool
	// NeedsTimeUp is set if it may end a request with a deadline only after that.
	NeedsTimeUp bool
	// Codes are the reasons that the caller may be told; none means each refusal as not run.
	Codes []rockreason.Code
}

// Rules has one rule for each cause. Nothing else ends a request.
var Rules = []Rule{
	{
		Cause: rocktable.CauseRefused,
		Text:  "No attempt of it may have run: it was not admitted, or left the queue before an attempt started.",
	},
	{
		Cause: rocktable.CauseAnswered, Begun: true,
		Text:  "A backend server has answered it whole, or the recorded answer to its only run is known.",
		Codes: []rockreason.Code{"", rockreason.BackendFailed},
	},
	{
		Cause: rocktable.CauseCallerLeft, Begun: true,
		Text:  "Its caller has closed the connection or does not read the answer.",
		Codes: []rockreason.Code{rockreason.CallerLeft},
	},
	{
		Cause: rocktable.CauseTimeUp, Begun: true, NeedsTimeUp: true,
		Text:  "Its deadline has passed; without a deadline, the limits of its rank.",
		Codes: []rockreason.Code{rockreason.TimedOut, rockreason.Stalled, rockreason.BackendFailed},
	},
	{
		Cause: rocktable.CauseRunsUsedUp, Begun: true,
		Text:  "It has had the runs that its route and kind allow, or a part of an answer that no other run can continue has reached its caller.",
		Codes: []rockreason.Code{rockreason.BackendFailed, rockreason.OutcomeUnknown, rockreason.Stalled, rockreason.RetryBudget},
	},
	{
		Cause: rocktable.CauseCannotBeServed, Begun: true,
		Text:  "It is known that nothing can serve it in its time: no server or pipeline is left for it, its content crashes backend servers, or a further run would not end before its deadline.",
		Codes: []rockreason.Code{rockreason.BackendFailed, rockreason.RetryBudget, rockreason.OutcomeUnknown},
	},
	{
		Cause: rocktable.CauseProcessEnds, Begun: true,
		Text:  "This process ends before the request can.",
		Codes: []rockreason.Code{rockreason.StoppedNow, rockreason.OutcomeUnknown},
	},
}

// End ends a request for a cause. The code tells the caller the reason; it is empty for a complete answer.
func End(w *rocktable.World, id rocktable.RequestID, cause rocktable.Cause, code rockreason.Code) {
	end(w, rocktable.Answer{Request: id, Cause: cause, Reason: code})
}

// Refuse ends a request of which no attempt may have run. The caller is told when to come back, if after is not 0.
func Refuse(w *rocktable.World, id rocktable.RequestID, code rockreason.Code, after time.Duration) {
	end(w, rocktable.Answer{Request: id, Cause: rocktable.CauseRefused, Reason: code, RetryAfter: after})
}

// Record ends a call with the outcome of its run.
func Record(w *rocktable.World, id rocktable.RequestID, outcome rocktable.ClaimRow) {
	end(w, rocktable.Answer{Request: id, Cause: rocktable.CauseAnswered, Recorded: &outcome})
}

func end(w *rocktable.World, a rocktable.Answer) {
	if r := w.Requests.Get(a.Request); r != nil {
		a.Deadline = r.Deadline
	}
	w.Outbox.Answers = append(w.Outbox.Answers, a)
}

// Check returns an error if an answer is not allowed by its rule.
func Check(now time.Time, a rocktable.Answer) error {
	i := slices.IndexFunc(Rules, func(r Rule) bool { return r.Cause == a.Cause })
	if i < 0 {
		return fmt.Errorf("request %d: ended with %q without a cause", a.Request, a.Reason)
	}
	rule := Rules[i]
	reason, _ := rockreason.Find(a.Reason)
	switch {
	case a.MayHaveRun && !rule.Begun:
		return fmt.Errorf("request %d: ended by %s (%q) although it may have run", a.Request, a.Cause, a.Reason)
	case rule.NeedsTimeUp && now.Before(a.Deadline):
		return fmt.Errorf("request %d: ended by %s (%q) %s before its deadline", a.Request, a.Cause, a.Reason, a.Deadline.Sub(now))
	case len(rule.Codes) > 0 && !slices.Contains(rule.Codes, a.Reason), len(rule.Codes) == 0 && reason.Ran != rockreason.NotRun:
		return fmt.Errorf("request %d: ended by %s with %q, which its caller must not be told", a.Request, a.Cause, a.Reason)
	}
	return nil
}
