package rocktick_test

import (
	"fmt"

	"sassafrasrock/core/rocktable"
)

// newFullPathWorld returns a World of the host entry-I, whose platform pushes its lists, with the pipeline pool of engines
// that run a full path, and the caller guild.
func newFullPathWorld(i int) *rocktable.World {
	limits := rocktable.DefaultLimits()
	limits.PlatformPushes = true
	name := fmt.Sprintf("entry-%d", i)
	w := rocktable.NewWorld(start, rocktable.Host{Name: name, Address: name}, rocktable.DataCentre{Name: "yoff"}, uint64(i+1), rocktable.WithLimits(limits))
	w.Ready = true
	w.InternPipeline("pool").Config = rocktable.PipelineConfig{Name: "pool", Model: "m", Layers: 8, Engine: rocktable.EngineConfig{
		LayerMB: 1, TokenBytes: 1, StepMs: 1, ReadPerSecond: 1e6, ActivationMB: 0.01, LinkMbps: 13000, AnswerTokens: 10, PromptTokens: 500,
		Kinds: []rocktable.KindConfig{{Name: "k", MemoryMB: 80000, Pace: 1, ReadFactor: 1}},
	}}
	w.InternCaller("guild").Config = rocktable.CallerConfig{Name: "guild"}
	return w
}

// addFullPathServer adds a live backend server that holds all layers of the pipeline.
func addFullPathServer(w *rocktable.World, name string) {
	s := w.InternServer(name)
	s.Address, s.DataCentre, s.ListedService, s.Kind, s.State, s.Listed = name, w.SelfHost().DataCentre, "pool", "k", rocktable.StateLive, true
	s.Status = rocktable.EngineStatus{Model: "m", Kind: "k", Slots: 4000, LastLayer: 7, SubRanges: true, Incarnation: 1}
	s.Incarnation = 1
}
