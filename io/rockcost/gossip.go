package rockcost

import (
	"time"

	"google.golang.org/protobuf/proto"

	"sassafrasrock/core/rockmember"
	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockschema"
)

// GossipBytes holds the encoded bytes of gossip that one host sends each second, in total and by part of
// the message. The overhead of connections is not included.
type GossipBytes struct {
	Messages float64 // messages/s
	Frames   float64 // complete frames
	Header   float64 // the sender's own row with heartbeat and configuration version, and the length of the frame
	Hosts    float64 // heartbeats and rows of other hosts
	Servers  float64 // rows of backend servers
	Loads    float64 // attempts in flight at each backend server, by which hosts divide its slots
	Demands  float64 // demand of each caller, by which hosts divide its limits
	Suspects float64
}

// CountGossip runs gossip rounds for a number of virtual seconds and returns the bytes of their messages
// by part.
func CountGossip(scale Scale, seed uint64, seconds int) GossipBytes {
	f := NewFixture(scale, seed)
	f.StartAttempts(runningStreams)
	for i := range 20 {
		f.World.Suspects.Put(uint64(i+1), rocktable.Suspect{
			Fingerprint: uint64(i+1) << 50, Crashes: []uint64{1}, ExpiresAt: f.Now.Add(time.Hour), ChangeSeq: f.World.NextChangeSeq(),
		})
	}
	var sum GossipBytes
	for range seconds {
		f.refreshDemand()
		for _, m := range f.RunRound() {
			sum.add(m)
		}
	}
	n := float64(seconds)
	return GossipBytes{
		sum.Messages / n, sum.Frames / n, sum.Header / n, sum.Hosts / n, sum.Servers / n, sum.Loads / n, sum.Demands / n, sum.Suspects / n,
	}
}

// refreshDemand keeps the demand of callers at its value, as if they continued to send requests. Without
// requests it would decay.
func (f *Fixture) refreshDemand() {
	for _, c := range f.World.Callers.All() {
		c.DemandAt = f.Now
	}
}

func (b *GossipBytes) add(m rocktable.PeerMessage) {
	b.Messages++
	total := float64(len(encode(m)))
	b.Frames += total
	// The size of a message is the sum of its fields, so the size of a part is the difference from
	// the size of a message without it.
	partBytes := func(without rocktable.PeerMessage) float64 { return total - float64(len(encode(without))) }
	hosts, servers, loads, demands, suspects := m, m, m, m, m
	hosts.Hosts, servers.Servers, loads.Loads, demands.Demands, suspects.Suspects = nil, nil, nil, nil, nil
	b.Hosts += partBytes(hosts)
	b.Servers += partBytes(servers)
	b.Loads += partBytes(loads)
	b.Demands += partBytes(demands)
	b.Suspects += partBytes(suspects)
	b.Header += total - partBytes(hosts) - partBytes(servers) - partBytes(loads) - partBytes(demands) - partBytes(suspects)
}

// EventBytes holds the sizes in bytes of messages that are only sent on an event.
type EventBytes struct {
	UrgentMessage      float64 // about a departure
	UrgentMessageCount float64 // that one host sends about one departure
	ConfigRequest      float64 // asks a peer for its configuration
	ConfigReply        float64 // a message with the configuration
	ConfigRow          float64 // answer of the table service to a read
	HostList           float64 // answer of the platform to a read
	Status             float64 // answer to an operator's request
	Welcome            float64 // message to a host that has just started
}

// MeasureEvents returns the sizes of the messages that are only sent on an event.
func MeasureEvents(scale Scale, seed uint64) EventBytes {
	f := NewFixture(scale, seed)
	var b EventBytes
	rockmember.MarkLeaving(f.Now, f.World, f.World.ServerNamed(f.ListedHosts[f.Scale.Hosts].Name))
	for _, s := range f.Tick().Outbox.PeerSends {
		b.UrgentMessageCount++
		b.UrgentMessage = float64(len(encode(s.Message)))
	}
	request := rockmember.SelfMessage(f.World)
	request.WantConfiguration = true
	b.ConfigRequest = float64(len(encode(request)))
	reply := rockmember.SelfMessage(f.World)
	reply.Configuration = &f.World.Config
	b.ConfigReply = float64(proto.Size(rockschema.PeerToProto(reply)))
	b.ConfigRow, b.HostList = float64(len(configRowBody(f))), float64(len(hostListBody(f)))
	b.Status = f.statusBytes()
	b.Welcome = f.welcomeBytes()
	return b
}

// welcomeBytes returns the size of the message that this host sends to another host of its data centre
// that has just started.
func (f *Fixture) welcomeBytes() float64 {
	if f.Scale.Hosts <= dataCentres {
		return 0 // no other host in the data centre
	}
	e := f.ListedHosts[dataCentres]
	f.World.Inbox.Peers = []rocktable.PeerMessage{{
		Sender: e.Name, Address: e.Address, DataCentre: e.DataCentre, Region: e.Region,
		Incarnation: incarnation + 1, Heartbeat: 1, State: rocktable.StateLive, ConfigVersion: f.World.ConfigVersion,
	}}
	largest := 0.0
	for _, s := range f.Tick().Outbox.PeerSends {
		largest = max(largest, float64(len(encode(s.Message))))
	}
	return largest
}
