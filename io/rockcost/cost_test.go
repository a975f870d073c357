package rockcost

import (
	"math"
	"testing"

	"sassafrasrock/core/rocktable"
)

var small = Scale{Hosts: 30, Servers: 60, Callers: 10}

// Guards against figures of a host that does not serve: one without streams, reports or a configuration, or with a broken state.
func TestOperationsRunOnServingHost(t *testing.T) {
	for _, o := range Operations {
		f := NewFleet(small, 1)
		op := o.Prepare(f, 20)
		if !f.World.Ready || f.World.Attempts.Len() < runningStreams {
			t.Fatalf("%s: ready = %t with %d attempts, want %d", o.Name, f.World.Ready, f.World.Attempts.Len(), runningStreams)
		}
		for range 20 {
			op()
		}
		if f.Violations > 0 {
			t.Errorf("%s: %d violations of invariants", o.Name, f.Violations)
		}
		live := 0
		for _, s := range f.World.Servers.All() {
			if s.State == rocktable.StateLive {
				live++
			}
		}
		if live != small.Servers || f.World.Hosts.Len() != small.Hosts {
			t.Errorf("%s: %d live backend servers and %d hosts, want %d and %d", o.Name, live, f.World.Hosts.Len(), small.Servers, small.Hosts)
		}
	}
}

// Guards against parts of a message that are counted twice or not at all.
func TestGossipPartsAddUp(t *testing.T) {
	g := CountGossip(small, 1, 20)
	sum := g.Header + g.Hosts + g.Servers + g.Sent + g.Demand + g.Suspects
	if math.Abs(sum-g.Frames) > 0.01 {
		t.Errorf("the parts sum to %.1f bytes/s, want %.1f", sum, g.Frames)
	}
	if g.Hosts == 0 || g.Servers == 0 || g.Sent == 0 || g.Suspects == 0 {
		t.Errorf("a part is missing: %+v", g)
	}
}

// Guards against rounds that take more than a host's 4 KB/s for control on the wire.
func TestRoundsFitTheWireLimit(t *testing.T) {
	const overhead = 180 // bytes of a message, as MeasureLoopback finds
	g := CountGossip(Full, 1, 60)
	if wire := g.Frames + overhead*g.Messages; wire > WireLimit {
		t.Errorf("%.0f bytes/s on the wire, want at most %d", wire, WireLimit)
	}
}

// Guards against demand of callers that messages of a large fleet leave out, so that limits are divided evenly whatever callers do.
func TestDemandIsToldAtFullScale(t *testing.T) {
	g := CountGossip(Full, 1, 60)
	if g.Demand < 50*g.Messages {
		t.Errorf("%.0f bytes/s of demand in %.1f messages/s, want 2 callers or more in each", g.Demand, g.Messages)
	}
}

// Guards against bytes on the wire that are not counted, such as acknowledgements.
func TestLoopbackCountsPackets(t *testing.T) {
	l, err := MeasureLoopback(small, 1, 3, 2)
	if err != nil {
		t.Fatal(err)
	}
	if l.Packets < 2 || l.Wire < l.Frames+2*packetOverhead || l.Handshake < 1200 {
		t.Errorf("%+v: a message takes its packet and an acknowledgement, and a handshake at least a full packet", l)
	}
}

// Guards against a measure of streams that lose tokens.
func TestTrafficCountsTokens(t *testing.T) {
	c, err := MeasureTraffic(1, 4, 50)
	if err != nil {
		t.Fatal(err)
	}
	if c.Tokens != 4*50 {
		t.Errorf("%d tokens, want %d", c.Tokens, 4*50)
	}
}
