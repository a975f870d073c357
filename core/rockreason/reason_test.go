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
	begin         = "<!-- reasons: begin -->\n"
	end           = "<!-- reasons: end -->\n"
)

// Guards against an operators' page that differs from the reasons that the program gives.
func TestOperatingPageListsAllReasons(t *testing.T) {
	data, err := os.ReadFile(operatingPage)
	if err != nil {
		t.Fatal(err)
	}
	before, rest, found := strings.Cut(string(data), begin)
	table, after, closed := strings.Cut(rest, end)
	if !found || !closed {
		t.Fatalf("%s has no marks around the table of reasons", operatingPage)
	}
	if *update {
		if err := os.WriteFile(operatingPage, []byte(before+begin+Page()+end+after), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if diff := cmp.Diff(Page(), table); diff != "" {
		t.Errorf("run go test ./core/rockreason -update; the page differs (-want +got):\n%s", diff)
	}
}

// Guards against a reason that lacks what callers or operators are told.
func TestReasonsAreComplete(t *testing.T) {
	seen := map[Code]bool{}
	for _, r := range All {
		if r.Code == "" || r.Title == "" || r.Text == "" || r.Operator == "" || r.Kind == "" {
			t.Errorf("reason %q lacks a field: %+v", r.Code, r)
		}
		if seen[r.Code] {
			t.Errorf("code %q is listed twice", r.Code)
		}
		seen[r.Code] = true
		if r.Kind == Refusal && r.Ran != NotRun {
			t.Errorf("refusal %q says %q, want %q", r.Code, r.Ran, NotRun)
		}
	}
}
