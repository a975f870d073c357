package rocksettings_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"sassafrasrock/io/rocksettings"
)

// withLimits returns the settings of a daemon with this text in place of its limits.
func withLimits(t *testing.T, limits string) []byte {
	t.Helper()
	before, _, found := strings.Cut(string(readExample(t, "sassafrasrockd.json")), `"limits": {`)
	if !found {
		t.Fatal("the example has no limits")
	}
	return []byte(before + `"limits": {` + limits + `}}`)
}

// Guards against a duration with a fraction that keeps the program from starting, and against a fraction that is cut off.
func TestDurationsTakeFractions(t *testing.T) {
	for _, field := range []string{
		"hostListEveryMs", "configEveryMs", "probeEveryMs", "gossipEveryMs", "hostTimeoutMs", "leaveLimitMs", "leaseTtlMs", "orderTimeoutMs",
		"retryWindowMs", "overloadRetryMs", "drainNoticeMs",
	} {
		others := ""
		switch field {
		case "hostTimeoutMs":
			others = `, "gossipEveryMs": 500`
		case "leaseTtlMs":
			others = `, "orderTimeoutMs": 500`
		case "leaveLimitMs":
			others = `, "probeEveryMs": 100`
		}
		for text, want := range map[string]rocksettings.Milliseconds{"2500.5": 2500.5, "2.5e3": 2500, "2500.0": 2500, "2500": 2500, "0": 0} {
			d, err := rocksettings.Decode[rocksettings.Daemon](withLimits(t, fmt.Sprintf("%q: %s%s", field, text, others)))
			if err != nil {
				t.Errorf("%s %s: %v", field, text, err)
				continue
			}
			encoded, _ := json.Marshal(d.Limits)
			var got map[string]rocksettings.Milliseconds
			if _ = json.Unmarshal(encoded, &got); got[field] != want {
				t.Errorf("%s %s: got %v, want %v", field, text, got[field], want)
			}
		}
	}
	for text, want := range map[string]time.Duration{`"retryWindowS": 7.5`: 7500 * time.Millisecond, `"retryWindowMs": 0.0015e6`: 1500 * time.Millisecond, `"retryWindowS": 1e1`: 10 * time.Second} {
		d, err := rocksettings.Decode[rocksettings.Daemon](withLimits(t, text))
		if got := d.Limits.WithDefaults().RetryWindow; err != nil || got != want {
			t.Errorf("%s: got %v and error %v, want %v", text, got, err, want)
		}
	}
}

// Guards against a value that is no duration and is taken, or is refused without its field, its value and what is allowed.
func TestValuesThatAreNoDuration(t *testing.T) {
	const (
		ms = "0 for the default, or a number of milliseconds from 1 to 600000"
		s  = "0 for the default, or a number of seconds from 0.001 to 600"
	)
	for limits, want := range map[string]string{
		`"retryWindowMs": -7.5`:                                       "limits.retryWindowMs: -7.5 is not allowed; allowed: " + ms,
		`"retryWindowMs": 0.5`:                                        "limits.retryWindowMs: 0.5 is not allowed; allowed: " + ms,
		`"retryWindowMs": 600000.5`:                                   "limits.retryWindowMs: 600000.5 is not allowed; allowed: " + ms,
		`"retryWindowMs": 1e300`:                                      "limits.retryWindowMs: 1e300 is not allowed; allowed: " + ms,
		`"retryWindowMs": 1e999`:                                      "limits.retryWindowMs: 1e999 is not allowed; allowed: " + ms,
		`"retryWindowMs": "7.5"`:                                      `limits.retryWindowMs: "7.5" is not allowed; allowed: ` + ms,
		`"retryWindowMs": null`:                                       "limits.retryWindowMs: null is not allowed; allowed: " + ms,
		`"retryWindowS": true`:                                        "limits.retryWindowS: true is not allowed; allowed: " + s,
		`"retryWindowS": "soon"`:                                      `limits.retryWindowS: "soon" is not allowed; allowed: ` + s,
		`"retryWindowS": -1`:                                          "limits.retryWindowS: -1 is not allowed; allowed: " + s,
		`"retryWindowS": 1e-9`:                                        "limits.retryWindowS: 1e-9 is not allowed; allowed: " + s,
		`"retryWindowS": 601`:                                         "limits.retryWindowS: 601 is not allowed; allowed: " + s,
		`"retryWindowS": [7.5]`:                                       "limits.retryWindowS: a list is not allowed; allowed: " + s,
		`"retryWindowMs": 1000, "retryWindowS": 7.5`:                  "limits.retryWindowS: 7.5 is not allowed; allowed: only one of retryWindowMs and retryWindowS",
		`"hostTimeoutMs": 2999.5, "gossipEveryMs": 1000`:              "limits.hostTimeoutMs: 2999.5 is not allowed; allowed: at least 3000 (three times gossipEveryMs)",
		`"leaseTtlMs": 1000, "orderTimeoutMs": 500.25`:                "limits.leaseTtlMs: 1000 is not allowed; allowed: at least 1000.5 (twice orderTimeoutMs)",
		`"leaseTtlMs": 1e300, "orderTimeoutMs": 1e300`:                "limits.leaseTtlMs: 1e300 is not allowed; allowed: 0 for the default, or a number of milliseconds from 1 to 300000",
		`"probeEveryMs": 3000.1, "leaveLimitMs": 3000`:                "limits.probeEveryMs: 3000.1 is not allowed; allowed: 0 for the default, or a number of milliseconds from 1 to 3000",
		`"gossipEveryMs": 0.01, "drainNoticeMs": -0.0001`:             "limits.drainNoticeMs: -0.0001 is not allowed",
		`"drainNoticeMs": -0.0001, "gossipEveryMs": 0.01`:             "limits.gossipEveryMs: 0.01 is not allowed",
		`"configEveryMs": {"seconds": 1}, "overloadRetryMs": 700000 `: "limits.configEveryMs: an object is not allowed",
	} {
		_, err := rocksettings.Decode[rocksettings.Daemon](withLimits(t, limits))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got error %v, want it to contain %q", limits, err, want)
		}
	}
}

