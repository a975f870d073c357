package rockroute

import (
	"fmt"
	"testing"
	"time"

	"sassafrasrock/core/rockcapacity"
	"sassafrasrock/core/rocktable"
)

// newStalledWorld returns a World with running requests whose second stage is a silent backend server. Their ranks are
// background and urgent in turn.
func newStalledWorld(t testing.TB, n int) (w *rocktable.World, silent, other *rocktable.BackendServer, stalls []rocktable.Stall) {
	w, _ = newFullPathWorld("a")
	w.Ranks.Put(1, rocktable.Rank{ID: 1, Position: 1, Config: rocktable.RankConfig{Name: "background", FirstTokenMs: 500, GapMs: 250, Worth: 1}})
	silent, other = w.ServerNamed("a-1-0"), w.ServerNamed("a-1-1")
	other.State = rocktable.StateDown
	for _, s := range w.Servers.All() {
		s.Status.Slots = n
	}
	for id := range rocktable.RequestID(n) {
		a := startRequest(w, id+1, 10, 10)
		if a == nil || a.Path[1].Server != silent.ID {
			t.Fatalf("request %d does not run on the silent backend server", id+1)
		}
		w.Requests.Get(id + 1).Rank = rocktable.RankID((id + 1) % 2)
		stalls = append(stalls, rocktable.Stall{Attempt: a.ID, Server: silent.ID})
	}
	other.State = rocktable.StateLive
	w.Outbox = rocktable.Outbox{}
	return w, silent, other, stalls
}

// Guards against background work that takes the last room beside a silent backend server from urgent streams that stall
// in the same tick, and against moves of one tick that together exceed that room.
func TestUrgentStreamsMoveFirst(t *testing.T) {
	w, silent, other, stalls := newStalledWorld(t, 20)
	const room = 10 // each request reserves 15 tokens for each of 4 layers
	total := rockcapacity.RequestMemory(w.Pipelines.Get(1).Config, other)
	other.PeerReservedMemory = maxMemoryFraction*total - room*15*4 - 1
	w.Inbox.Stalls = stalls
	continueStalledAttempts(fullPathEpoch, w)
	if n := len(w.Outbox.Repaths); n != room {
		t.Errorf("%d moves, want those for which there is room, %d", n, room)
	}
	for _, move := range w.Outbox.Repaths {
		if r := w.Requests.Get(move.Request); r.Rank != 0 || uses(move.Path, silent.ID) {
			t.Errorf("request %d of rank %d moved to %+v, want moves of the urgent rank, away from the silent backend server", r.ID, r.Rank, move.Path)
		}
	}
}

// Guards against a stream that waits for a dead backend server because the stage to which it was moved refused it, against
// orders without end, and against load that stays counted on a path that the stream never took.
func TestRefusedMoveIsTriedOnceMore(t *testing.T) {
	asIs := func(*rocktable.Stall, *rocktable.Attempt) {}
	for name, c := range map[string]struct {
		refusals []func(s *rocktable.Stall, a *rocktable.Attempt) // changes of the reports
		want     int                                              // moves, the first one included
	}{
		"refused":        {[]func(*rocktable.Stall, *rocktable.Attempt){asIs}, 2},
		"refused twice":  {[]func(*rocktable.Stall, *rocktable.Attempt){asIs, asIs}, 2},
		"waits no more":  {[]func(*rocktable.Stall, *rocktable.Attempt){func(s *rocktable.Stall, _ *rocktable.Attempt) { s.Server = 0 }}, 1},
		"unknown stage":  {[]func(*rocktable.Stall, *rocktable.Attempt){func(s *rocktable.Stall, _ *rocktable.Attempt) { s.RefusedBy = 0 }}, 1},
		"of the first":   {[]func(*rocktable.Stall, *rocktable.Attempt){func(s *rocktable.Stall, a *rocktable.Attempt) { s.RefusedBy = a.Path[0].Server }}, 1},
		"older move":     {[]func(*rocktable.Stall, *rocktable.Attempt){func(s *rocktable.Stall, _ *rocktable.Attempt) { s.RefusedMove-- }}, 1},
		"reported twice": {[]func(*rocktable.Stall, *rocktable.Attempt){asIs, func(s *rocktable.Stall, _ *rocktable.Attempt) { s.RefusedMove-- }}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			w, silent, other, stalls := newStalledWorld(t, 1)
			third := w.InternServer("a-1-2")
			row := *other
			row.ID, row.Name = third.ID, third.Name
			*third = row
			a := w.Attempts.Get(stalls[0].Attempt)
			before := a.Path
			w.Inbox.Stalls = stalls
			continueStalledAttempts(fullPathEpoch, w)
			refusedBy := a.Path[1].Server
			for _, change := range c.refusals {
				stall := rocktable.Stall{Attempt: a.ID, Server: silent.ID, RefusedMove: a.Moves, RefusedBy: a.Path[1].Server}
				change(&stall, a)
				w.Inbox.Stalls = []rocktable.Stall{stall}
				continueStalledAttempts(fullPathEpoch.Add(time.Millisecond), w)
			}
			if len(w.Outbox.Repaths) != c.want {
				t.Fatalf("%d moves, want %d", len(w.Outbox.Repaths), c.want)
			}
			if c.want > 1 && uses(w.Outbox.Repaths[1].Path, refusedBy) {
				t.Errorf("moved again to %+v, which backend server %d refused", w.Outbox.Repaths[1].Path, refusedBy)
			}
			inFlight := fmt.Sprint(silent.InFlight, other.InFlight+third.InFlight)
			if wantSilent := c.want == 1 && name != "older move" || name == "refused twice"; wantSilent != (inFlight == "1 0") || wantSilent != (a.Path[1] == before[1]) {
				t.Errorf("attempt on %+v, with %s in flight at the silent and the other backend servers", a.Path, inFlight)
			}
		})
	}
}

func BenchmarkStalledAttempts(b *testing.B) {
	for range b.N {
		b.StopTimer()
		w, _, _, stalls := newStalledWorld(b, 20)
		w.Inbox.Stalls = stalls
		b.StartTimer()
		continueStalledAttempts(fullPathEpoch, w)
	}
}
