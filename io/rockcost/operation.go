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

// Operation is a unit of control work whose cost is measured.
type Operation struct {
	Name        string
	Description string
	// Prepare brings a fixture to the state before the operation and returns a function that runs the
	// operation once. The function may be called n times.
	Prepare func(f *Fixture, n int) func()
	// Limited is true if runs change the state, so that the function must not be called more than n
	// times.
	Limited bool
	// PerSecond returns how often one host runs the operation in a second at the load of section 2 of
	// docs/design.md. 0 leaves the operation out of the sum over all operations.
	PerSecond func(s Scale) float64
}

// Operations lists every operation whose cost is measured.
var Operations = []Operation{
	{
		Name:        "status",
		Description: "The status for operators: the state is copied and encoded.",
		Prepare:     prepareStatus,
		PerSecond:   func(Scale) float64 { return 0 }, // on an operator's request only
	},
	{
		Name:        "idleTick",
		Description: "A tick with an empty inbox and no due deadline.",
		Prepare:     prepareIdle,
		PerSecond:   deadlinesPerSecond,
	},
	{
		Name:        "reassign",
		Description: "A tick after the state of a host changed, in which the probers of backend servers are chosen again.",
		Prepare: func(f *Fixture, _ int) func() {
			f.StartAttempts(runningStreams)
			return func() {
				f.World.Gossip.ReassignProbers = true
				f.Tick()
			}
		},
		PerSecond: func(Scale) float64 { return 0 }, // 2 for each host that departs and returns
	},
	{
		Name:        "reconcile",
		Description: "A tick in which the holder of the lease compares the engines of its data centre with the placements.",
		Prepare:     prepareReconcile,
		PerSecond:   func(Scale) float64 { return 0 }, // one host of each data centre, 4 times a second
	},
	{
		Name:        "queuedTick",
		Description: "An idle tick with 10,000 requests waiting, as in a flood.",
		Prepare:     prepareQueued,
		PerSecond:   func(Scale) float64 { return 0 },
	},
	{
		Name:        "arrival",
		Limited:     true,
		Description: "A tick with one request that arrives and starts.",
		Prepare:     prepareArrival,
		PerSecond:   requestsPerSecond,
	},
	{
		Name:        "progress",
		Description: "A tick with one progress report.",
		Prepare:     func(f *Fixture, _ int) func() { return prepareProgress(f, 1) },
		PerSecond:   func(Scale) float64 { return 0 }, // only the first report of an attempt is sent alone; later ones are batched
	},
	{
		Name:        "progressBatch",
		Description: "A tick with the progress reports that io/rockcontrol collects for one tick.",
		Prepare:     func(f *Fixture, _ int) func() { return prepareProgress(f, progressBatch) },
		PerSecond:   progressTicksPerSecond,
	},
	{
		Name:        "end",
		Limited:     true,
		Description: "A tick with the end of one attempt and the answer to its request.",
		Prepare:     prepareEnd,
		PerSecond:   requestsPerSecond,
	},
	{
		Name:        "peerMessage",
		Description: "A message of a peer: its frame is decoded and a tick applies it.",
		Prepare:     preparePeerMessage,
		PerSecond:   messagesPerSecond,
	},
	{
		Name:        "gossipRound",
		Description: "A tick that composes the messages of one gossip round, and their encoding.",
		Prepare:     prepareGossipRound,
		PerSecond:   func(Scale) float64 { return 1 },
	},
	{
		Name:        "probeResult",
		Description: "A tick with the result of one probe of a backend server.",
		Prepare:     prepareProbe,
		PerSecond:   ProbesPerSecond,
	},
	{
		Name:        "configChange",
		Limited:     true,
		Description: "A tick that activates a configuration, and the snapshot after it.",
		Prepare:     prepareConfig,
		PerSecond:   func(Scale) float64 { return ConfigChangesPerDay / secondsPerDay },
	},
	{
		Name:        "configRow",
		Description: "The configuration row of the table service is decoded, and a tick finds that the host already has its version.",
		Prepare:     prepareConfigRow,
		PerSecond:   ConfigReadsPerSecond,
	},
	{
		Name:        "hostList",
		Description: "The platform's host list is decoded and a tick applies it.",
		Prepare:     prepareHostList,
		PerSecond:   ListReadsPerSecond,
	},
}

const secondsPerDay = 86400.0

// progressInterval is the time between two progress reports of one stream, as in io/rocktraffic.
const progressInterval = 250 * time.Millisecond

// deadlinesPerSecond returns the rate of ticks with a due deadline: 5 for the check for silent hosts and
// the lease, and one for each probe.
func deadlinesPerSecond(s Scale) float64 { return 5 + ProbesPerSecond(s) }

func requestsPerSecond(s Scale) float64 { return RequestsPerSecond / float64(s.Hosts) }

// streamsPerHost returns the mean number of open streams of one host.
func streamsPerHost(s Scale) float64 {
	streamSeconds := TokensPerSecond / RequestsPerSecond * TokenGap.Seconds()
	return requestsPerSecond(s) * streamSeconds
}

func progressPerSecond(s Scale) float64 { return streamsPerHost(s) / progressInterval.Seconds() }

const (
	// collectInterval is the time for which io/rockcontrol collects events that can wait.
	collectInterval = 25 * time.Millisecond
	// progressBatch is the number of progress reports of runningStreams streams in collectInterval.
	progressBatch = 19
)

func progressTicksPerSecond(s Scale) float64 {
	return min(progressPerSecond(s), 1/collectInterval.Seconds())
}

// messagesPerSecond returns the rate of messages that a host receives. Each host sends one round in a
// second: 3 messages within its data centre, and 1 or 2 to others.
func messagesPerSecond(s Scale) float64 {
	if s.Hosts <= 1 {
		return 0
	}
	return 4.5
}

// ProbesPerSecond returns the rate of probes that one host sends.
func ProbesPerSecond(s Scale) float64 {
	const probers, intervalSeconds = 3, 0.5
	return float64(s.Servers) * probers / intervalSeconds / float64(s.Hosts)
}

// Measure returns the mean cost of n runs of the operation.
func (o Operation) Measure(scale Scale, seed uint64, n int) Cost {
	// Runs before the measurement grow the slices of the tables.
	warmUp := max(1, n/10)
	op := o.Prepare(NewFixture(scale, seed), n+warmUp)
	for range warmUp {
		op()
	}
	start := readUsage()
	for range n {
		op()
	}
	return start.since(n)
}

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
