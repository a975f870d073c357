package rockmember_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/core/rocktick"
)

func isSettled(f *fleet) func() bool {
	return func() bool {
		return f.all(func(h *host) bool {
			for name := range f.engines {
				if h.state(name) != rocktable.StateLive {
					return false
				}
			}
			return h.w.Ready
		})
	}
}

func waitSettled(t *testing.T, f *fleet) {
	t.Helper()
	if !f.until(20*time.Second, isSettled(f)) {
		t.Fatal("the hosts do not know all backend servers as live within 20 s")
	}
}

// Guards against backend servers that every host probes, and against ones that no host probes after some hosts failed.
func TestProbersAreFewAndReplaced(t *testing.T) {
	f := newFleet(t, 2, 6, 10)
	waitSettled(t, f)
	f.run(10 * time.Second)
	probers := func(server string) int {
		n := 0
		for _, h := range f.hosts {
			if s := h.w.ServerNamed(server); !h.stopped && s.Probing {
				n++
			}
		}
		return n
	}
	for name := range f.engines {
		if n := probers(name); n != 3 {
			t.Errorf("%s: got %d probers, want 3", name, n)
		}
	}
	for _, h := range f.hosts[:3] {
		h.stopped = true
	}
	f.run(20 * time.Second)
	for name := range f.engines {
		if n := probers(name); n != 3 {
			t.Errorf("%s: got %d probers after three hosts failed, want 3", name, n)
		}
	}
}

// Guards against new work for a leaving backend server because the platform's list lags, and against an old report that
// undoes the departure.
func TestLeavingSpreadsWithin3sAndStays(t *testing.T) {
	f := newFleet(t, 3, 8, 6)
	waitSettled(t, f)
	f.engines["runner-1-2"].State = "leaving"
	isLeaving := func(h *host) bool { return h.state("runner-1-2") == rocktable.StateLeaving }
	// A prober sees it within 0.5 s and reports it at once; rounds of gossip alone take longer.
	if !f.until(time.Second, func() bool { return f.all(isLeaving) }) {
		t.Fatal("not every host knows within 1 s that the backend server is leaving")
	}
	for range 200 {
		f.run(step)
		if !f.all(isLeaving) {
			t.Fatal("an old report undid the departure at a host")
		}
	}
	f.engines["runner-1-2"].State, f.engines["runner-1-2"].Incarnation = "live", 2
	if !f.until(5*time.Second, isSettled(f)) {
		t.Error("the new incarnation is not live everywhere within 5 s")
	}
}

// Guards against a drain that stays at one host, is ended by a report, or cannot be lifted.
func TestDrainAndLift(t *testing.T) {
	f := newFleet(t, 2, 4, 4)
	waitSettled(t, f)
	isLeaving := func(h *host) bool { return h.state("runner-0-1") == rocktable.StateLeaving }
	f.hosts[6].inbox.Drains = []rocktable.Drain{{Server: "runner-0-1"}}
	if !f.until(3*time.Second, func() bool { return f.all(isLeaving) }) {
		t.Fatal("the drain is not known everywhere within 3 s")
	}
	f.engines["runner-0-1"].Incarnation = 2
	f.run(10 * time.Second)
	if !f.all(isLeaving) {
		t.Error("a restart ended the operator's drain")
	}
	f.hosts[2].inbox.Drains = []rocktable.Drain{{Server: "runner-0-1", Lift: true}}
	if !f.until(3*time.Second, isSettled(f)) {
		t.Error("the lift is not active at every host within 3 s")
	}
}

// Guards against a drain that is lost because other hosts learned of the departure from the list first.
func TestDrainDuringDeparture(t *testing.T) {
	f := newFleet(t, 1, 4, 2)
	waitSettled(t, f)
	f.cut = func(_, _ *host) bool { return true }
	f.hosts[0].inbox.Drains = []rocktable.Drain{{Server: "runner-0-1"}}
	f.entry("runner-0-1").State = "leaving"
	f.run(5 * time.Second)
	f.cut = func(_, _ *host) bool { return false }
	isDrained := func(h *host) bool { return h.w.ServerNamed("runner-0-1").Drained }
	if !f.until(10*time.Second, func() bool { return f.all(isDrained) }) {
		t.Error("the drain is not known everywhere within 10 s")
	}
}

