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
	// model and pipeline are the names of the one model that a fleet runs.
	model    = "windsock-9"
	pipeline = "captions"
	// addressSuffix is a port; engines and hosts are addressed by their names.
	addressSuffix = ":1"
)

// Epoch is the time at which every fleet starts.
var Epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// System is one step of a tick of the fleet.
type System struct {
	Name string
	Doc  string
	Run  func(f *Fleet)
}

// Systems lists every system in the order in which a tick runs them.
var Systems = []System{
	{Name: "faults", Doc: "Runs what the experiment planned for this time.", Run: runFaults},
	{Name: "arrivals", Doc: "Hands requests to their hosts.", Run: runArrivals},
	{Name: "messages", Doc: "Delivers messages whose time on the link is over.", Run: runMessages},
	{Name: "engines", Doc: "Completes batches and forms new ones.", Run: runEngines},
	{Name: "limits", Doc: "Ends attempts whose step takes too long.", Run: runLimits},
	{Name: "hosts", Doc: "Runs the decision code of hosts with events or a due deadline.", Run: runHosts},
}

// Options describe a fleet.
type Options struct {
	Seed        uint64
	Layers      int
	Ranks       []rocktable.RankConfig
	Callers     []rocktable.CallerConfig
	Hosts       []HostOptions
	Engines     []EngineOptions
	Kinds       map[string]Kind
	Links       func(a, b string) time.Duration // one way, between two data centres
	ReportLag   time.Duration                   // of the load that engines report
	Systems     []rocktable.System              // decision code; nil means rocktick.Systems
	Restart     bool                            // an attempt after a failure gives the answer from the beginning
	Load        []Ask                           // in order of At
	Plan        []Planned                       // in order of At
	StreamsFrom time.Duration                   // gaps between tokens count from this time on
}

// HostOptions describe one entry host.
type HostOptions struct {
	Name       string
	DataCentre string
	From       time.Duration // time at which it starts
}

// Kind is a kind of accelerator; the times are those of rockstandin.KindSettings.
type Kind struct {
	Step       time.Duration // of a batch with one session
	PerSession time.Duration // for each further session of a batch
	Prefill    time.Duration // for each position of a prefill
}

// EngineOptions describe one engine.
type EngineOptions struct {
	Name       string
	DataCentre string
	Kind       string
	First      int
	Last       int // inclusive
	Slots      int
	Queue      int           // sessions that may wait for a slot
	Blocks     int           // blocks of the prefix cache
	From       time.Duration // time at which it is first listed
}

// Ask is one request that a caller sends.
type Ask struct {
	At        time.Duration
	Host      int
	Caller    int // position in Options.Callers
	Rank      rocktable.RankID
	Prompt    int
	MaxTokens int
	Prefix    []uint64
}

// Planned is a change of the fleet at a time.
type Planned struct {
	At time.Duration
	Do func(f *Fleet)
}

// Host is an entry host with its decision code.
type Host struct {
	Name       string
	DataCentre string
	W          *rocktable.World
	Inbox      rocktable.Inbox
	Wake       time.Time
}

// Answer is the end of a request as its caller saw it.
type Answer struct {
	At         time.Duration
	Reason     rockreason.Code
	MayHaveRun bool
	FirstToken time.Duration // from the arrival; 0 if there was none
	LargestGap time.Duration
	Tokens     int
	Attempts   int
}

// Stream is what a caller has got of an answer.
type Stream struct {
	Ask     int
	Tokens  int
	Hidden  int // tokens that a restart repeats before the caller sees new ones
	First   time.Time
	Last    time.Time
	Largest time.Duration
}

// StreamKey identifies a request within the fleet.
type StreamKey struct {
	Host    int
	Request rocktable.RequestID
}

// Fleet is the state of the run; only its tick writes it.
type Fleet struct {
	Options Options
	Now     time.Time
	Rand    *rand.Rand
	Hosts   []*Host
	Engines rocktable.Table[string, Engine]
	Runs    rocktable.Table[RunKey, Run]
	Streams rocktable.Table[StreamKey, Stream]
	Answers []Answer        // by position in Options.Load
	Tokens  []int           // delivered, by bin of BinWidth
	Gaps    []time.Duration // largest gap of streams, by position in Options.Load
	Started int             // attempts
	Failed  error           // a violated invariant
	Cut     map[string]bool // data centres that are cut off from the others
	CutAt   time.Time       // last change of Cut by CutOff
	Slow    map[string]int  // factor of the link to an engine

	messages messages
	lastMsg  int
	asked    int
	planned  int
	version  uint64
	list     []rocktable.ListedHost
	lease    map[string]rocktable.TableResult[rocktable.LeaseRow]
}

// BinWidth is the width of the bins of Fleet.Tokens.
const BinWidth = 250 * time.Millisecond

