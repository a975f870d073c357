package rocksettings_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rocksettings"
)

func example(t testing.TB, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "..", "examples", name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Guards against examples that the daemon or the command line refuses.
func TestExamplesAreValid(t *testing.T) {
	d, err := rocksettings.Decode[rocksettings.Daemon](example(t, "sassafrasrockd.json"))
	if err != nil {
		t.Errorf("daemon: %v", err)
	}
	if diff := cmp.Diff(rocktable.DefaultLimits(), d.Limits.Table()); diff != "" {
		t.Errorf("limits of the example differ from the defaults:\n%s", diff)
	}
	if _, err := rocksettings.Decode[rocksettings.Client](example(t, "sassafrasrock.json")); err != nil {
		t.Errorf("client: %v", err)
	}
	cfg, err := rocksettings.Decode[rocktable.Configuration](example(t, "configuration.json"))
	if err != nil {
		t.Errorf("configuration: %v", err)
	}
	if p := cfg.Pipelines[0]; p.Model != "windsock-9" || p.Layers != 9 {
		t.Errorf("first pipeline is %+v", p)
	}
}

// Guards against a check that stops at the first error or names the wrong field or line.
func TestAllProblemsAreReported(t *testing.T) {
	hash := strings.Repeat("a", 64)
	file := `{
  // comment
  "ranks": [
    {"name": "urgent", "firstTokenMs": 1, "gapMs": 1, "worth": 1, "floor": 0.5},
    {"name": "urgent", "firstTokenMs": "soon", "gapMs": 1, "worth": 1, "floor": 0.5},
  ],
  "callers": [
    {"name": "a", "tokenSha256": "` + hash + `", "weight": -1,
     "ranks": ["late"]},
    {"name": "b", "tokenSha256": "` + hash + `", "colour": 3, "weight": null},
    {"tokenSha256": "` + strings.Repeat("A", 64) + `"},
  ],
  "pipelines": [{"name": "p", "model": "m", "version": "1", "layers": 9, "placements": [
    {"backendServer": "s", "firstLayer": 3, "lastLayer": 9},
    {"backendServer": "s", "firstLayer": 9, "lastLayer": 8}]}],
  "services": [{"name": "x/y", "backendServers": ["s"]}],
  "drained": "s"
}`
	_, err := rocksettings.Decode[rocktable.Configuration]([]byte(file))
	var problems rocksettings.Problems
	if !errors.As(err, &problems) {
		t.Fatalf("error is %v", err)
	}
	type place struct {
		Line  int
		Field string
	}
	var got []place
	for _, p := range problems {
		if p.Value == "" || p.Allowed == "" {
			t.Errorf("incomplete problem: %+v", p)
		}
		got = append(got, place{p.Line, p.Field})
	}
	want := []place{
		{3, "ranks"},
		{5, "ranks[1].firstTokenMs"},
		{5, "ranks[1].name"},
		{8, "callers[0].weight"},
		{9, "callers[0].ranks[0]"},
		{10, "callers[1].colour"},
		{10, "callers[1].weight"},
		{10, "callers[1].tokenSha256"},
		{11, "callers[2].name"},
		{11, "callers[2].tokenSha256"},
		{14, "pipelines[0].placements[0].lastLayer"},
		{15, "pipelines[0].placements[1].firstLayer"},
		{15, "pipelines[0].placements[1].lastLayer"},
		{15, "pipelines[0].placements[1].backendServer"},
		{16, "services[0].name"},
		{16, "services[0].backendServers[0]"},
		{17, "drained"},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("problems (-want +got):\n%s\n%v", diff, err)
	}
}

// Guards against limits that contradict each other and an operators' address that is open to everyone.
func TestDaemonRulesOverSeveralFields(t *testing.T) {
	data := strings.NewReplacer(
		`"hostTimeoutMs": 8000`, `"hostTimeoutMs": 2000`,
		`"operatorTokenSha256"`, `// `,
		`127.0.0.1:8081`, `0.0.0.0:8081`,
	).Replace(string(example(t, "sassafrasrockd.json")))
	d, err := rocksettings.Decode[rocksettings.Daemon]([]byte(data))
	for _, want := range []string{"operatorsAddress: ", "limits.hostTimeoutMs: 2000 is not allowed; allowed: at least 3000"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q is not in: %v", want, err)
		}
	}
	if got := d.Limits.Table().HostTimeout; got != 2*time.Second {
		t.Errorf("host timeout is %v", got)
	}
}

// Guards against a syntax error without its line.
func TestSyntaxErrorHasLine(t *testing.T) {
	_, err := rocksettings.Decode[rocksettings.Client]([]byte("{\n  \"operators\": [\"a:1\"\n  \"token\": 1}"))
	var problems rocksettings.Problems
	if !errors.As(err, &problems) || problems[0].Line != 3 {
		t.Errorf("error is %v", err)
	}
}

// Guards against a token in an error text.
func TestTokenIsNotShown(t *testing.T) {
	_, err := rocksettings.Decode[rocksettings.Client]([]byte(`{"operators": ["a:1"], "token": 31337}`))
	if err == nil || strings.Contains(err.Error(), "31337") {
		t.Errorf("error is %v", err)
	}
}

// Guards against panics of the decoder and problems without a field.
func FuzzDecode(f *testing.F) {
	for _, name := range []string{"configuration.json", "sassafrasrockd.json", "sassafrasrock.json"} {
		f.Add(example(f, name))
	}
	f.Add([]byte(`{"callers":[{"ranks":[null]}],"drained":{}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, config := rocksettings.Decode[rocktable.Configuration](data)
		_, daemon := rocksettings.Decode[rocksettings.Daemon](data)
		_, client := rocksettings.Decode[rocksettings.Client](data)
		for _, err := range []error{config, daemon, client} {
			var problems rocksettings.Problems
			if err != nil && (!errors.As(err, &problems) || len(problems) == 0 || problems[0].Field == "") {
				t.Errorf("error without a field: %v", err)
			}
		}
	})
}
