package rockcost

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockengine"
	"sassafrasrock/io/rockstandin"
	"sassafrasrock/io/rocktraffic"
)

// trafficLimit bounds a measure of streams.
const trafficLimit = 2 * time.Minute

// TrafficCost is what one token over three stages takes.
type TrafficCost struct {
	Tokens int
	// Cost is that of the router and the stand-in's three engines together, which share the process.
	Cost Cost
}

// trafficRig joins streams to engines without a control thread, whose costs are measured apart.
type trafficRig struct {
	traffic *rocktraffic.Traffic
	path    []rocktable.Stage
	next    atomic.Uint64
	tokens  atomic.Int64
	lost    atomic.Int64
}

func newTrafficRig(engine *rockengine.Engine, address func(stage int) string) *trafficRig {
	r := &trafficRig{}
	each := layers / stages
	for i := range stages {
		r.path = append(r.path, rocktable.Stage{
			Server: rocktable.BackendServerID(i + 1), Address: address(i), FirstLayer: each * i, LastLayer: each*i + each - 1,
		})
	}
	r.traffic = &rocktraffic.Traffic{
		Host: "entry-1/1", Engine: engine, Post: r.post,
		NextRequest: func() rocktable.RequestID { return rocktable.RequestID(r.next.Add(1)) },
		Count:       func(rockreason.Code) {},
		Now:         time.Now,
	}
	return r
}

// post starts each arrival at once and answers each end.
func (r *trafficRig) post(fill func(in *rocktable.Inbox)) {
	var in rocktable.Inbox
	fill(&in)
	var out rocktable.Outbox
	for _, a := range in.Arrivals {
		out.Starts = append(out.Starts, rocktable.Start{
			Request: a.Request.ID, Attempt: rocktable.AttemptID(a.Request.ID), Epoch: 1, Path: r.path,
			Pipeline:  rocktable.PipelineConfig{Name: "p", Model: "m", Version: "1", Layers: layers},
			StepLimit: trafficLimit, FirstTokenLimit: trafficLimit,
		})
	}
	for _, e := range in.Ended {
		if e.Reason != "" {
			r.lost.Add(1)
		}
		out.Answers = append(out.Answers, rocktable.Answer{Request: rocktable.RequestID(e.Attempt), Reason: e.Reason})
	}
	r.traffic.Carry(out)
}

// stream runs requests of one caller until its tokens are done.
func (r *trafficRig) stream(ctx context.Context, prompt string, tokens int) error {
	left := tokens
	for left > 0 {
		got := 0
		_, err := r.traffic.Chat(ctx, rocktraffic.ChatRequest{Prompt: prompt, MaxTokens: left}, func(rocktraffic.Token) error {
			got++
			return nil
		})
		if err != nil {
			return eris.Wrap(err, "running a stream")
		}
		if got == 0 {
			return eris.New("a stream gave no token")
		}
		r.tokens.Add(int64(got))
		left -= got
	}
	return nil
}

// run measures n streams of some tokens each.
func (r *trafficRig) run(n, tokens int) (TrafficCost, error) {
	ctx, cancel := context.WithTimeout(context.Background(), trafficLimit)
	defer cancel()
	errs := make([]error, n)
	var group sync.WaitGroup
	start := readUsage()
	for i := range n {
		group.Go(func() { errs[i] = r.stream(ctx, fmt.Sprintf("count the masts in harbour %d", i), tokens) })
	}
	group.Wait()
	total := int(r.tokens.Load())
	for _, err := range errs {
		if err != nil {
			return TrafficCost{}, err
		}
	}
	if lost := r.lost.Load(); lost > 0 {
		return TrafficCost{}, eris.Errorf("%d attempts failed", lost)
	}
	return TrafficCost{Tokens: total, Cost: start.since(total)}, nil
}

// MeasureTraffic runs streams through real sessions to three engines of the stand-in.
func MeasureTraffic(seed uint64, n, tokens int) (TrafficCost, error) {
	standin, err := rockstandin.Start(context.Background(), trafficSettings(seed, n))
	if err != nil {
		return TrafficCost{}, err
	}
	defer standin.Close()
	engine := rockengine.New()
	defer engine.Close()
	return newTrafficRig(engine, func(i int) string { return standin.Address(stageName(i)) }).run(n, tokens)
}

func stageName(i int) string { return fmt.Sprintf("stage-%d", i) }

func trafficSettings(seed uint64, slots int) rockstandin.Settings {
	s := rockstandin.Settings{Seed: seed, Kinds: []rockstandin.KindSettings{{Name: "levanter", StepMs: 2}}}
	each := layers / stages
	for i := range stages {
		s.Engines = append(s.Engines, rockstandin.EngineSettings{
			Name: stageName(i), DataCentre: "ga-west-a", Region: "ga-west", Kind: "levanter", Model: "m", Version: "1",
			FirstLayer: each * i, LastLayer: each*i + each - 1, Layers: layers, Slots: slots, Queue: slots,
		})
	}
	return s
}

// MeasureRouter runs the same streams with engines that answer within the process without a message, which leaves the cost of io/rocktraffic alone.
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
	return newTrafficRig(&rockengine.Engine{Open: open}, stageName).run(n, tokens)
}
