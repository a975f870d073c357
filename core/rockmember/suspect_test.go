package rockmember_test

import (
	"testing"
	"time"

	"sassafrasrock/core/rockcrash"
	"sassafrasrock/core/rocktable"
)

const content = 7

// suspectAt adds a suspect to a host and has it reported to peers.
func suspectAt(f *fleet, h *host, s rocktable.Suspect) {
	s.Fingerprint, s.ExpiresAt = content, f.now.Add(time.Minute)
	row := h.w.Suspects.Put(content, s)
	if len(s.Crashes) > 0 {
		rockcrash.MarkChanged(h.w, row)
	}
	h.w.Gossip.WorkChanged = true
}

// Guards against a request that its caller sends through all hosts and that crashes a backend server at each: no
// single host sees enough crashes to refuse it.
func TestCrashesAreCountedOverHosts(t *testing.T) {
	f := newFleet(t, 1, 3, 1)
	waitSettled(t, f)
	for i, h := range f.hosts {
		suspectAt(f, h, rocktable.Suspect{Crashes: []uint64{uint64(i + 1)}})
	}
	f.run(4 * step)
	for _, h := range f.hosts {
		if s := h.w.Suspects.Get(content); s == nil || len(s.Crashes) != 3 || !s.Quarantined {
			t.Errorf("%s: suspect %+v, want three crashes and a quarantine", h.name, s)
		}
	}
}

// Guards against one crash that is counted once for each host that had the same content in flight there.
func TestOneCrashOfManyHostsCountsOnce(t *testing.T) {
	f := newFleet(t, 1, 3, 1)
	waitSettled(t, f)
	for _, h := range f.hosts {
		suspectAt(f, h, rocktable.Suspect{Crashes: []uint64{1}})
	}
	f.run(4 * step)
	for _, h := range f.hosts {
		if s := h.w.Suspects.Get(content); s == nil || len(s.Crashes) != 1 || s.Quarantined {
			t.Errorf("%s: suspect %+v, want one crash", h.name, s)
		}
	}
}

// Guards against a host that runs content again while a peer has unconfirmed signs that it crashed a backend server.
func TestSignsReachPeersAtOnce(t *testing.T) {
	f := newFleet(t, 1, 2, 1)
	waitSettled(t, f)
	one, two := f.hosts[0], f.hosts[1]
	suspectAt(f, one, rocktable.Suspect{UnconfirmedSigns: 2})
	f.run(3 * step)
	if !rockcrash.IsSuspect(f.now, two.w, content) {
		t.Errorf("suspect at the peer is %+v, want two signs", two.w.Suspects.Get(content))
	}
	one.w.Suspects.Get(content).UnconfirmedSigns = 0
	one.w.Gossip.WorkChanged = true
	f.run(3 * step)
	if rockcrash.IsSuspect(f.now, two.w, content) {
		t.Errorf("suspect at the peer is %+v after the signs were resolved, want none", two.w.Suspects.Get(content))
	}
}

// Guards against two hosts that run suspects alone on the same backend server, and against a reservation that
// outlasts its host.
func TestReservationsOfPeers(t *testing.T) {
	f := newFleet(t, 1, 2, 1)
	waitSettled(t, f)
	one, two := f.hosts[0], f.hosts[1]
	for _, h := range f.hosts {
		h.w.Requests.Put(900, rocktable.Request{ID: 900, Fingerprint: content})
		suspectAt(f, h, rocktable.Suspect{Crashes: []uint64{1, 2}})
		h.w.ServerNamed("runner-0-0").ExclusiveRequest = 900
	}
	f.run(3 * step)
	if one.w.ServerNamed("runner-0-0").PeerExclusive || rockcrash.MustWait(one.w, content) {
		t.Error("the host whose name comes first waits for its peer")
	}
	if !two.w.ServerNamed("runner-0-0").PeerExclusive || !rockcrash.MustWait(two.w, content) {
		t.Error("the host whose name comes second does not wait for its peer")
	}
	one.stopped = true
	f.run(10 * time.Second)
	if two.w.ServerNamed("runner-0-0").PeerExclusive || rockcrash.MustWait(two.w, content) {
		t.Error("the reservation of a failed host still holds 10 s later")
	}
}
