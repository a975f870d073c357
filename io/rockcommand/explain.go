package rockcommand

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"sassafrasrock/core/rockreason"
)

type explainCommand struct {
	Code string `arg:"" optional:"" help:"Code of a refusal, failure or counter."`
}

type reasonResult struct {
	Code           rockreason.Code `json:"code"`
	Kind           rockreason.Kind `json:"kind"`
	Title          string          `json:"title"`
	Text           string          `json:"text"`
	Status         int             `json:"status,omitempty"`
	Ran            rockreason.Ran  `json:"ran,omitempty"`
	Retryable      bool            `json:"tryAgain"`
	OperatorAction string          `json:"operator"`
}

// Run explains one code, or lists all codes if none is given.
func (c *explainCommand) Run(inv *invocation) error {
	if c.Code == "" {
		return listReasons(inv)
	}
	reason, ok := rockreason.Find(rockreason.Code(c.Code))
	if !ok {
		codes := make([]string, len(rockreason.All))
		for i, r := range rockreason.All {
			codes[i] = string(r.Code)
		}
		return exitWith(ExitNotFound, "unknown code %q%s", c.Code, suggestion(c.Code, codes))
	}
	result := reasonResult(reason)
	return inv.print(result, result.writeText)
}

func listReasons(inv *invocation) error {
	results := make([]reasonResult, 0, len(rockreason.All))
	for _, code := range rockreason.Codes() {
		reason, _ := rockreason.Find(code)
		results = append(results, reasonResult(reason))
	}
	return inv.print(results, func(w io.Writer) {
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		for _, r := range results {
			fmt.Fprintf(t, "%s\t%s\t%s\n", r.Code, r.Kind, r.Title)
		}
		_ = t.Flush()
	})
}

func (r reasonResult) writeText(w io.Writer) {
	fmt.Fprintf(w, "%s: %s (%s)\n\n%s\n\n", r.Code, r.Title, r.Kind, r.Text)
	if r.Status != 0 {
		fmt.Fprintf(w, "HTTP status:   %d\n", r.Status)
	}
	if r.Ran != rockreason.NotReported {
		fmt.Fprintf(w, "Request ran:   %s\n", r.Ran)
		fmt.Fprintf(w, "Send again:    %v\n", r.Retryable)
	}
	fmt.Fprintf(w, "What to do:    %s\n", r.OperatorAction)
}

// suggestion returns a "did you mean" clause with the known word that is closest to a misspelt one, or
// an empty string if none is close.
func suggestion(word string, known []string) string {
	best, bestDistance := "", len(word)/2+1
	for _, k := range known {
		if d := editDistance(strings.ToLower(word), strings.ToLower(k)); d < bestDistance {
			best, bestDistance = k, d
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf(", did you mean %q?", best)
}

// editDistance returns the Levenshtein distance between two words, counted in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			replace := diagonal
			if a[i] != b[j] {
				replace++
			}
			diagonal = row[j+1]
			row[j+1] = min(replace, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
