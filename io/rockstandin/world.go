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

// CallID identifies the execution of an application call and is never reused.
type CallID uint64

// RowKey identifies a row of the table service.
type RowKey struct {
	Table string
	Key   string
}

// ImportKey identifies an imported KV cache whose session has not been opened yet.
type ImportKey struct {
	Engine  string
	Request string
	Epoch   uint32
}

// System is one step of a tick.
type System struct {
	Name        string
	Description string
	Run         func(now time.Time, w *World)
}

// Systems lists every system in the order in which a tick runs them.
var Systems = []System{
	{Name: "faults", Description: "Sets and lifts faults, and lifts those whose time has expired.", Run: runFaults},
	{Name: "servers", Description: "Restarts stopped servers when their restart is due.", Run: runServers},
	{Name: "sessions", Description: "Opens, closes, resumes, exports and imports sessions, and queues their steps.", Run: runSessions},
	{Name: "orders", Description: "Accepts orders and completes them after their duration.", Run: runOrders},
	{Name: "batches", Description: "Completes batches and forms new ones.", Run: runBatches},
	{Name: "reports", Description: "Publishes the load of engines after the report lag.", Run: runReports},
	{Name: "calls", Description: "Executes application calls.", Run: runCalls},
	{Name: "platform", Description: "Executes operations on rows and objects, and versions the host list.", Run: runPlatform},
	{Name: "queries", Description: "Answers queries of the state.", Run: runQueries},
}

// World is the state of the stand-in. After Start only the control thread accesses it.
type World struct {
	Inbox  Inbox
	Outbox Outbox
	Rand   *rand.Rand

	Settings Settings
	Kinds    rocktable.Table[string, KindSettings]
	Servers  rocktable.Table[string, Server]
	Engines  rocktable.Table[string, Engine]
	Sessions rocktable.Table[SessionID, Session]
	LostAt   rocktable.Table[SessionID, time.Time] // time at which the session lost its stream
	Imports  rocktable.Table[ImportKey, KVCache]
	Rows     rocktable.Table[RowKey, StoredRow]
	Objects  rocktable.Table[string, []byte]
	Hosts    rocktable.Table[string, rocktable.ListedHost]
	Calls    rocktable.Table[CallID, PendingCall]
	Squares  rocktable.Table[string, int64]
	Orders   rocktable.Table[string, OrderBody]
	Requests rocktable.Table[string, RequestCount]
	Runs     rocktable.Table[string, int] // executions of application calls by idempotency key
	Platform PlatformState

	lastCall CallID
	wakeAt   time.Time
}

