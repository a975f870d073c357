package rockpromise

import (
	"slices"

	"sassafrasrock/core/rockreason"
)

// Kind tells whether a request may run more than once.
type Kind uint8

// The kinds of requests.
const (
	AtMostOnce Kind = iota // must not run again once it may have run
	Repeatable
)

// KindOf returns the kind of a request.
func KindOf(repeatable bool) Kind {
	if repeatable {
		return Repeatable
	}
	return AtMostOnce
}

// StatusUnknown is the status that promises nothing about runs (502, bad gateway).
const StatusUnknown = 502

// NotRunStatuses tell a caller that its request did not run and never will, so that it sends the request again.
var NotRunStatuses = []int{408, 421, 429, 503}

// Rule says whether NotRunStatuses may be sent for a kind of request.
type Rule struct {
	Kind          Kind
	Ran           rockreason.Ran // what is known of its runs
	MaySendNotRun bool
}

// Rules has one rule for each kind of request and each thing that may be known of its runs. All other statuses may always
// be sent. A repeatable request does no harm when it runs again, so that its caller gets the status that the backend server
// gave.
var Rules = []Rule{
	{Kind: AtMostOnce, Ran: rockreason.NotRun, MaySendNotRun: true},
	{Kind: AtMostOnce, Ran: rockreason.MayHaveRun, MaySendNotRun: false},
	{Kind: AtMostOnce, Ran: rockreason.DidRun, MaySendNotRun: false},
	{Kind: AtMostOnce, Ran: rockreason.NotReported, MaySendNotRun: false},
	{Kind: Repeatable, Ran: rockreason.NotRun, MaySendNotRun: true},
	{Kind: Repeatable, Ran: rockreason.MayHaveRun, MaySendNotRun: true},
	{Kind: Repeatable, Ran: rockreason.DidRun, MaySendNotRun: true},
	{Kind: Repeatable, Ran: rockreason.NotReported, MaySendNotRun: true},
}

// MaySend reports whether a status may be sent for a request.
func MaySend(kind Kind, ran rockreason.Ran, status int) bool {
	if !slices.Contains(NotRunStatuses, status) {
		return true
	}
	for _, r := range Rules {
		if r.Kind == kind && r.Ran == ran {
			return r.MaySendNotRun
		}
	}
	return false
}

// Status returns the status if it may be sent for a request, and StatusUnknown otherwise.
func Status(kind Kind, ran rockreason.Ran, status int) int {
	if MaySend(kind, ran, status) {
		return status
	}
	return StatusUnknown
}

// Reason returns the reason with which a request is refused: the code if its status may be sent, and OutcomeUnknown
// otherwise.
func Reason(kind Kind, ran rockreason.Ran, code rockreason.Code) rockreason.Code {
	if reason, _ := rockreason.Find(code); MaySend(kind, ran, reason.Status) {
		return code
	}
	return rockreason.OutcomeUnknown
}
