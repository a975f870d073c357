package rockcost

import (
	"time"

	"google.golang.org/protobuf/proto"

	"sassafrasrock/core/rockmember"
	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockschema"
)

// GossipBytes are the encoded bytes that one host sends each second, without the connections' own.
type GossipBytes struct {
	Messages float64
	Frames   float64 // all of a message
	Header   float64 // the sender's own row, with its heartbeat, its configuration version and the frame's length
	Hosts    float64 // digest of other hosts' heartbeats and rows
	Servers  float64 // digest of backend servers' rows
	Sent     float64 // attempts in flight by backend server, for the division of slots
	Demand   float64 // demand of callers, for the division of limits
	Suspects float64
}

// CountGossip runs the rounds of some virtual seconds and counts their messages by part.
func CountGossip(scale Scale, seed uint64, seconds int) GossipBytes {
	f := NewFleet(scale, seed)
	f.Run(runningStreams)
	for i := range 20 {
		f.World.Suspects.Put(uint64(i+1), rocktable.Suspect{
			Fingerprint: uint64(i+1) << 50, Crashes: []uint64{1}, ExpiresAt: f.Now.Add(time.Hour), ChangeSeq: f.World.NextChangeSeq(),
		})
	}
	var sum GossipBytes
	for range seconds {
		f.keepDemand()
		for _, m := range f.Round() {
			sum.add(m)
		}
	}
	n := float64(seconds)
	return GossipBytes{
		sum.Messages / n, sum.Frames / n, sum.Header / n, sum.Hosts / n, sum.Servers / n, sum.Sent / n, sum.Demand / n, sum.Suspects / n,
	}
}

// keepDemand makes the callers of the running streams go on asking, since demand falls off without requests.
func (f *Fleet) keepDemand() {
	for _, c := range f.World.Callers.All() {
		c.DemandAt = f.Now
	}
}

func (b *GossipBytes) add(m rocktable.PeerMessage) {
	b.Messages++
	whole := float64(len(encode(m)))
	b.Frames += whole
	// Protobuf fields follow each other, so that the size of a part is what a message without it lacks.
	part := func(without rocktable.PeerMessage) float64 { return whole - float64(len(encode(without))) }
	hosts, servers, sent, demand, suspects := m, m, m, m, m
	hosts.Hosts, servers.Servers, sent.Loads, demand.Demands, suspects.Suspects = nil, nil, nil, nil, nil
	b.Hosts += part(hosts)
	b.Servers += part(servers)
	b.Sent += part(sent)
	b.Demand += part(demand)
	b.Suspects += part(suspects)
	b.Header += whole - part(hosts) - part(servers) - part(sent) - part(demand) - part(suspects)
}

// RareBytes are the sizes of messages that are sent on events only.
type RareBytes struct {
	UrgentMessage  float64
	UrgentMessages float64 // that one host sends for one departure
	Question       float64 // that asks for a configuration
	Configuration  float64 // the message that carries one
	ConfigRow      float64 // the table service's answer to a read
	HostList       float64 // the platform's answer to a read
	Status         float64 // the answer to an operator's request
	Welcome        float64 // to a host that has just started
}

// CountRare returns the sizes of the messages that follow events.
func CountRare(scale Scale, seed uint64) RareBytes {
	f := NewFleet(scale, seed)
	var r RareBytes
	rockmember.Leave(f.Now, f.World, f.World.ServerNamed(f.Entries[f.Scale.Hosts].Name))
	for _, s := range f.Tick().Outbox.PeerSends {
		r.UrgentMessages++
		r.UrgentMessage = float64(len(encode(s.Message)))
	}
	question := rockmember.Header(f.World)
	question.WantConfiguration = true
	r.Question = float64(len(encode(question)))
	answer := rockmember.Header(f.World)
	answer.Configuration = &f.World.Config
	r.Configuration = float64(proto.Size(rockschema.PeerToProto(answer)))
	r.ConfigRow, r.HostList = float64(len(configBody(f))), float64(len(listBody(f)))
	r.Status = f.statusBytes()
	r.Welcome = f.welcomeBytes()
	return r
}

// welcomeBytes returns the size of the message to a host of the data centre that has just started.
func (f *Fleet) welcomeBytes() float64 {
	if f.Scale.Hosts <= dataCentres {
		return 0 // no other host in the data centre
	}
	e := f.Entries[dataCentres]
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
