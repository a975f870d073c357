package rocktable

import (
	"math/rand/v2"
	"time"

	"sassafrasrock/core/rockreason"
)

// System is one step of a tick: a data value with its documentation and run function.
type System struct {
	Name string
	Doc  string
	Run  func(now time.Time, w *World)
}

// Invariant is a property of the World that must hold at the end of every tick.
type Invariant struct {
	Name  string
	Doc   string
	Check func(now time.Time, w *World) error
}

// Limits are the settings of one host that decisions depend on.
type Limits struct {
	MaxRequests    int           // requests and calls held at once
	HostListEvery  time.Duration // between reads of the platform's list
	ConfigEvery    time.Duration // between reads of the configuration row
	ProbeEvery     time.Duration // between probes of one backend server
	GossipEvery    time.Duration // between messages to peers
	HostTimeout    time.Duration // silence after which a host is down
	LeaveLimit     time.Duration // from the first word of leaving to the last new work
	LeaseTTL       time.Duration
	OrderTimeout   time.Duration // longest that an order may be under way
	RetryWindow    time.Duration // of the budget of repeats that all hosts share; 0 means that there is none
	RetryRatio     float64       // repeats for each request in the window, over all hosts
	RetryBurst     float64       // repeats in the window besides, over all hosts
	OverloadRetry  time.Duration // told to callers that are refused for the load, if no longer time is; 0 means the default of rockoutcome
	DrainNotice    time.Duration // from the signal to stop until new requests are refused, for a load balancer that turns away late
	PlatformPushes bool          // the platform pushes its list and the configuration, so that neither is read
}

// DefaultLimits returns the limits of a host whose settings name none.
func DefaultLimits() Limits {
	return Limits{
		MaxRequests:   20000,
		HostListEvery: 2 * time.Second,
		ConfigEvery:   5 * time.Second,
		ProbeEvery:    500 * time.Millisecond,
		GossipEvery:   time.Second,
		HostTimeout:   8 * time.Second,
		LeaveLimit:    3 * time.Second,
		LeaseTTL:      15 * time.Second,
		OrderTimeout:  5 * time.Second,
	}
}

// World owns the control state of one host; only the control thread writes it.
type World struct {
	Inbox  Inbox
	Outbox Outbox
	Limits Limits
	Rand   *rand.Rand

	Self        HostID
	Incarnation uint64
	StartedAt   time.Time
	SeedPeers   []string // addresses that get a message while no peer is known

	Hosts       Table[HostID, Host]
	DataCentres Table[DataCentreID, DataCentre]
	Servers     Table[BackendServerID, BackendServer]
	Callers     Table[CallerID, Caller]
	Ranks       Table[RankID, Rank]
	Pipelines   Table[PipelineID, Pipeline]
	Services    Table[ServiceID, Service]
	Requests    Table[RequestID, Request]
	Attempts    Table[AttemptID, Attempt]
	Shares      Table[ShareKey, Share]
	Lanes       Table[LaneKey, Lane]
	Prefixes    Table[uint64, PrefixHint] // by hash of the prefix
	Suspects    Table[uint64, Suspect]
	Orders      Table[BackendServerID, Order]
	Plan        Table[BackendServerID, Placement] // layers that backend servers of this data centre are to hold, by rockplace
	PlanState   PlanState
	Tallies     Table[ShareKey, Tally]
	Changes     Table[string, PendingChange] // configuration changes under way, by change id
	Pipes       Table[PipeKey, Pipe]
	Retries     Table[RetryKey, RetryWindow]
	Claims      Table[RequestID, Claim]
	SeenClaims  Table[string, SeenClaim] // by claim key
	Lease       Lease
	Gossip      Gossip

	EarliestDeadline time.Time // earliest Request.Deadline that may have come; zero if none is known

	RetryBudget           float64           // of this host: retries earned less retries used; rockretry adds an allowance
	PrefixOrder           []uint64          // keys of Prefixes, oldest first
	CrashSuspectedServers []BackendServerID // backend servers whose CrashAt is set

	Config        ConfigRow
	ConfigVersion uint64 // in force at this host; 0 before the first
	ConfigState   ConfigState
	ListState     ListState
	Draining      bool      // graceful shutdown has begun
	StopSignalAt  time.Time // when the signal to stop came; zero before
	Ready         bool

	ChangeSeq uint64                     // rises with each change that peers should learn
	Counters  map[rockreason.Code]uint64 // since the start

	// QueuesConfigVersion is the ConfigVersion with which the queues agree.
	QueuesConfigVersion uint64

	// CheckedVersion is ConfigVersion at the end of the last tick.
	CheckedVersion uint64

	// CheckedCalls holds the application calls that arrived and are not forgotten, for the invariant claims.
	CheckedCalls map[RequestID]bool

	names   names
	lastOp  uint64
	lastAtt AttemptID
	wakeAt  time.Time
}

// PendingChange is a configuration change whose end is not known yet.
type PendingChange struct {
	Change   ConfigChange
	Op       uint64
	Reading  bool // the operation in flight reads the row
	Unclear  bool // a write may have taken effect
	SentAt   time.Time
	Deadline time.Time
	NextOp   time.Time
}

// ConfigState is the progress of reads of the configuration row.
type ConfigState struct {
	Op               uint64 // read in flight, or 0
	NextRead         time.Time
	OpAt             time.Time
	ReadFailed       bool      // a read failed
	PeerAskedAt      time.Time // last request to a peer for the configuration
	PlatformAnswered bool      // the platform answered at least once
	PeerReported     bool      // a peer told its version at least once
	HighestVersion   uint64
}

// PipeKey identifies the link between two data centres; One is the lower id.
type PipeKey struct{ One, Other DataCentreID }

