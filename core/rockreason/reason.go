package rockreason

import "sort"

// Code identifies a reason in counters, error bodies and on the command line.
type Code string

// Ran tells whether a refused or failed request ran on a backend server.
type Ran string

// The values of Ran.
const (
	NotRun     Ran = "notRun"
	MayHaveRun Ran = "mayHaveRun"
	DidRun     Ran = "ran"
	Internal   Ran = "" // not told to callers
)

// Kind groups the reasons.
type Kind string

// The kinds of reasons.
const (
	Refusal  Kind = "refusal"  // the request was not run
	Failure  Kind = "failure"  // the request ran, or may have run, without a whole answer
	Retry    Kind = "retry"    // the request was sent again
	Dropped  Kind = "dropped"  // a late or repeated message was ignored
	BadInput Kind = "badInput" // a message or file could not be accepted
)

// Reason documents one code.
type Reason struct {
	Code     Code
	Kind     Kind
	Title    string
	Text     string
	Status   int // HTTP status told to a caller; 0 where no caller is told
	Ran      Ran
	TryAgain bool   // whether the caller may send the same request again
	Operator string // what an operator does about it
}

var byCode = index(All)

func index(reasons []Reason) map[Code]Reason {
	m := make(map[Code]Reason, len(reasons))
	for _, r := range reasons {
		m[r.Code] = r
	}
	return m
}

// Find returns the reason of a code and whether there is one.
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
