package rockmetric_test

import (
	"encoding/json"
	"expvar"
	"testing"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockmetric"
)

// Guards against a panic when several hosts run in one process, and against counters that are mixed up or not published.
func TestMetricsOfSeveralHosts(t *testing.T) {
	rockmetric.New("entry-1")
	first, second := rockmetric.New("entry-1"), rockmetric.New("entry-2")
	first.CountAll([]rockreason.Code{rockreason.QueueFull, rockreason.QueueFull, "noSuchCode"})
	second.Count(rockreason.Shed)
	second.GaugeSnapshot(func() *rocktable.Snapshot { return &rocktable.Snapshot{Ready: true, ConfigVersion: 7} })

	var got map[string]struct{ Reasons, Gauges map[string]int64 }
	if err := json.Unmarshal([]byte(expvar.Get(rockmetric.Name).String()), &got); err != nil {
		t.Fatal(err)
	}
	for _, code := range rockreason.Codes() {
		if _, ok := got["entry-1"].Reasons[string(code)]; !ok {
			t.Errorf("no counter for %s", code)
		}
	}
	if n := got["entry-1"].Reasons["queueFull"]; n != 2 || first.Value(rockreason.QueueFull) != 2 {
		t.Errorf("queueFull is %d, want 2", n)
	}
	if n := got["entry-1"].Reasons["shed"]; n != 0 {
		t.Errorf("shed of the other host is counted: %d", n)
	}
	if g := got["entry-2"].Gauges; g["ready"] != 1 || g["configVersion"] != 7 || g["goroutines"] < 1 {
		t.Errorf("gauges are %v", g)
	}
}
