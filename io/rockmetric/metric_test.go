package rockmetric_test

import (
	"encoding/json"
	"expvar"
	"testing"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockmetric"
)

// Guards against a panic when several hosts run in one process or one host is created twice,
// against counters that are attributed to the wrong host, and against reasons without a published
// counter.
func TestMetricsOfSeveralHosts(t *testing.T) {
	rockmetric.New("entry-1")
	first, second := rockmetric.New("entry-1"), rockmetric.New("entry-2")
	first.CountAll([]rockreason.Code{rockreason.QueueFull, rockreason.QueueFull, "noSuchCode"})
	second.Count(rockreason.Shed)
	second.RegisterSnapshotGauges(func() *rocktable.Snapshot { return &rocktable.Snapshot{Ready: true, ConfigVersion: 7} })

	var got map[string]struct{ Reasons, Gauges map[string]int64 }
	if err := json.Unmarshal([]byte(expvar.Get(rockmetric.ExpvarName).String()), &got); err != nil {
		t.Fatal(err)
	}
	for _, code := range rockreason.Codes() {
		if _, ok := got["entry-1"].Reasons[string(code)]; !ok {
			t.Errorf("no counter is published for reason %s", code)
		}
	}
	if n := got["entry-1"].Reasons["queueFull"]; n != 2 || first.Value(rockreason.QueueFull) != 2 {
		t.Errorf("queueFull counter of entry-1: got %d published, want 2 there and from Value", n)
	}
	if n := got["entry-1"].Reasons["shed"]; n != 0 {
		t.Errorf("shed counter of entry-1: got %d, want 0, as only entry-2 counted it", n)
	}
	if g := got["entry-2"].Gauges; g["ready"] != 1 || g["configVersion"] != 7 || g["goroutines"] < 1 {
		t.Errorf("gauges of entry-2: got %v, want ready 1, configVersion 7 and at least 1 goroutine", g)
	}
}
