package rockreason

import "sort"

// Code identifies a reason in counters, in error bodies and on the command line.
type Code string

// Ran reports whether a refused or failed request ran on a backend server.
type Ran string

// The values of Ran.
const (
	NotRun      Ran = "notRun"
	MayHaveRun  Ran = "mayHaveRun"
	DidRun      Ran = "ran"
	NotReported Ran = ""
)

// Kind classifies a reason.
type Kind string

// The kinds of reasons.
const (
	Refusal  Kind = "refusal"  // the request did not run
	Failure  Kind = "failure"  // the request ran, or may have run, and got no complete answer
	Retry    Kind = "retry"    // the request was retried or resumed, or a table row was read back
	Dropped  Kind = "dropped"  // a late, duplicate or outdated message or order was dropped
	BadInput Kind = "badInput" // a request, message or file was rejected
)

// Reason documents one code.
type Reason struct {
	Code           Code
	Kind           Kind
	Title          string
	Text           string
	Status         int // HTTP status of the response; 0 if the reason is not reported to callers
	Ran            Ran
	Retryable      bool   // whether the caller may retry the same request
	OperatorAction string // recommended
}

var byCode = indexByCode(All)

func indexByCode(reasons []Reason) map[Code]Reason {
	m := make(map[Code]Reason, len(reasons))
	for _, r := range reasons {
		m[r.Code] = r
	}
	return m
}

// Find returns the reason with the given code and whether it exists.
func Find(code Code) (Reason, bool) {
	r, ok := byCode[code]
	return r, ok
}

// Codes returns all codes in alphabetical order.
func Codes() []Code {
	codes := make([]Code, 0, len(All))
	for _, r := range All {
		codes = append(codes, r.Code)
	}
	sort.Slice(codes, func(i, j int) bool { return codes[i] < codes[j] })
	return codes
}