// placeholder matches a value that the platform fills into the template of the settings.
var placeholder = regexp.MustCompile(`\{\{([a-zA-Z0-9.]+)(\|json)?\}\}`)

// fillTemplate fills the template of the settings as the platform does: the value as text, or as JSON.
func fillTemplate(t *testing.T, values map[string]any) []byte {
	t.Helper()
	template, err := os.ReadFile(filepath.Join("..", "..", "deploy", "settings.json"))
	if err != nil {
		t.Fatal(err)
	}
	return placeholder.ReplaceAllFunc(template, func(match []byte) []byte {
		parts := placeholder.FindSubmatch(match)
		value, ok := values[string(parts[1])]
		if !ok && strings.HasPrefix(string(parts[1]), "bounds.") {
			t.Errorf("the template asks for %s, which has no value here", parts[1])
		}
		if !ok {
			value = "127.0.0.1:7340"
		}
		if len(parts[2]) == 0 {
			return fmt.Append(nil, value)
		}
		encoded, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		return encoded
	})
}

// Guards against figures of the platform's bounds, which may have fractions, that keep the program from starting.
func TestTemplateTakesFractions(t *testing.T) {
	values := map[string]any{"ip": "127.0.0.1", "internalPorts.0": 7340, "internalPorts.1": 7341, "platform.addr": "127.0.0.1:8223", "bounds.graceS": 7.5, "limits.memoryMb": 284.5}
	for _, c := range []struct {
		window, ratio, burst any
		want                 time.Duration
		problem              string
	}{
		{10, 0.2, 200, 10 * time.Second, ""},
		{7.5, 0.25, 12.5, 7500 * time.Millisecond, ""},
		{0.5, 0, 0, 500 * time.Millisecond, ""},
		{json.Number("1e1"), json.Number("2e-1"), json.Number("2E2"), 10 * time.Second, ""},
		{json.Number("10.0"), 1, 200, 10 * time.Second, ""},
		{-7.5, 0.2, 200, 0, "limits.retryWindowS: -7.5 is not allowed"},
		{1e9, 0.2, 200, 0, "limits.retryWindowS: 1000000000 is not allowed"},
		{"soon", 0.2, 200, 0, `limits.retryWindowS: "soon" is not allowed`},
		{nil, 0.2, 200, 0, "limits.retryWindowS: null is not allowed"},
		{true, 0.2, 200, 0, "limits.retryWindowS: true is not allowed"},
		{10, "a fifth", 200, 0, `limits.retryRatio: "a fifth" is not allowed`},
		{10, 0.2, false, 0, "limits.retryBurst: false is not allowed"},
	} {
		values["bounds.budgetWindowS"], values["bounds.retryBudgetRatio"], values["bounds.retryBudgetMin"] = c.window, c.ratio, c.burst
		d, err := rocksettings.Decode[rocksettings.Daemon](fillTemplate(t, values))
		if c.problem != "" {
			if err == nil || !strings.Contains(err.Error(), c.problem) {
				t.Errorf("bounds %v, %v, %v: got error %v, want it to contain %q", c.window, c.ratio, c.burst, err, c.problem)
			}
			continue
		}
		if got := d.Limits.WithDefaults().RetryWindow; err != nil || got != c.want {
			t.Errorf("bounds %v, %v, %v: got a window of %v and error %v, want %v", c.window, c.ratio, c.burst, got, err, c.want)
		}
	}
}
