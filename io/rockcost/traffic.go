package rockcost

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockengine"
	"sassafrasrock/io/rockexchange"
	"sassafrasrock/io/rockstandin"
	"sassafrasrock/io/rocktraffic"
)

// trafficTimeout bounds a measurement of streams.
const trafficTimeout = 2 * time.Minute

// TrafficCost is the mean cost of one token on a path of three stages.
type TrafficCost struct {
	Tokens int
	// Cost includes the engines of the stand-in, which run in the same process.
	Cost Cost
}

// trafficRunner runs streams on a fixed path of engines without a control thread, whose cost is measured
// separately.
type trafficRunner struct {
	traffic     *rocktraffic.Traffic
	path        []rocktable.Stage
	lastRequest atomic.Uint64
	tokens      atomic.Int64
	failed      atomic.Int64
}

func newTrafficRunner(engine *rockengine.Engine, address func(stage int) string) *trafficRunner {
	r := &trafficRunner{}
	layersPerStage := layers / stages
	for i := range stages {
		r.path = append(r.path, rocktable.Stage{
			Server: rocktable.BackendServerID(i + 1), Address: address(i), FirstLayer: layersPerStage * i, LastLayer: layersPerStage*i + layersPerStage - 1,
		})
	}
	r.traffic = &rocktraffic.Traffic{
		HostIncarnation: "entry-1/1", Engine: engine,
		Exchanges: &rockexchange.Table{
			Post: r.post, NextRequestID: func() rocktable.RequestID { return rocktable.RequestID(r.lastRequest.Add(1)) },
		},
		Count: func(rockreason.Code) {},
		Now:   time.Now,
		Log:   slog.New(slog.DiscardHandler),
	}
	return r
}

// post replaces the control thread: it starts each arrival at once and answers each end.
func (r *trafficRunner) post(fill func(in *rocktable.Inbox)) {
	var in rocktable.Inbox
	fill(&in)
	var out rocktable.Outbox
	for _, a := range in.Arrivals {
		out.Starts = append(out.Starts, rocktable.Start{
			Request: a.Request.ID, Attempt: rocktable.AttemptID(a.Request.ID), Epoch: 1, Path: r.path,
			Pipeline:  rocktable.PipelineConfig{Name: "p", Model: "m", Version: "1", Layers: layers},
			StepLimit: trafficTimeout, FirstTokenLimit: trafficTimeout,
		})
	}
	for _, e := range in.AttemptsEnded {
		if e.Reason != "" {
			r.failed.Add(1)
		}
		out.Answers = append(out.Answers, rocktable.Answer{Request: rocktable.RequestID(e.Attempt), Reason: e.Reason})
	}
	r.traffic.Exchanges.Dispatch(out)
}

// runStream sends requests with one prompt, one after the other, until it has received a number of
// tokens.
func (r *trafficRunner) runStream(ctx context.Context, prompt string, tokens int) error {
	remaining := tokens
	for remaining > 0 {
		received := 0
		_, err := r.traffic.Chat(ctx, rocktraffic.ChatRequest{Prompt: prompt, MaxTokens: remaining}, func(rocktraffic.Token) error {
			received++
			return nil
		})
		if err != nil {
			return eris.Wrap(err, "run a stream")
		}
		if received == 0 {
			return eris.New("stream ended without a token")
		}
		r.tokens.Add(int64(received))
		remaining -= received
	}
	return nil
}

// run measures n parallel streams of a number of tokens each.
func (r *trafficRunner) run(n, tokens int) (TrafficCost, error) {
	ctx, cancel := context.WithTimeout(context.Background(), trafficTimeout)
	defer cancel()
	errs := make([]error, n)
	var group sync.WaitGroup
	start := readUsage()
	for i := range n {
		group.Go(func() { errs[i] = r.runStream(ctx, fmt.Sprintf("count the masts in harbour %d", i), tokens) })
	}
	group.Wait()
	total := int(r.tokens.Load())
	for _, err := range errs {
		if err != nil {
			return TrafficCost{}, err
		}
	}
	if failed := r.failed.Load(); failed > 0 {
		return TrafficCost{}, eris.Errorf("%d attempts failed", failed)
	}
	return TrafficCost{Tokens: total, Cost: start.since(total)}, nil
}

// MeasureTraffic measures n parallel streams over real sessions to three engines of the stand-in.
func MeasureTraffic(seed uint64, n, tokens int) (TrafficCost, error) {
	standin, err := rockstandin.Start(context.Background(), trafficSettings(seed, n))
	if err != nil {
		return TrafficCost{}, err
	}
	defer standin.Close()
	engine := rockengine.New()
	defer engine.Close()
	return newTrafficRunner(engine, func(i int) string { return standin.Address(stageName(i)) }).run(n, tokens)
}

func stageName(i int) string { return fmt.Sprintf("stage-%d", i) }

func trafficSettings(seed uint64, slots int) rockstandin.Settings {
	s := rockstandin.Settings{Seed: seed, Kinds: []rockstandin.KindSettings{{Name: "levanter", StepMs: 2}}}
	layersPerStage := layers / stages
	for i := range stages {
		s.Engines = append(s.Engines, rockstandin.EngineSettings{
			Name: stageName(i), DataCentre: "ga-west-a", Region: "ga-west", Kind: "levanter", Model: "m", Version: "1",
			FirstLayer: layersPerStage * i, LastLayer: layersPerStage*i + layersPerStage - 1, Layers: layers, Slots: slots, QueueSize: slots,
		})
	}
	return s
}

// MeasureRouter measures the same streams with engines that are function calls and exchange no messages.
// The result is the cost of io/rocktraffic alone.
func MeasureRouter(n, tokens int) (TrafficCost, error) {
	open := func(_ context.Context, _ string, req rockengine.OpenRequest) (*rockengine.Session, error) {
		position := 0
		activations := []uint64{1}
		step := func(_ context.Context, s rockengine.Step) (rockengine.StepReply, error) {
			position++
			return rockengine.StepReply{Epoch: req.Epoch, Index: s.Index, Position: position, Activations: activations, Token: 7, Text: "mast"}, nil
		}
		return &rockengine.Session{Step: step, Close: func() {}}, nil
	}
	return newTrafficRunner(&rockengine.Engine{Open: open}, stageName).run(n, tokens)
}
