package rocksettings_test

import (
	"bytes"
	"errors"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rocksettings"
)

func readExample(t testing.TB, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "..", "examples", name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Guards against files under examples that the daemon or the command line rejects, and against
// example limits that differ from the defaults.
func TestExamplesAreValid(t *testing.T) {
	d, err := rocksettings.Decode[rocksettings.Daemon](readExample(t, "sassafrasrockd.json"))
	if err != nil {
		t.Errorf("daemon: %v", err)
	}
	if diff := cmp.Diff(rocktable.DefaultLimits(), d.Limits.WithDefaults()); diff != "" {
		t.Errorf("limits of the example differ from the defaults:\n%s", diff)
	}
	if _, err := rocksettings.Decode[rocksettings.CommandLine](readExample(t, "sassafrasrock.json")); err != nil {
		t.Errorf("command line: %v", err)
	}
	cfg, err := rocksettings.Decode[rocktable.Configuration](readExample(t, "configuration.json"))
	if err != nil {
		t.Errorf("configuration: %v", err)
	}
	if p := cfg.Pipelines[0]; p.Model != "windsock-9" || p.Layers != 9 {
		t.Errorf("first pipeline: got %+v, want model windsock-9 with 9 layers", p)
	}
}

// Guards against a check that stops at the first problem or reports the wrong field or line.
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
		t.Fatalf("got error %v, want one of type Problems", err)
	}
	type position struct {
		Line  int
		Field string
	}
	var got []position
	for _, p := range problems {
		if p.Value == "" || p.Allowed == "" {
			t.Errorf("problem without value or allowed values: %+v", p)
		}
		got = append(got, position{p.Line, p.Field})
	}
	want := []position{
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

// Guards against a grace of a fraction of a second that is lost or rejected: platforms may state whole seconds or fractions.
func TestStopGraceInSeconds(t *testing.T) {
	for text, want := range map[string]time.Duration{"8": 8 * time.Second, "7.5": 7500 * time.Millisecond, "0": 0} {
		file := strings.Replace(string(readExample(t, "sassafrasrockd.json")), `"orderTimeoutMs": 5000,`, `"orderTimeoutMs": 5000, "stopGraceS": `+text, 1)
		d, err := rocksettings.Decode[rocksettings.Daemon]([]byte(file))
		if got := d.Limits.WithDefaults().StopGrace; err != nil || got != want {
			t.Errorf("stopGraceS %s: got %s and error %v, want %s", text, got, err, want)
		}
	}
}

// Guards against accepting limits that contradict each other, or an operators' address without token
// or TLS that other hosts can reach.
func TestDaemonRulesOverSeveralFields(t *testing.T) {
	data := strings.NewReplacer(
		`"hostTimeoutMs": 8000`, `"hostTimeoutMs": 2000`,
		`"operatorTokenSha256"`, `// `,
		`127.0.0.1:8081`, `0.0.0.0:8081`,
	).Replace(string(readExample(t, "sassafrasrockd.json")))
	d, err := rocksettings.Decode[rocksettings.Daemon]([]byte(data))
	for _, want := range []string{"operatorsAddress: ", "limits.hostTimeoutMs: 2000 is not allowed; allowed: at least 3000"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got error %v, want it to contain %q", err, want)
		}
	}
	if got := d.Limits.WithDefaults().HostTimeout; got != 2*time.Second {
		t.Errorf("got host timeout %v, want 2s", got)
	}
}

// Guards against a syntax error that is reported without its line.
func TestSyntaxErrorHasLine(t *testing.T) {
	_, err := rocksettings.Decode[rocksettings.CommandLine]([]byte("{\n  \"operators\": [\"a:1\"\n  \"token\": 1}"))
	var problems rocksettings.Problems
	if !errors.As(err, &problems) || problems[0].Line != 3 {
		t.Errorf("got error %v, want a problem at line 3", err)
	}
}

// Guards against a file whose nesting overflows the parser's stack, and against counting brackets in
// strings and comments as nesting.
func TestDeepNesting(t *testing.T) {
	_, err := rocksettings.Decode[rocksettings.CommandLine](bytes.Repeat([]byte("["), 1<<20))
	if err == nil || !strings.Contains(err.Error(), "up to 64 levels") {
		t.Errorf("got error %v, want one that names the limit of 64 levels", err)
	}
	brackets := strings.Repeat("[", 100)
	file := "// " + brackets + "\n/* " + brackets + " */{\"operators\": [\"localhost:1\"], \"token\": \"\\\"" + brackets + "\"}"
	if _, err := rocksettings.Decode[rocksettings.CommandLine]([]byte(file)); err != nil {
		t.Errorf("got error %v, want none for %s", err, file)
	}
}

// Guards against skipping rules for a configuration that does not come from a file, as with the
// operators' protocol.
func TestCheckWithoutFile(t *testing.T) {
	cfg, err := rocksettings.Decode[rocktable.Configuration](readExample(t, "configuration.json"))
	if problems := rocksettings.Check(cfg); err != nil || problems != nil {
		t.Errorf("example: got error %v and problems %v, want none", err, problems)
	}
	cfg.Callers[2].Weight, cfg.Ranks[0].Worth, cfg.Ranks[1].Name = -1, math.Inf(1), "urgent"
	got := rocksettings.Check(cfg).Error()
	for _, want := range []string{"callers[2].weight: -1 is not allowed; allowed: at least 0", "ranks[0].worth: +Inf", "ranks[1].name: "} {
		if !strings.Contains(got, want) {
			t.Errorf("got problems %s, want them to contain %q", got, want)
		}
	}
}

// Guards against an error text that shows the token.
func TestTokenIsNotShown(t *testing.T) {
	_, err := rocksettings.Decode[rocksettings.CommandLine]([]byte(`{"operators": ["a:1"], "token": 31337}`))
	if err == nil || strings.Contains(err.Error(), "31337") {
		t.Errorf("got error %v, want one without the token", err)
	}
}

// Guards against panics in Decode and against errors that name no field.
func FuzzDecode(f *testing.F) {
	for _, name := range []string{"configuration.json", "sassafrasrockd.json", "sassafrasrock.json"} {
		f.Add(readExample(f, name))
	}
	f.Add([]byte(`{"callers":[{"ranks":[null]}],"drained":{}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, configErr := rocksettings.Decode[rocktable.Configuration](data)
		_, daemonErr := rocksettings.Decode[rocksettings.Daemon](data)
		_, commandLineErr := rocksettings.Decode[rocksettings.CommandLine](data)
		for _, err := range []error{configErr, daemonErr, commandLineErr} {
			var problems rocksettings.Problems
			if err != nil && (!errors.As(err, &problems) || len(problems) == 0 || problems[0].Field == "") {
				t.Errorf("got error %v, want Problems that name a field", err)
			}
		}
	})
}
