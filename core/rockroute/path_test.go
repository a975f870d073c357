package rockroute_test

import (
	"slices"
	"testing"
	"time"

	"sassafrasrock/core/rockroute"
	"sassafrasrock/core/rocktable"
)

// Guards against layers that are run twice or not at all if ranges overlap. The invariant layers
// checks each path.
func TestPathOverOverlappingRanges(t *testing.T) {
	f := newFleet(t, 0, 0, 1)
	f.addServer("a", 0, 5, 4)
	f.addServer("b", 3, 8, 4)
	f.addServer("c", 5, 8, 4)
	f.addArrival(0, 0)
	f.step()
	if len(f.starts) != 1 || len(f.starts[0].Path) != 2 {
		t.Fatalf("starts = %+v, want one over two stages", f.starts)
	}
	// No backend server begins at layer 6, so a path has to use d from the middle of its range.
	f = newFleet(t, 0, 0, 1)
	f.addServer("a", 0, 5, 4)
	d := f.addServer("d", 4, 8, 4)
	d.Status.SubRanges = true
	f.addArrival(0, 0)
	f.step()
	if len(f.starts) != 1 {
		t.Fatalf("starts = %+v, want one", f.starts)
	}
}

// Guards against hosts that all choose the same backend server because they have the same late
// report.
func TestHostsSpreadWithLateReports(t *testing.T) {
	used := map[rocktable.BackendServerID]int{}
	for seed := range uint64(40) {
		f := newFleet(t, 8, 20, 1)
		rocktable.WithSeed(seed)(f.w)
		f.w.Servers.Get(1).Status.Active = 0
		for id, s := range f.w.Servers.All() {
			if id != 1 {
				s.Status.Active = 1
			}
		}
		for range 2 {
			f.addArrival(0, 0)
		}
		f.step()
		for _, s := range f.starts {
			for _, stage := range s.Path {
				used[stage.Server]++
			}
		}
	}
	// 80 requests of 40 hosts over 8 backend servers per range are 10 requests for each.
	for id, n := range used {
		if n > 20 {
			t.Errorf("backend server %d got %d of 80 requests, want at most 20", id, n)
		}
	}
}

// Guards against use of remote data centres and slow links while near backend servers are idle, and
// against idle remote ones that are not used when the near ones are full.
func TestNearestDataCentreFirst(t *testing.T) {
	f := newFleet(t, 1, 2, 1)
	other := f.w.InternDataCentre("ga-west-b", "ga-west").ID
	for i := range 3 {
		s := f.addServer([]string{"x", "y", "z"}[i], 3*i, 3*i+2, 2)
		s.DataCentre, s.RoundTrip = other, time.Millisecond
	}
	for range 4 {
		f.addArrival(0, 0)
		f.step()
	}
	remote := make([]int, 4)
	for i, s := range f.starts {
		for _, stage := range s.Path {
			if f.w.Servers.Get(stage.Server).DataCentre == other {
				remote[i]++
			}
		}
	}
	if len(f.starts) != 4 || remote[0] != 0 || remote[3] != 3 {
		t.Errorf("remote stages of %d starts: %v, want none first and three last", len(f.starts), remote)
	}
}

// Guards against starts beyond the slots, counting the attempts of peers, and against a concurrency
// limit that does not follow overload.
func TestConcurrencyLimit(t *testing.T) {
	f := newFleet(t, 1, 10, 1)
	for _, s := range f.w.Servers.All() {
		s.PeerInFlight = 4
	}
	for range 20 {
		f.addArrival(0, 2)
	}
	f.step()
	if len(f.starts) != 6 {
		t.Fatalf("%d starts, want 6 in addition to 4 of peers", len(f.starts))
	}
	f.end = func(f *fleet, s rocktable.Start) rocktable.AttemptEnded {
		return rocktable.AttemptEnded{Attempt: s.Attempt, Reason: "stageRefused", FailedServer: s.Path[0].Server}
	}
	f.run(1100*time.Millisecond, nil)
	s := f.w.Servers.Get(f.starts[0].Path[0].Server)
	if s.ConcurrencyLimit <= 0 || s.ConcurrencyLimit > 7 {
		t.Errorf("limit %v after refusals, want a decrease from 10", s.ConcurrencyLimit)
	}
	low := s.ConcurrencyLimit
	s.PeerInFlight = 0
	f.end = newFleet(t, 0, 0, 0).end
	f.run(30*time.Second, func() { f.addArrival(0, 2) })
	if s.ConcurrencyLimit < low+2 || s.ConcurrencyLimit > 10 {
		t.Errorf("limit %v after 30 s of complete answers, want an increase from %v to at most 10 slots", s.ConcurrencyLimit, low)
	}
}

// Guards against a backend server that gets less work because a connection to it failed and its
// session was resumed.
func TestGapOfResumedStreamIsNoOverload(t *testing.T) {
	for _, resumed := range []bool{true, false} {
		f := newFleet(t, 1, 10, 1)
		complete := f.end
		f.end = func(f *fleet, s rocktable.Start) rocktable.AttemptEnded {
			e := complete(f, s)
			e.LargestGap, e.Resumed = 2*time.Second, resumed
			return e
		}
		id := f.addArrival(0, 0)
		f.run(3*time.Second, nil)
		f.wantCode(id, "")
		lowered := slices.ContainsFunc(f.starts[0].Path, func(s rocktable.Stage) bool { return f.w.Servers.Get(s.Server).ConcurrencyLimit > 0 })
		if lowered == resumed {
			t.Errorf("resumed %t: limit lowered %t, want it lowered only if the session was not resumed", resumed, lowered)
		}
	}
}

// Guards against a prompt prefix that is computed again although an idle backend server has it
// cached.
func TestCachedPrefixIsPreferred(t *testing.T) {
	f := newFleet(t, 6, 40, 1)
	for range 10 {
		id := f.addArrival(0, 0)
		r := &f.w.Inbox.Arrivals[0].Request
		r.PromptTokens, r.Prefix = 4000, []uint64{1, 2, 3, 4}
		f.run(2*time.Second, nil)
		f.wantCode(id, "")
	}
	for _, s := range f.starts[1:] {
		for i, stage := range s.Path {
			if stage.Server != f.starts[0].Path[i].Server {
				t.Errorf("stage %d on backend server %d, want %d with the cached prefix", i, stage.Server, f.starts[0].Path[i].Server)
			}
		}
	}
}

// Guards against hosts that all follow the same old report, which makes the load swing between
// backend servers.
func TestOldReportsLoseWeight(t *testing.T) {
	for _, test := range []struct {
		age         time.Duration
		least, most int // paths over the backend server that was reported to be busy
	}{{0, 0, 0}, {4 * time.Second, 5, 25}} {
		f := newFleet(t, 2, 40, 1)
		busy := f.w.Servers.Get(1)
		for _, s := range f.w.Servers.All() {
			s.StatusAt = f.now.Add(-test.age)
		}
		busy.OtherSessionsAtReport = 30
		got := 0
		for range 30 {
			path := rockroute.FindPath(f.now, f.w, &rocktable.Request{Pipeline: 1, PromptTokens: 50, MaxTokens: 50})
			if path[0].Server == busy.ID {
				got++
			}
		}
		if got < test.least || got > test.most {
			t.Errorf("reports %s old: %d of 30 paths over the busy backend server, want %d to %d", test.age, got, test.least, test.most)
		}
	}
}
