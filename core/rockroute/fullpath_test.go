package rockroute

import (
	"fmt"
	"math"
	"testing"
	"time"

	"sassafrasrock/core/rockadmit"
	"sassafrasrock/core/rockcapacity"
	"sassafrasrock/core/rocktable"
)

var fullPathEpoch = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

// newFullPathWorld returns a World with a pipeline of 8 layers whose engines run a full path. Each
// data centre has two backend servers for each half of the layers.
func newFullPathWorld(centres ...string) (*rocktable.World, *rocktable.Pipeline) {
	limits := rocktable.DefaultLimits()
	limits.PlatformPushes = true
	w := rocktable.NewWorld(fullPathEpoch, rocktable.Host{Name: "entry-1"}, rocktable.DataCentre{Name: centres[0], Region: "r"}, 1, rocktable.WithLimits(limits))
	p := w.InternPipeline("pool")
	p.Config = rocktable.PipelineConfig{Name: "pool", Model: "m", Layers: 8, Engine: rocktable.EngineConfig{
		LayerMB: 1000, TokenBytes: 1e6, StepMs: 1, ReadPerSecond: 100000, ActivationMB: 0.03, LinkMbps: 13000, AnswerTokens: 100, PromptTokens: 500,
		Kinds: []rocktable.KindConfig{{Name: "k", MemoryMB: 8000, Pace: 1, ReadFactor: 1}},
	}}
	w.Ranks.Put(0, rocktable.Rank{Config: rocktable.RankConfig{Name: "r", FirstTokenMs: 500, GapMs: 250, Worth: 1}})
	for _, name := range centres {
		dc := w.InternDataCentre(name, "r")
		for half := range 2 {
			for i := range 2 {
				s := w.InternServer(fmt.Sprintf("%s-%d-%d", name, half, i))
				s.Address, s.DataCentre, s.ListedService, s.Kind, s.State = s.Name+":80", dc.ID, "pool", "k", rocktable.StateLive
				s.Status = rocktable.EngineStatus{Model: "m", Kind: "k", Slots: 4, FirstLayer: 4 * half, LastLayer: 4*half + 3, SubRanges: true}
			}
		}
	}
	return w, p
}

// startRequest starts a request on a path and returns its attempt, or nil if there is no path.
func startRequest(w *rocktable.World, id rocktable.RequestID, prompt, answer int) *rocktable.Attempt {
	r := w.Requests.Put(id, rocktable.Request{ID: id, Pipeline: 1, PromptTokens: prompt, MaxTokens: answer, ArrivedAt: fullPathEpoch})
	path := FindPath(fullPathEpoch, w, r)
	if path == nil {
		return nil
	}
	startAttempt(fullPathEpoch, w, r, path)
	return w.Attempts.Get(r.Attempt)
}

func centresOf(w *rocktable.World, path []rocktable.Stage) map[rocktable.DataCentreID]bool {
	found := make(map[rocktable.DataCentreID]bool)
	for _, stage := range path {
		found[w.Servers.Get(stage.Server).DataCentre] = true
	}
	return found
}

// Guards against paths back and forth between data centres, which fill the links between them.
func TestPathStaysInOneDataCentre(t *testing.T) {
	w, _ := newFullPathWorld("a", "b", "c")
	for id := range rocktable.RequestID(12) {
		a := startRequest(w, id+1, 500, 100)
		if a == nil {
			t.Fatalf("no path for request %d", id+1)
		}
		if n := len(centresOf(w, a.Path)); n != 1 {
			t.Errorf("the path of request %d uses %d data centres, want 1", id+1, n)
		}
	}
}

// Guards against refusals if each data centre has lost half of the model, although together they
// hold all layers.
func TestPathCrossesDataCentresIfRequired(t *testing.T) {
	w, _ := newFullPathWorld("a", "b")
	for _, name := range []string{"a-1-0", "a-1-1", "b-0-0", "b-0-1"} {
		w.ServerNamed(name).State = rocktable.StateLeaving
	}
	if a := startRequest(w, 1, 500, 100); a == nil || len(a.Path) != 2 {
		t.Errorf("no path with 2 stages over both data centres")
	}
}