// Guards against a missing list entry that takes a backend server out of use although it answers, and against an
// outdated entry that overrides a newer state.
func TestIncompleteList(t *testing.T) {
	f := newFleet(t, 1, 3, 3)
	waitSettled(t, f)
	complete := f.list
	f.list = f.list[2:]
	f.run(20 * time.Second)
	if !isSettled(f)() {
		t.Error("backend servers that answer are not live because the list lacks them")
	}
	f.list = complete
	f.entry("runner-0-0").State = "leaving"
	f.run(3 * time.Second)
	f.hosts[1].inbox.Drains = []rocktable.Drain{{Server: "runner-0-0", Lift: true}}
	if !f.until(3*time.Second, isSettled(f)) {
		t.Error("an operator's lift does not end a departure that the list reported")
	}
	f.entry("runner-0-0").State = "live"
	f.run(3 * time.Second)
	f.entry("runner-0-0").State = "leaving"
	f.run(3 * time.Second)
	if s := f.hosts[1].state("runner-0-0"); s != rocktable.StateLeaving {
		t.Errorf("a backend server that is listed as leaving again is %s, want leaving", s)
	}
	f.engines["runner-0-0"].Incarnation = 2
	f.run(10 * time.Second)
	if !isSettled(f)() {
		t.Error("the old list entry takes precedence over the new incarnation")
	}
	f.entry("entry-0-1").State = "leaving"
	f.run(3 * time.Second)
	peer := func() rocktable.State { return f.hosts[0].w.HostNamed("entry-0-1").State }
	if s := peer(); s != rocktable.StateLeaving {
		t.Errorf("a host that is listed as leaving is %s, want leaving", s)
	}
	f.addHost("entry-0-1", "dc-0", 2)
	f.run(10 * time.Second)
	if s := peer(); s != rocktable.StateLive {
		t.Errorf("a host that was restarted is %s, want live", s)
	}
}

// Guards against a host that loses its backend servers during a partition, and against hosts whose tables do not
// converge after it has healed.
func TestPartitionHeals(t *testing.T) {
	f := newFleet(t, 2, 4, 4)
	waitSettled(t, f)
	f.cut = func(a, b *host) bool { return a.dc != b.dc }
	f.listOut, f.config.unreachable = true, true
	f.run(40 * time.Second)
	one := f.hosts[0]
	if far := one.w.HostNamed("entry-1-0"); far.State != rocktable.StateDown {
		t.Errorf("a host behind the partition is %s, want down", far.State)
	}
	if !isSettled(f)() {
		t.Error("backend servers are not live at every host during the partition")
	}
	f.engines["runner-1-0"].State = "leaving"
	f.run(3 * time.Second)
	f.cut = func(_, _ *host) bool { return false }
	converged := func() bool {
		return f.all(func(h *host) bool {
			for _, other := range f.hosts {
				if h.w.HostNamed(other.name).State != rocktable.StateLive {
					return false
				}
			}
			return h.state("runner-1-0") == rocktable.StateLeaving
		})
	}
	if !f.until(20*time.Second, converged) {
		t.Error("the tables do not converge within 20 s after the partition healed")
	}
}

// Guards against live hosts that are marked as down because relayed heartbeats are too old.
func TestNoFalseDown(t *testing.T) {
	f := newFleet(t, 3, 16, 1)
	f.run(10 * time.Second)
	for range 400 {
		f.run(step)
		for _, h := range f.hosts {
			for _, other := range h.w.Hosts.All() {
				if other.State == rocktable.StateDown {
					t.Fatalf("%s marked %s as down after %s without a heartbeat", h.name, other.Name, f.now.Sub(other.HeartbeatAt))
				}
			}
		}
	}
}

