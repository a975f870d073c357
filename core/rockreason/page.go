package rockreason

import (
	"fmt"
	"strings"
)

// Page returns the table of all reasons for the operators' page, in Markdown.
func Page() string {
	var b strings.Builder
	b.WriteString("| code | kind | HTTP | ran | try again | meaning | what to do |\n")
	b.WriteString("|---|---|---|---|---|---|---|\n")
	for _, r := range All {
		status, ran, again := "", "", ""
		if r.Status != 0 {
			status, ran, again = fmt.Sprint(r.Status), string(r.Ran), "no"
		}
		if r.Status != 0 && r.TryAgain {
			again = "yes"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s | %s |\n", r.Code, r.Kind, status, ran, again, r.Text, r.Operator)
	}
	return b.String()
}
