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

// orderPlan returns a plan with a second model on two engines that have no other work, one of which ignores fencing numbers.
func orderPlan(loadMs int) *plan {
	p := newPlan(3)
	p.standin.Engine.LoadMs = loadMs
	for i, checks := range []bool{true, false} {
		p.standin.Engines = append(p.standin.Engines, rockstandin.EngineSettings{
			Name: spares[i], DataCentre: "yoff", Region: "dakar", Kind: "fast",
			Model: "drizzle-4", Version: "0", LastLayer: 3, Layers: 4, Slots: 8, ChecksFencing: checks,
		})
	}
	return p
}

// spares are the engines that get orders: the first checks fencing numbers, the second ignores them.
var spares = []string{"spare-checks", "spare-ignores"}

// order puts a configuration in force that asks both spares for another version of their model.
func (f *fleet) order(h *host, cfg rocktable.Configuration, version int) {
	f.t.Helper()
	drafts := rocktable.PipelineConfig{Name: "drafts", Model: "drizzle-4", Version: fmt.Sprint(version), Layers: 4}
	for _, name := range spares {
		drafts.Placements = append(drafts.Placements, rocktable.Placement{Server: name, LastLayer: 3})
	}
	cfg.Pipelines = append([]rocktable.PipelineConfig{drafts}, cfg.Pipelines...)
	if code, out := f.apply(h, cfg, "--wait", "0"); code != 0 {
		f.t.Fatalf("apply ended with %d: %s", code, out)
	}
}

// orders returns the orders that a spare took.
func (f *fleet) orders(name string) int { return f.counts().Engines[name].Orders }

// readRow reads a row of the table service as stored, and reports whether there is one.
func readRow[T any](f *fleet, table, key string) (row T, ok bool) {
	f.t.Helper()
	var stored struct {
		Value T `json:"value"`
	}
	status := f.get("http://"+f.platform+"/v1/tables/"+table+"/"+url.PathEscape(key), &stored)
	return stored.Value, status == http.StatusOK
}

// holder waits for a lease with at least the fencing number and returns its holder and its number.
func (f *fleet) holder(least uint64) (holder *host, fencing uint64) {
	f.t.Helper()
	eventually(f.t, "a host holds the lease", func() bool {
		row, ok := readRow[rocktable.LeaseRow](f, "leases", "lease/yoff")
		name, _, _ := strings.Cut(row.Holder, "#")
		for _, h := range f.hosts {
			if h.settings.Host == name {
				holder, fencing = h, row.Fencing
			}
		}
		return ok && !row.Released && fencing >= least
	})
	return holder, fencing
}

// Guards against an order of a former holder that an engine takes, and against two orders at once at an engine that ignores fencing numbers, when the holder is stopped past the end of its lease.
func TestStoppedLeaseHolder(t *testing.T) {
	p := orderPlan(250)
	p.limits.LeaseTTLMs, p.limits.OrderTimeoutMs = 1200, 400
	f := p.start(t)
	version := 0
	for round := range 3 {
		h, fencing := f.holder(1)
		before := f.orders(spares[1])
		version++
		f.order(h, p.config, version)
		// Each round stops the holder in another stage: before the order, under it, and after it.
		if round > 0 {
			eventually(t, "the holder sends an order", func() bool { return f.orders(spares[1]) > before })
		}
		if round > 1 {
			time.Sleep(300 * time.Millisecond)
		}
		h.signal(syscall.SIGSTOP)
		next, _ := f.holder(fencing + 1)
		version++
		f.order(next, p.config, version)
		before = f.orders(spares[1])
		eventually(t, "the next holder sends an order", func() bool { return f.orders(spares[1]) > before })
		h.signal(syscall.SIGCONT)
		eventually(t, "the former holder notices", func() bool {
			s, err := f.status(h)
			return err == nil && !s.GetLeaseHeld() && int(s.GetConfigVersion()) > version
		})
	}
	for _, name := range spares {
		c := f.counts().Engines[name]
		t.Logf("%s: %d orders, %d refused, %d old, %d overlapping", name, c.Orders, c.FencedOrders, c.OldOrders, c.OverlappingOrders)
		if c.OldOrders > 0 || c.OverlappingOrders > 0 || c.Orders < 4 {
			t.Errorf("%s took %d orders, %d of them old and %d overlapping; want at least 4, 0 and 0", name, c.Orders, c.OldOrders, c.OverlappingOrders)
		}
	}
	f.noViolation()
}
