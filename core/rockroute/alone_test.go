package rockroute_test

import (
	"testing"
	"time"

	"sassafrasrock/core/rocktable"
)

// Guards against a suspect that starts on a backend server where a peer runs a suspect alone. A
// crash there would be attributed to both.
func TestSuspectAvoidsServersReservedByPeers(t *testing.T) {
	f := newFleet(t, 2, 2, 1)
	f.w.Suspects.Put(poison, rocktable.Suspect{Fingerprint: poison, Crashes: []uint64{1, 2}, ExpiresAt: f.now.Add(time.Minute)})
	f.addArrival(0, 1)
	f.w.Inbox.Arrivals[0].Request.Fingerprint = poison
	f.step()
	var reserved *rocktable.BackendServer
	for _, s := range f.w.Servers.All() {
		if s.ExclusiveRequest != 0 {
			reserved = s
		}
	}
	if reserved == nil || len(f.starts) != 0 {
		t.Fatalf("reserved %+v and %d starts, want a reservation that is reported to peers before the start", reserved, len(f.starts))
	}
	if !f.w.Gossip.WorkChanged {
		t.Error("the reservation is not reported to peers")
	}
	reserved.PeerExclusive = true
	f.run(2*time.Second, nil)
	if len(f.starts) != 1 {
		t.Fatalf("%d starts, want 1", len(f.starts))
	}
	for _, stage := range f.starts[0].Path {
		if stage.Server == reserved.ID {
			t.Error("the suspect started on the backend server that a peer reserved")
		}
	}
}
