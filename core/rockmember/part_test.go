package rockmember_test

import (
	"testing"
	"time"

	"sassafrasrock/core/rockpart"
	"sassafrasrock/core/rocktable"
)

// Guards against a part that crashes backend servers and goes on doing so at hosts that were not told in time: each of
// three hosts has seen one crash, and all must refuse the part 3 s after the last one.
func TestBlamedPartIsKnownEverywhere(t *testing.T) {
	const part, limit = 1, 3 * time.Second
	f := newFleet(t, 5, 24, 1)
	f.run(10 * time.Second)
	for i := range 3 {
		crash := rocktable.PartUpdate{Part: part, Crashes: []uint64{uint64(i + 1)}, Remaining: time.Minute}
		rockpart.Merge(f.now, f.hosts[i*50].w, crash, true)
		f.run(200 * time.Millisecond)
	}
	isBlamed := func(h *host) bool { return rockpart.IsBlamed(h.w, &rocktable.Request{Parts: []rocktable.PartID{part}}) }
	if !f.until(limit, func() bool { return f.all(isBlamed) }) {
		n := 0
		for _, h := range f.hosts {
			if isBlamed(h) {
				n++
			}
		}
		t.Errorf("%d of %d hosts refuse the part %s after the third crash", n, len(f.hosts), limit)
	}
	// A host that starts now learns of it from the others.
	late := f.addHost("late", "dc-0", 9)
	if !f.until(limit, func() bool { return isBlamed(late) }) {
		t.Errorf("a host that has started does not refuse the part after %s", limit)
	}
}
