package rockmember_test

import (
	"testing"
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// change returns a change of the fleet's first configuration.
func (f *fleet) change(id string, expected uint64, drained ...string) rocktable.ConfigChange {
	cfg := f.config.rows["configuration"].Row.Configuration
	cfg.Drained = drained
	return rocktable.ConfigChange{ChangeID: id, ExpectedVersion: expected, Configuration: cfg}
}

func (h *host) put(c rocktable.ConfigChange) {
	h.inbox.ConfigChanges = append(h.inbox.ConfigChanges, c)
}

// end returns the result of a change at a host. It fails the test unless the change ended there exactly once.
func (h *host) end(t *testing.T, id string) rocktable.ConfigEnd {
	t.Helper()
	var found []rocktable.ConfigEnd
	for _, e := range h.ends {
		if e.ChangeID == id {
			found = append(found, e)
		}
	}
	if len(found) != 1 {
		t.Fatalf("change %s ended %d times at %s, want once", id, len(found), h.name)
	}
	return found[0]
}

// Guards against two concurrent changes of operators that are both accepted, and against a version that does not become
// active at every host.
func TestConfigurationRace(t *testing.T) {
	f := newFleet(t, 2, 3, 1)
	waitSettled(t, f)
	f.hosts[0].put(f.change("a", 1, "runner-0-0"))
	f.hosts[5].put(f.change("b", 1))
	f.run(2 * time.Second)
	a, b := f.hosts[0].end(t, "a"), f.hosts[5].end(t, "b")
	if a.Reason != "" || a.Version != 2 || b.Reason != rockreason.ConfigConflict || b.Version != 2 {
		t.Errorf("ends are %+v and %+v, want one accepted and one conflict", a, b)
	}
	isActive := func() bool { return f.all(func(h *host) bool { return h.w.ConfigVersion == 2 }) }
	if !f.until(6*time.Second, isActive) {
		t.Error("the accepted version is not active at every host within 8 s")
	}
	if s := f.hosts[4].state("runner-0-0"); s != rocktable.StateLeaving {
		t.Errorf("the drained backend server is %s, want leaving", s)
	}
	f.hosts[1].put(f.change("c", 2))
	if !f.until(10*time.Second, isSettled(f)) {
		t.Error("a backend server that was removed from the drained list is still not live")
	}
}

// Guards against a change that takes effect twice, or that is reported as refused, when the answer to its write is
// lost.
func TestConfigurationLostAnswer(t *testing.T) {
	f := newFleet(t, 1, 2, 1)
	waitSettled(t, f)
	f.config.lostAnswers = 1
	f.hosts[0].put(f.change("lost", 1))
	f.run(2 * time.Second)
	if e := f.hosts[0].end(t, "lost"); e.Reason != "" || e.Version != 2 {
		t.Errorf("lost answer: %+v, want accepted as version 2", e)
	}
	f.config.lostWrites = 1
	f.hosts[0].put(f.change("dropped", 2))
	f.run(2 * time.Second)
	if e := f.hosts[0].end(t, "dropped"); e.Reason != "" || e.Version != 3 {
		t.Errorf("lost write: %+v, want accepted as version 3", e)
	}
	// The same change, sent again to another host after a further change, is not written again.
	f.hosts[1].put(f.change("lost", 1))
	f.run(2 * time.Second)
	if e := f.hosts[1].end(t, "lost"); e.Reason != "" || e.Version != 2 || f.config.version != 3 {
		t.Errorf("resent change: %+v with %d versions, want version 2 of 3", e, f.config.version)
	}
}

// Guards against a change that hangs, or is reported as not run although it may take effect, while the platform is out.
func TestConfigurationUnsettled(t *testing.T) {
	f := newFleet(t, 1, 1, 1)
	waitSettled(t, f)
	f.config.lostAnswers = 1
	f.hosts[0].put(f.change("half", 1))
	f.until(time.Second, func() bool { return f.config.lostAnswers == 0 })
	f.config.unreachable = true
	f.run(12 * time.Second)
	if e := f.hosts[0].end(t, "half"); e.Reason != rockreason.ConfigUnsettled {
		t.Errorf("the change ended with %q, want %q", e.Reason, rockreason.ConfigUnsettled)
	}
	f.hosts[0].put(f.change("out", 1))
	f.run(12 * time.Second)
	if e := f.hosts[0].end(t, "out"); e.Reason != rockreason.PlatformOut {
		t.Errorf("the change ended with %q, want %q", e.Reason, rockreason.PlatformOut)
	}
}

// Guards against a host that serves with an old configuration after a restart while the platform is out, and against
// one that never becomes ready.
func TestRestartWhilePlatformIsOut(t *testing.T) {
	f := newFleet(t, 1, 4, 2)
	waitSettled(t, f)
	f.hosts[0].put(f.change("a", 1))
	f.run(6 * time.Second)
	f.config.unreachable, f.listOut = true, true
	one := f.hosts[0]
	f.addHost(one.name, one.dc, 2)
	f.run(200 * time.Millisecond)
	if one.w.Ready {
		t.Fatal("the host is ready before it has the configuration")
	}
	if !f.until(10*time.Second, func() bool { return one.w.Ready && one.w.ConfigVersion == 2 }) {
		t.Fatalf("the host is not ready with version 2 after 10 s: version %d", one.w.ConfigVersion)
	}
	if !f.until(5*time.Second, isSettled(f)) {
		t.Error("the host does not learn the backend servers from its peers")
	}
}

// Guards against a host that becomes ready with the version of a peer that lags, while the platform is out.
func TestReadyOnlyWithHighestVersion(t *testing.T) {
	f := newFleet(t, 1, 1, 0)
	f.config.unreachable, f.listOut = true, true
	h := f.hosts[0]
	row := f.config.rows["configuration"].Row
	report := func(sender string, version uint64) {
		m := rocktable.PeerMessage{Sender: sender, Address: sender, DataCentre: "dc-0", Incarnation: 1, Heartbeat: 9, State: rocktable.StateLive}
		m.ConfigVersion, m.Configuration = version, &row
		for _, name := range []string{"peer-1", "peer-2", "peer-3", "peer-4"} {
			m.Hosts = append(m.Hosts, rocktable.HostUpdate{Name: name, Address: name, DataCentre: "dc-0", Incarnation: 1, Heartbeat: 1, State: rocktable.StateLive})
		}
		if version == 3 {
			m.Configuration = nil // the version is known before the configuration arrives
		}
		h.inbox.Peers = append(h.inbox.Peers, m)
		f.run(2 * step)
	}
	report("peer-1", 1)
	report("peer-2", 2)
	if h.w.Ready {
		t.Error("ready after two of four peers reported their version, want three")
	}
	report("peer-3", 3)
	if h.w.Ready {
		t.Error("ready with version 2 although a peer has version 3")
	}
	row.ChangeID = "third"
	h.inbox.Peers = []rocktable.PeerMessage{{Sender: "peer-3", DataCentre: "dc-0", Incarnation: 1, Reply: true, ConfigVersion: 3, Configuration: &row}}
	f.run(2 * step)
	if !h.w.Ready || h.w.ConfigVersion != 3 {
		t.Errorf("ready = %t with version %d, want ready with version 3", h.w.Ready, h.w.ConfigVersion)
	}
}

// Guards against a large fleet that finds a new version late when no peer reports it, because each host rarely reads
// the row.
func TestLargeFleetFindsVersion(t *testing.T) {
	f := newFleet(t, 3, 20, 1)
	f.run(30 * time.Second)
	for range 3 {
		row := f.config.rows["configuration"]
		row.Row.ChangeID = "second"
		f.config.do(rocktable.TableOp[rocktable.ConfigRow]{Key: "configuration", Write: true, Expected: row.Version, Row: row.Row})
		version := f.config.version
		isActive := func(h *host) bool { return h.w.ConfigVersion == version }
		if !f.until(16*time.Second, func() bool { return f.all(isActive) }) {
			t.Errorf("version %d is not active at every host within 16 s", version)
		}
	}
}
