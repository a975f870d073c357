package rockreason

import (
	"fmt"
	"strings"
)

// MarkdownTable returns the table of all reasons in docs/operating.md.
func MarkdownTable() string {
	var b strings.Builder
	b.WriteString("| code | kind | HTTP | ran | try again | meaning | what to do |\n")
	b.WriteString("|---|---|---|---|---|---|---|\n")
	for _, r := range All {
		status, ran, retryable := "", "", ""
		if r.Status != 0 {
			status, ran, retryable = fmt.Sprint(r.Status), string(r.Ran), "no"
		}
		if r.Status != 0 && r.Retryable {
			retryable = "yes"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s | %s |\n", r.Code, r.Kind, status, ran, retryable, r.Text, r.OperatorAction)
	}
	return b.String()
}
