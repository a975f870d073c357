package rockcost

import (
	"strconv"
	"time"

	"sassafrasrock/io/rockexperiment"
)

// The limits of control for each host, from section 2 of docs/design.md.
const (
	CPULimit  = 0.015 // cores
	HeapLimit = 32e6  // bytes
	WireLimit = 4096  // bytes/s
)

// maxWelcomes is the maximum number of welcome messages to a host that starts: from 3 peers in each of
// the 4 rounds in which it counts as new.
const maxWelcomes = 12

const experimentName = "controlCost"

// Experiment measures the cost of control at each scale, and the cost of traffic for each token.
var Experiment = rockexperiment.Experiment{
	Name:        experimentName,
	Description: "CPU time, heap, bytes sent and operations on the platform for the control of one host, by the number of hosts, backend servers, callers and waiting requests, compared with the limits in section 2 of docs/design.md; and CPU time for each token.",
	Run:         run,
}

// recorder collects the records of the experiment.
type recorder struct {
	seed    uint64
	records []rockexperiment.Record
}

func (r *recorder) add(measure, unit string, value float64) {
	r.records = append(r.records, rockexperiment.Record{
		Experiment: experimentName, Seed: r.seed, Measure: measure, Unit: unit, PolicyValue: value,
	}.Evaluate())
}

// addLimit adds a value that has to be at most the target.
func (r *recorder) addLimit(measure, unit string, value, target float64) {
	r.records = append(r.records, rockexperiment.Record{
		Experiment: experimentName, Seed: r.seed, Measure: measure, Unit: unit, PolicyValue: value,
		Relation: rockexperiment.AtMost, Target: target,
	}.Evaluate())
}

// addCompared adds a value at Full, with the value at the smallest scale as its baseline.
func (r *recorder) addCompared(measure, unit string, full, smallest float64) {
	r.records = append(r.records, rockexperiment.Record{
		Experiment: experimentName, Seed: r.seed, Measure: measure, Unit: unit, PolicyValue: full,
		Baseline: Scales[0].String(), BaselineValue: smallest,
	}.Evaluate())
}

func run(seed uint64) ([]rockexperiment.Record, error) {
	r := &recorder{seed: seed}
	control := r.addOperations()
	r.addHeaps()
	messages, err := r.addMessages()
	if err != nil {
		return nil, err
	}
	probes, err := r.addProbes()
	if err != nil {
		return nil, err
	}
	r.addPlatform()
	r.addLimit("control processor time of a host", "core", (control + messages + probes).Seconds(), CPULimit)
	if err := r.addTraffic(); err != nil {
		return nil, err
	}
	return r.records, nil
}

// runCount returns the number of runs over which an operation is measured.
func runCount(o Operation) int {
	const fast, slow = 500, 50
	switch o.Name {
	case "status", "configChange", "configRow", "hostList", "gossipRound":
		return slow
	}
	return fast
}

func microseconds(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1000 }

// addOperations adds the cost of each operation and its slopes. It returns the CPU time of all
// operations of one host in a second.
func (r *recorder) addOperations() time.Duration {
	total := 0.0
	idle, queued := 0.0, 0.0
	for _, o := range Operations {
		costs := make(map[Scale]Cost, len(Scales))
		for _, s := range Scales {
			costs[s] = o.Measure(s, r.seed, runCount(o))
			r.add(o.Name+" "+s.String(), "us", microseconds(costs[s].CPUTime))
		}
		full := costs[Full]
		r.addCompared(o.Name+" allocations", "", full.Allocs, costs[Scales[0]].Allocs)
		r.addSlopes(o.Name, func(s Scale) float64 { return microseconds(costs[s].CPUTime) }, "us")
		rate := o.PerSecond(Full)
		r.add(o.Name+" each second", "ms", full.CPUTime.Seconds()*1000*rate)
		total += full.CPUTime.Seconds() * rate
		switch o.Name {
		case "idleTick":
			idle = microseconds(full.CPUTime)
		case "queuedTick":
			queued = microseconds(full.CPUTime)
		}
	}
	r.add("tick for each waiting request", "us", (queued-idle)/floodQueueLength)
	return time.Duration(total * float64(time.Second))
}

