package rockcost

import (
	"math"
	"testing"

	"sassafrasrock/core/rocktable"
)

var small = Scale{Hosts: 30, Servers: 60, Callers: 10}

// Guards against measurements of a host that does not serve, because it has no streams, reports or
// configuration, or because its state violates an invariant.
func TestOperationsRunOnServingHost(t *testing.T) {
	for _, o := range Operations {
		f := NewFixture(small, 1)
		op := o.Prepare(f, 20)
		if !f.World.Ready || f.World.Attempts.Len() < runningStreams {
			t.Fatalf("%s: got ready = %t with %d attempts, want a ready host with at least %d", o.Name, f.World.Ready, f.World.Attempts.Len(), runningStreams)
		}
		for range 20 {
			op()
		}
		if f.Violations > 0 {
			t.Errorf("%s: got %d violations of invariants, want none", o.Name, f.Violations)
		}
		live := 0
		for _, s := range f.World.Servers.All() {
			if s.State == rocktable.StateLive {
				live++
			}
		}
		if live != small.Servers || f.World.Hosts.Len() != small.Hosts {
			t.Errorf("%s: got %d live backend servers and %d hosts, want %d and %d", o.Name, live, f.World.Hosts.Len(), small.Servers, small.Hosts)
		}
	}
}

// Guards against parts of a gossip message that are counted twice or not at all.
func TestGossipPartsAddUp(t *testing.T) {
	g := CountGossip(small, 1, 20)
	sum := g.Header + g.Hosts + g.Servers + g.Loads + g.Demands + g.Suspects
	if math.Abs(sum-g.Frames) > 0.01 {
		t.Errorf("got parts of %.1f bytes/s in total, want the %.1f bytes/s of the frames", sum, g.Frames)
	}
	if g.Hosts == 0 || g.Servers == 0 || g.Loads == 0 || g.Suspects == 0 {
		t.Errorf("got 0 bytes/s for a part of the messages: %+v", g)
	}
}

// Guards against gossip rounds that exceed the 4 KB/s which a host may send for control on the wire.
func TestRoundsFitTheWireLimit(t *testing.T) {
	const overhead = 180 // bytes of a message, as MeasureLoopback finds
	g := CountGossip(Full, 1, 60)
	if wire := g.Frames + overhead*g.Messages; wire > WireLimit {
		t.Errorf("%.0f bytes/s on the wire, want at most %d", wire, WireLimit)
	}
}

// Guards against gossip messages of a large installation that leave out the demand of callers. Without
// it, hosts divide the limits of callers evenly instead of by demand.
func TestDemandIsReportedAtFullScale(t *testing.T) {
	g := CountGossip(Full, 1, 60)
	if g.Demands < 50*g.Messages {
		t.Errorf("got %.0f bytes/s of demand in %.1f messages/s, want at least 2 callers in each message", g.Demands, g.Messages)
	}
}

// Guards against packets on the wire that are not counted, such as acknowledgements.
func TestLoopbackCountsPackets(t *testing.T) {
	l, err := MeasureLoopback(small, 1, 3, 2)
	if err != nil {
		t.Fatal(err)
	}
	if l.Packets < 2 || l.WireBytes < l.FrameBytes+2*packetOverhead || l.HandshakeBytes < 1200 {
		t.Errorf("got %+v, want at least 2 packets for a message and its acknowledgement, and 1200 bytes for a handshake", l)
	}
}

// Guards against a measurement of streams that deliver fewer tokens than requested.
func TestTrafficCountsTokens(t *testing.T) {
	c, err := MeasureTraffic(1, 4, 50)
	if err != nil {
		t.Fatal(err)
	}
	if c.Tokens != 4*50 {
		t.Errorf("got %d tokens, want %d", c.Tokens, 4*50)
	}
}
