package rockadmit

import (
	"testing"
	"time"

	"sassafrasrock/core/rocktable"
)

// Guards against a partition in which each side grants a caller's limit in full.
func TestLimitIsDividedAmongKnownHosts(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	w := rocktable.NewWorld(now, rocktable.Host{Name: "entry-1"}, rocktable.DataCentre{Name: "ga-west-a"}, 1)
	for _, name := range []string{"entry-2", "entry-3", "entry-4", "entry-5"} {
		h := w.InternHost(name)
		h.Listed, h.State = true, rocktable.StateLive
	}
	w.HostNamed("entry-2").State = rocktable.StateDown    // cut off
	w.HostNamed("entry-3").State = rocktable.StateLeaving // takes no new work
	if got := HostCount(w); got != 4 {
		t.Errorf("got limits divided among %d hosts, want 4", got)
	}
	w.HostNamed("entry-2").Listed = false // replaced
	if got := HostCount(w); got != 3 {
		t.Errorf("got limits divided among %d hosts, want 3", got)
	}
	c := &rocktable.Caller{}
	if got := LimitFraction(c, 4); got != 0.25 {
		t.Errorf("got fraction %v without known demand, want an even 0.25", got)
	}
	c.Demand, c.PeerDemand = 300, 100
	if got := LimitFraction(c, 4); got != 0.75 {
		t.Errorf("got fraction %v with three quarters of the demand, want 0.75", got)
	}
	c.Demand = 0
	if got := LimitFraction(c, 4); got <= 0 || got > 0.05 {
		t.Errorf("got fraction %v without demand at this host, want more than 0 and at most 0.05", got)
	}
}
