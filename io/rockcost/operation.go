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
	Name string
	Doc  string
	// Prepare brings a fleet to the state before the operation and returns a function that runs it up to n times.
	Prepare func(f *Fleet, n int) func()
	// Limited says that an operation changes the state, so that it can't run more than n times.
	Limited bool
	// Rate returns how often one host does it each second at the load of section 2.
	Rate func(s Scale) float64
}

// Operations lists every operation.
var Operations = []Operation{
	{
		Name:    "status",
		Doc:     "The status that operators ask for: the state is copied and encoded.",
		Prepare: prepareStatus,
		Rate:    func(Scale) float64 { return 0 }, // on an operator's request only
	},
	{
		Name:    "idleTick",
		Doc:     "A tick with nothing in its inbox and nothing due.",
		Prepare: prepareIdle,
		Rate:    deadlinesPerSecond,
	},
	{
		Name: "reassign",
		Doc:  "A tick after the state of a host changed, in which the probers are chosen again.",
		Prepare: func(f *Fleet, _ int) func() {
			f.Run(runningStreams)
			return func() {
				f.World.Gossip.ReassignProbers = true
				f.Tick()
			}
		},
		Rate: func(Scale) float64 { return 0 }, // 2 for each departure and return
	},
	{
		Name:    "reconcile",
		Doc:     "A tick in which the holder of the lease compares the engines of its data centre with the placements.",
		Prepare: prepareReconcile,
		Rate:    func(Scale) float64 { return 0 }, // one host of a data centre, 4 times a second
	},
	{
		Name:    "queuedTick",
		Doc:     "An idle tick with 10,000 requests waiting, as in a flood.",
		Prepare: prepareQueued,
		Rate:    func(Scale) float64 { return 0 },
	},
	{
		Name:    "arrival",
		Limited: true,
		Doc:     "A tick with one request that arrives and starts.",
		Prepare: prepareArrival,
		Rate:    requestsPerSecond,
	},
	{
		Name:    "progress",
		Doc:     "A tick with one report of progress.",
		Prepare: func(f *Fleet, _ int) func() { return prepareProgress(f, 1) },
		Rate:    func(Scale) float64 { return 0 }, // later reports come in batches
	},
	{
		Name:    "progressBatch",
		Doc:     "A tick with the reports of progress that io/rockcontrol collects.",
		Prepare: func(f *Fleet, _ int) func() { return prepareProgress(f, progressBatch) },
		Rate:    progressTicks,
	},
	{
		Name:    "end",
		Limited: true,
		Doc:     "A tick with one attempt that ends and its answer.",
		Prepare: prepareEnd,
		Rate:    requestsPerSecond,
	},
	{
		Name:    "peerMessage",
		Doc:     "A message of a peer: the frame is decoded and taken in a tick.",
		Prepare: preparePeerMessage,
		Rate:    messagesPerSecond,
	},
	{
		Name:    "gossipRound",
		Doc:     "A tick that composes the messages of one round, and their encoding.",
		Prepare: prepareRound,
		Rate:    func(Scale) float64 { return 1 },
	},
	{
		Name:    "probeResult",
		Doc:     "A tick with one report of a backend server.",
		Prepare: prepareProbe,
		Rate:    ProbesPerSecond,
	},
	{
		Name:    "configChange",
		Limited: true,
		Doc:     "A tick that puts a configuration in force, and the snapshot that follows.",
		Prepare: prepareConfig,
		Rate:    func(Scale) float64 { return ConfigChangesPerDay / secondsPerDay },
	},
	{
		Name:    "configRow",
		Doc:     "The configuration row of the table service is decoded and found to be known.",
		Prepare: prepareRow,
		Rate:    ConfigReadsPerSecond,
	},
	{
		Name:    "hostList",
		Doc:     "The platform's host list is decoded and taken in a tick.",
		Prepare: prepareList,
		Rate:    ListReadsPerSecond,
	},
}

const secondsPerDay = 86400.0

// progressEvery is the time between two reports of progress of one stream in io/rocktraffic.
const progressEvery = 250 * time.Millisecond

// deadlinesPerSecond counts the ticks for the search for silent hosts, for the lease, and for probes that are due.
func deadlinesPerSecond(s Scale) float64 { return 5 + ProbesPerSecond(s) }

func requestsPerSecond(s Scale) float64 { return RequestsPerSecond / float64(s.Hosts) }

// streams returns the streams of one host.
func streams(s Scale) float64 {
	length := TokensPerSecond / RequestsPerSecond * TokenGap.Seconds()
	return requestsPerSecond(s) * length
}

func progressPerSecond(s Scale) float64 { return streams(s) / progressEvery.Seconds() }

const (
	// collectEvery is the time for which io/rockcontrol collects events that can wait.
	collectEvery = 25 * time.Millisecond
	// progressBatch is the number of reports of runningStreams in that time.
	progressBatch = 19
)

func progressTicks(s Scale) float64 { return min(progressPerSecond(s), 1/collectEvery.Seconds()) }

// messagesPerSecond counts the messages of a round: 3 in the data centre, 1 or 2 to others.
func messagesPerSecond(s Scale) float64 {
	if s.Hosts <= 1 {
		return 0
	}
	return 4.5
}

// ProbesPerSecond returns the probes that one host sends.
func ProbesPerSecond(s Scale) float64 {
	const probers, every = 3, 0.5
	return float64(s.Servers) * probers / every / float64(s.Hosts)
}

// Measure returns the cost of one of n runs of an operation.
func (o Operation) Measure(scale Scale, seed uint64, n int) Cost {
	// Runs before the measure grow the slices of the tables.
	warmUp := max(1, n/10)
	op := o.Prepare(NewFleet(scale, seed), n+warmUp)
	for range warmUp {
		op()
	}
	start := readUsage()
	for range n {
		op()
	}
	return start.since(n)
}

