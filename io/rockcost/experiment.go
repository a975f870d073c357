package rockcost

import (
	"strconv"
	"time"

	"sassafrasrock/io/rockexperiment"
)

// The limits of control for each host in section 2 of docs/design.md.
const (
	ProcessorLimit = 0.015 // of a core
	HeapLimit      = 32e6  // bytes
	WireLimit      = 4096  // bytes/s
)

// welcomes is the most that one start causes: 3 peers in each of 4 rounds.
const welcomes = 12

const experimentName = "controlCost"

// Experiment measures the cost of control by scale, and the cost of traffic for each token.
var Experiment = rockexperiment.Experiment{
	Name: experimentName,
	Doc:  "Processor time, heap, bytes and operations on the platform that control takes of one host by the number of hosts, backend servers, callers and waiting requests, against the limits of section 2; and processor time for each token.",
	Run:  run,
}

// report collects records.
type report struct {
	seed    uint64
	records []rockexperiment.Record
}

func (r *report) add(measure, unit string, value float64) {
	r.records = append(r.records, rockexperiment.Record{
		Experiment: experimentName, Seed: r.seed, Measure: measure, Unit: unit, Policy: value,
	}.Judge())
}

func (r *report) limit(measure, unit string, value, target float64) {
	r.records = append(r.records, rockexperiment.Record{
		Experiment: experimentName, Seed: r.seed, Measure: measure, Unit: unit, Policy: value,
		Relation: rockexperiment.AtMost, Target: target,
	}.Judge())
}

// beside adds a value at Full beside that at the smallest scale.
func (r *report) beside(measure, unit string, full, least float64) {
	r.records = append(r.records, rockexperiment.Record{
		Experiment: experimentName, Seed: r.seed, Measure: measure, Unit: unit, Policy: full,
		Baseline: Scales[0].String(), BaselineValue: least,
	}.Judge())
}

func run(seed uint64) ([]rockexperiment.Record, error) {
	r := &report{seed: seed}
	control := r.operations()
	r.heaps()
	wire, err := r.messages()
	if err != nil {
		return nil, err
	}
	probes, err := r.probes()
	if err != nil {
		return nil, err
	}
	r.platform()
	r.limit("control processor time of a host", "core", (control + wire + probes).Seconds(), ProcessorLimit)
	if err := r.traffic(); err != nil {
		return nil, err
	}
	return r.records, nil
}

// runsOf returns the number of runs by which an operation is measured.
func runsOf(o Operation) int {
	const fast, slow = 500, 50
	switch o.Name {
	case "status", "configChange", "configRow", "hostList", "gossipRound":
		return slow
	}
	return fast
}

func microseconds(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1000 }

// operations reports the cost of each operation and its slopes, and returns the processor time of a host in a second.
func (r *report) operations() time.Duration {
	total := 0.0
	idle, queued := 0.0, 0.0
	for _, o := range Operations {
		costs := make(map[Scale]Cost, len(Scales))
		for _, s := range Scales {
			costs[s] = o.Measure(s, r.seed, runsOf(o))
			r.add(o.Name+" "+s.String(), "us", microseconds(costs[s].Processor))
		}
		full := costs[Full]
		r.beside(o.Name+" allocations", "", full.Allocs, costs[Scales[0]].Allocs)
		r.slopes(o.Name, func(s Scale) float64 { return microseconds(costs[s].Processor) }, "us")
		rate := o.Rate(Full)
		r.add(o.Name+" each second", "ms", full.Processor.Seconds()*1000*rate)
		total += full.Processor.Seconds() * rate
		switch o.Name {
		case "idleTick":
			idle = microseconds(full.Processor)
		case "queuedTick":
			queued = microseconds(full.Processor)
		}
	}
	r.add("tick for each waiting request", "us", (queued-idle)/floodWaiting)
	return time.Duration(total * float64(time.Second))
}

// slopes reports what each further host, backend server and caller costs, from the scales that differ from Full in one number.
func (r *report) slopes(name string, value func(s Scale) float64, unit string) {
	full := value(Full)
	few := Scale{10, Full.Servers, Full.Callers}
	r.add(name+" for each host", unit, (full-value(few))/float64(Full.Hosts-few.Hosts))
	few = Scale{Full.Hosts, 40, Full.Callers}
	r.add(name+" for each backend server", unit, (full-value(few))/float64(Full.Servers-few.Servers))
	few = Scale{Full.Hosts, Full.Servers, 10}
	r.add(name+" for each caller", unit, (full-value(few))/float64(Full.Callers-few.Callers))
}

func (r *report) heaps() {
	heaps := make(map[Scale]float64, len(Scales))
	for _, s := range Scales {
		heaps[s] = HeapOf(s, r.seed)
	}
	r.beside("heap of a World", "B", heaps[Full], heaps[Scales[0]])
	r.slopes("heap", func(s Scale) float64 { return heaps[s] }, "B")
	r.limit("heap", "B", heaps[Full], HeapLimit)
}