// Pipe is the load that this host puts on the link between stages of two data centres.
type Pipe struct {
	BusySeconds float64 // of the link's time for the prompts sent in the last seconds, decaying
	At          time.Time
}

// RetryKey identifies what a budget of repeats is for: a pipeline or a service.
type RetryKey struct {
	Pipeline PipelineID
	Service  ServiceID
}

// RetryWindow counts the requests and repeats of this host in the last window, by parts of it; part 0 is the newest.
type RetryWindow struct {
	Requests      []int
	Retries       []int
	PartStartedAt time.Time // when part 0 began
}

// PlanState is the progress of the planner of placements.
type PlanState struct {
	NextCheck          time.Time // of the next comparison of the plan with the backend servers
	ServerCount        int       // backend servers of the group
	CountChangedAt     time.Time // last change of Count
	PlannedServerCount int       // Count at the last whole plan
	PlannedThisLease   bool      // this host made the whole plan under the lease that it holds
	RequestsArrived    bool      // requests have arrived at this host
}

// ListState is the progress of reads of the platform's host list.
type ListState struct {
	Pending          bool
	NextRead         time.Time
	ReadAt           time.Time // last answer; zero before the first
	PushesLostSince  time.Time // since when the platform's pushes are interrupted; zero while they come
	PushesRestoredAt time.Time // when they last came back
}

// Gossip is the progress of messages to peers and of the choice of probers.
type Gossip struct {
	RoundChangeSeqs    [4]uint64 // ChangeSeq at the last rounds; later changes are recent
	Round              int
	HostCursor         int
	ServerCursor       int
	OwnServerCursor    int
	ReassignProbers    bool    // hosts or backend servers changed; choose the probers again
	RecountPeerLoad    bool    // what peers told of their load changed
	UnreportedFraction float64 // part of the live peers that told nothing of their load in the last moments
	NextCheck          time.Time
	Departures         []Departure
	NextUrgent         time.Time
	WorkChanged        bool     // what this host does with suspects changed
	ChangedSuspects    []uint64 // fingerprints of suspects that changed
	NextWork           time.Time
	LeaseLost          bool // this host's lease ended without a renewal
}

// Departure names a departure that peers are to learn at once.
type Departure struct {
	Host   HostID // or 0
	Server BackendServerID
}

type names struct {
	hosts       map[string]HostID
	dataCentres map[string]DataCentreID
	servers     map[string]BackendServerID
	callers     map[string]CallerID
	pipelines   map[string]PipelineID
	services    map[string]ServiceID
}

// Option changes a World while it is made.
type Option func(*World)

// WithSeed makes the World's random choices repeatable.
func WithSeed(seed uint64) Option {
	return func(w *World) { w.Rand = rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)) }
}

// WithLimits replaces the default limits.
func WithLimits(limits Limits) Option {
	return func(w *World) { w.Limits = limits }
}

// WithSeeds names peers' addresses to begin with, before the platform's list has been read.
func WithSeeds(addresses ...string) Option {
	return func(w *World) { w.SeedPeers = addresses }
}

// NewWorld returns the state of a host that has just started.
func NewWorld(now time.Time, self Host, dataCentre DataCentre, incarnation uint64, options ...Option) *World {
	w := &World{
		Limits:      DefaultLimits(),
		Incarnation: incarnation,
		StartedAt:   now,
		Counters:    make(map[rockreason.Code]uint64),
	}
	WithSeed(incarnation)(w)
	for _, option := range options {
		option(w)
	}
	dc := w.InternDataCentre(dataCentre.Name, dataCentre.Region)
	h := w.InternHost(self.Name)
	w.Self = h.ID
	h.Self, h.Address, h.DataCentre = true, self.Address, dc.ID
	h.State, h.Incarnation, h.HeartbeatAt = StateLive, incarnation, now
	return w
}

// Count adds one to the counter of a reason.
func (w *World) Count(code rockreason.Code) {
	w.Counters[code]++
	w.Outbox.Counts = append(w.Outbox.Counts, code)
}

// Answer ends a request with a reason, or with a whole answer if the code is empty.
func (w *World) Answer(id RequestID, code rockreason.Code) {
	w.Outbox.Answers = append(w.Outbox.Answers, Answer{Request: id, Reason: code})
}

// NextChangeSeq returns the next number for a change that peers should learn.
func (w *World) NextChangeSeq() uint64 {
	w.ChangeSeq++
	return w.ChangeSeq
}

// NextOp returns a number for an operation on the table service.
func (w *World) NextOp() uint64 {
	w.lastOp++
	return w.lastOp
}

// NextAttempt returns the id of a new attempt.
func (w *World) NextAttempt() AttemptID {
	w.lastAtt++
	return w.lastAtt
}

// WakeAt asks for a tick at t, if none comes earlier.
func (w *World) WakeAt(t time.Time) {
	if w.wakeAt.IsZero() || t.Before(w.wakeAt) {
		w.wakeAt = t
	}
}

// TakeWake returns the earliest time asked for by WakeAt, or zero, and forgets it.
func (w *World) TakeWake() time.Time {
	t := w.wakeAt
	w.wakeAt = time.Time{}
	return t
}

// LogChange records a change of state for the log.
func (w *World) LogChange(what, name, from, to string) {
	w.Outbox.Changes = append(w.Outbox.Changes, StateChange{What: what, Name: name, From: from, To: to})
}

// FullPathPipeline returns the pipeline of a request if its engines run a whole path, or nil.
func (w *World) FullPathPipeline(r *Request) *Pipeline {
	if p := w.Pipelines.Get(r.Pipeline); p != nil && p.Config.Engine.RunsFullPath() {
		return p
	}
	return nil
}

// SelfHost returns this host's row.
func (w *World) SelfHost() *Host { return w.Hosts.Get(w.Self) }