func prepareIdle(f *Fleet, _ int) func() {
	f.Run(runningStreams)
	return func() { f.Tick() }
}

func prepareStatus(f *Fleet, _ int) func() {
	f.Run(runningStreams)
	return func() { f.statusBytes() }
}

// statusBytes returns the size of the status that operators get.
func (f *Fleet) statusBytes() float64 {
	body, err := proto.Marshal(rockschema.StatusToProto(f.Now, f.World.TakeStatus()))
	if err != nil {
		panic(err) // the types of this package always encode
	}
	return float64(len(body))
}

func prepareReconcile(f *Fleet, _ int) func() {
	f.Run(runningStreams)
	l := &f.World.Lease
	l.Held, l.Fencing, l.PendingOp = true, 12, 0
	l.Until, l.NextOp = f.Now.Add(time.Hour), f.Now.Add(time.Hour)
	return func() {
		l.ReconcileAt = time.Time{}
		f.Tick()
	}
}

// floodWaiting is the number of waiting requests of one host in a flood; a rank's queue holds as many by default.
const floodWaiting = 10000

func prepareQueued(f *Fleet, _ int) func() {
	f.Run(runningStreams)
	for _, s := range f.World.Servers.All() {
		s.Status.Slots = s.InFlight
	}
	for i := range floodWaiting {
		f.Arrive()
		if i%100 == 0 {
			f.Tick()
		}
	}
	f.Tick()
	return func() { f.Tick() }
}

func prepareArrival(f *Fleet, _ int) func() {
	f.Run(runningStreams)
	return func() {
		f.Arrive()
		f.keepStarts(f.Tick())
	}
}

func prepareProgress(f *Fleet, reports int) func() {
	f.Run(runningStreams)
	tokens := 0
	return func() {
		for range reports {
			tokens++
			f.World.Inbox.Progress = append(f.World.Inbox.Progress, rocktable.Progress{
				Attempt: f.Running[tokens%len(f.Running)], Tokens: tokens, FirstToken: f.Now, LargestGap: TokenGap,
			})
		}
		f.Tick()
	}
}

func prepareEnd(f *Fleet, n int) func() {
	f.Run(runningStreams + n)
	return func() {
		f.End()
		f.Tick()
	}
}

// preparePeerMessage takes messages that the world of a host of the same data centre composed.
func preparePeerMessage(f *Fleet, n int) func() {
	f.Run(runningStreams)
	frames := framesFor(f, n)
	i := 0
	return func() {
		m, err := rockpeer.ReadFrame(bytes.NewReader(frames[i%len(frames)]))
		if err != nil {
			panic(fmt.Sprintf("a frame of this package does not decode: %v", err))
		}
		i++
		f.World.Inbox.Peers = append(f.World.Inbox.Peers, m)
		f.Tick()
	}
}

// framesFor returns the frames of several rounds of another host.
func framesFor(f *Fleet, n int) [][]byte {
	const rounds = 50
	sender := newFleetOf(f.Scale, 2, min(dataCentres, f.Scale.Hosts-1))
	sender.beat += 1000 // its news is later than what the receiver knows
	var frames [][]byte
	for range rounds {
		for _, m := range sender.Round() {
			frames = append(frames, encode(m))
		}
		if len(frames) >= n {
			break
		}
	}
	return frames
}

// Round runs the tick of the next second and returns its messages.
func (f *Fleet) Round() []rocktable.PeerMessage {
	f.Hear()
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
		panic(fmt.Sprintf("a message of this package does not encode: %v", err))
	}
	return frame
}

// prepareRound gives the next round an empty inbox: what the peers tell costs the operation peerMessage.
func prepareRound(f *Fleet, _ int) func() {
	f.Run(runningStreams)
	return func() {
		f.Now = f.Now.Add(f.World.Limits.GossipEvery)
		for _, h := range f.World.Hosts.All() {
			h.HeartbeatAt = f.Now // nobody is silent
		}
		for _, s := range f.Tick().Outbox.PeerSends {
			encode(s.Message)
		}
	}
}

func prepareProbe(f *Fleet, _ int) func() {
	f.Run(runningStreams)
	i := 0
	return func() {
		status := f.status(i % f.Scale.Servers)
		status.Active += i % 64
		f.World.Inbox.Probes = append(f.World.Inbox.Probes, rocktable.ProbeResult{
			Server: f.World.ServerNamed(status.Name).ID, OK: true, Status: status, RoundTrip: time.Millisecond,
		})
		i++
		f.Tick()
	}
}

func prepareConfig(f *Fleet, n int) func() {
	f.Run(runningStreams)
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

func prepareRow(f *Fleet, _ int) func() {
	f.Run(runningStreams)
	body := configBody(f)
	return func() {
		var row rockplatform.Row
		var value rocktable.ConfigRow
		if json.Unmarshal(body, &row) != nil || json.Unmarshal(row.Value, &value) != nil {
			panic("a row of this package does not decode")
		}
		f.World.Inbox.ConfigResults = append(f.World.Inbox.ConfigResults, rocktable.TableResult[rocktable.ConfigRow]{
			Status: rocktable.TableOK, Found: true, Version: row.Version, Row: value,
		})
		f.Tick()
	}
}

func prepareList(f *Fleet, _ int) func() {
	f.Run(runningStreams)
	body := listBody(f)
	return func() {
		var list rockplatform.HostList
		if json.Unmarshal(body, &list) != nil {
			panic("a list of this package does not decode")
		}
		f.World.Inbox.HostLists = append(f.World.Inbox.HostLists, rocktable.HostList{OK: true, Entries: list.Hosts})
		f.Tick()
	}
}
