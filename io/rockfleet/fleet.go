package rockfleet

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
	"sassafrasrock/core/rocktick"
)

const (
	// Tick is the resolution of virtual time.
	Tick = time.Millisecond
	// model and pipeline are the names of the only model and the only pipeline of a fleet.
	model    = "windsock-9"
	pipeline = "captions"
	// addressSuffix is the port in addresses, whose host part is the name of an engine or host.
	addressSuffix = ":1"
)

// Epoch is the time at which every fleet starts.
var Epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// System is a step of a tick of the fleet.
type System struct {
	Name        string
	Description string
	Run         func(f *Fleet)
}

// Systems lists every system in the order in which a tick runs them.
var Systems = []System{
	{Name: "faults", Description: "Applies the planned changes that are due.", Run: runFaults},
	{Name: "arrivals", Description: "Delivers new requests to their hosts.", Run: runArrivals},
	{Name: "messages", Description: "Delivers messages whose link delay has passed.", Run: runMessages},
	{Name: "engines", Description: "Completes batches and forms new ones.", Run: runEngines},
	{Name: "limits", Description: "Ends attempts whose step has exceeded its time limit.", Run: runLimits},
	{Name: "hosts", Description: "Runs the decision code of hosts with events or a due deadline.", Run: runHosts},
}

// Options describe a fleet and its load.
type Options struct {
	Seed           uint64
	Layers         int
	Ranks          []rocktable.RankConfig
	Callers        []rocktable.CallerConfig
	Hosts          []HostOptions
	Engines        []EngineOptions
	Kinds          map[string]Kind
	LinkDelay      func(a, b string) time.Duration // one-way delay between two data centres
	ReportLag      time.Duration                   // age of the load that engines report
	Systems        []rocktable.System              // decision code; nil means rocktick.Systems
	RestartAnswers bool                            // a retry generates the answer from the beginning instead of replaying the delivered tokens
	Requests       []Request                       // sorted by At
	Changes        []Change                        // sorted by At
	MeasureFrom    time.Duration                   // token gaps and open sessions are measured from this time on
}

// HostOptions describe an entry host.
type HostOptions struct {
	Name       string
	DataCentre string
	StartAt    time.Duration
}

// Kind is a kind of accelerator. Its times correspond to those of rockstandin.KindSettings.
type Kind struct {
	Step       time.Duration // time of a batch with one session
	PerSession time.Duration // added for each further session of a batch
	Prefill    time.Duration // added for each position of a prefill
}

// EngineOptions describe an engine.
type EngineOptions struct {
	Name        string
	DataCentre  string
	Kind        string
	FirstLayer  int
	LastLayer   int // inclusive
	Slots       int
	MaxQueued   int           // highest number of sessions that wait for a slot
	CacheBlocks int           // capacity of the prefix cache in blocks; 0 means none
	StartAt     time.Duration // time at which it starts; New starts only engines with time 0
}

// Request is a request that a caller sends.
type Request struct {
	At           time.Duration
	Host         int // position in Options.Hosts
	Caller       int // position in Options.Callers
	Rank         rocktable.RankID
	PromptTokens int
	MaxTokens    int
	Prefix       []uint64 // hashes of the prefix blocks
}

// Change is a change of the fleet at a fixed time, such as a fault.
type Change struct {
	At    time.Duration
	Apply func(f *Fleet)
}

// Host is an entry host with its decision code.
type Host struct {
	Name       string
	DataCentre string
	World      *rocktable.World
	Inbox      rocktable.Inbox
	NextTick   time.Time
}

// Answer is the result of a request as its caller received it.
type Answer struct {
	At              time.Duration
	Reason          rockreason.Code
	MayHaveRun      bool
	FirstTokenDelay time.Duration // time from the arrival to the first token; 0 without tokens
	LargestGap      time.Duration
	Tokens          int
	Attempts        int
}

// Stream is the state of a request whose answer has not ended.
type Stream struct {
	RequestIndex int // position in Options.Requests
	Tokens       int // tokens delivered to the caller
	FirstTokenAt time.Time
	LastTokenAt  time.Time
	LargestGap   time.Duration
}

// StreamKey identifies a request within the fleet.
type StreamKey struct {
	Host    int
	Request rocktable.RequestID
}

// Fleet is the state of a simulation. Only its tick writes it.
type Fleet struct {
	Options         Options
	Now             time.Time
	Rand            *rand.Rand
	Hosts           []*Host
	Engines         rocktable.Table[string, Engine]
	Attempts        rocktable.Table[AttemptKey, Attempt]
	Streams         rocktable.Table[StreamKey, Stream]
	Answers         []Answer        // by position in Options.Requests
	TokensByBin     []int           // delivered tokens in each time bin of BinWidth
	LargestGaps     []time.Duration // largest gap of streams, by position in Options.Requests
	StartedAttempts int
	InvariantErr    error           // first violation of an invariant
	CutOffCentres   map[string]bool // data centres without connections to the others
	CutOffAt        time.Time       // time of the last CutOff
	LinkFactors     map[string]int  // factors of the link delay by engine name

	messages       messages
	lastMessageSeq int
	nextArrival    int
	nextChange     int
	leaseVersion   uint64
	hostList       []rocktable.ListedHost
	leaseRows      map[string]rocktable.TableResult[rocktable.LeaseRow]
}

// BinWidth is the width of the bins of Fleet.TokensByBin.
const BinWidth = 250 * time.Millisecond

