package rockcost

import (
	"crypto/sha256"
	"fmt"
	"time"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/core/rocktick"
)

// Scale is the size of a simulated installation.
type Scale struct {
	Hosts   int
	Servers int // backend servers
	Callers int
}

// String returns the sizes in the form that names benchmarks and records.
func (s Scale) String() string {
	return fmt.Sprintf("hosts=%d/servers=%d/callers=%d", s.Hosts, s.Servers, s.Callers)
}

// Full is the size to build for, from section 2 of docs/design.md.
var Full = Scale{Hosts: 340, Servers: 600, Callers: 2700}

// Scales are the sizes that are compared, from the smallest to Full. The sizes between them differ from
// Full in one number, from which addSlopes computes the cost of one more host, backend server or caller.
var Scales = []Scale{
	{Hosts: 10, Servers: 40, Callers: 10},
	{Hosts: 10, Servers: 600, Callers: 2700},
	{Hosts: 100, Servers: 600, Callers: 2700},
	{Hosts: 340, Servers: 40, Callers: 2700},
	{Hosts: 340, Servers: 600, Callers: 10},
	Full,
}

// The load of all hosts together, from section 2 of docs/design.md.
const (
	RequestsPerSecond   = 6600
	TokensPerSecond     = 2.3e6
	TokenGap            = 28 * time.Millisecond
	ConfigChangesPerDay = 330
	// DeparturesPerDay is the number of hosts that fail, restart or are replaced in a day.
	DeparturesPerDay = 18 + 54
)

const (
	dataCentres = 10
	regions     = 3
	models      = 22
	layers      = 42
	stages      = 3
	// slots is the number of slots of each backend server, which is enough for the streams of section 2
	// of docs/design.md: 6,600 requests/s of 348 tokens at 28 ms are 64,000 streams, each of which
	// occupies 3 of the 600 backend servers.
	slots = 512
	// runningStreams is the share of one of the 340 hosts in those streams.
	runningStreams = 190
	incarnation    = 1767323045000
)

var startedAt = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// Fixture is a host in the state of a serving installation, with virtual time.
type Fixture struct {
	Scale       Scale
	World       *rocktable.World
	Now         time.Time
	ListedHosts []rocktable.ListedHost
	InFlight    []rocktable.AttemptID // attempts in flight, oldest first
	// Violations counts violated invariants. Measurements of such a state are invalid.
	Violations int

	heartbeat   uint64
	lastRequest rocktable.RequestID
	modelCount  int
}

// NewFixture returns a host that knows all other hosts, has an active configuration and has received
// reports of all backend servers.
func NewFixture(scale Scale, seed uint64) *Fixture {
	return newFixtureFor(scale, seed, 0)
}

// newFixtureFor is NewFixture for the host with the given index.
func newFixtureFor(scale Scale, seed uint64, host int) *Fixture {
	f := &Fixture{Scale: scale, Now: startedAt, ListedHosts: listedHosts(scale), modelCount: min(models, max(1, scale.Servers/stages))}
	own := f.ListedHosts[host]
	f.World = rocktable.NewWorld(startedAt, rocktable.Host{Name: own.Name, Address: own.Address},
		rocktable.DataCentre{Name: own.DataCentre, Region: own.Region}, incarnation, rocktable.WithSeed(seed))
	in := &f.World.Inbox
	in.HostLists = []rocktable.HostList{{OK: true, Entries: f.ListedHosts}}
	in.ConfigResults = []rocktable.TableResult[rocktable.ConfigRow]{f.configResult(1)}
	// The messages of the first rounds contain every row, because every row is new. Later rounds show the
	// steady state.
	for range 10 {
		f.answerActions(&PlatformUse{}, f.Tick().Outbox)
		f.AddReports()
		f.Now = f.Now.Add(f.World.Limits.GossipEvery)
	}
	// An unanswered lease operation would be sent again during the measurement.
	f.answerActions(&PlatformUse{}, f.Tick().Outbox)
	f.Tick()
	return f
}

func listedHosts(scale Scale) []rocktable.ListedHost {
	var list []rocktable.ListedHost
	add := func(role, format string, port, n int) {
		for i := range n {
			dc := i % dataCentres
			list = append(list, rocktable.ListedHost{
				Name: fmt.Sprintf(format, i), Role: role, Address: fmt.Sprintf("10.%d.%d.%d:%d", 20+dc, port%10, 10+i/dataCentres, port),
				DataCentre: dataCentreName(dc), Region: fmt.Sprintf("region-%d", dc%regions), State: "live",
			})
		}
	}
	add("entry", "dakar-plateau-entry-%03d", 7443, scale.Hosts)
	add("model", "dakar-plateau-runner-%03d", 8080, scale.Servers)
	return list
}

func dataCentreName(i int) string { return fmt.Sprintf("dakar-plateau-%d", i) }

// Configuration returns a configuration for the scale, with a placement of each backend server.
func (f *Fixture) Configuration() rocktable.Configuration {
	var cfg rocktable.Configuration
	for i := range f.modelCount {
		cfg.Pipelines = append(cfg.Pipelines, rocktable.PipelineConfig{
			Name: fmt.Sprintf("pipeline-%02d", i), Model: fmt.Sprintf("caption-large-%02d", i), Version: "2026-01-02", Layers: layers,
		})
	}
	for i := range f.Scale.Servers {
		first, last, model := f.placement(i)
		p := &cfg.Pipelines[model]
		p.Placements = append(p.Placements, rocktable.Placement{Server: fmt.Sprintf("dakar-plateau-runner-%03d", i), FirstLayer: first, LastLayer: last})
	}
	for i, name := range []string{"urgent", "ordinary", "background"} {
		cfg.Ranks = append(cfg.Ranks, rocktable.RankConfig{Name: name, FirstTokenMs: 730 << (3 * i), GapMs: 28 << (3 * i), Worth: 10 / float64(i+1), Floor: 0.05 * float64(i)})
	}
	for i := range f.Scale.Callers {
		name := fmt.Sprintf("organisation-%04d", i)
		cfg.Callers = append(cfg.Callers, rocktable.CallerConfig{
			Name: name, TokenSHA256: fmt.Sprintf("%x", sha256.Sum256([]byte(name))), Weight: 1, TokensPerSecond: 1e9, Burst: 1e10,
			Ranks: []string{"urgent", "ordinary"},
		})
	}
	return cfg
}

