package rockfollow_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"sassafrasrock/core/rocktable"
)

const (
	// configLimit is the time after its acknowledgement in which a configuration must be in force.
	configLimit = 2 * time.Second
	// contactLimit is the time after a fault of its own from which a host must keep the limits again.
	contactLimit = 3 * time.Second
	// keyLimit is the time from its start for which a host waits for what its peers know. They must know its key by then.
	keyLimit = time.Second
)

// latecomers returns the running hosts whose configuration or backend servers differ from the store.
func (f *fleet) latecomers() []string {
	return slices.DeleteFunc(f.lagging(), func(name string) bool {
		return strings.HasSuffix(name, rocktable.HostsTable.String())
	})
}

// change writes a new configuration and the departure of a backend server.
func (f *fleet) change() {
	f.changedAt = f.now
	f.store.write(rocktable.ConfigurationTable, "config", false)
	f.store.write(rocktable.BackendServersTable, "runner-2", true)
}

// Guards against a configuration that is late on all hosts because the reads that wait for it have gone silent.
func TestConfigurationIsInForceAfterSilentConnections(t *testing.T) {
	t.Parallel()
	for phase := time.Duration(0); phase < 4*time.Second; phase += 200 * time.Millisecond {
		f := newFleet(t, 3, 8)
		f.run(settlingTime)
		f.store.write(rocktable.ConfigurationTable, "config", false)
		f.run(phase)
		f.silenceConnections()
		f.run(step)
		f.change()
		f.run(contactLimit - step)
		if late := f.latecomers(); len(late) > 0 {
			t.Errorf("%d hosts lack the changes %s after their connections went silent, %s after a change: %s", len(late), contactLimit, phase, late[0])
		}
	}
}

// Guards against hosts that restart together, refuse each other's messages, and lack a configuration for longer than a
// start may take. The store turns the hosts of the other data centre away.
func TestConfigurationIsInForceAfterRestarts(t *testing.T) {
	for restarted := 1; restarted <= 4; restarted++ {
		f := newFleet(t, 2, 8)
		f.run(settlingTime)
		turnedAway, hosts := make(map[*host]bool), []*host(nil)
		for i, h := range f.hosts {
			if turnedAway[h] = i%2 == 1; !turnedAway[h] && len(hosts) < restarted {
				hosts = append(hosts, h)
			}
		}
		f.store.refuses = func(h *host) bool { return turnedAway[h] }
		f.run(time.Second)
		f.restart(hosts)
		f.run(500 * time.Millisecond)
		f.change()
		f.run(contactLimit - registerDelay - 500*time.Millisecond)
		for h := range turnedAway {
			h.stopped = turnedAway[h] // nobody whom they trust could tell them
		}
		if late := f.latecomers(); len(late) > 0 {
			t.Errorf("%d hosts lack the changes %s after %d hosts restarted: %s", len(late), contactLimit, restarted, late[0])
		}
	}
}

// Guards against pauses between reads that leave a host behind long after the store is back.
func TestConfigurationIsInForceAfterAnOutage(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]func(f *fleet){
		"refusing": func(f *fleet) { f.store.refuses = func(*host) bool { return true } },
		"silent":   func(f *fleet) { f.store.silent = true },
	} {
		for outage := 500 * time.Millisecond; outage < 10*time.Second; outage += 700 * time.Millisecond {
			f := newFleet(t, 3, 12)
			f.run(settlingTime)
			f.store.write(rocktable.ConfigurationTable, "config", false)
			for _, h := range f.hosts {
				h.alone = true
			}
			fault(f)
			f.run(outage)
			f.change()
			f.store.dropHistory()
			f.store.refuses, f.store.silent = func(*host) bool { return false }, false
			f.run(contactLimit)
			if late := f.latecomers(); len(late) > 0 {
				t.Errorf("%d hosts lack the changes %s after the end of an outage of %s of a %s store: %s", len(late), contactLimit, outage, name, late[0])
			}
		}
	}
}

// Guards against a configuration that is late on hosts without a fault because the followers failed.
func TestConfigurationIsInForceWhenFollowersFail(t *testing.T) {
	t.Parallel()
	for phase := time.Duration(0); phase < time.Second; phase += 100 * time.Millisecond {
		f := newFleet(t, 3, 63)
		f.run(settlingTime + phase)
		for _, h := range f.followers() {
			h.stopped = true
		}
		f.change()
		f.run(configLimit)
		if late := f.latecomers(); len(late) > 0 {
			t.Errorf("%d of %d hosts lack the changes %s after its acknowledgement, at which all followers failed: %s", len(late), len(f.hosts), configLimit, late[0])
		}
	}
}

// Guards against a configuration that is late on hosts without a fault because their followers have lost the store, and
// tell so only when a read that waits has failed.
func TestConfigurationIsInForceWhenFollowersLoseTheStore(t *testing.T) {
	t.Parallel()
	for phase := time.Duration(0); phase < 1500*time.Millisecond; phase += 100 * time.Millisecond {
		f := newFleet(t, 3, 63)
		f.run(settlingTime)
		f.store.write(rocktable.ConfigurationTable, "config", false)
		f.run(phase)
		cut := f.followers()
		for _, h := range cut {
			h.cut = true
		}
		f.change()
		f.run(configLimit)
		for _, h := range cut {
			h.stopped = true // a host with a fault has no limit to keep
		}
		if late := f.latecomers(); len(late) > 0 {
			t.Errorf("%d tables lack a change %s after its acknowledgement, at which the followers lost the store, %s after another change: %s", len(late), configLimit, phase, late[0])
		}
	}
}

// Guards against a configuration that is late on the hosts that have a failed follower as their source, while another
// follower has it.
func TestConfigurationIsInForceWhenOneFollowerFails(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]func(h *host){
		"stopped":       func(h *host) { h.stopped = true },
		"without store": func(h *host) { h.cut = true },
	} {
		for phase := time.Duration(0); phase < time.Second; phase += 100 * time.Millisecond {
			f := newFleet(t, 3, 63)
			f.run(settlingTime + phase)
			failed := make(map[rocktable.DataCentreID]*host)
			for _, h := range f.followers() {
				if dc := h.w.SelfHost().DataCentre; failed[dc] == nil {
					failed[dc] = h
					fault(h)
				}
			}
			f.change()
			f.run(configLimit)
			for _, h := range failed {
				h.stopped = true // a host with a fault has no limit to keep
			}
			if late := f.latecomers(); len(late) > 0 {
				t.Errorf("%d tables lack a change %s after its acknowledgement, at which a follower of each data centre was %s: %s", len(late), configLimit, name, late[0])
			}
		}
	}
}

// Guards against hosts that restart in turn and are refused by their peers, which do not know their new keys.
func TestKeysOfRestartedHostsAreKnownInTime(t *testing.T) {
	f := newFleet(t, 2, 8)
	f.run(settlingTime)
	for _, restarted := range f.hosts {
		f.restart([]*host{restarted})
		f.run(keyLimit - registerDelay)
		for _, h := range f.hosts {
			if h != restarted && !h.trusts(restarted) {
				t.Errorf("%s does not know the key of %s %s after its start", h.w.SelfHost().Name, restarted.w.SelfHost().Name, keyLimit)
			}
		}
	}
}