// addSlopes adds the cost of each further host, backend server and caller. It compares Full with the
// scales that differ from it in one number.
func (r *recorder) addSlopes(name string, value func(s Scale) float64, unit string) {
	full := value(Full)
	smaller := Scale{10, Full.Servers, Full.Callers}
	r.add(name+" for each host", unit, (full-value(smaller))/float64(Full.Hosts-smaller.Hosts))
	smaller = Scale{Full.Hosts, 40, Full.Callers}
	r.add(name+" for each backend server", unit, (full-value(smaller))/float64(Full.Servers-smaller.Servers))
	smaller = Scale{Full.Hosts, Full.Servers, 10}
	r.add(name+" for each caller", unit, (full-value(smaller))/float64(Full.Callers-smaller.Callers))
}

// addHeaps adds the heap of a World at Full and its slopes.
func (r *recorder) addHeaps() {
	heaps := make(map[Scale]float64, len(Scales))
	for _, s := range Scales {
		heaps[s] = MeasureHeap(s, r.seed)
	}
	r.addCompared("heap of a World", "B", heaps[Full], heaps[Scales[0]])
	r.addSlopes("heap", func(s Scale) float64 { return heaps[s] }, "B")
	r.addLimit("heap", "B", heaps[Full], HeapLimit)
}

// addMessages adds the bytes between hosts. It returns the CPU time of the connections between hosts in
// a second, for both ends of a message.
func (r *recorder) addMessages() (time.Duration, error) {
	const seconds, peers, rounds, wakeups = 60, 8, 4, 100
	g := CountGossip(Full, r.seed, seconds)
	smallest := CountGossip(Scales[0], r.seed, seconds)
	r.addCompared("messages sent", "1/s", g.Messages, smallest.Messages)
	r.addCompared("frames sent", "B/s", g.Frames, smallest.Frames)
	r.addCompared("header", "B/s", g.Header, smallest.Header)
	r.addCompared("digest of hosts", "B/s", g.Hosts, smallest.Hosts)
	r.addCompared("digest of backend servers", "B/s", g.Servers, smallest.Servers)
	r.addCompared("attempts in flight", "B/s", g.Loads, smallest.Loads)
	r.addCompared("demand", "B/s", g.Demands, smallest.Demands)
	r.addCompared("suspects", "B/s", g.Suspects, smallest.Suspects)

	sizes := MeasureEvents(Full, r.seed)
	// A host that leaves and returns causes the urgent messages of two departures.
	urgent := sizes.UrgentMessage * sizes.UrgentMessageCount * 2 * DeparturesPerDay / secondsPerDay
	config := (sizes.ConfigRequest + sizes.ConfigReply) * ConfigChangesPerDay / secondsPerDay
	// A host welcomes a starting host on the first message from it: 3 hosts in a round, over the rounds in
	// which the starting host counts as new.
	welcome := sizes.Welcome * maxWelcomes * DeparturesPerDay / secondsPerDay / float64(Full.Hosts)
	r.add("urgent message", "B", sizes.UrgentMessage)
	r.add("urgent departures", "B/s", urgent)
	r.add("configuration message", "B", sizes.ConfigReply)
	r.add("configuration distribution", "B/s", config)
	r.add("status for operators", "B", sizes.Status)
	r.add("welcome message", "B", sizes.Welcome)
	r.add("welcomes", "B/s", welcome)

	r.add("wake of a sleeping process, part of each message and probe", "us", microseconds(MeasureWakeup(wakeups)))
	l, err := MeasureLoopback(Full, r.seed, peers, rounds)
	if err != nil {
		return 0, err
	}
	r.add("frame over loopback", "B", l.FrameBytes)
	r.add("message on the wire", "B", l.WireBytes)
	r.add("packets of a message", "", l.Packets)
	r.add("new connection on the wire", "B", l.HandshakeBytes)
	r.add("message between peers, both ends", "us", microseconds(l.CPUTime))
	r.add("new connection, both ends", "us", microseconds(l.ConnectCPUTime))
	overhead := (l.WireBytes - l.FrameBytes) * g.Messages
	r.add("overhead of connections", "B/s", overhead)
	r.addLimit("rounds on the wire", "B/s", g.Frames+overhead, WireLimit)
	r.addLimit("all messages between hosts on the wire", "B/s", g.Frames+overhead+urgent+config, WireLimit)
	cpuPerSecond := time.Duration(float64(l.CPUTime) * g.Messages)
	r.add("connections each second", "ms", cpuPerSecond.Seconds()*1000)
	return cpuPerSecond, nil
}