// Inbox holds the events of one tick, one slice for each type. The Reply functions must not block.
type Inbox struct {
	Opens       []OpenEvent
	Steps       []StepEvent
	Closes      []SessionID // sessions that the router canceled
	LostStreams []SessionID // sessions whose connection was lost
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

// Outbox holds the actions of one tick on the servers' sockets.
type Outbox struct {
	Sockets []SocketAction
}

// SocketAction changes the behaviour of a server's sockets.
type SocketAction struct {
	Server string
	Change SocketChange
	Delay  time.Duration // only for SocketDelay
}

// SocketChange is the kind of a SocketAction.
type SocketChange uint8

// The changes of a server's sockets.
const (
	SocketClose  SocketChange = iota // reset all connections and close the port
	SocketOpen                       // open the port again
	SocketFreeze                     // stop reading and writing without losing data
	SocketThaw
	SocketCut       // discard the traffic of all open and new connections
	SocketHeal      // end SocketCut and reset the connections that it affected
	SocketBlackhole // discard the traffic of the open connections until they are closed
	SocketReset     // reset the open connections
	SocketDelay     // delay each request and each reply to a step
)

// OpenEvent opens or resumes a session; it is the first line of a session's stream.
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

// ExportEvent requests the KV cache of a session. The reply is empty if there is no such session.
type ExportEvent struct {
	Engine   string
	Transfer rockengine.CacheTransfer
	Reply    func(rockengine.CacheTransfer)
}

// ImportEvent stores the KV cache of a session that will be opened. The reply is empty on success, and
// otherwise the reason of the refusal.
type ImportEvent struct {
	Engine   string
	Transfer rockengine.CacheTransfer
	Reply    func(refusal string)
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

// RowReply is the result of a RowEvent.
type RowReply struct {
	Status     int // HTTP status
	Row        rockplatform.Row
	DropAnswer bool   // abort the request instead of answering
	RawAnswer  string // sent instead of the answer unless empty
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

// CallReply is the result of a CallEvent.
type CallReply struct {
	Status     int
	Body       any
	DropAnswer bool   // abort the request instead of answering
	RawAnswer  string // sent instead of the answer unless empty
}

// HostEvent adds, replaces or removes a host of the platform's list.
type HostEvent struct {
	Host   rocktable.ListedHost
	Remove bool
	Reply  func()
}

// Server is the state of the process of the platform, an engine or an application server.
type Server struct {
	Name         string
	Role         string // platform, model or application
	Address      string
	DataCentre   string
	Region       string
	Incarnation  uint64
	Down         bool
	RestartAt    time.Time // zero while no restart is planned
	LeavingSince time.Time // zero if the server is not leaving
	Faults       map[string]ActiveFault
	CallMs       float64 // duration of a call, for application servers
	Crashes      int
}

// ActiveFault is a fault in effect.
type ActiveFault struct {
	Fault     Fault
	Until     time.Time // zero if it has no end
	TimesLeft int       // remaining activations; 0 means no limit
}

// Engine is a model engine.
type Engine struct {
	Name           string
	Settings       EngineSettings
	Adapter        string
	Role           string
	Fencing        uint64   // highest number accepted, by engines that check it
	MaxFencingSeen uint64   // highest number received, to count stale orders
	Seeds          []uint64 // of the loaded layers, see layerSeeds

	Batch        []SessionID
	BatchEnd     time.Time
	PendingOrder *OrderEvent
	OrderEnd     time.Time

	Cache     rocktable.Table[uint64, CacheBlock]
	CacheTick uint64
	Events    []DelayedEvent
	LastEvent uint64

	Load         Load
	ReportedLoad Load // as last published; follows Load with a lag
	ReportedAt   time.Time
	Count        EngineCount
}

// Load is the number of sessions of an engine.
type Load struct {
	Active int // sessions with a slot
	Queued int // sessions that wait for a slot
}

// CacheBlock is a block of the prefix cache.
type CacheBlock struct {
	Layers      []uint64 // KV cache after the block's last position
	Activations []uint64 // outputs of the block's positions
	Prefix      uint64   // hash that identifies the block in cache events
	LastUsed    uint64   // CacheTick at the last use
}

// DelayedEvent is a cache event that is published from a later time on.
type DelayedEvent struct {
	Event rockengine.CacheEvent
	At    time.Time
}

// KVCache is the KV cache of a session, as it is exported and imported.
type KVCache struct {
	Model      string   `json:"model"`
	Version    string   `json:"version"`
	FirstLayer int      `json:"firstLayer"`
	LastLayer  int      `json:"lastLayer"` // inclusive
	Layers     []uint64 `json:"layers"`
	Position   int      `json:"position"`
	Digest     uint64   `json:"digest"` // of all inputs so far
}

// Session is an open session of an engine.
type Session struct {
	ID       SessionID
	Engine   string
	Request  rockengine.OpenRequest
	KV       KVCache
	HasSlot  bool // otherwise the session waits for one
	Steps    int
	Pending  *PendingStep
	LastStep *CompletedStep // nil before the first step has completed
}

// CompletedStep is the last completed step of a session. Its reply is kept for a router that did not
// receive it and retries the step.
type CompletedStep struct {
	Step  rockengine.Step
	Reply rockengine.StepReply
}

// PendingStep is a step that waits for a batch or runs in one.
type PendingStep struct {
	Event        StepEvent
	Inputs       []uint64
	PrefixHashes []uint64 // of the prompt's blocks
	Cached       int      // positions found in the prefix cache
	KV           KVCache  // after the positions computed so far
	Activations  []uint64 // of the cached positions
	InBatch      bool
}

// StoredRow is a row of the table service with its previous state, which FaultOldReads returns.
type StoredRow struct {
	Value     json.RawMessage
	Version   uint64
	Previous  rockplatform.Row
	ChangedAt time.Time
}

// PlatformState is the state of the platform besides its rows.
type PlatformState struct {
	HostLists    []ListVersion // oldest first
	HostsChanged bool          // the World's Hosts changed since the last list version
	Reads        *rate.Limiter
	Writes       *rate.Limiter
	Count        PlatformCount
}

// ListVersion is the host list as it was from a point in time until the next version.
type ListVersion struct {
	From  time.Time
	Hosts []rocktable.ListedHost
}

// PendingCall is an application call that is being executed.
type PendingCall struct {
	Event CallEvent
	End   time.Time
}

// OrderBody is the body of a POST to /orders.
type OrderBody struct {
	Item     string `json:"item"`
	Quantity int    `json:"quantity"`
}

// Tick runs every system once over the events in the inbox. It returns the actions and the time at
// which the next tick is due, which is zero if nothing is scheduled.
func Tick(now time.Time, w *World) (Outbox, time.Time) {
	w.Outbox, w.wakeAt = Outbox{}, time.Time{}
	for _, s := range Systems {
		s.Run(now, w)
	}
	w.Inbox = Inbox{}
	return w.Outbox, w.wakeAt
}

// WakeAt schedules the next tick for t, unless it is already due earlier.
func (w *World) WakeAt(t time.Time) {
	if w.wakeAt.IsZero() || t.Before(w.wakeAt) {
		w.wakeAt = t
	}
}

func (w *World) changeSockets(server string, change SocketChange, delay time.Duration) {
	w.Outbox.Sockets = append(w.Outbox.Sockets, SocketAction{Server: server, Change: change, Delay: delay})
}

func runQueries(now time.Time, w *World) {
	for _, query := range w.Inbox.Queries {
		query(now, w)
	}
}
