package rockprocess

import (
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"syscall"
	"testing"
	"time"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockstandin"
)

// orderPlan returns a plan with a second model on the two engines of spareEngines, which have no
// other work.
func orderPlan(loadMs int) *fleetPlan {
	p := newPlan(3)
	p.standin.Engine.OrderMs = loadMs
	for i, checks := range []bool{true, false} {
		p.standin.Engines = append(p.standin.Engines, rockstandin.EngineSettings{
			Name: spareEngines[i], DataCentre: "yoff", Region: "dakar", Kind: "fast",
			Model: "drizzle-4", Version: "0", LastLayer: 3, Layers: 4, Slots: 8, ChecksFencing: checks,
		})
	}
	return p
}

// spareEngines names the engines that get orders. The first checks fencing numbers, the second
// ignores them.
var spareEngines = []string{"spare-checks", "spare-ignores"}

// requestVersion applies a configuration that places another version of the second model on both
// spare engines.
func (f *fleet) requestVersion(h *host, cfg rocktable.Configuration, version int) {
	f.t.Helper()
	drafts := rocktable.PipelineConfig{Name: "drafts", Model: "drizzle-4", Version: fmt.Sprint(version), Layers: 4}
	for _, name := range spareEngines {
		drafts.Placements = append(drafts.Placements, rocktable.Placement{Server: name, LastLayer: 3})
	}
	cfg.Pipelines = append([]rocktable.PipelineConfig{drafts}, cfg.Pipelines...)
	if code, out := f.apply(h, cfg, "--wait", "0"); code != 0 {
		f.t.Fatalf("apply: exit code %d, want 0: %s", code, out)
	}
}

// orderCount returns the number of orders that a spare engine has accepted.
func (f *fleet) orderCount(name string) int { return f.counts().Engines[name].Orders }

// readRow reads a row of the table service and reports whether it exists.
func readRow[T any](f *fleet, table, key string) (row T, ok bool) {
	f.t.Helper()
	var stored struct {
		Value T `json:"value"`
	}
	status := f.getJSON("http://"+f.platform+"/v1/tables/"+table+"/"+url.PathEscape(key), &stored)
	return stored.Value, status == http.StatusOK
}

// waitForHolder waits until a host holds the lease with at least the given fencing number. It
// returns the host and the number.
func (f *fleet) waitForHolder(minFencing uint64) (holder *host, fencing uint64) {
	f.t.Helper()
	eventually(f.t, "a host holds a lease with the fencing number or a higher one", func() bool {
		row, ok := readRow[rocktable.LeaseRow](f, "leases", "lease/yoff")
		name, _, _ := strings.Cut(row.Holder, "#")
		for _, h := range f.hosts {
			if h.settings.Host == name {
				holder, fencing = h, row.Fencing
			}
		}
		return ok && !row.Released && fencing >= minFencing
	})
	return holder, fencing
}

// Guards against engines that accept orders of a former lease holder, and against overlapping
// orders at an engine that ignores fencing numbers, when the holder is suspended until its lease
// has expired.
func TestStoppedLeaseHolder(t *testing.T) {
	p := orderPlan(250)
	p.limits.LeaseTTLMs, p.limits.OrderTimeoutMs = 1200, 400
	f := p.start(t)
	version := 0
	for round := range 3 {
		h, fencing := f.waitForHolder(1)
		before := f.orderCount(spareEngines[1])
		version++
		f.requestVersion(h, p.config, version)
		// The holder is suspended before it sends an order in round 0, while the engine runs it in
		// round 1, and after it in round 2.
		if round > 0 {
			eventually(t, "holder sends an order", func() bool { return f.orderCount(spareEngines[1]) > before })
		}
		if round > 1 {
			time.Sleep(300 * time.Millisecond)
		}
		h.signal(syscall.SIGSTOP)
		next, _ := f.waitForHolder(fencing + 1)
		version++
		f.requestVersion(next, p.config, version)
		before = f.orderCount(spareEngines[1])
		eventually(t, "next holder sends an order", func() bool { return f.orderCount(spareEngines[1]) > before })
		h.signal(syscall.SIGCONT)
		eventually(t, "former holder learns that it lost the lease", func() bool {
			s, err := f.status(h)
			return err == nil && !s.GetLeaseHeld() && int(s.GetConfigVersion()) > version
		})
	}
	for _, name := range spareEngines {
		c := f.counts().Engines[name]
		t.Logf("%s: %d orders, %d refused, %d old, %d overlapping", name, c.Orders, c.FencedOrders, c.StaleOrders, c.OverlappingOrders)
		if c.StaleOrders > 0 || c.OverlappingOrders > 0 || c.Orders < 4 {
			t.Errorf("%s accepted %d orders, %d of them old and %d overlapping; want at least 4, 0 and 0", name, c.Orders, c.StaleOrders, c.OverlappingOrders)
		}
	}
	f.checkInvariants()
}
