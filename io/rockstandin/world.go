package rockstandin

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockengine"
	"sassafrasrock/io/rockplatform"
)

// SessionID identifies a session and is never reused.
type SessionID uint64

// CallID identifies a run of an application call and is never reused.
type CallID uint64

// RowKey identifies a row of the table service.
type RowKey struct {
	Table string
	Key   string
}

// ImportKey identifies imported KV cache that waits for its session.
type ImportKey struct {
	Engine  string
	Request string
	Epoch   uint32
}

// System is one step of a tick.
type System struct {
	Name string
	Doc  string
	Run  func(now time.Time, w *World)
}

// Systems lists every system in the order in which a tick runs them.
var Systems = []System{
	{Name: "faults", Doc: "Switches faults and ends those whose time is over.", Run: runFaults},
	{Name: "servers", Doc: "Stops crashed servers and restarts them.", Run: runServers},
	{Name: "sessions", Doc: "Opens, closes and moves sessions and takes their steps.", Run: runSessions},
	{Name: "orders", Doc: "Takes orders and completes them after their time.", Run: runOrders},
	{Name: "batches", Doc: "Completes batches and forms new ones.", Run: runBatches},
	{Name: "reports", Doc: "Publishes load and cache events after their lag.", Run: runReports},
	{Name: "calls", Doc: "Runs application calls.", Run: runCalls},
	{Name: "platform", Doc: "Runs operations on rows and objects, and keeps the host list.", Run: runPlatform},
	{Name: "queries", Doc: "Answers questions about the state.", Run: runQueries},
}

// World is the state of the stand-in; only its control thread writes it.
type World struct {
	Inbox  Inbox
	Outbox Outbox
	Rand   *rand.Rand

	Settings Settings
	Kinds    rocktable.Table[string, KindSettings]
	Servers  rocktable.Table[string, Server]
	Engines  rocktable.Table[string, Engine]
	Sessions rocktable.Table[SessionID, Session]
	LostAt   rocktable.Table[SessionID, time.Time] // since when a session has no stream
	Imports  rocktable.Table[ImportKey, KVCache]
	Rows     rocktable.Table[RowKey, StoredRow]
	Objects  rocktable.Table[string, []byte]
	Hosts    rocktable.Table[string, rocktable.ListedHost]
	Calls    rocktable.Table[CallID, PendingCall]
	Squares  rocktable.Table[string, int64]
	Orders   rocktable.Table[string, OrderBody]
	Requests rocktable.Table[string, RequestCount]
	Runs     rocktable.Table[string, int] // application runs by idempotency key
	Platform PlatformState

	lastCall CallID
	wakeAt   time.Time
}

// Inbox holds the events of one tick, one slice for each type; the Reply functions must not block.
type Inbox struct {
	Opens       []OpenEvent
	Steps       []StepEvent
	Closes      []SessionID // canceled by the router
	LostStreams []SessionID // the connection was lost
	Exports     []ExportEvent
	Imports     []ImportEvent
	Orders      []OrderEvent
	Rows        []RowEvent
	Objects     []ObjectEvent
	Calls       []CallEvent
	Faults      []FaultEvent
	Hosts       []HostEvent
	Queries     []func(now time.Time, w *World)
}

// Outbox holds the actions that a tick decided on for the servers' sockets.
type Outbox struct {
	Sockets []SocketAction
}

// SocketAction changes how the sockets of a server behave.
type SocketAction struct {
	Server string
	Change SocketChange
	Delay  time.Duration // for GateDelay
}

// SocketChange is the kind of a GateAction.
type SocketChange uint8

// The changes of a server's sockets.
const (
	SocketClose  SocketChange = iota // reset all connections and close the port
	SocketOpen                       // open the port again
	SocketFreeze                     // stop reading and writing, and keep what is under way
	SocketThaw
	SocketCut       // drop everything in both directions
	SocketHeal      // end GateCut and reset the connections that it affected
	SocketBlackhole // drop everything on the connections that are open now, for good
	SocketReset     // reset the connections that are open now
	SocketDelay     // delay each answer
)

// OpenEvent is the first line of a session.
type OpenEvent struct {
	Engine  string
	Session SessionID
	Request rockengine.OpenRequest
	Reply   func(rockengine.OpenReply)
}

// StepEvent is a step of a session.
type StepEvent struct {
	Session SessionID
	Step    rockengine.Step
	Reply   func(rockengine.StepReply)
}

// ExportEvent asks for the KV cache of a session; the reply is empty if there is no such session.
type ExportEvent struct {
	Engine string
	Move   rockengine.Move
	Reply  func(rockengine.Move)
}

// ImportEvent stores the KV cache of a session that is to be opened; the reply is empty or says why it was refused.
type ImportEvent struct {
	Engine string
	Move   rockengine.Move
	Reply  func(refusal string)
}

// OrderEvent is an order to an engine.
type OrderEvent struct {
	Engine string
	Order  rockengine.OrderRequest
	Reply  func(rockengine.OrderReply)
}

// RowEvent reads a row, or writes it if Put is set.
type RowEvent struct {
	Key   RowKey
	Put   *rockplatform.PutRequest
	Reply func(RowReply)
}

// RowReply is the end of a RowEvent.
type RowReply struct {
	Status     int // HTTP status
	Row        rockplatform.Row
	DropAnswer bool // the answer is to be lost
	Delay      time.Duration
}

// ObjectEvent reads an object, or writes it if Write is set.
type ObjectEvent struct {
	Name  string
	Write bool
	Body  []byte
	Reply func(body []byte, ok bool)
}

