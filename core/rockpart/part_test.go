package rockpart

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

var start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

func newWorld() *rocktable.World {
	return rocktable.NewWorld(start, rocktable.Host{Name: "entry-1"}, rocktable.DataCentre{Name: "yoff"}, 1)
}

func tick(now time.Time, w *rocktable.World, fill func(in *rocktable.Inbox)) rocktable.Outbox {
	w.Inbox, w.Outbox = rocktable.Inbox{}, rocktable.Outbox{}
	if fill != nil {
		fill(&w.Inbox)
	}
	run(now, w)
	return w.Outbox
}

// begin starts an attempt of a new request on a backend server.
func begin(w *rocktable.World, server string, parts ...rocktable.PartID) rocktable.AttemptID {
	s := w.InternServer(server)
	s.Address, s.Incarnation = server, 1
	id := w.NextAttempt()
	w.Requests.Put(rocktable.RequestID(id), rocktable.Request{ID: rocktable.RequestID(id), Parts: parts})
	w.Attempts.Put(id, rocktable.Attempt{ID: id, Request: rocktable.RequestID(id), Path: []rocktable.Stage{{Server: s.ID, Incarnation: 1}}})
	return id
}

// lose ends an attempt with the loss of its backend server and answers the crash checks that follow.
func lose(now time.Time, w *rocktable.World, attempt rocktable.AttemptID, e rocktable.AttemptEnded, answer rocktable.CrashAnswer) {
	e.Attempt, e.FailedServer, e.Crashed = attempt, w.Attempts.Get(attempt).Path[0].Server, true
	if e.Reason == "" {
		e.Reason = rockreason.StageDied
	}
	out := tick(now, w, func(in *rocktable.Inbox) { in.AttemptsEnded = append(in.AttemptsEnded, e) })
	w.Attempts.Delete(attempt)
	tick(now, w, func(in *rocktable.Inbox) {
		for _, q := range out.CrashChecks {
			answer.Server = q.Server
			in.CrashChecks = append(in.CrashChecks, answer)
		}
	})
}

// blamed returns the blamed parts once the verdict has settled.
func blamed(now time.Time, w *rocktable.World) []rocktable.PartID {
	tick(now.Add(settleTime), w, nil)
	var found []rocktable.PartID
	for id, p := range w.Parts.All() {
		if p.Blamed {
			found = append(found, id)
		}
	}
	return found
}

var (
	none = rocktable.AttemptEnded{}
	gone = rocktable.CrashAnswer{Gone: true}
)

// Guards against a part that is blamed for something other than crashes of the backend servers that began to write.
func TestSignsThatAreNoCrashes(t *testing.T) {
	for name, c := range map[string]struct {
		end    rocktable.AttemptEnded
		answer rocktable.CrashAnswer
		parts  []rocktable.PartID
		blamed bool
	}{
		"process is gone":        {none, gone, []rocktable.PartID{1}, true},
		"process restarted":      {none, rocktable.CrashAnswer{Incarnation: 2}, []rocktable.PartID{1}, true},
		"connection was lost":    {none, rocktable.CrashAnswer{Incarnation: 1}, []rocktable.PartID{1}, false},
		"no answer to the check": {none, rocktable.CrashAnswer{}, []rocktable.PartID{1}, false},
		"had written a token":    {rocktable.AttemptEnded{Tokens: 1}, gone, []rocktable.PartID{1}, false},
		"was not reached":        {rocktable.AttemptEnded{Reason: rockreason.StageUnreachable}, gone, []rocktable.PartID{1}, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld()
			for i := range blameCrashes + 2 {
				lose(start, w, begin(w, fmt.Sprintf("s%d", i), c.parts...), c.end, c.answer)
			}
			blamed(start, w)
			if got := IsBlamed(w, &rocktable.Request{Parts: c.parts}); got != c.blamed {
				t.Errorf("blamed: %t, want %t", got, c.blamed)
			}
		})
	}
}

// Guards against a part that is blamed although requests with it are answered, or for crashes that another part explains.
func TestOnlyTheCauseIsBlamed(t *testing.T) {
	w := newWorld()
	const first, deadly, other = 1, 2, 3
	for i := range blameCrashes {
		server := fmt.Sprintf("s%d", i)
		sound, cause := begin(w, server, first, other), begin(w, server, first, deadly)
		lose(start, w, cause, none, gone)
		lose(start, w, sound, none, gone)
		if i == 1 {
			answered := begin(w, "s-sound", other)
			tick(start, w, func(in *rocktable.Inbox) {
				in.Progress = append(in.Progress, rocktable.Progress{Attempt: answered, Tokens: 1})
			})
		}
	}
	if got := blamed(start, w); !slices.Equal(got, []rocktable.PartID{deadly}) {
		t.Errorf("blamed parts %v, want only %d", got, deadly)
	}
}

