package rocktable

import "time"

// Configuration is the configuration of the whole system, set by operators.
type Configuration struct {
	Pipelines []PipelineConfig `json:"pipelines" validate:"dive"`
	Ranks     []RankConfig     `json:"ranks" validate:"required,min=1,max=8,dive"`
	Callers   []CallerConfig   `json:"callers" validate:"dive"`
	Services  []ServiceConfig  `json:"services" validate:"dive"`
	Drained   []string         `json:"drained,omitempty"` // names of backend servers that receive no new work
	Routes    []RouteConfig    `json:"routes,omitempty"`  // for a front end that routes by host name and path

	RequestLimits RequestLimits `json:"requestLimits,omitzero"`
}

// RequestLimits bounds what callers may send and how long they may take. A zero field means the front end's own limit.
type RequestLimits struct {
	MaxHeadBytes  int64 `json:"maxHeadBytes,omitempty" validate:"min=0,max=1073741824"` // header fields, without the request line
	MaxBodyBytes  int64 `json:"maxBodyBytes,omitempty" validate:"min=0,max=1073741824"`
	HeadTimeoutMs int   `json:"headTimeoutMs,omitempty" validate:"min=0,max=86400000"` // from the first byte of a head to its end
	IdleTimeoutMs int   `json:"idleTimeoutMs,omitempty" validate:"min=0,max=86400000"` // of a connection between two requests
}

// HeadTimeout returns the longest time from the first byte of a head to its end, or 0.
func (l RequestLimits) HeadTimeout() time.Duration {
	return time.Duration(l.HeadTimeoutMs) * time.Millisecond
}

// IdleTimeout returns the time after which an idle connection is closed, or 0.
func (l RequestLimits) IdleTimeout() time.Duration {
	return time.Duration(l.IdleTimeoutMs) * time.Millisecond
}

// RouteConfig maps requests to a service or pipeline by host name and path.
type RouteConfig struct {
	Name       string        `json:"name"`
	Host       string        `json:"host"`
	Prefix     string        `json:"prefix"` // begins and ends with a slash; the longest match applies
	Targets    []RouteTarget `json:"targets"`
	Streaming  bool          `json:"streaming,omitempty"`  // the answer is a series of events
	Repeatable bool          `json:"repeatable,omitempty"` // a request may run more than once
	Resumable  bool          `json:"resumable,omitempty"`  // a stream may continue elsewhere after its last event
	Public     bool          `json:"public,omitempty"`     // needs no token
	Attempts   int           `json:"attempts"`             // backend servers to which one request may be sent
	TimeoutMs  int           `json:"timeoutMs"`            // to the end of the answer; 0 means no limit
	TargetMs   int           `json:"targetMs"`             // to the answer, or to the first event of a stream
	GapMs      int           `json:"gapMs,omitempty"`      // longest pause between two events that meets the target
	Priority   int           `json:"priority"`             // 0 is the most urgent
}

// Timeout returns the longest time to the end of an answer, or 0 for no limit.
func (c RouteConfig) Timeout() time.Duration { return time.Duration(c.TimeoutMs) * time.Millisecond }

// RouteTarget is a service or pipeline that receives a share of a route's requests.
type RouteTarget struct {
	Name   string `json:"name"`
	Weight int    `json:"weight"`
}

// PipelineConfig describes a model whose layers are spread over backend servers.
type PipelineConfig struct {
	Name       string      `json:"name" validate:"required,max=64"`
	Model      string      `json:"model" validate:"required,max=64"`
	Version    string      `json:"version" validate:"required,max=64"`
	Layers     int         `json:"layers" validate:"min=1,max=1024"`
	Placements []Placement `json:"placements,omitempty" validate:"dive"`

	// Engine describes engines that run all stages of a path themselves. Its zero value means engines that run one
	// stage for each session.
	Engine EngineConfig `json:"engine,omitzero"`
}

// EngineConfig holds the operators' figures for the engines of a pipeline. Durations apply to a backend server with
// pace 1 that runs all layers.
type EngineConfig struct {
	LayerMB       float64      `json:"layerMb"`       // memory for the weights of one layer
	TokenBytes    float64      `json:"tokenBytes"`    // memory for one token of a request over all layers
	StepMs        float64      `json:"stepMs"`        // duration of one token step
	SequenceMs    float64      `json:"sequenceMs"`    // added to a step for each request that generates
	ContextMs     float64      `json:"contextMs"`     // added to a step for each 1,000 tokens of each request's context
	ReadPerSecond float64      `json:"readPerSecond"` // rate at which prompts are read, in tokens
	ActivationMB  float64      `json:"activationMb"`  // transferred between two stages for one token
	LinkMbps      float64      `json:"pipeMbps"`      // between two data centres, for all requests; 0 means no limit
	StepsPerEvent int          `json:"stepsPerEvent"` // tokens in one event of a stream
	AnswerTokens  float64      `json:"answerTokens"`  // mean length of an answer
	PromptTokens  float64      `json:"promptTokens"`  // mean length of a prompt
	Kinds         []KindConfig `json:"kinds"`         // kinds of accelerators
}

// RunsFullPath reports whether the engines run all stages of a path themselves.
func (c EngineConfig) RunsFullPath() bool { return len(c.Kinds) > 0 }

