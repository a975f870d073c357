package rockcost

import (
	"crypto/sha256"
	"fmt"
	"time"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/core/rocktick"
)

// Scale is the size of an installation.
type Scale struct {
	Hosts   int
	Servers int // backend servers
	Callers int
}

// String returns the sizes in the order of the fields.
func (s Scale) String() string {
	return fmt.Sprintf("hosts=%d/servers=%d/callers=%d", s.Hosts, s.Servers, s.Callers)
}

// Full is the size that section 2 of docs/design.md asks for.
var Full = Scale{Hosts: 340, Servers: 600, Callers: 2700}

// Scales are the sizes that are compared: each differs from Full in one number, which gives the slopes.
var Scales = []Scale{
	{Hosts: 10, Servers: 40, Callers: 10},
	{Hosts: 10, Servers: 600, Callers: 2700},
	{Hosts: 100, Servers: 600, Callers: 2700},
	{Hosts: 340, Servers: 40, Callers: 2700},
	{Hosts: 340, Servers: 600, Callers: 10},
	Full,
}

// The load of section 2 over all hosts.
const (
	RequestsPerSecond   = 6600
	TokensPerSecond     = 2.3e6
	TokenGap            = 28 * time.Millisecond
	ConfigChangesPerDay = 330
	// DeparturesPerDay counts the hosts that fail, restart or are replaced.
	DeparturesPerDay = 18 + 54
)

const (
	dataCentres = 10
	regions     = 3
	models      = 22
	layers      = 42
	stages      = 3
	// slots holds the streams of section 2: 6,600 requests/s of 348 tokens at 28 ms are 64,000 streams over 3 of 600 backend servers.
	slots = 512
	// runningStreams is the part of one of 340 hosts in those streams.
	runningStreams = 190
	incarnation    = 1767323045000
)

var started = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// Fleet is a host in the state of an installation that serves.
type Fleet struct {
	Scale   Scale
	World   *rocktable.World
	Now     time.Time
	Entries []rocktable.ListedHost
	Running []rocktable.AttemptID // attempts in flight, oldest first
	// Violations counts invariants that did not hold; figures of such a state would mean nothing.
	Violations int

	beat        uint64
	lastRequest rocktable.RequestID
	models      int
}

// NewFleet returns a host that knows all others, has a configuration in force and reports of all backend servers.
func NewFleet(scale Scale, seed uint64) *Fleet {
	return newFleetOf(scale, seed, 0)
}

// newFleetOf returns the state of one of the hosts.
func newFleetOf(scale Scale, seed uint64, host int) *Fleet {
	f := &Fleet{Scale: scale, Now: started, Entries: entries(scale), models: min(models, max(1, scale.Servers/stages))}
	own := f.Entries[host]
	f.World = rocktable.NewWorld(started, rocktable.Host{Name: own.Name, Address: own.Address},
		rocktable.DataCentre{Name: own.DataCentre, Region: own.Region}, incarnation, rocktable.WithSeed(seed))
	in := &f.World.Inbox
	in.HostLists = []rocktable.HostList{{OK: true, Entries: f.Entries}}
	in.ConfigResults = []rocktable.TableResult[rocktable.ConfigRow]{f.configResult(1)}
	// The first rounds hold news of everything; later ones show the steady state.
	for range 10 {
		f.answer(&PlatformUse{}, f.Tick().Outbox)
		f.Hear()
		f.Now = f.Now.Add(f.World.Limits.GossipEvery)
	}
	// A lease operation that is never answered would be sent again within the measure.
	f.answer(&PlatformUse{}, f.Tick().Outbox)
	f.Tick()
	return f
}