// Guards against load of peers that is counted twice, or still counted after it has ended or the peer has failed.
func TestPeerLoad(t *testing.T) {
	f := newFleet(t, 1, 2, 1)
	waitSettled(t, f)
	one, two := f.hosts[0], f.hosts[1]
	guild := two.w.CallerNamed("guild")
	guild.Demand, guild.DemandAt = 50, f.now
	two.w.ServerNamed("app-1").InFlight = 3
	f.run(3 * time.Second)
	if n := one.w.ServerNamed("app-1").PeerInFlight; n != 3 {
		t.Errorf("calls of peers = %d, want 3", n)
	}
	// The demand decays with a time constant of 5 s, so a report from the last 3 s holds at least exp(-3s/5s) of 50.
	if d := one.w.CallerNamed("guild").PeerDemand; d < 50*math.Exp(-0.6) || d > 50 {
		t.Errorf("demand at peers = %g, want 50 less the decay of at most 3 s", d)
	}
	f.run(time.Minute)
	if d := one.w.CallerNamed("guild").PeerDemand; d != 0 {
		t.Errorf("demand at peers = %g a minute after the last request, want 0", d)
	}
	two.stopped = true
	f.run(10 * time.Second)
	if n := one.w.ServerNamed("app-1").PeerInFlight; n != 0 {
		t.Errorf("calls of a failed peer = %d, want 0", n)
	}
}

// Guards against suspects that are not reported to peers.
func TestSuspectsSpread(t *testing.T) {
	f := newFleet(t, 2, 3, 1)
	waitSettled(t, f)
	w := f.hosts[0].w
	w.Suspects.Put(7, rocktable.Suspect{Fingerprint: 7, Crashes: []uint64{1, 2}, Quarantined: true, ExpiresAt: f.now.Add(time.Hour), ChangeSeq: w.NextChangeSeq()})
	isKnown := func(h *host) bool { s := h.w.Suspects.Get(7); return s != nil && s.Quarantined && len(s.Crashes) == 2 }
	if !f.until(5*time.Second, func() bool { return f.all(isKnown) }) {
		t.Error("the quarantine is not known everywhere within 5 s")
	}
}

// Guards against a number of list reads that grows in proportion to a large fleet, and against a late spread of a
// departure that only the list reports.
func TestLargeFleetSharesListReads(t *testing.T) {
	f := newFleet(t, 3, 40, 2)
	f.run(30 * time.Second)
	f.listReads = 0
	f.run(20 * time.Second)
	// 120 hosts that each read every 2 s would read 1,200 times.
	if f.listReads < 150 || f.listReads > 450 {
		t.Errorf("got %d reads of the list in 20 s, want about 300", f.listReads)
	}
	f.entry("runner-1-0").State = "leaving"
	isLeaving := func(h *host) bool { return h.state("runner-1-0") == rocktable.StateLeaving }
	if !f.until(3*time.Second, func() bool { return f.all(isLeaving) }) {
		t.Error("not every host knows within 3 s that the list marks the backend server as leaving")
	}
}

// Guards against a live host of a large data centre that sends no message to a peer for longer than the peer's
// timeout for silent hosts. Relayed heartbeats do not always bridge such a gap.
func TestEveryPeerReceivesMessagesInTurn(t *testing.T) {
	const hosts = 34
	w := rocktable.NewWorld(start, rocktable.Host{Name: "entry-0", Address: "entry-0"}, rocktable.DataCentre{Name: "dc-0", Region: "r"}, 1, rocktable.WithSeed(1))
	list := rocktable.HostList{OK: true}
	for i := range hosts {
		name := fmt.Sprintf("entry-%d", i)
		list.Entries = append(list.Entries, rocktable.ListedHost{Name: name, Role: "entry", Address: name, DataCentre: "dc-0", Region: "r", State: "live"})
	}
	w.Inbox.HostLists = []rocktable.HostList{list}
	last := make(map[string]time.Time)
	longest := time.Duration(0)
	for second := range 600 {
		now := start.Add(time.Duration(second) * time.Second)
		for _, e := range list.Entries[1:] {
			w.Inbox.Peers = append(w.Inbox.Peers, rocktable.PeerMessage{
				Sender: e.Name, Address: e.Address, DataCentre: "dc-0", Region: "r", Incarnation: 1, Heartbeat: uint64(second + 10), State: rocktable.StateLive,
			})
		}
		for _, s := range rocktick.Run(now, w).Outbox.PeerSends {
			if at, ok := last[s.Address]; ok {
				longest = max(longest, now.Sub(at))
			}
			last[s.Address] = now
		}
	}
	t.Logf("the longest time between two messages to one peer is %s", longest)
	// With 3 messages a second to 33 peers, each receives one every 11 s. The timeout with 34 hosts is 25 s.
	if len(last) != hosts-1 || longest > 18*time.Second {
		t.Errorf("got messages to %d peers, at most %s apart; want 33 peers, at most 18 s apart", len(last), longest)
	}
}

