package rockfollow_test

import (
	"testing"
	"time"

	"sassafrasrock/core/rockconfig"
	"sassafrasrock/core/rocklookup"
	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// newServingFleet returns a fleet whose hosts have a configuration and publish snapshots of it.
func newServingFleet(t *testing.T) *fleet {
	f := newFleet(t, 2, 8)
	for _, h := range f.hosts {
		rockconfig.Accept(f.now, h.w, 1, rocktable.ConfigRow{})
		h.snapshot = h.w.TakeSnapshot()
	}
	f.run(settlingTime)
	return f
}

// refusal returns the reason for which a host refuses a request that its copy of the configuration does not know.
func (f *fleet) refusal(h *host) rockreason.Code {
	_, code := rocklookup.Route(f.now, h.snapshot, "added.example", "/", "", 0)
	return code
}

// Guards against a host that refuses a route or a key for good by a copy of the configuration that lacks it, because a
// fault delays the change longer than it may take.
func TestLateCopyRefusesNothingForGood(t *testing.T) {
	for name, fault := range map[string]func(f *fleet){
		"alone":              func(f *fleet) { f.hosts[0].alone, f.hosts[0].cut = true, true },
		"frozen":             func(f *fleet) { f.hosts[0].frozen = true },
		"store lost":         func(f *fleet) { f.store.silent = true },
		"followers cut":      func(f *fleet) { cut(f.followers()) },
		"silent connections": func(f *fleet) { f.silenceConnections() },
	} {
		t.Run(name, func(t *testing.T) {
			for phase := time.Duration(0); phase < 1500*time.Millisecond; phase += step {
				f := newServingFleet(t)
				f.store.write(rocktable.ConfigurationTable, "config", false)
				f.run(phase)
				fault(f)
				f.change()
				for range 40 {
					f.run(step)
					f.checkRefusals(configLimit)
				}
			}
		})
	}
}

func cut(hosts []*host) {
	for _, h := range hosts {
		h.cut = true
	}
}

// checkRefusals fails the test if a host refuses a route for good although its copy lacks a change that is older than
// a limit.
func (f *fleet) checkRefusals(limit time.Duration) {
	f.t.Helper()
	late := f.now.Sub(f.changedAt) > limit
	for _, h := range f.hosts {
		lacks := h.known[rocktable.ConfigurationTable]["config"] != f.store.rows[rocktable.ConfigurationTable]["config"].Version
		if code := f.refusal(h); late && lacks && code != rockreason.ConfigUnconfirmed {
			f.t.Fatalf("%s refuses with %q %s after a change that it lacks, want %q", h.w.SelfHost().Name, code, f.now.Sub(f.changedAt), rockreason.ConfigUnconfirmed)
		}
	}
}

// Guards against hosts that send callers with a wrong key or path away to try again although nothing is wrong.
func TestSoundCopyRefusesAtOnce(t *testing.T) {
	f := newServingFleet(t)
	for i := range 100 {
		if i%30 == 0 {
			f.change()
		}
		f.run(step)
		for _, h := range f.hosts {
			if code := f.refusal(h); code != rockreason.UnknownPath {
				t.Fatalf("%s refuses an unknown path with %q, want %q", h.w.SelfHost().Name, code, rockreason.UnknownPath)
			}
		}
	}
}