func entries(scale Scale) []rocktable.ListedHost {
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

// Configuration returns a configuration of the scale with a placement for each backend server.
func (f *Fleet) Configuration() rocktable.Configuration {
	var cfg rocktable.Configuration
	for i := range f.models {
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

// placement returns the layers and the model of a backend server; the stages of one model are spread over its data centre first.
func (f *Fleet) placement(i int) (first, last, model int) {
	stage := i / dataCentres % stages
	model = i / dataCentres / stages % f.models
	if f.Scale.Servers < dataCentres*stages*f.models {
		stage, model = i%stages, i/stages%f.models
	}
	each := layers / stages
	return stage * each, stage*each + each - 1, model
}

func (f *Fleet) configResult(version uint64) rocktable.TableResult[rocktable.ConfigRow] {
	cfg := f.Configuration()
	cfg.Callers[0].Weight = float64(version)
	return rocktable.TableResult[rocktable.ConfigRow]{
		Status: rocktable.TableOK, Found: true, Version: version,
		Row: rocktable.ConfigRow{ChangeID: fmt.Sprintf("change-%d", version), Configuration: cfg},
	}
}

// status returns a backend server's report of the present second.
func (f *Fleet) status(i int) rocktable.EngineStatus {
	first, last, model := f.placement(i)
	return rocktable.EngineStatus{
		Name: fmt.Sprintf("dakar-plateau-runner-%03d", i), Kind: fmt.Sprintf("accelerator-%d", i%5),
		Model: fmt.Sprintf("caption-large-%02d", model), Version: "2026-01-02", FirstLayer: first, LastLayer: last,
		Slots: slots, Active: 100 + int(f.beat)*7%64 + i%3, TokensPerSecond: 11500, Incarnation: incarnation, State: "live", Fencing: 12, ChecksFencing: true,
	}
}

// Hear adds one second's news of all peers and backend servers to the inbox.
func (f *Fleet) Hear() {
	f.beat++
	in := &f.World.Inbox
	for _, e := range f.Entries[:f.Scale.Hosts] {
		if e.Name == f.World.SelfHost().Name {
			continue
		}
		in.Peers = append(in.Peers, rocktable.PeerMessage{
			Sender: e.Name, Address: e.Address, DataCentre: e.DataCentre, Region: e.Region, Incarnation: incarnation,
			Heartbeat: 100000 + f.beat, State: rocktable.StateLive, ConfigVersion: f.World.ConfigVersion,
		})
	}
	if len(in.Peers) == 0 {
		return
	}
	for i, e := range f.Entries[f.Scale.Hosts:] {
		in.Peers[0].Servers = append(in.Peers[0].Servers, rocktable.ServerUpdate{
			Name: e.Name, State: rocktable.StateLive, StatusSeq: 100000 + 10*f.beat, Status: f.status(i),
		})
	}
}

// Tick runs one tick at the present time.
func (f *Fleet) Tick() rocktick.Result {
	result := rocktick.Run(f.Now, f.World)
	f.Violations += len(result.Violations)
	return result
}

// Arrive adds the arrival of a request to the inbox; callers and models take turns.
func (f *Fleet) Arrive() {
	f.lastRequest++
	n := int(f.lastRequest)
	caller := f.World.CallerNamed(fmt.Sprintf("organisation-%04d", n%f.Scale.Callers))
	pipeline := f.World.InternPipeline(fmt.Sprintf("pipeline-%02d", n%f.models))
	f.World.Inbox.Arrivals = append(f.World.Inbox.Arrivals, rocktable.Arrival{Request: rocktable.Request{
		ID: f.lastRequest, Caller: caller.ID, Rank: rocktable.RankID(n % 2), Pipeline: pipeline.ID, ArrivedAt: f.Now,
		PromptTokens: 500, MaxTokens: 348, Fingerprint: uint64(n),
	}})
}

// Run starts requests until n attempts are in flight, or until backend servers give this host no more places.
func (f *Fleet) Run(n int) {
	const tries = 8 // for each attempt
	for range tries * n {
		if len(f.Running) >= n {
			return
		}
		before := len(f.Running)
		f.Arrive()
		f.keepStarts(f.Tick())
		if len(f.Running) == before {
			// The places of this host at a backend server grow with the sessions that its reports show.
			f.Now = f.Now.Add(time.Second)
			f.Hear()
			f.keepStarts(f.Tick())
		}
	}
}

func (f *Fleet) keepStarts(result rocktick.Result) {
	for _, s := range result.Outbox.Starts {
		f.Running = append(f.Running, s.Attempt)
	}
}

// End adds the end of the oldest attempt to the inbox.
func (f *Fleet) End() {
	f.World.Inbox.Ended = append(f.World.Inbox.Ended, rocktable.Ended{
		Attempt: f.Running[0], Tokens: 348, FirstToken: f.Now, LargestGap: TokenGap,
	})
	f.Running = f.Running[1:]
}