// Guards against requests sent to a backend server beyond its memory, counting what peers have
// reserved there.
func TestPathNeedsMemory(t *testing.T) {
	w, p := newFullPathWorld("a")
	s := w.ServerNamed("a-0-0")
	s.PeerReservedMemory = 0.9 * rockcapacity.RequestMemory(p.Config, s)
	for id := range rocktable.RequestID(20) {
		a := startRequest(w, id+1, 1000, 100)
		if a == nil {
			break
		}
		if a.Path[0].Server == s.ID {
			t.Fatalf("request %d went to a backend server without memory for it", id+1)
		}
	}
	for _, row := range w.Servers.All() {
		if row.ReservedMemory > rockcapacity.RequestMemory(p.Config, row) {
			t.Errorf("%s: %.0f tokens x layers reserved of %.0f", row.Name, row.ReservedMemory, rockcapacity.RequestMemory(p.Config, row))
		}
	}
}

// Guards against hosts that keep sending requests to a backend server that refuses them, because
// its memory is reserved by peers whose load was not reported. A refusal has to raise its cost for
// a while, but not permanently.
func TestRefusalRaisesTheCost(t *testing.T) {
	w, _ := newFullPathWorld("a")
	w.Gossip.UnreportedFraction = 1
	first := startRequest(w, 1, 500, 100)
	if first == nil {
		t.Fatal("no path")
	}
	full := first.Path[0].Server
	s := w.Servers.Get(full)
	s.MemoryRefusalAt, s.MemoryAtRefusal = fullPathEpoch, s.ReservedMemory
	rockadmit.ReleaseAttempt(w, first)
	// A path is chosen at random among those of nearly equal cost.
	chosen := func() (n int) {
		for id := range rocktable.RequestID(20) {
			a := startRequest(w, id+2, 500, 100)
			if a == nil {
				t.Fatal("no path")
			}
			if a.Path[0].Server == full {
				n++
			}
			rockadmit.ReleaseAttempt(w, a)
		}
		return n
	}
	if n := chosen(); n > 0 {
		t.Errorf("%d of 20 paths begin at the backend server that refused, want none", n)
	}
	s.MemoryRefusalAt = fullPathEpoch.Add(-time.Minute)
	if n := chosen(); n == 0 {
		t.Error("no path begins at the backend server a minute after its refusal")
	}
}

// Guards against hosts that all rank equal backend servers in the same order, and so send to the
// same one until their peers report its load.
func TestHostsPreferDifferentServers(t *testing.T) {
	cheapest := make(map[string]int)
	for i := range 32 {
		w, p := newFullPathWorld("a")
		w.SelfHost().Name, w.Gossip.UnreportedFraction = fmt.Sprintf("entry-%d", i), 1
		m := newCostModel(fullPathEpoch, w, &rocktable.Request{PromptTokens: 500, MaxTokens: 100})
		m.pipeline = p
		one, two := w.ServerNamed("a-0-0"), w.ServerNamed("a-0-1")
		if m.fullPathCost(one).perLayer < m.fullPathCost(two).perLayer {
			cheapest[one.Name]++
		} else {
			cheapest[two.Name]++
		}
	}
	if cheapest["a-0-0"] < 8 || cheapest["a-0-1"] < 8 {
		t.Errorf("cheapest for 32 hosts: %v, want each of two for about half of them", cheapest)
	}
}

// Guards against requests that begin at a backend server beyond its slots, counting those of peers.
func TestPathNeedsSlotAtFirstStage(t *testing.T) {
	w, _ := newFullPathWorld("a")
	full := w.ServerNamed("a-0-0")
	full.PeerFirstStageInFlight = full.Status.Slots
	for id := range rocktable.RequestID(8) {
		a := startRequest(w, id+1, 10, 10)
		if a == nil {
			break
		}
		if a.Path[0].Server == full.ID {
			t.Fatalf("request %d begins at a backend server whose slots are all taken", id+1)
		}
	}
}