// Guards against a shutdown of which peers learn late, and against one that ends before the lease is released.
func TestShutdown(t *testing.T) {
	f := newFleet(t, 1, 4, 2)
	waitSettled(t, f)
	f.run(5 * time.Second)
	var holder *host
	for _, h := range f.hosts {
		if h.w.Lease.Held {
			holder = h
		}
	}
	if holder == nil {
		t.Fatal("no host holds the lease")
	}
	holder.inbox.Shutdowns = []rocktable.Shutdown{{}}
	f.lease.unreachable = true
	reported := func() bool {
		return f.all(func(h *host) bool { return h.w.HostNamed(holder.name).State == rocktable.StateLeaving })
	}
	if !f.until(time.Second, reported) {
		t.Error("peers do not know of the shutdown within 1 s")
	}
	f.run(2 * time.Second)
	if holder.done {
		t.Error("the shutdown ended before the lease was released")
	}
	f.lease.unreachable = false
	if !f.until(3*time.Second, func() bool { return holder.done }) {
		t.Fatal("the shutdown does not end")
	}
	if row := f.lease.rows["lease/dc-0"].Row; !row.Released && row.Fencing == 1 {
		t.Errorf("the lease row is %+v after the shutdown, want it released or taken over", row)
	}
}

// Guards against hosts of a large fleet that together reserve too much memory. Each receives messages from only a few
// hosts of other data centres, and would otherwise know only a fraction of the memory that all hosts have reserved.
func TestUnreportedHostsCountLikeTheOthers(t *testing.T) {
	w := rocktable.NewWorld(start, rocktable.Host{Name: "entry-0", Address: "entry-0"}, rocktable.DataCentre{Name: "dc-0", Region: "r"}, 1, rocktable.WithSeed(1))
	w.Limits.PlatformPushes = true
	list := rocktable.HostList{OK: true, Pushed: true, Entries: []rocktable.ListedHost{{Name: "runner-1", Role: "model", Address: "runner-1", DataCentre: "dc-1", Region: "r", State: "live"}}}
	for i := range 9 {
		name := fmt.Sprintf("entry-%d", i)
		list.Entries = append(list.Entries, rocktable.ListedHost{Name: name, Role: "entry", Address: name, DataCentre: fmt.Sprintf("dc-%d", min(i, 1)), Region: "r", State: "live"})
	}
	w.Inbox.HostLists = []rocktable.HostList{list}
	rocktick.Run(start, w)
	w.Inbox = rocktable.Inbox{}
	for i := 1; i < 3; i++ {
		name := fmt.Sprintf("entry-%d", i)
		w.Inbox.Peers = append(w.Inbox.Peers, rocktable.PeerMessage{
			Sender: name, Address: name, DataCentre: "dc-1", Region: "r", Incarnation: 1, Heartbeat: 9, State: rocktable.StateLive,
			Loads: []rocktable.LoadUpdate{{Server: "runner-1", InFlight: 3, FirstStageInFlight: 1, ReservedMemory: 500}},
		})
	}
	rocktick.Run(start.Add(time.Second), w)
	if s := w.ServerNamed("runner-1"); s.PeerReservedMemory != 4000 || s.PeerInFlight != 24 || s.PeerFirstStageInFlight != 8 {
		t.Errorf("got memory %g, attempts %d and first stages %d of peers, want those of 8 hosts: 4000, 24 and 8", s.PeerReservedMemory, s.PeerInFlight, s.PeerFirstStageInFlight)
	}
	if u := w.Gossip.UnreportedFraction; u != 0.75 {
		t.Errorf("got a fraction %g of peers without a recent report, want 0.75", u)
	}
}
