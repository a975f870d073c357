package rockstandin

import (
	"time"

	"sassafrasrock/core/rocktable"
)

// Settings is the file of the stand-in; an empty address is a loopback port from the kernel.
type Settings struct {
	Control      string                `json:"control,omitempty" validate:"omitempty,hostname_port"`
	Seed         uint64                `json:"seed,omitempty"`
	Platform     PlatformSettings      `json:"platform"`
	Engine       EngineTimes           `json:"engine"`
	Kinds        []KindSettings        `json:"kinds" validate:"dive"`
	Engines      []EngineSettings      `json:"engines" validate:"dive"`
	Applications []ApplicationSettings `json:"applications" validate:"dive"`
}

// PlatformSettings describe the host list, the table service and the object store.
type PlatformSettings struct {
	Address         string                 `json:"address,omitempty" validate:"omitempty,hostname_port"`
	ListLagMs       int                    `json:"listLagMs,omitempty" validate:"min=0,max=600000"`
	ReadMs          float64                `json:"readMs,omitempty" validate:"min=0,max=60000"`
	WriteMs         float64                `json:"writeMs,omitempty" validate:"min=0,max=60000"`
	ReadsPerSecond  float64                `json:"readsPerSecond,omitempty" validate:"min=0"`  // 0 means no limit
	WritesPerSecond float64                `json:"writesPerSecond,omitempty" validate:"min=0"` // 0 means no limit
	Hosts           []rocktable.ListedHost `json:"hosts,omitempty" validate:"dive"`            // listed besides the engines and applications
}

// EngineTimes hold for every engine.
type EngineTimes struct {
	ReportLagMs  int     `json:"reportLagMs,omitempty" validate:"min=0,max=60000"`
	EventDelayMs int     `json:"eventDelayMs,omitempty" validate:"min=0,max=60000"`
	EventGaps    float64 `json:"eventGaps,omitempty" validate:"min=0,max=1"` // share of cache events that are never published
	RestartMs    int     `json:"restartMs,omitempty" validate:"min=0,max=600000"`
	LoadMs       int     `json:"loadMs,omitempty" validate:"min=0,max=600000"`   // time that an order takes
	ResumeMs     int     `json:"resumeMs,omitempty" validate:"min=0,max=600000"` // time for which a session whose stream was lost is kept; 0 means 5000
}

// KindSettings describe one kind of accelerator; a batch takes step + perSession for each session + prefill for each position of a prefill.
type KindSettings struct {
	Name         string  `json:"name" validate:"required,max=64"`
	StepMs       float64 `json:"stepMs" validate:"min=0,max=60000"`
	PerSessionMs float64 `json:"perSessionMs,omitempty" validate:"min=0,max=60000"`
	PrefillMs    float64 `json:"prefillMs,omitempty" validate:"min=0,max=60000"`
}

// EngineSettings describe one model engine.
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
	Layers        int    `json:"layers" validate:"min=1"`    // of the whole model
	Slots         int    `json:"slots" validate:"min=1,max=4096"`
	Queue         int    `json:"queue,omitempty" validate:"min=0,max=65536"`        // sessions that may wait for a slot
	CacheBlocks   int    `json:"cacheBlocks,omitempty" validate:"min=0,max=100000"` // blocks of the prefix cache
	ChecksFencing bool   `json:"checksFencing,omitempty"`
	NoResume      bool   `json:"noResume,omitempty"` // a session ends with its stream
}

// ApplicationSettings describe one application server.
type ApplicationSettings struct {
	Name       string  `json:"name" validate:"required,max=64"`
	Address    string  `json:"address,omitempty" validate:"omitempty,hostname_port"`
	DataCentre string  `json:"dataCentre" validate:"required,max=64"`
	Region     string  `json:"region" validate:"required,max=64"`
	RunMs      float64 `json:"runMs,omitempty" validate:"min=0,max=600000"`
}

// defaultResumeMs covers a ping of a silent connection (2 s) and a resumption after it.
const defaultResumeMs = 5000

// resumeTime returns the time for which a session whose stream was lost is kept.
func (t EngineTimes) resumeTime() time.Duration {
	if t.ResumeMs == 0 {
		return milliseconds(defaultResumeMs)
	}
	return milliseconds(t.ResumeMs)
}

// milliseconds returns a duration of n ms.
func milliseconds[N int | float64](n N) time.Duration {
	return time.Duration(float64(n) * float64(time.Millisecond))
}