// Kind returns the kind of accelerator with this name, and whether there is one.
func (c EngineConfig) Kind(name string) (KindConfig, bool) {
	for _, kind := range c.Kinds {
		if kind.Name == name {
			return kind, true
		}
	}
	return KindConfig{}, false
}

// KindConfig is a kind of accelerator.
type KindConfig struct {
	Name       string  `json:"name"`
	MemoryMB   float64 `json:"memoryMb"`   // for weights and requests
	Pace       float64 `json:"pace"`       // factor on the durations of steps and context
	ReadFactor float64 `json:"readFactor"` // factor on the duration of reading a prompt
}

// Placement assigns a range of layers to a backend server.
type Placement struct {
	Server     string `json:"backendServer" validate:"required,max=64"`
	Model      string `json:"-"`
	Version    string `json:"-"`
	FirstLayer int    `json:"firstLayer" validate:"min=0"`
	LastLayer  int    `json:"lastLayer" validate:"min=0"` // inclusive
	Adapter    string `json:"adapter,omitempty" validate:"max=64"`
}

// RankConfig is a class of work; the list of ranks is in order of urgency.
type RankConfig struct {
	Name         string  `json:"name" validate:"required,max=32"`
	FirstTokenMs int     `json:"firstTokenMs" validate:"min=1,max=86400000"`
	GapMs        int     `json:"gapMs" validate:"min=1,max=86400000"`
	Worth        float64 `json:"worth" validate:"gt=0"`          // of a token; a full host first sheds the rank with the least
	Floor        float64 `json:"floor" validate:"min=0,max=0.5"` // fraction of the tokens guaranteed under overload
	MaxQueue     int     `json:"maxQueue,omitempty" validate:"min=0,max=100000"`
}

// FirstTokenTarget returns the target for the time to the first token.
func (c RankConfig) FirstTokenTarget() time.Duration {
	return time.Duration(c.FirstTokenMs) * time.Millisecond
}

// GapTarget returns the target for the time between two tokens.
func (c RankConfig) GapTarget() time.Duration { return time.Duration(c.GapMs) * time.Millisecond }

// CallerConfig is an organisation, its token and its limits.
type CallerConfig struct {
	Name            string   `json:"name" validate:"required,max=64"`
	TokenSHA256     string   `json:"tokenSha256" validate:"required,len=64,hexadecimal"`
	MoreSHA256      []string `json:"-"`                                          // of further tokens, from a front end that knows several
	Priority        *int     `json:"-"`                                          // overrides a route's; nil means none
	Weight          float64  `json:"weight,omitempty" validate:"min=0,max=1000"` // 0 means 1
	TokensPerSecond float64  `json:"tokensPerSecond,omitempty" validate:"min=0"` // over all hosts; 0 means no limit
	Burst           float64  `json:"burst,omitempty" validate:"min=0"`           // tokens; 0 means 10 s of the limit
	Ranks           []string `json:"ranks,omitempty" validate:"max=8"`           // allowed ranks; empty means all
}

// ServiceConfig is an application or plain service and its backend servers.
type ServiceConfig struct {
	Name       string   `json:"name" validate:"required,max=64"`
	Servers    []string `json:"backendServers" validate:"required,min=1"`
	Idempotent bool     `json:"idempotent,omitempty"` // every method may be retried
	Listed     bool     `json:"-"`                    // its backend servers are those that the platform lists for it
	TimeoutMs  int      `json:"timeoutMs,omitempty" validate:"min=0,max=600000"`
}

// ConfigRow is the configuration as stored in the table service; the row's version is the configuration's version.
type ConfigRow struct {
	ChangeID      string        `json:"changeId"`
	Configuration Configuration `json:"configuration"`
	// Earlier lists the last accepted changes. It shows whether a change whose answer was lost took effect, also after
	// further changes.
	Earlier []AcceptedChange `json:"earlier,omitempty"`
}

// AcceptedChange is a change that was active at some time.
type AcceptedChange struct {
	ChangeID string `json:"changeId"`
	Version  uint64 `json:"version"`
}

// LeaseRow is the lease of one data centre as stored in the table service.
type LeaseRow struct {
	Holder   string `json:"holder"` // host name and incarnation
	Fencing  uint64 `json:"fencing"`
	Era      uint64 `json:"era,omitempty"` // of the table service when the lease was acquired; 0 if it has none
	Renewal  uint64 `json:"renewal"`       // rises with each renewal
	TTLMs    int    `json:"ttlMs"`
	Released bool   `json:"over"` // released by its holder
}

// PartsRow holds parts of prompts with crashes as stored in the table service.
type PartsRow struct {
	Parts []StoredPart `json:"parts"` // by ID
}

// StoredPart is a part of prompts with the crashes that count against it.
type StoredPart struct {
	ID      PartID   `json:"id"`
	Depth   int      `json:"depth"`
	Crashes []uint64 `json:"crashes"` // in ascending order
}

// ClaimRow is the claim of one application call as stored in the table service.
type ClaimRow struct {
	Attempt     string `json:"attempt"`
	Digest      uint64 `json:"digest"`
	State       string `json:"state"` // claimed, released, recorded or unknown
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// The values of ClaimRow.State.
const (
	ClaimRowClaimed  = "claimed"
	ClaimRowReleased = "released"
	ClaimRowRecorded = "recorded"
	ClaimRowUnknown  = "unknown"
)
