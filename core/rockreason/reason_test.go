package rockreason

import (
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "write the table of reasons into docs/operating.md")

const (
	operatingPage = "../../docs/operating.md"
	tableBegin    = "<!-- reasons: begin -->\n"
	tableEnd      = "<!-- reasons: end -->\n"
)

// Guards against a table in docs/operating.md that is out of date after a change of All.
func TestOperatingPageListsAllReasons(t *testing.T) {
	data, err := os.ReadFile(operatingPage)
	if err != nil {
		t.Fatal(err)
	}
	before, rest, found := strings.Cut(string(data), tableBegin)
	table, after, closed := strings.Cut(rest, tableEnd)
	if !found || !closed {
		t.Fatalf("%s lacks the begin or end marker of the table of reasons", operatingPage)
	}
	if *update {
		if err := os.WriteFile(operatingPage, []byte(before+tableBegin+MarkdownTable()+tableEnd+after), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if diff := cmp.Diff(MarkdownTable(), table); diff != "" {
		t.Errorf("docs/operating.md is out of date; run go test ./core/rockreason -update (-want +got):\n%s", diff)
	}
}

// Guards against a reason with an empty text, a duplicate code, or a refusal that does not report
// that the request did not run.
func TestReasonsAreComplete(t *testing.T) {
	seen := map[Code]bool{}
	for _, r := range All {
		if r.Code == "" || r.Title == "" || r.Text == "" || r.OperatorAction == "" || r.Kind == "" {
			t.Errorf("reason %q has an empty field: %+v", r.Code, r)
		}
		if seen[r.Code] {
			t.Errorf("code %q is listed twice", r.Code)
		}
		seen[r.Code] = true
		if r.Kind == Refusal && r.Ran != NotRun {
			t.Errorf("refusal %q: Ran = %q, want %q", r.Code, r.Ran, NotRun)
		}
	}
}
