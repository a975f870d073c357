package rockcost

import "time"

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
