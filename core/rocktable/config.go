package rocktable

import "time"

// Configuration is what operators put in force for the whole system.
type Configuration struct {
	Pipelines []PipelineConfig `json:"pipelines" validate:"dive"`
	Ranks     []RankConfig     `json:"ranks" validate:"required,min=1,max=8,dive"`
	Callers   []CallerConfig   `json:"callers" validate:"dive"`
	Services  []ServiceConfig  `json:"services" validate:"dive"`
	Drained   []string         `json:"drained,omitempty"` // names of backend servers that get no new work
}

// PipelineConfig carries one model over backend servers.
type PipelineConfig struct {
	Name       string      `json:"name" validate:"required,max=64"`
	Model      string      `json:"model" validate:"required,max=64"`
	Version    string      `json:"version" validate:"required,max=64"`
	Layers     int         `json:"layers" validate:"min=1,max=1024"`
	Placements []Placement `json:"placements,omitempty" validate:"dive"`
}

// Placement asks a backend server to hold a range of layers.
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
	Worth        float64 `json:"worth" validate:"gt=0"`
	Floor        float64 `json:"floor" validate:"min=0,max=0.5"` // share of tokens kept under a flood
	MaxQueue     int     `json:"maxQueue,omitempty" validate:"min=0,max=100000"`
}

// FirstToken returns the target for the time to the first token.
func (c RankConfig) FirstToken() time.Duration {
	return time.Duration(c.FirstTokenMs) * time.Millisecond
}

// Gap returns the target for the time between two tokens.
func (c RankConfig) Gap() time.Duration { return time.Duration(c.GapMs) * time.Millisecond }

// CallerConfig is an organisation, its token and its limits.
type CallerConfig struct {
	Name            string   `json:"name" validate:"required,max=64"`
	TokenSHA256     string   `json:"tokenSha256" validate:"required,len=64,hexadecimal"`
	Weight          float64  `json:"weight,omitempty" validate:"min=0,max=1000"` // 0 means 1
	TokensPerSecond float64  `json:"tokensPerSecond,omitempty" validate:"min=0"` // over all hosts; 0 means no limit
	Burst           float64  `json:"burst,omitempty" validate:"min=0"`           // tokens; 0 means 10 s of the limit
	Ranks           []string `json:"ranks,omitempty" validate:"max=8"`           // ranks it may use; empty means all
}

// ServiceConfig is an application or plain service and its backend servers.
type ServiceConfig struct {
	Name       string   `json:"name" validate:"required,max=64"`
	Servers    []string `json:"backendServers" validate:"required,min=1"`
	Idempotent bool     `json:"idempotent,omitempty"` // every method may be repeated
	TimeoutMs  int      `json:"timeoutMs,omitempty" validate:"min=0,max=600000"`
}

// ConfigRow is the configuration as stored in the table service; the row's version is the configuration's version.
type ConfigRow struct {
	ChangeID      string        `json:"changeId"`
	Configuration Configuration `json:"configuration"`
	// Earlier lists the last accepted changes, so that a lost answer can be settled after further changes.
	Earlier []AcceptedChange `json:"earlier,omitempty"`
}

// AcceptedChange is a change that was in force once.
type AcceptedChange struct {
	ChangeID string `json:"changeId"`
	Version  uint64 `json:"version"`
}

// LeaseRow is the lease of one data centre as stored in the table service.
type LeaseRow struct {
	Holder  string `json:"holder"` // host name and incarnation
	Fencing uint64 `json:"fencing"`
	Renewal uint64 `json:"renewal"` // rises with each renewal
	TTLMs   int    `json:"ttlMs"`
	Over    bool   `json:"over"` // given up by its holder
}

// ClaimRow is the claim of one application call as stored in the table service.
type ClaimRow struct {
	Attempt string `json:"attempt"`
	Digest  uint64 `json:"digest"`
	State   string `json:"state"` // claimed, released, recorded or unknown
	Status  int    `json:"status,omitempty"`
	Type    string `json:"type,omitempty"` // content type
	Body    []byte `json:"body,omitempty"`
}

// The values of ClaimRow.State.
const (
	ClaimRowClaimed  = "claimed"
	ClaimRowReleased = "released"
	ClaimRowRecorded = "recorded"
	ClaimRowUnknown  = "unknown"
)
