package rocktable

import (
	"iter"
	"math/rand/v2"
	"time"

	"sassafrasrock/core/rockreason"
)

// System is one step of a tick, with its documentation and its run function.
type System struct {
	Name        string
	Description string
	Run         func(now time.Time, w *World)
}

// Invariant is a property of the World that must hold at the end of every tick.
type Invariant struct {
	Name        string
	Description string
	Check       func(now time.Time, w *World) error
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
	SeedPeers   []string // addresses that receive messages while no peer is known

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
	Parts       Table[PartID, PromptPart]
	StoredParts StoredParts
	CrashChecks Table[BackendServerID, CrashCheck]
	JudgeParts  bool // Parts changed since they were judged
	Orders      Table[BackendServerID, Order]
	Plan        Table[BackendServerID, Placement] // layers that rockplace assigns to backend servers of this data centre
	PlanState   PlanState
	Tallies     Table[ShareKey, Tally]
	Changes     Table[string, PendingChange] // configuration changes in progress, by change id
	LinkLoads   Table[LinkKey, LinkLoad]
	Capacities  Table[PipelineID, Capacity]

	Retries    Table[RetryKey, RetryWindow]
	Claims     Table[RequestID, Claim]
	HeldCalls  []RequestID              // calls that wait until they may be dispatched
	SeenClaims Table[string, SeenClaim] // by claim key
	Lease      Lease
	Gossip     Gossip

	FollowedTables Table[FollowedTableID, FollowedTable] // empty unless the platform pushes its tables
	Sources        Table[HostID, Source]
	Follow         FollowState

	EarliestDeadline time.Time // no Request.Deadline is earlier; zero if no request has one

	RetryBudget           float64           // of this host: retries earned less retries used; rockretry adds an allowance
	PrefixOrder           []uint64          // keys of Prefixes, oldest first
	CrashSuspectedServers []BackendServerID // backend servers whose CrashSuspectedAt is set

	Config        ConfigRow
	ConfigVersion uint64 // active at this host; 0 before the first
	ConfigState   ConfigState
	ListState     ListState
	Draining      bool      // graceful shutdown has begun
	StopSignalAt  time.Time // when the signal to stop arrived; zero before
	Ready         bool

	ChangeSeq uint64                     // rises with each change to report to peers
	Counters  map[rockreason.Code]uint64 // since the start

	// QueuesConfigVersion is the ConfigVersion for which the queues were last rebuilt.
	QueuesConfigVersion uint64

	// PreviousTickConfigVersion is ConfigVersion at the end of the last tick.
	PreviousTickConfigVersion uint64

	// CheckedCalls holds the application calls that arrived and are still held; the invariant claims uses it.
	CheckedCalls map[RequestID]bool

	names       names
	lastOp      uint64
	lastAttempt AttemptID
	wakeAt      time.Time
}

type names struct {
	hosts       map[string]HostID
	dataCentres map[string]DataCentreID
	servers     map[string]BackendServerID
	callers     map[string]CallerID
	ranks       map[string]RankID
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

// WithSeedPeers sets the addresses of peers that are contacted before the platform's list has been read.
func WithSeedPeers(addresses ...string) Option {
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

// NextChangeSeq returns the sequence number of a change to report to peers.
func (w *World) NextChangeSeq() uint64 {
	w.ChangeSeq++
	return w.ChangeSeq
}

// NextOp returns the number of a new operation on the table service.
func (w *World) NextOp() uint64 {
	w.lastOp++
	return w.lastOp
}

// NextAttempt returns the id of a new attempt.
func (w *World) NextAttempt() AttemptID {
	w.lastAttempt++
	return w.lastAttempt
}

// WakeAt requests a tick at t, unless an earlier one is requested already.
func (w *World) WakeAt(t time.Time) {
	if w.wakeAt.IsZero() || t.Before(w.wakeAt) {
		w.wakeAt = t
	}
}

// TakeWake returns the earliest time requested through WakeAt, or zero, and clears it.
func (w *World) TakeWake() time.Time {
	t := w.wakeAt
	w.wakeAt = time.Time{}
	return t
}

// LogChange records a change of state for the log.
func (w *World) LogChange(what, name, from, to string) {
	w.Outbox.Changes = append(w.Outbox.Changes, StateChange{What: what, Name: name, From: from, To: to})
}

// ConfiguredPipelines returns the pipelines that new requests may use.
func (w *World) ConfiguredPipelines() iter.Seq2[PipelineID, *Pipeline] {
	return func(yield func(PipelineID, *Pipeline) bool) {
		for id, p := range w.Pipelines.All() {
			if p.RemovedAt.IsZero() && !yield(id, p) {
				return
			}
		}
	}
}

// FullPathPipeline returns the pipeline of a request if its engines run all stages of a path themselves, or nil.
func (w *World) FullPathPipeline(r *Request) *Pipeline {
	if p := w.Pipelines.Get(r.Pipeline); p != nil && p.Config.Engine.RunsFullPath() {
		return p
	}
	return nil
}

// GraceEnd returns when the process is ended from outside. It is zero unless the host stops and knows its grace.
func (w *World) GraceEnd() time.Time {
	if w.StopSignalAt.IsZero() || w.Limits.StopGrace == 0 {
		return time.Time{}
	}
	return w.StopSignalAt.Add(w.Limits.StopGrace)
}

// SelfHost returns this host's row.
func (w *World) SelfHost() *Host { return w.Hosts.Get(w.Self) }