// New returns a fleet at Epoch.
func New(o Options) *Fleet {
	if o.Systems == nil {
		o.Systems = rocktick.Systems
	}
	if o.LinkDelay == nil {
		o.LinkDelay = func(_, _ string) time.Duration { return 500 * time.Microsecond }
	}
	f := &Fleet{
		Options: o, Now: Epoch, Rand: rand.New(rand.NewPCG(o.Seed, 1)),
		Answers: make([]Answer, len(o.Requests)), LargestGaps: make([]time.Duration, len(o.Requests)),
		CutOffCentres: make(map[string]bool), LinkFactors: make(map[string]int),
		leaseRows: make(map[string]rocktable.TableResult[rocktable.LeaseRow]),
	}
	for i, h := range o.Hosts {
		f.Hosts = append(f.Hosts, f.newHost(i, h))
	}
	for _, e := range o.Engines {
		if e.StartAt == 0 {
			f.AddEngine(e)
		}
	}
	return f
}

func (f *Fleet) newHost(i int, h HostOptions) *Host {
	w := rocktable.NewWorld(Epoch, rocktable.Host{Name: h.Name, Address: h.Name + addressSuffix},
		rocktable.DataCentre{Name: h.DataCentre, Region: region}, 1, rocktable.WithSeed(f.Options.Seed*1000+uint64(i)))
	// Experiments measure decisions about ranks, so the limit that protects the memory of a host
	// must not apply.
	w.Limits.MaxRequests = 1 << 30
	f.hostList = append(f.hostList, rocktable.ListedHost{
		Name: h.Name, Role: "entry", Address: h.Name + addressSuffix, DataCentre: h.DataCentre, Region: region, State: "live",
	})
	return &Host{Name: h.Name, DataCentre: h.DataCentre, World: w}
}

const region = "ga-west"

// AddEngine starts an engine and adds it to the platform's host list.
func (f *Fleet) AddEngine(o EngineOptions) {
	f.Engines.Put(o.Name, Engine{Options: o, Kind: f.Options.Kinds[o.Kind], Incarnation: 1})
	f.hostList = append(f.hostList, rocktable.ListedHost{
		Name: o.Name, Role: "model", Address: o.Name + addressSuffix, DataCentre: o.DataCentre, Region: region, State: "live",
	})
}

// Since returns the time since Epoch.
func (f *Fleet) Since() time.Duration { return f.Now.Sub(Epoch) }

// Run advances the fleet to a time since Epoch. It returns early with an error if an invariant is
// violated.
func (f *Fleet) Run(until time.Duration) error {
	for f.Since() < until && f.InvariantErr == nil {
		f.Now = f.Now.Add(Tick)
		for _, s := range Systems {
			s.Run(f)
		}
	}
	return f.InvariantErr
}

func runFaults(f *Fleet) {
	for f.nextChange < len(f.Options.Changes) && f.Options.Changes[f.nextChange].At <= f.Since() {
		f.Options.Changes[f.nextChange].Apply(f)
		f.nextChange++
	}
}

func runArrivals(f *Fleet) {
	for f.nextArrival < len(f.Options.Requests) && f.Options.Requests[f.nextArrival].At <= f.Since() {
		f.addArrival(f.nextArrival)
		f.nextArrival++
	}
}

func (f *Fleet) addArrival(i int) {
	a := f.Options.Requests[i]
	h := f.Hosts[a.Host]
	id := rocktable.RequestID(i + 1)
	f.Streams.Put(StreamKey{Host: a.Host, Request: id}, Stream{RequestIndex: i})
	h.Inbox.Arrivals = append(h.Inbox.Arrivals, rocktable.Arrival{Request: rocktable.Request{
		ID: id, Caller: h.World.InternCaller(f.Options.Callers[a.Caller].Name).ID, Rank: a.Rank, Pipeline: h.World.InternPipeline(pipeline).ID,
		ArrivedAt: f.Now, PromptTokens: a.PromptTokens, MaxTokens: a.MaxTokens, Fingerprint: uint64(i + 1), Prefix: a.Prefix,
	}})
}

// message is a function that runs when the message arrives.
type message struct {
	at  time.Time
	seq int
	do  func(f *Fleet)
}

type messages []message

func (m messages) Len() int { return len(m) }
func (m messages) Less(i, j int) bool {
	return m[i].at.Before(m[j].at) || m[i].at.Equal(m[j].at) && m[i].seq < m[j].seq
}
func (m messages) Swap(i, j int) { m[i], m[j] = m[j], m[i] }
func (m *messages) Push(x any)   { *m = append(*m, x.(message)) }
func (m *messages) Pop() any {
	old := *m
	last := old[len(old)-1]
	*m = old[:len(old)-1]
	return last
}

// deliverAfter delivers a message after a delay.
func (f *Fleet) deliverAfter(d time.Duration, do func(f *Fleet)) {
	f.lastMessageSeq++
	heap.Push(&f.messages, message{at: f.Now.Add(d), seq: f.lastMessageSeq, do: do})
}

func runMessages(f *Fleet) {
	for len(f.messages) > 0 && !f.messages[0].at.After(f.Now) {
		m := heap.Pop(&f.messages).(message)
		m.do(f)
	}
}

// link returns the one-way delay between a host and an engine, and whether messages get through.
func (f *Fleet) link(h *Host, e *Engine) (time.Duration, bool) {
	return f.Options.LinkDelay(h.DataCentre, e.Options.DataCentre) * time.Duration(max(1, f.LinkFactors[e.Options.Name])),
		f.isReachable(h.DataCentre, e.Options.DataCentre)
}

func (f *Fleet) isReachable(a, b string) bool {
	return a == b || !f.CutOffCentres[a] && !f.CutOffCentres[b]
}

// CutOff interrupts all connections between a data centre and the others.
func (f *Fleet) CutOff(centre string) { f.CutOffCentres[centre], f.CutOffAt = true, f.Now }

func (f *Fleet) recordViolation(format string, args ...any) {
	if f.InvariantErr == nil {
		f.InvariantErr = fmt.Errorf(format, args...)
	}
}