// New returns a fleet at Epoch.
func New(o Options) *Fleet {
	if o.Systems == nil {
		o.Systems = rocktick.Systems
	}
	if o.Links == nil {
		o.Links = func(_, _ string) time.Duration { return 500 * time.Microsecond }
	}
	f := &Fleet{
		Options: o, Now: Epoch, Rand: rand.New(rand.NewPCG(o.Seed, 1)),
		Answers: make([]Answer, len(o.Load)), Gaps: make([]time.Duration, len(o.Load)),
		Cut: make(map[string]bool), Slow: make(map[string]int),
		lease: make(map[string]rocktable.TableResult[rocktable.LeaseRow]),
	}
	for i, h := range o.Hosts {
		f.Hosts = append(f.Hosts, f.newHost(i, h))
	}
	for _, e := range o.Engines {
		if e.From == 0 {
			f.AddEngine(e)
		}
	}
	return f
}

func (f *Fleet) newHost(i int, h HostOptions) *Host {
	w := rocktable.NewWorld(Epoch, rocktable.Host{Name: h.Name, Address: h.Name + addressSuffix},
		rocktable.DataCentre{Name: h.DataCentre, Region: region}, 1, rocktable.WithSeed(f.Options.Seed*1000+uint64(i)))
	// Experiments measure decisions about ranks, not the memory of one host.
	w.Limits.MaxRequests = 1 << 30
	f.list = append(f.list, rocktable.ListedHost{
		Name: h.Name, Role: "entry", Address: h.Name + addressSuffix, DataCentre: h.DataCentre, Region: region, State: "live",
	})
	return &Host{Name: h.Name, DataCentre: h.DataCentre, W: w}
}

const region = "ga-west"

// AddEngine starts an engine and lists it.
func (f *Fleet) AddEngine(o EngineOptions) {
	f.Engines.Put(o.Name, Engine{Options: o, Kind: f.Options.Kinds[o.Kind], Incarnation: 1})
	f.list = append(f.list, rocktable.ListedHost{
		Name: o.Name, Role: "model", Address: o.Name + addressSuffix, DataCentre: o.DataCentre, Region: region, State: "live",
	})
}

// Since returns the time since Epoch.
func (f *Fleet) Since() time.Duration { return f.Now.Sub(Epoch) }

// Run advances the fleet to a time since Epoch; its error is a violated invariant.
func (f *Fleet) Run(until time.Duration) error {
	for f.Since() < until && f.Failed == nil {
		f.Now = f.Now.Add(Tick)
		for _, s := range Systems {
			s.Run(f)
		}
	}
	return f.Failed
}

func runFaults(f *Fleet) {
	for f.planned < len(f.Options.Plan) && f.Options.Plan[f.planned].At <= f.Since() {
		f.Options.Plan[f.planned].Do(f)
		f.planned++
	}
}

func runArrivals(f *Fleet) {
	for f.asked < len(f.Options.Load) && f.Options.Load[f.asked].At <= f.Since() {
		f.ask(f.asked)
		f.asked++
	}
}

func (f *Fleet) ask(i int) {
	a := f.Options.Load[i]
	h := f.Hosts[a.Host]
	id := rocktable.RequestID(i + 1)
	f.Streams.Put(StreamKey{Host: a.Host, Request: id}, Stream{Ask: i})
	h.Inbox.Arrivals = append(h.Inbox.Arrivals, rocktable.Arrival{Request: rocktable.Request{
		ID: id, Caller: h.W.InternCaller(f.Options.Callers[a.Caller].Name).ID, Rank: a.Rank, Pipeline: h.W.InternPipeline(pipeline).ID,
		ArrivedAt: f.Now, PromptTokens: a.Prompt, MaxTokens: a.MaxTokens, Fingerprint: uint64(i + 1), Prefix: a.Prefix,
	}})
}

// message is something that arrives at a time.
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

// after delivers a message after a time on the link.
func (f *Fleet) after(d time.Duration, do func(f *Fleet)) {
	f.lastMsg++
	heap.Push(&f.messages, message{at: f.Now.Add(d), seq: f.lastMsg, do: do})
}

func runMessages(f *Fleet) {
	for len(f.messages) > 0 && !f.messages[0].at.After(f.Now) {
		m := heap.Pop(&f.messages).(message)
		m.do(f)
	}
}

// link returns the one-way time to an engine, and whether messages pass.
func (f *Fleet) link(h *Host, e *Engine) (time.Duration, bool) {
	return f.Options.Links(h.DataCentre, e.Options.DataCentre) * time.Duration(max(1, f.Slow[e.Options.Name])),
		f.passes(h.DataCentre, e.Options.DataCentre)
}

func (f *Fleet) passes(a, b string) bool { return a == b || !f.Cut[a] && !f.Cut[b] }

// CutOff cuts a data centre off from the others.
func (f *Fleet) CutOff(centre string) { f.Cut[centre], f.CutAt = true, f.Now }

func (f *Fleet) fail(format string, args ...any) {
	if f.Failed == nil {
		f.Failed = fmt.Errorf(format, args...)
	}
}
