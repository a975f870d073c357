package rocktick_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sassafrasrock/core/rockcapacity"
	"sassafrasrock/core/rocktable"
	"sassafrasrock/core/rocktick"
)

// fullServer is a model of hosts in front of one backend server that refuses requests for which it has no memory. The
// hosts know each other's reservations with a delay.
type fullServer struct {
	now     time.Time
	worlds  []*rocktable.World
	running map[overloadKey]time.Time // when it ends
	lastID  rocktable.RequestID
	rand    *rand.Rand

	arrived, refused [2]int // by rank: urgent, background
	rankOf           map[rocktable.RequestID]rocktable.RankID
}

const (
	rankHosts        = 12
	rankServerRoom   = 200             // requests that the backend server holds
	rankRunTime      = 2 * time.Second // of a request
	rankReportEvery  = time.Second     // between two reports of load
	urgentPerSecond  = 60.0            // 0.6 of the capacity
	floodPerSecond   = 120.0           // background work, 1.2 of the capacity
	rankPromptTokens = 500
)

// newFullServer returns the model. The worths are those of the urgent and the background rank.
func newFullServer(worths [2]float64) *fullServer {
	f := &fullServer{now: start, running: make(map[overloadKey]time.Time), rankOf: make(map[rocktable.RequestID]rocktable.RankID), rand: rand.New(rand.NewPCG(1, 2))}
	for i := range rankHosts {
		w := newFullPathWorld(i)
		w.Limits.RankReserve = 0.2
		for j := range rankHosts {
			if h := w.InternHost(fmt.Sprintf("entry-%d", j)); !h.Self {
				h.State, h.HeartbeatAt = rocktable.StateLive, start.Add(time.Hour)
			}
		}
		for j, worth := range worths {
			w.Ranks.Put(rocktable.RankID(j), rocktable.Rank{ID: rocktable.RankID(j), Position: j, Config: rocktable.RankConfig{FirstTokenMs: 500 * (j + 1), GapMs: 250, Worth: worth, Floor: 0.08 * float64(j)}})
		}
		e := &w.Pipelines.Get(1).Config.Engine
		e.TokenBytes, e.AnswerTokens = 8, 0
		e.Kinds[0].MemoryMB = 8 + rankServerRoom*rankPromptTokens*8/1e6
		addFullPathServer(w, "runner")
		f.worlds = append(f.worlds, w)
	}
	return f
}

func (f *fullServer) arrive(due *float64, perSecond float64, rank rocktable.RankID) {
	for *due += perSecond * overloadStep.Seconds(); *due >= 1; *due-- {
		f.lastID++
		f.rankOf[f.lastID] = rank
		f.arrived[rank]++
		w := f.worlds[f.rand.IntN(len(f.worlds))]
		w.Inbox.Arrivals = append(w.Inbox.Arrivals, rocktable.Arrival{Request: rocktable.Request{
			ID: f.lastID, Caller: 1, Pipeline: 1, Rank: rank, ArrivedAt: f.now, PromptTokens: rankPromptTokens, MaxTokens: 1,
		}})
	}
}

// run lets urgent and background requests arrive for a time.
func (f *fullServer) run(d time.Duration) {
	var urgent, flood float64
	report := f.now
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(overloadStep)
		f.arrive(&urgent, urgentPerSecond, 0)
		f.arrive(&flood, floodPerSecond, 1)
		for key, endsAt := range f.running {
			if !f.now.Before(endsAt) {
				delete(f.running, key)
				in := &f.worlds[key.host].Inbox
				in.AttemptsEnded = append(in.AttemptsEnded, rocktable.AttemptEnded{Attempt: key.attempt, Tokens: 1, FirstTokenAt: f.now})
			}
		}
		if !f.now.Before(report.Add(rankReportEvery)) {
			report = f.now
			f.reportLoad()
		}
		for i, w := range f.worlds {
			out := rocktick.Run(f.now, w).Outbox
			w.Inbox = rocktable.Inbox{}
			f.dispatch(i, out)
		}
	}
}

func (f *fullServer) reportLoad() {
	total := 0.0
	for _, w := range f.worlds {
		total += w.ServerNamed("runner").ReservedMemory
	}
	for _, w := range f.worlds {
		s := w.ServerNamed("runner")
		s.PeerReservedMemory = total - s.ReservedMemory
	}
}

func (f *fullServer) dispatch(host int, out rocktable.Outbox) {
	in := &f.worlds[host].Inbox
	for _, s := range out.Starts {
		if len(f.running) >= rankServerRoom {
			in.AttemptsEnded = append(in.AttemptsEnded, rocktable.AttemptEnded{Attempt: s.Attempt, Reason: "stageRefused", FailedServer: s.Path[0].Server})
			continue
		}
		in.Progress = append(in.Progress, rocktable.Progress{Attempt: s.Attempt, Tokens: 1, FirstTokenAt: f.now})
		f.running[overloadKey{host, s.Attempt}] = f.now.Add(rankRunTime)
	}
	for _, a := range out.Answers {
		if a.Reason != "" {
			f.refused[f.rankOf[a.Request]]++
		}
	}
}

// Guards against an order of ranks that ends at the queue of each host: twelve hosts with short queues share a backend
// server that is full of background work, and urgent requests are refused as often as those that fill it.
func TestUrgentWorkFindsCapacityAtEveryHost(t *testing.T) {
	const length = 20 * time.Second
	equal, ranked := newFullServer([2]float64{1, 1}), newFullServer([2]float64{1, 1.0 / 3})
	equal.run(length)
	ranked.run(length)
	share := func(f *fullServer, rank int) float64 { return float64(f.refused[rank]) / float64(f.arrived[rank]) }
	t.Logf("refused, equal worth: urgent %.3f, background %.3f; by worth: urgent %.3f, background %.3f", share(equal, 0), share(equal, 1), share(ranked, 0), share(ranked, 1))
	if got, want := share(ranked, 0), share(equal, 0)/2; got > want {
		t.Errorf("%.3f of the urgent requests were refused, want at most half of the %.3f without reserved capacity", got, want)
	}
	if got, floor := share(ranked, 1), 1-0.08; got > floor {
		t.Errorf("%.3f of the background requests were refused, want less than %.3f: its floor", got, floor)
	}
	for _, w := range ranked.worlds {
		if !rockcapacity.IsShort(w, 1) {
			t.Error("a host does not know that capacity is short")
		}
	}
}
