package rockcost

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockpeer"
	"sassafrasrock/io/rockplatform"
	"sassafrasrock/io/rockschema"
)

func prepareIdle(f *Fixture, _ int) func() {
	f.StartAttempts(runningStreams)
	return func() { f.Tick() }
}

func prepareStatus(f *Fixture, _ int) func() {
	f.StartAttempts(runningStreams)
	return func() { f.statusBytes() }
}

// statusBytes returns the encoded size of the status for operators.
func (f *Fixture) statusBytes() float64 {
	body, err := proto.Marshal(rockschema.StatusToProto(f.Now, f.World.TakeStatus()))
	if err != nil {
		panic(err) // cannot happen: the value can always be encoded
	}
	return float64(len(body))
}

func prepareReconcile(f *Fixture, _ int) func() {
	f.StartAttempts(runningStreams)
	l := &f.World.Lease
	l.Held, l.Fencing, l.PendingOp = true, 12, 0
	l.Until, l.NextOp = f.Now.Add(time.Hour), f.Now.Add(time.Hour)
	return func() {
		l.ReconcileAt = time.Time{}
		f.Tick()
	}
}

// floodQueueLength is the number of waiting requests of one host in a flood. It is the default limit of
// a rank's queue.
const floodQueueLength = 10000

func prepareQueued(f *Fixture, _ int) func() {
	f.StartAttempts(runningStreams)
	for _, s := range f.World.Servers.All() {
		s.Status.Slots = s.InFlight
	}
	for i := range floodQueueLength {
		f.AddArrival()
		if i%100 == 0 {
			f.Tick()
		}
	}
	f.Tick()
	return func() { f.Tick() }
}

func prepareArrival(f *Fixture, _ int) func() {
	f.StartAttempts(runningStreams)
	return func() {
		f.AddArrival()
		f.recordStarts(f.Tick())
	}
}

func prepareProgress(f *Fixture, reports int) func() {
	f.StartAttempts(runningStreams)
	tokens := 0
	return func() {
		for range reports {
			tokens++
			f.World.Inbox.Progress = append(f.World.Inbox.Progress, rocktable.Progress{
				Attempt: f.InFlight[tokens%len(f.InFlight)], Tokens: tokens, FirstTokenAt: f.Now, LargestGap: TokenGap,
			})
		}
		f.Tick()
	}
}

func prepareEnd(f *Fixture, n int) func() {
	f.StartAttempts(runningStreams + n)
	return func() {
		f.AddEnd()
		f.Tick()
	}
}

// preparePeerMessage runs on messages that another host of the same data centre composed.
func preparePeerMessage(f *Fixture, n int) func() {
	f.StartAttempts(runningStreams)
	frames := peerFrames(f, n)
	i := 0
	return func() {
		m, err := rockpeer.ReadFrame(bytes.NewReader(frames[i%len(frames)]))
		if err != nil {
			panic(fmt.Sprintf("decode a frame of a peer: %v", err))
		}
		i++
		f.World.Inbox.Peers = append(f.World.Inbox.Peers, m)
		f.Tick()
	}
}

// peerFrames returns the frames of several gossip rounds of another host, which is in the same data
// centre if there are enough hosts.
func peerFrames(f *Fixture, n int) [][]byte {
	const rounds = 50
	sender := newFixtureFor(f.Scale, 2, min(dataCentres, f.Scale.Hosts-1))
	sender.heartbeat += 1000 // newer than all heartbeats that the receiver has seen
	var frames [][]byte
	for range rounds {
		for _, m := range sender.RunRound() {
			frames = append(frames, encode(m))
		}
		if len(frames) >= n {
			break
		}
	}
	return frames
}

// RunRound runs the tick of the next gossip round and returns its messages.
func (f *Fixture) RunRound() []rocktable.PeerMessage {
	f.AddReports()
	f.Now = f.Now.Add(f.World.Limits.GossipEvery)
	var messages []rocktable.PeerMessage
	for _, s := range f.Tick().Outbox.PeerSends {
		messages = append(messages, s.Message)
	}
	return messages
}

func encode(m rocktable.PeerMessage) []byte {
	frame, err := rockpeer.EncodeFrame(m)
	if err != nil {
		panic(fmt.Sprintf("encode a message to a peer: %v", err))
	}
	return frame
}

// prepareGossipRound runs rounds with an empty inbox. The cost of received messages is measured by the
// operation peerMessage.
func prepareGossipRound(f *Fixture, _ int) func() {
	f.StartAttempts(runningStreams)
	return func() {
		f.Now = f.Now.Add(f.World.Limits.GossipEvery)
		for _, h := range f.World.Hosts.All() {
			h.HeartbeatAt = f.Now // no host times out
		}
		for _, s := range f.Tick().Outbox.PeerSends {
			encode(s.Message)
		}
	}
}

func prepareProbe(f *Fixture, _ int) func() {
	f.StartAttempts(runningStreams)
	i := 0
	return func() {
		status := f.serverStatus(i % f.Scale.Servers)
		status.Active += i % 64
		f.World.Inbox.Probes = append(f.World.Inbox.Probes, rocktable.ProbeResult{
			Server: f.World.ServerNamed(status.Name).ID, OK: true, Status: status, RoundTrip: time.Millisecond,
		})
		i++
		f.Tick()
	}
}

func prepareConfig(f *Fixture, n int) func() {
	f.StartAttempts(runningStreams)
	results := make([]rocktable.TableResult[rocktable.ConfigRow], n)
	for i := range results {
		results[i] = f.configResult(f.World.ConfigVersion + uint64(i) + 1)
	}
	i := 0
	return func() {
		f.World.Inbox.ConfigResults = append(f.World.Inbox.ConfigResults, results[i%n])
		i++
		f.Tick()
		f.World.TakeSnapshot()
	}
}

func prepareConfigRow(f *Fixture, _ int) func() {
	f.StartAttempts(runningStreams)
	body := configRowBody(f)
	return func() {
		var row rockplatform.Row
		var value rocktable.ConfigRow
		if json.Unmarshal(body, &row) != nil || json.Unmarshal(row.Value, &value) != nil {
			panic("decode the configuration row: invalid JSON")
		}
		f.World.Inbox.ConfigResults = append(f.World.Inbox.ConfigResults, rocktable.TableResult[rocktable.ConfigRow]{
			Status: rocktable.TableOK, Found: true, Version: row.Version, Row: value,
		})
		f.Tick()
	}
}

func prepareHostList(f *Fixture, _ int) func() {
	f.StartAttempts(runningStreams)
	body := hostListBody(f)
	return func() {
		var list rockplatform.HostList
		if json.Unmarshal(body, &list) != nil {
			panic("decode the host list: invalid JSON")
		}
		f.World.Inbox.HostLists = append(f.World.Inbox.HostLists, rocktable.HostList{OK: true, Entries: list.Hosts})
		f.Tick()
	}
}
