package rockstandin

import (
	"time"

	"sassafrasrock/core/rocktable"
)

// Settings is the content of the stand-in's settings file. A server without an address listens on a
// loopback port that the kernel assigns.
type Settings struct {
	Control      string                `json:"control,omitempty" validate:"omitempty,hostname_port"`
	Seed         uint64                `json:"seed,omitempty"`
	Platform     PlatformSettings      `json:"platform"`
	Engine       EngineTiming          `json:"engine"`
	Kinds        []KindSettings        `json:"kinds" validate:"dive"`
	Engines      []EngineSettings      `json:"engines" validate:"dive"`
	Applications []ApplicationSettings `json:"applications" validate:"dive"`
}

// PlatformSettings configures the host list, the table service and the object store.
type PlatformSettings struct {
	Address         string                 `json:"address,omitempty" validate:"omitempty,hostname_port"`
	ListLagMs       int                    `json:"listLagMs,omitempty" validate:"min=0,max=600000"`
	ReadMs          float64                `json:"readMs,omitempty" validate:"min=0,max=60000"`
	WriteMs         float64                `json:"writeMs,omitempty" validate:"min=0,max=60000"`
	ReadsPerSecond  float64                `json:"readsPerSecond,omitempty" validate:"min=0"`  // 0 means no limit
	WritesPerSecond float64                `json:"writesPerSecond,omitempty" validate:"min=0"` // 0 means no limit
	Hosts           []rocktable.ListedHost `json:"hosts,omitempty" validate:"dive"`            // listed besides the engines and applications
}

// EngineTiming configures the delays of every engine and the loss of its cache events.
type EngineTiming struct {
	ReportLagMs  int     `json:"reportLagMs,omitempty" validate:"min=0,max=60000"`
	EventDelayMs int     `json:"eventDelayMs,omitempty" validate:"min=0,max=60000"`
	EventGaps    float64 `json:"eventGaps,omitempty" validate:"min=0,max=1"` // fraction of cache events that are never published
	RestartMs    int     `json:"restartMs,omitempty" validate:"min=0,max=600000"`
	OrderMs      int     `json:"loadMs,omitempty" validate:"min=0,max=600000"`
	// ResumeMs is the time for which a session is kept after its stream was lost; 0 means 5000.
	ResumeMs int `json:"resumeMs,omitempty" validate:"min=0,max=600000"`
}

// KindSettings describes one kind of accelerator. A batch takes StepMs, plus PerSessionMs for each
// session after the first, plus PrefillMs for each position of a step that computes more than one.
type KindSettings struct {
	Name         string  `json:"name" validate:"required,max=64"`
	StepMs       float64 `json:"stepMs" validate:"min=0,max=60000"`
	PerSessionMs float64 `json:"perSessionMs,omitempty" validate:"min=0,max=60000"`
	PrefillMs    float64 `json:"prefillMs,omitempty" validate:"min=0,max=60000"`
}

// EngineSettings describes one model engine.
type EngineSettings struct {
	Name          string `json:"name" validate:"required,max=64"`
	Address       string `json:"address,omitempty" validate:"omitempty,hostname_port"`
	DataCentre    string `json:"dataCentre" validate:"required,max=64"`
	Region        string `json:"region" validate:"required,max=64"`
	Kind          string `json:"kind" validate:"required,max=64"`
	Model         string `json:"model" validate:"max=64"`
	Version       string `json:"version" validate:"max=64"`
	FirstLayer    int    `json:"firstLayer" validate:"min=0"`
	LastLayer     int    `json:"lastLayer" validate:"min=0"` // inclusive
	Layers        int    `json:"layers" validate:"min=1"`    // of the complete model
	Slots         int    `json:"slots" validate:"min=1,max=4096"`
	QueueSize     int    `json:"queue,omitempty" validate:"min=0,max=65536"`        // sessions that may wait for a slot
	CacheBlocks   int    `json:"cacheBlocks,omitempty" validate:"min=0,max=100000"` // capacity of the prefix cache, in blocks
	ChecksFencing bool   `json:"checksFencing,omitempty"`
	NoResume      bool   `json:"noResume,omitempty"` // a session ends when its stream is lost
}

// ApplicationSettings describes one application server.
type ApplicationSettings struct {
	Name       string  `json:"name" validate:"required,max=64"`
	Address    string  `json:"address,omitempty" validate:"omitempty,hostname_port"`
	DataCentre string  `json:"dataCentre" validate:"required,max=64"`
	Region     string  `json:"region" validate:"required,max=64"`
	CallMs     float64 `json:"runMs,omitempty" validate:"min=0,max=600000"`
}

// defaultResumeMs gives a router time to detect a silent connection by a ping (2 s) and to resume the
// session on another one.
const defaultResumeMs = 5000

// resumeTime returns the time for which a session is kept after its stream was lost.
func (t EngineTiming) resumeTime() time.Duration {
	if t.ResumeMs == 0 {
		return milliseconds(defaultResumeMs)
	}
	return milliseconds(t.ResumeMs)
}

// milliseconds returns n ms as a duration.
func milliseconds[N int | float64](n N) time.Duration {
	return time.Duration(float64(n) * float64(time.Millisecond))
}