// messages reports the bytes between hosts and returns the processor time of the connections in a second.
func (r *report) messages() (time.Duration, error) {
	const seconds, peers, rounds, wakes = 60, 8, 4, 100
	g := CountGossip(Full, r.seed, seconds)
	least := CountGossip(Scales[0], r.seed, seconds)
	r.beside("messages sent", "1/s", g.Messages, least.Messages)
	r.beside("frames sent", "B/s", g.Frames, least.Frames)
	r.beside("header", "B/s", g.Header, least.Header)
	r.beside("digest of hosts", "B/s", g.Hosts, least.Hosts)
	r.beside("digest of backend servers", "B/s", g.Servers, least.Servers)
	r.beside("attempts in flight", "B/s", g.Sent, least.Sent)
	r.beside("demand", "B/s", g.Demand, least.Demand)
	r.beside("suspects", "B/s", g.Suspects, least.Suspects)

	rare := CountRare(Full, r.seed)
	// A host that leaves and returns is two departures' worth of messages.
	urgent := rare.UrgentMessage * rare.UrgentMessages * 2 * DeparturesPerDay / secondsPerDay
	config := (rare.Question + rare.Configuration) * ConfigChangesPerDay / secondsPerDay
	// Each host to which a starting host speaks first welcomes it: 3 in a round, over the rounds in which it counts as new.
	welcome := rare.Welcome * welcomes * DeparturesPerDay / secondsPerDay / float64(Full.Hosts)
	r.add("urgent message", "B", rare.UrgentMessage)
	r.add("urgent departures", "B/s", urgent)
	r.add("configuration message", "B", rare.Configuration)
	r.add("configuration distribution", "B/s", config)
	r.add("status for operators", "B", rare.Status)
	r.add("welcome message", "B", rare.Welcome)
	r.add("welcomes", "B/s", welcome)

	r.add("wake of a sleeping process, part of each message and probe", "us", microseconds(MeasureWake(wakes)))
	l, err := MeasureLoopback(Full, r.seed, peers, rounds)
	if err != nil {
		return 0, err
	}
	r.add("frame over loopback", "B", l.Frames)
	r.add("message on the wire", "B", l.Wire)
	r.add("packets of a message", "", l.Packets)
	r.add("new connection on the wire", "B", l.Handshake)
	r.add("message between peers, both ends", "us", microseconds(l.Processor))
	r.add("new connection, both ends", "us", microseconds(l.Connecting))
	overhead := (l.Wire - l.Frames) * g.Messages
	r.add("overhead of connections", "B/s", overhead)
	r.limit("rounds on the wire", "B/s", g.Frames+overhead, WireLimit)
	r.limit("all messages between hosts on the wire", "B/s", g.Frames+overhead+urgent+config, WireLimit)
	each := time.Duration(float64(l.Processor) * g.Messages)
	r.add("connections each second", "ms", each.Seconds()*1000)
	return each, nil
}

// probes reports the probes and returns their processor time in a second, with the stand-in's part.
func (r *report) probes() (time.Duration, error) {
	const n = 100
	p, err := MeasureProbe(r.seed, n)
	if err != nil {
		return 0, err
	}
	rate := ProbesPerSecond(Full)
	r.add("probes of a host", "1/s", rate)
	r.add("probe, both ends", "us", microseconds(p.Processor))
	r.add("probe within the connection", "B", p.Stream)
	r.add("probes on the wire", "B/s", p.Wire*rate)
	each := time.Duration(float64(p.Processor) * rate)
	r.add("probes each second", "ms", each.Seconds()*1000)
	return each, nil
}

func (r *report) platform() {
	use, rare := countedUse(Full), CountRare(Full, r.seed)
	hosts := float64(Full.Hosts)
	r.add("host list", "B", rare.HostList)
	r.add("configuration row", "B", rare.ConfigRow)
	r.add("host list read by a host", "B/s", use.ListReads*rare.HostList)
	r.add("configuration row read by a host", "B/s", use.ConfigReads*rare.ConfigRow)
	r.add("reads of the host list by all hosts", "1/s", use.ListReads*hosts)
	reads := (use.ConfigReads+use.LeaseReads)*hosts + dataCentres*leaseRenewals
	r.limit("reads of tables by all hosts", "1/s", reads, ReadLimit)
	writes := dataCentres*leaseRenewals + ConfigChangesPerDay/secondsPerDay
	r.limit("writes of tables by all hosts, without claims", "1/s", writes, WriteLimit)
	// A claim is written before the call and its outcome after it.
	r.add("non-idempotent calls at the limit of writes", "1/s", (WriteLimit-writes)/2)
}

// leaseRenewals is the writes of one holder each second: three in a TTL of 15 s.
const leaseRenewals = 0.2

func (r *report) traffic() error {
	const tokens = 100
	for _, n := range []int{1, 16, 64} {
		c, err := MeasureTraffic(r.seed, n, tokens)
		if err != nil {
			return err
		}
		r.add("token over "+strconv.Itoa(stages)+" stages with the stand-in, "+strconv.Itoa(n)+" streams", "us", microseconds(c.Cost.Processor))
		if n == 64 {
			r.add("token allocations", "", c.Cost.Allocs)
			r.add("cores of a host for its tokens with the stand-in", "core", c.Cost.Processor.Seconds()*TokensPerSecond/float64(Full.Hosts))
		}
	}
	c, err := MeasureRouter(64, 10*tokens)
	if err != nil {
		return err
	}
	r.add("token in io/rocktraffic alone", "us", microseconds(c.Cost.Processor))
	r.add("cores of a host for its tokens in io/rocktraffic alone", "core", c.Cost.Processor.Seconds()*TokensPerSecond/float64(Full.Hosts))
	return nil
}
