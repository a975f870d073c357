package rockroute_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"sassafrasrock/core/rockadmit"
	"sassafrasrock/core/rockcrash"
	"sassafrasrock/core/rockinvariant"
	"sassafrasrock/core/rockoutcome"
	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rockretry"
	"sassafrasrock/core/rockroute"
	"sassafrasrock/core/rocktable"
)

// modelSystems are the systems that decide about model requests, in the order in which a tick runs
// them.
var modelSystems = []rocktable.System{rockcrash.System, rockretry.System, rockadmit.System, rockroute.System, rockoutcome.System}

var startTime = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

const tick = 10 * time.Millisecond

// fleet runs the model systems of one host against simulated backend servers.
type fleet struct {
	t       testing.TB
	w       *rocktable.World
	now     time.Time
	service time.Duration // mean duration of an attempt
	end     func(f *fleet, s rocktable.Start) rocktable.AttemptEnded
	running []running
	rand    *rand.Rand
	lastID  rocktable.RequestID
	starts  []rocktable.Start
	answers map[rocktable.RequestID]rocktable.Answer
	codes   map[rockreason.Code]int
}

type running struct {
	due   time.Time
	start rocktable.Start
}

var ranks = []rocktable.RankConfig{
	{Name: "urgent", FirstTokenMs: 1000, GapMs: 100, Worth: 10, Floor: 0.1},
	{Name: "ordinary", FirstTokenMs: 10000, GapMs: 200, Worth: 3, Floor: 0.1},
	{Name: "background", FirstTokenMs: 600000, GapMs: 1000, Worth: 1, Floor: 0.1},
}

// newFleet returns a host with one pipeline of nine layers in three ranges, each held by n backend
// servers.
func newFleet(t testing.TB, n, slots, callers int) *fleet {
	w := rocktable.NewWorld(startTime, rocktable.Host{Name: "entry-1"}, rocktable.DataCentre{Name: "ga-west-a", Region: "ga-west"}, 1, rocktable.WithSeed(7))
	f := &fleet{t: t, w: w, rand: rand.New(rand.NewPCG(1, 2)), now: startTime, service: time.Second, answers: map[rocktable.RequestID]rocktable.Answer{}, codes: map[rockreason.Code]int{}}
	f.end = func(f *fleet, s rocktable.Start) rocktable.AttemptEnded {
		r := f.w.Requests.Get(s.Request)
		return rocktable.AttemptEnded{Attempt: s.Attempt, Tokens: r.MaxTokens, FirstTokenAt: f.now.Add(-f.service / 2), LargestGap: time.Millisecond}
	}
	w.Ready, w.ConfigVersion, w.QueuesConfigVersion, w.PreviousTickConfigVersion = true, 1, 1, 1
	for i, c := range ranks {
		w.Ranks.Put(rocktable.RankID(i), rocktable.Rank{ID: rocktable.RankID(i), Config: c})
	}
	for i := range callers {
		name := fmt.Sprintf("caller-%d", i)
		w.InternCaller(name).Config = rocktable.CallerConfig{Name: name}
	}
	w.InternPipeline("p").Config = rocktable.PipelineConfig{Name: "p", Model: "m", Version: "1", Layers: 9}
	for i := range 3 * n {
		f.addServer(fmt.Sprintf("runner-%d", i), i%3*3, i%3*3+2, slots)
	}
	return f
}

func (f *fleet) addServer(name string, first, last, slots int) *rocktable.BackendServer {
	s := f.w.InternServer(name)
	s.State, s.Probing, s.Incarnation, s.StatusAt = rocktable.StateLive, true, 1, f.now
	s.Status = rocktable.EngineStatus{Model: "m", Version: "1", FirstLayer: first, LastLayer: last, Slots: slots, TokensPerSecond: 100 * float64(slots)}
	return s
}

// addArrival adds an arrival to the next tick.
func (f *fleet) addArrival(caller int, rank rocktable.RankID) rocktable.RequestID {
	f.lastID++
	f.w.Inbox.Arrivals = append(f.w.Inbox.Arrivals, rocktable.Arrival{Request: rocktable.Request{
		ID: f.lastID, Caller: rocktable.CallerID(caller + 1), Rank: rank, Pipeline: 1, ArrivedAt: f.now,
		PromptTokens: 50, MaxTokens: 50, Fingerprint: uint64(f.lastID),
	}})
	return f.lastID
}

// step ends the attempts that are due, runs the systems and checks the invariants.
func (f *fleet) step() {
	f.t.Helper()
	f.now = f.now.Add(tick)
	f.running = slices.DeleteFunc(f.running, func(r running) bool {
		due := !f.now.Before(r.due) && f.w.Attempts.Get(r.start.Attempt) != nil
		if due {
			f.w.Inbox.AttemptsEnded = append(f.w.Inbox.AttemptsEnded, f.end(f, r.start))
		}
		return !f.now.Before(r.due)
	})
	f.w.Outbox = rocktable.Outbox{}
	for _, s := range modelSystems {
		s.Run(f.now, f.w)
	}
	for _, inv := range rockinvariant.All {
		if err := inv.Check(f.now, f.w); err != nil {
			f.t.Fatalf("invariant %s: %v", inv.Name, err)
		}
	}
	f.w.Inbox = rocktable.Inbox{}
	for _, s := range f.w.Outbox.Starts {
		f.starts = append(f.starts, s)
		// Attempts of equal length would all end together, unlike in a real fleet.
		length := time.Duration((0.8 + 0.4*f.rand.Float64()) * float64(f.service))
		f.running = append(f.running, running{due: f.now.Add(length), start: s})
	}
	for _, a := range f.w.Outbox.Answers {
		f.answers[a.Request] = a
		f.codes[a.Reason]++
	}
}

func (f *fleet) run(d time.Duration, each func()) {
	f.t.Helper()
	for end := f.now.Add(d); f.now.Before(end); {
		if each != nil {
			each()
		}
		f.step()
	}
}

func (f *fleet) tally(caller int, rank rocktable.RankID) rocktable.Tally {
	row := f.w.Tallies.Get(rocktable.ShareKey{Rank: rank, Caller: rocktable.CallerID(caller + 1)})
	if row == nil {
		return rocktable.Tally{}
	}
	return *row
}

func (f *fleet) wantCode(id rocktable.RequestID, code rockreason.Code) {
	f.t.Helper()
	if a, ok := f.answers[id]; !ok || a.Reason != code {
		f.t.Errorf("request %d: answer %q (answered %v), want %q", id, a.Reason, ok, code)
	}
}