// CallEvent is a call to an application server.
type CallEvent struct {
	Server string
	Key    string // idempotency key
	Method string
	Path   string
	Body   []byte
	Reply  func(CallReply)
}

// CallReply is the end of a CallEvent.
type CallReply struct {
	Status     int
	Body       any
	DropAnswer bool // the answer is to be lost
}

// HostEvent adds or replaces a host of the platform's list, or removes it.
type HostEvent struct {
	Host   rocktable.ListedHost
	Remove bool
	Reply  func()
}

// Server is the process and the sockets of the platform, an engine or an application server.
type Server struct {
	Name         string
	Role         string // platform, model or application
	Address      string
	DataCentre   string
	Region       string
	Incarnation  uint64
	Down         bool
	RestartAt    time.Time // zero while no restart is planned
	LeavingSince time.Time // zero while it is not leaving
	Faults       map[string]ActiveFault
	CallMs       float64 // ms that a call takes, for application servers
	Crashes      int
}

// ActiveFault is a fault that is in effect.
type ActiveFault struct {
	Fault     Fault
	Until     time.Time // zero if it has no end
	TimesLeft int       // times it still strikes; 0 if it is not counted
}

// Engine is a model engine.
type Engine struct {
	Name           string
	Settings       EngineSettings
	Adapter        string
	Role           string
	Fencing        uint64 // highest seen, by engines that check it
	MaxFencingSeen uint64 // highest seen, as a witness
	Seeds          []uint64

	Batch        []SessionID
	BatchEnd     time.Time
	PendingOrder *OrderEvent
	OrderEnd     time.Time

	Cache     rocktable.Table[uint64, CacheBlock]
	CacheTick uint64
	Events    []DelayedEvent
	LastEvent uint64

	Load         Load
	ReportedLoad Load // published with a lag
	ReportedAt   time.Time
	Count        EngineCount
}

// Load is the number of sessions of an engine.
type Load struct {
	Active int // have a slot
	Queued int // wait for a slot
}

// CacheBlock is a block of the prefix cache: the KV cache after it and the activations of its positions.
type CacheBlock struct {
	Layers      []uint64
	Activations []uint64
	Prefix      uint64 // as named in cache events
	LastUsed    uint64 // CacheTick of the last use
}

// DelayedEvent is a cache event and the time from which it is published.
type DelayedEvent struct {
	Event rockengine.CacheEvent
	At    time.Time
}

// KVCache is the state of a session.
type KVCache struct {
	Model      string   `json:"model"`
	Version    string   `json:"version"`
	FirstLayer int      `json:"firstLayer"`
	LastLayer  int      `json:"lastLayer"` // inclusive
	Layers     []uint64 `json:"layers"`
	Position   int      `json:"position"`
	Digest     uint64   `json:"digest"` // of every input so far
}

// Session is an open session of an engine.
type Session struct {
	ID       SessionID
	Engine   string
	Request  rockengine.OpenRequest
	KV       KVCache
	HasSlot  bool // has a slot
	Steps    int
	Pending  *PendingStep
	LastStep *CompletedStep // nil before the first step has run
}

// CompletedStep is the last step of a session that has run, kept with its answer for a router that did not receive it.
type CompletedStep struct {
	Step  rockengine.Step
	Reply rockengine.StepReply
}

// PendingStep is a step that waits for its batch or runs in it.
type PendingStep struct {
	Event        StepEvent
	Inputs       []uint64
	PrefixHashes []uint64 // hashes of the prompt's blocks
	Cached       int      // positions found in the prefix cache
	KV           KVCache  // after the cached positions
	Activations  []uint64 // activations of the cached positions
	InBatch      bool
}

// StoredRow is a row of the table service with its last state before the present one.
type StoredRow struct {
	Value     json.RawMessage
	Version   uint64
	Previous  rockplatform.Row
	ChangedAt time.Time
}

// PlatformState is the state of the platform besides its rows.
type PlatformState struct {
	HostLists    []ListVersion // oldest first
	HostsChanged bool          // Hosts changed since the last list version
	Reads        *rate.Limiter
	Writes       *rate.Limiter
	Count        PlatformCount
}

// ListVersion is the host list as it was from a time on.
type ListVersion struct {
	From  time.Time
	Hosts []rocktable.ListedHost
}

// PendingCall is an application call whose run has begun.
type PendingCall struct {
	Event CallEvent
	End   time.Time
}

// OrderBody is the body of a POST to /orders.
type OrderBody struct {
	Item     string `json:"item"`
	Quantity int    `json:"quantity"`
}

// Tick runs every system once over the events in the inbox and returns the actions and the next deadline.
func Tick(now time.Time, w *World) (Outbox, time.Time) {
	w.Outbox, w.wakeAt = Outbox{}, time.Time{}
	for _, s := range Systems {
		s.Run(now, w)
	}
	w.Inbox = Inbox{}
	return w.Outbox, w.wakeAt
}

// WakeAt asks for a tick at t, if none comes earlier.
func (w *World) WakeAt(t time.Time) {
	if w.wakeAt.IsZero() || t.Before(w.wakeAt) {
		w.wakeAt = t
	}
}

func (w *World) changeSockets(server string, do SocketChange, delay time.Duration) {
	w.Outbox.Sockets = append(w.Outbox.Sockets, SocketAction{Server: server, Change: do, Delay: delay})
}

func runQueries(now time.Time, w *World) {
	for _, query := range w.Inbox.Queries {
		query(now, w)
	}
}