// Guards against a stream that waits for a dead backend server, loses its first stage, or keeps its
// capacity reserved on the old path.
func TestStalledAttemptMoves(t *testing.T) {
	w, _ := newFullPathWorld("a")
	a := startRequest(w, 1, 500, 100)
	dead := a.Path[1].Server
	first := a.Path[0]
	w.Inbox.Stalls = []rocktable.Stall{{Attempt: a.ID, Server: dead}}
	continueStalledAttempts(fullPathEpoch, w)
	if len(w.Outbox.Repaths) != 1 {
		t.Fatalf("%d moves, want 1", len(w.Outbox.Repaths))
	}
	path := w.Outbox.Repaths[0].Path
	if path[0] != first || uses(path, dead) {
		t.Errorf("path %+v, want one that begins with %+v and excludes backend server %d", path, first, dead)
	}
	if s := w.Servers.Get(dead); s.InFlight != 0 || s.ReservedMemory != 0 {
		t.Errorf("%d attempts and %.0f tokens x layers left on the old path, want 0", s.InFlight, s.ReservedMemory)
	}
	rockadmit.ReleaseAttempt(w, a)
	for _, s := range w.Servers.All() {
		if s.InFlight != 0 || s.ReservedMemory != 0 || s.FirstStageInFlight != 0 {
			t.Errorf("%s keeps %d attempts, %.0f tokens x layers and %d first stages, want 0", s.Name, s.InFlight, s.ReservedMemory, s.FirstStageInFlight)
		}
	}
}

// Guards against a move away from the first stage, the only one whose engine has the request.
func TestStalledFirstStageDoesNotMove(t *testing.T) {
	w, _ := newFullPathWorld("a")
	a := startRequest(w, 1, 500, 100)
	w.Inbox.Stalls = []rocktable.Stall{{Attempt: a.ID, Server: a.Path[0].Server}}
	continueStalledAttempts(fullPathEpoch, w)
	if len(w.Outbox.Repaths) != 0 {
		t.Errorf("moved to %+v, want no move", w.Outbox.Repaths[0].Path)
	}
}

// Guards against an attempt that is ended because a backend server is silent although its request cannot go on elsewhere:
// the caller would be cut off from a sound server.
func TestSilenceEndsAttemptsThatCanGoOn(t *testing.T) {
	for name, c := range map[string]struct {
		change func(w *rocktable.World, r *rocktable.Request)
		stuck  time.Duration // since the first report
		ends   bool
	}{
		"first attempt":            {func(*rocktable.World, *rocktable.Request) {}, 0, true},
		"last attempt":             {func(_ *rocktable.World, r *rocktable.Request) { r.MaybeRanAttempts = 1 }, 0, false},
		"last attempt, later":      {func(_ *rocktable.World, r *rocktable.Request) { r.MaybeRanAttempts = 1 }, 3 * time.Second, false},
		"must not run again":       {func(_ *rocktable.World, r *rocktable.Request) { r.AtMostOnce = true }, 0, false},
		"no retry budget":          {func(w *rocktable.World, _ *rocktable.Request) { w.Limits.RetryWindow = 10 * time.Second }, 0, false},
		"no room elsewhere":        {fillServers, 0, false},
		"only the silent server":   {keepOnlyFirstPath, 0, false},
		"no room elsewhere, later": {fillServers, soundSilence, true},
	} {
		t.Run(name, func(t *testing.T) {
			w, _ := newFullPathWorld("a")
			a := startRequest(w, 1, 500, 100)
			r := w.Requests.Get(1)
			r.MaxAttempts, r.Caller = 2, w.InternCaller("guild").ID
			c.change(w, r)
			for _, now := range []time.Time{fullPathEpoch, fullPathEpoch.Add(c.stuck)} {
				w.Inbox.Stalls = []rocktable.Stall{{Attempt: a.ID, Server: a.Path[0].Server, Unmovable: true}}
				continueStalledAttempts(now, w)
			}
			if c.ends != (len(w.Outbox.Cancels) == 1) || c.ends != r.RetryGranted {
				t.Errorf("%d attempts ended and a retry granted: %t, want %t", len(w.Outbox.Cancels), r.RetryGranted, c.ends)
			}
		})
	}
}