// addProbes adds the rate and cost of probes. It returns the CPU time of a host for probes in a second,
// which includes that of the stand-in.
func (r *recorder) addProbes() (time.Duration, error) {
	const n = 100
	p, err := MeasureProbe(r.seed, n)
	if err != nil {
		return 0, err
	}
	rate := ProbesPerSecond(Full)
	r.add("probes of a host", "1/s", rate)
	r.add("probe, both ends", "us", microseconds(p.CPUTime))
	r.add("probe within the connection", "B", p.StreamBytes)
	r.add("probes on the wire", "B/s", p.WireBytes*rate)
	cpuPerSecond := time.Duration(float64(p.CPUTime) * rate)
	r.add("probes each second", "ms", cpuPerSecond.Seconds()*1000)
	return cpuPerSecond, nil
}

// addPlatform adds the bytes and operations on the platform.
func (r *recorder) addPlatform() {
	use, sizes := platformUse(Full), MeasureEvents(Full, r.seed)
	hosts := float64(Full.Hosts)
	r.add("host list", "B", sizes.HostList)
	r.add("configuration row", "B", sizes.ConfigRow)
	r.add("host list read by a host", "B/s", use.ListReads*sizes.HostList)
	r.add("configuration row read by a host", "B/s", use.ConfigReads*sizes.ConfigRow)
	r.add("reads of the host list by all hosts", "1/s", use.ListReads*hosts)
	reads := (use.ConfigReads+use.LeaseReads)*hosts + dataCentres*leaseWritesPerSecond
	r.addLimit("reads of tables by all hosts", "1/s", reads, ReadLimit)
	writes := dataCentres*leaseWritesPerSecond + ConfigChangesPerDay/secondsPerDay
	r.addLimit("writes of tables by all hosts, without claims", "1/s", writes, WriteLimit)
	// A call takes two writes: the claim before it and the outcome after it.
	r.add("non-idempotent calls at the limit of writes", "1/s", (WriteLimit-writes)/2)
}

// leaseWritesPerSecond is the rate of renewals by one holder of a lease: three in its TTL of 15 s.
const leaseWritesPerSecond = 0.2

// addTraffic adds the CPU time and allocations for each token.
func (r *recorder) addTraffic() error {
	const tokens = 100
	for _, n := range []int{1, 16, 64} {
		c, err := MeasureTraffic(r.seed, n, tokens)
		if err != nil {
			return err
		}
		r.add("token over "+strconv.Itoa(stages)+" stages with the stand-in, "+strconv.Itoa(n)+" streams", "us", microseconds(c.Cost.CPUTime))
		if n == 64 {
			r.add("token allocations", "", c.Cost.Allocs)
			r.add("cores of a host for its tokens with the stand-in", "core", c.Cost.CPUTime.Seconds()*TokensPerSecond/float64(Full.Hosts))
		}
	}
	c, err := MeasureRouter(64, 10*tokens)
	if err != nil {
		return err
	}
	r.add("token in io/rocktraffic alone", "us", microseconds(c.Cost.CPUTime))
	r.add("cores of a host for its tokens in io/rocktraffic alone", "core", c.Cost.CPUTime.Seconds()*TokensPerSecond/float64(Full.Hosts))
	return nil
}