// placement returns the layers and the model of backend server i. If there are enough backend servers,
// all stages of a model are placed in each data centre.
func (f *Fixture) placement(i int) (first, last, model int) {
	stage := i / dataCentres % stages
	model = i / dataCentres / stages % f.modelCount
	if f.Scale.Servers < dataCentres*stages*f.modelCount {
		stage, model = i%stages, i/stages%f.modelCount
	}
	layersPerStage := layers / stages
	return stage * layersPerStage, stage*layersPerStage + layersPerStage - 1, model
}

func (f *Fixture) configResult(version uint64) rocktable.TableResult[rocktable.ConfigRow] {
	cfg := f.Configuration()
	cfg.Callers[0].Weight = float64(version)
	return rocktable.TableResult[rocktable.ConfigRow]{
		Status: rocktable.TableOK, Found: true, Version: version,
		Row: rocktable.ConfigRow{ChangeID: fmt.Sprintf("change-%d", version), Configuration: cfg},
	}
}

// serverStatus returns the report of backend server i after the last AddReports. Its load changes with
// each of these calls.
func (f *Fixture) serverStatus(i int) rocktable.EngineStatus {
	first, last, model := f.placement(i)
	return rocktable.EngineStatus{
		Name: fmt.Sprintf("dakar-plateau-runner-%03d", i), Kind: fmt.Sprintf("accelerator-%d", i%5),
		Model: fmt.Sprintf("caption-large-%02d", model), Version: "2026-01-02", FirstLayer: first, LastLayer: last,
		Slots: slots, Active: 100 + int(f.heartbeat)*7%64 + i%3, TokensPerSecond: 11500, Incarnation: incarnation, State: "live", Fencing: 12, ChecksFencing: true,
	}
}

// AddReports adds the messages of all other hosts for one second to the inbox. The first one contains
// the reports of all backend servers.
func (f *Fixture) AddReports() {
	f.heartbeat++
	in := &f.World.Inbox
	for _, e := range f.ListedHosts[:f.Scale.Hosts] {
		if e.Name == f.World.SelfHost().Name {
			continue
		}
		in.Peers = append(in.Peers, rocktable.PeerMessage{
			Sender: e.Name, Address: e.Address, DataCentre: e.DataCentre, Region: e.Region, Incarnation: incarnation,
			Heartbeat: 100000 + f.heartbeat, State: rocktable.StateLive, ConfigVersion: f.World.ConfigVersion,
		})
	}
	if len(in.Peers) == 0 {
		return
	}
	for i, e := range f.ListedHosts[f.Scale.Hosts:] {
		in.Peers[0].Servers = append(in.Peers[0].Servers, rocktable.ServerUpdate{
			Name: e.Name, State: rocktable.StateLive, StatusSeq: 100000 + 10*f.heartbeat, Status: f.serverStatus(i),
		})
	}
}

// Tick runs one tick at Now.
func (f *Fixture) Tick() rocktick.Result {
	result := rocktick.Run(f.Now, f.World)
	f.Violations += len(result.Violations)
	return result
}

// AddArrival adds the arrival of a request to the inbox. Callers and models alternate.
func (f *Fixture) AddArrival() {
	f.lastRequest++
	n := int(f.lastRequest)
	caller := f.World.CallerNamed(fmt.Sprintf("organisation-%04d", n%f.Scale.Callers))
	pipeline := f.World.InternPipeline(fmt.Sprintf("pipeline-%02d", n%f.modelCount))
	f.World.Inbox.Arrivals = append(f.World.Inbox.Arrivals, rocktable.Arrival{Request: rocktable.Request{
		ID: f.lastRequest, Caller: caller.ID, Rank: rocktable.RankID(n % 2), Pipeline: pipeline.ID, ArrivedAt: f.Now,
		PromptTokens: 500, MaxTokens: 348, Fingerprint: uint64(n),
	}})
}

// StartAttempts starts requests until n attempts are in flight, or until it has tried often enough to
// conclude that the backend servers have no more slots for this host.
func (f *Fixture) StartAttempts(n int) {
	const tries = 8 // for each attempt
	for range tries * n {
		if len(f.InFlight) >= n {
			return
		}
		before := len(f.InFlight)
		f.AddArrival()
		f.recordStarts(f.Tick())
		if len(f.InFlight) == before {
			// The share of this host in the slots of a backend server grows with the sessions that reports
			// of the backend server show.
			f.Now = f.Now.Add(time.Second)
			f.AddReports()
			f.recordStarts(f.Tick())
		}
	}
}

func (f *Fixture) recordStarts(result rocktick.Result) {
	for _, s := range result.Outbox.Starts {
		f.InFlight = append(f.InFlight, s.Attempt)
	}
}

// AddEnd adds the end of the oldest attempt to the inbox and removes it from InFlight.
func (f *Fixture) AddEnd() {
	f.World.Inbox.AttemptsEnded = append(f.World.Inbox.AttemptsEnded, rocktable.AttemptEnded{
		Attempt: f.InFlight[0], Tokens: 348, FirstTokenAt: f.Now, LargestGap: TokenGap,
	})
	f.InFlight = f.InFlight[1:]
}