// keepOnlyFirstPath leaves no backend servers but those of the path of the first request.
func keepOnlyFirstPath(w *rocktable.World, r *rocktable.Request) {
	path := w.Attempts.Get(r.Attempt).Path
	for id, s := range w.Servers.All() {
		if !uses(path, id) {
			s.State = rocktable.StateDown
		}
	}
}

// Guards against a pipeline that loses all paths, or a path with layers that do not exist, because one entry of another
// writer claims layers outside the model.
func TestLayersOutsideTheModelAreNotUsed(t *testing.T) {
	for name, layers := range map[string][2]int{
		"before the model": {-4, 3}, "after the model": {4, 8}, "greatest numbers": {math.MinInt, math.MaxInt - 1}, "reversed": {5, 2},
	} {
		t.Run(name, func(t *testing.T) {
			w, _ := newFullPathWorld("a")
			odd := w.InternServer("odd")
			odd.Address, odd.DataCentre, odd.ListedService, odd.Kind, odd.State = "odd:80", 1, "pool", "k", rocktable.StateLive
			odd.Status = rocktable.EngineStatus{Model: "m", Kind: "k", Slots: 1000, FirstLayer: layers[0], LastLayer: layers[1], SubRanges: true}
			for id := range rocktable.RequestID(8) {
				a := startRequest(w, id+1, 500, 100)
				if a == nil {
					t.Fatalf("no path for request %d", id+1)
				}
				if uses(a.Path, odd.ID) {
					t.Errorf("the path of request %d uses the odd backend server", id+1)
				}
			}
		})
	}
}

// Guards against one free place elsewhere for which all attempts of a silent backend server are ended: all but one request
// would wait without a server until they are cut off.
func TestSilenceEndsAsManyAttemptsAsCanGoOn(t *testing.T) {
	w, _ := newFullPathWorld("a")
	silent, other := w.ServerNamed("a-0-0"), w.ServerNamed("a-0-1")
	other.FirstStageInFlight = other.Status.Slots
	for id := range rocktable.RequestID(silent.Status.Slots) {
		a := startRequest(w, id+1, 500, 100)
		w.Requests.Get(id + 1).Caller = w.InternCaller("guild").ID
		w.Inbox.Stalls = append(w.Inbox.Stalls, rocktable.Stall{Attempt: a.ID, Server: silent.ID, Unmovable: true})
	}
	other.FirstStageInFlight--
	continueStalledAttempts(fullPathEpoch, w)
	if len(w.Outbox.Cancels) != 1 || other.FirstStageInFlight != other.Status.Slots-1 {
		t.Errorf("%d attempts ended and %d places elsewhere in use, want 1 and %d", len(w.Outbox.Cancels), other.FirstStageInFlight, other.Status.Slots-1)
	}
}

// Guards against a suspect that loses its reservations while it runs, because a path for its next attempt is searched:
// other requests would start beside it and be lost if it crashes the backend servers.
func TestSilenceKeepsReservationsOfSuspect(t *testing.T) {
	w, _ := newFullPathWorld("a")
	r := w.Requests.Put(1, rocktable.Request{ID: 1, Pipeline: 1, PromptTokens: 500, MaxTokens: 100, ArrivedAt: fullPathEpoch, Alone: true})
	r.Caller = w.InternCaller("guild").ID
	FindPath(fullPathEpoch, w, r) // reserves the backend servers
	now := fullPathEpoch.Add(reservationDelay)
	startAttempt(now, w, r, FindPath(now, w, r))
	a := w.Attempts.Get(r.Attempt)
	silent := w.Servers.Get(a.Path[0].Server)
	silent.BreakerTrips, silent.BreakerOpenUntil = 1, now.Add(time.Second)
	w.Inbox.Stalls = []rocktable.Stall{{Attempt: a.ID, Server: silent.ID, Unmovable: true}}
	continueStalledAttempts(now, w)
	for _, stage := range a.Path {
		if s := w.Servers.Get(stage.Server); s.ExclusiveRequest != r.ID {
			t.Errorf("backend server %s is reserved for request %d, want the one that runs there", s.Name, s.ExclusiveRequest)
		}
	}
}

func fillServers(w *rocktable.World, _ *rocktable.Request) {
	for _, s := range w.Servers.All() {
		s.PeerReservedMemory = 1e12
	}
}