// Guards against a sound part that is blamed for seconds because news of its crashes came some milliseconds before that
// of the cause, which has the same crashes.
func TestVerdictWaitsForNewsOfTheCause(t *testing.T) {
	w := newWorld()
	const first, deadly = 1, 2
	crashes := []uint64{1, 2, 3}
	Merge(start, w, rocktable.PartUpdate{Part: first, Crashes: crashes, Remaining: time.Minute}, false)
	tick(start, w, nil)
	now := start.Add(settleTime / 2)
	Merge(now, w, rocktable.PartUpdate{Part: deadly, Depth: 1, Crashes: crashes, Remaining: time.Minute}, false)
	tick(now, w, nil)
	if got := blamed(now, w); !slices.Equal(got, []rocktable.PartID{deadly}) {
		t.Errorf("blamed parts %v, want only %d", got, deadly)
	}
}

// Guards against hosts that reach other verdicts because updates arrive in another order, and against a part that stays
// refused after a request with it was answered.
func TestUpdatesInAnyOrder(t *testing.T) {
	updates := []rocktable.PartUpdate{
		{Part: 1, Crashes: []uint64{1, 2}, Remaining: time.Minute},
		{Part: 1, Crashes: []uint64{2, 3}, Remaining: time.Minute},
		{Part: 2, Crashes: []uint64{1, 2, 3}, Depth: 1, Remaining: time.Minute},
		{Part: 2, Excused: []uint64{1, 2, 3}, Depth: 1, Remaining: time.Minute},
	}
	for shift := range updates {
		w := newWorld()
		for i := range updates {
			Merge(start, w, updates[(i+shift)%len(updates)], false)
			tick(start, w, nil)
		}
		blamed(start, w)
		one, two := w.Parts.Get(1), w.Parts.Get(2)
		if !one.Blamed || two.Blamed {
			t.Errorf("order %d: part 1 blamed: %t, part 2 blamed: %t; want only part 1", shift, one.Blamed, two.Blamed)
		}
	}
}

// Guards against rows that are kept for ever.
func TestPartsExpire(t *testing.T) {
	w := newWorld()
	for i := range blameCrashes {
		lose(start, w, begin(w, fmt.Sprintf("s%d", i), 1), none, gone)
	}
	tick(start.Add(keepCrashes), w, nil)
	if IsBlamed(w, &rocktable.Request{Parts: []rocktable.PartID{1}}) {
		t.Errorf("the part is still refused %s after its last crash", keepCrashes)
	}
	tick(start.Add(keepCrashes+keepExcused), w, nil)
	if w.Parts.Len() > 0 || w.CrashChecks.Len() > 0 {
		t.Errorf("%d parts and %d checks are left, want none", w.Parts.Len(), w.CrashChecks.Len())
	}
}

// Guards against hosts that report a part to each other for ever: each drops crashes above the limit, and takes the
// other's for new ones.
func TestUpdatesAboveTheLimitSettle(t *testing.T) {
	one, two := newWorld(), newWorld()
	for id := range uint64(maxCrashIDs) {
		Merge(start, one, rocktable.PartUpdate{Part: 1, Crashes: []uint64{id + 1}, Remaining: time.Minute}, false)
		Merge(start, two, rocktable.PartUpdate{Part: 1, Crashes: []uint64{id + 2}, Remaining: time.Minute}, false)
	}
	exchange := func(from, to *rocktable.World) bool {
		p, before := from.Parts.Get(1), to.Parts.Get(1).ChangeSeq
		Merge(start, to, rocktable.PartUpdate{Part: 1, Crashes: p.Crashes, Excused: p.Excused, Remaining: time.Minute}, false)
		return to.Parts.Get(1).ChangeSeq != before
	}
	changes := 0
	for range 10 {
		if exchange(one, two) {
			changes++
		}
		if exchange(two, one) {
			changes++
		}
	}
	if changes > 2 {
		t.Errorf("%d of 20 updates changed something, want at most one at each host", changes)
	}
	// A token at one host still excuses all crashes at both.
	excuse(start, one, one.Parts.Get(1))
	excuse(start, two, two.Parts.Get(1))
	exchange(one, two)
	exchange(two, one)
	if n := len(counted(one.Parts.Get(1))) + len(counted(two.Parts.Get(1))); n > 0 {
		t.Errorf("%d crashes still count after a token at each host, want none", n)
	}
}
