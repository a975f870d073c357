package rockroute_test

import (
	"slices"
	"testing"
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// runBrownOut runs requests of many callers while some backend servers fail half of their
// attempts. It checks that retries add at most 10% to the load.
func runBrownOut(t *testing.T, d time.Duration, fails func(rocktable.BackendServerID) bool) (*fleet, int) {
	f := newFleet(t, 6, 40, 200) // the other backend servers have enough slots for the whole load
	complete := f.end
	f.end = func(f *fleet, s rocktable.Start) rocktable.AttemptEnded {
		for _, stage := range s.Path {
			if fails(stage.Server) && f.w.Rand.IntN(2) == 0 {
				return rocktable.AttemptEnded{Attempt: s.Attempt, Reason: rockreason.StageDied, FailedServer: stage.Server}
			}
		}
		return complete(f, s)
	}
	n := 0
	f.run(d, func() { f.addArrival(n%200, 1); n++ })
	f.run(10*time.Second, nil)
	if extra := len(f.starts) - n; extra*10 > n {
		t.Errorf("%d extra attempts for %d requests, want at most 10%%", extra, n)
	}
	return f, n
}

// Guards against retries that add load in a brown-out: a third of the backend servers, all of one
// layer range, fail half of their attempts.
func TestRetryBudgetInBrownOut(t *testing.T) {
	for _, d := range []time.Duration{5 * time.Second, 30 * time.Second} {
		f, _ := runBrownOut(t, d, func(id rocktable.BackendServerID) bool { return id%3 == 0 })
		if f.codes[rockreason.RetryBudget] == 0 {
			t.Error("no request ended with retryBudget")
		}
	}
}

// Guards against work sent to failing backend servers while others with the same layers have free
// slots.
func TestFailingServersGetLessWork(t *testing.T) {
	f, n := runBrownOut(t, 30*time.Second, func(id rocktable.BackendServerID) bool { return (id-1)/3%3 == 0 })
	if f.codes[""]*100 < 95*n {
		t.Errorf("%d of %d requests answered, want at least 95%%", f.codes[""], n)
	}
}

// Guards against a failed stage that ends a stream, and against a replay on the backend server that
// failed.
func TestStreamIsReplayedElsewhere(t *testing.T) {
	f := newFleet(t, 2, 4, 1)
	complete := f.end
	f.end = func(f *fleet, s rocktable.Start) rocktable.AttemptEnded {
		if s.Epoch == 1 {
			return rocktable.AttemptEnded{Attempt: s.Attempt, Reason: rockreason.StageDied, FailedServer: s.Path[1].Server, Tokens: 20, FirstTokenAt: f.now}
		}
		return complete(f, s)
	}
	id := f.addArrival(0, 0)
	f.run(3*time.Second, nil)
	f.wantCode(id, "")
	if len(f.starts) != 2 || f.starts[1].Epoch != 2 {
		t.Fatalf("starts = %+v, want two with epochs 1 and 2", f.starts)
	}
	if f.starts[0].Path[1].Server == f.starts[1].Path[1].Server {
		t.Error("the replay uses the backend server that failed")
	}
	if got := f.answers[id].Outcome.Attempts; got != 2 {
		t.Errorf("%d attempts in the outcome, want 2", got)
	}
	// The caller pays for the prompt and for 20 + 50 tokens, not for the failure.
	if got := f.w.Shares.Get(rocktable.ShareKey{Caller: 1}).WeightedTokens; got != 120 {
		t.Errorf("%v tokens charged, want 120", got)
	}
}

// Guards against a wrong final reason when all attempts failed, and against "not run" for a request
// that may have run.
func TestFinalReasons(t *testing.T) {
	for _, test := range []struct {
		reason     rockreason.Code
		want       rockreason.Code
		mayHaveRun bool
	}{
		{rockreason.StageStalled, rockreason.Stalled, true},
		{rockreason.StageDied, rockreason.BackendFailed, true},
		{rockreason.StoppedNow, rockreason.StoppedNow, true},
		{rockreason.StageRefused, rockreason.BackendFailed, false},
	} {
		f := newFleet(t, 3, 4, 1)
		f.w.Callers.Get(1).RetryBudget = 20
		f.end = func(_ *fleet, s rocktable.Start) rocktable.AttemptEnded {
			return rocktable.AttemptEnded{Attempt: s.Attempt, Reason: test.reason, FailedServer: s.Path[0].Server}
		}
		id := f.addArrival(0, 0)
		f.run(20*time.Second, nil)
		f.wantCode(id, test.want)
		if f.answers[id].MayHaveRun != test.mayHaveRun {
			t.Errorf("%s: may have run %v, want %v", test.reason, f.answers[id].MayHaveRun, test.mayHaveRun)
		}
	}
}

// Guards against attempts that keep their slots after the caller left, and against a repeated end of
// an attempt that is processed again instead of being counted as a late event.
func TestCallerDisconnect(t *testing.T) {
	f := newFleet(t, 1, 1, 1)
	running, waiting := f.addArrival(0, 0), f.addArrival(0, 0)
	f.step()
	f.w.Inbox.CallerDisconnects = []rocktable.CallerDisconnect{{Request: running}, {Request: waiting}}
	f.step()
	f.wantCode(running, rockreason.CallerLeft)
	f.wantCode(waiting, rockreason.CallerLeft)
	if len(f.w.Outbox.Cancels) != 1 || f.w.Servers.Get(1).InFlight != 0 {
		t.Errorf("%d cancels and %d in flight, want 1 and 0", len(f.w.Outbox.Cancels), f.w.Servers.Get(1).InFlight)
	}
	f.w.Inbox.AttemptsEnded = []rocktable.AttemptEnded{{Attempt: f.starts[0].Attempt}}
	f.step()
	if f.w.Counters[rockreason.LateEvent] != 1 {
		t.Errorf("%d late events, want 1", f.w.Counters[rockreason.LateEvent])
	}
}

const poison = 1 << 40

// crasher makes each attempt with the poisonous content crash the middle stage and everything in
// flight there.
type crasher struct {
	crashes int
	linkCut bool // only the link to the backend server is cut; its process continues
	probeAt time.Time
	server  *rocktable.BackendServer
}

func (c *crasher) step(f *fleet) {
	if c.server != nil && !f.now.Before(c.probeAt) {
		c.server.StatusAt = f.now
		if !c.linkCut {
			c.server.Incarnation++
		}
		c.server = nil
	}
	for _, run := range f.running {
		r := f.w.Requests.Get(run.start.Request)
		if r == nil || r.Fingerprint != poison || f.now.Before(run.due.Add(-f.service/2)) {
			continue
		}
		s := f.w.Servers.Get(run.start.Path[1].Server)
		c.crashes++
		c.endAll(f, s)
		// A later probe reaches the new process, or the old one if only the link was cut.
		c.server, c.probeAt = s, f.now.Add(400*time.Millisecond)
		return
	}
}

func (c *crasher) endAll(f *fleet, s *rocktable.BackendServer) {
	f.running = slices.DeleteFunc(f.running, func(run running) bool {
		hit := run.start.Path[1].Server == s.ID
		if hit {
			f.w.Inbox.AttemptsEnded = append(f.w.Inbox.AttemptsEnded, rocktable.AttemptEnded{Attempt: run.start.Attempt, Reason: rockreason.StageDied, FailedServer: s.ID, Crashed: true})
		}
		return hit
	})
}

// Guards against a request that crashes one backend server after another and makes the requests
// beside it fail.
func TestPoisonousRequestIsQuarantined(t *testing.T) {
	f := newFleet(t, 4, 8, 4)
	for _, c := range f.w.Callers.All() {
		c.RetryBudget = 40
	}
	c := &crasher{}
	n := 0
	f.run(10*time.Second, func() {
		if n++; n%10 == 0 {
			f.addArrival(n/10%4, 1)
		}
		if n == 200 {
			f.addArrival(0, 1)
			f.w.Inbox.Arrivals[len(f.w.Inbox.Arrivals)-1].Request.Fingerprint = poison
		}
		c.step(f)
	})
	f.run(20*time.Second, func() { c.step(f) })
	if c.crashes == 0 || c.crashes > 3 {
		t.Errorf("%d crashes, want 1 to 3", c.crashes)
	}
	if f.codes[""] != 100 || f.codes[rockreason.BackendFailed] != 1 {
		t.Errorf("answers by code %v, want 100 complete and 1 failed", f.codes)
	}
	id := f.addArrival(1, 1)
	f.w.Inbox.Arrivals[0].Request.Fingerprint = poison
	f.step()
	f.wantCode(id, rockreason.Quarantined)
	f.w.Inbox.Resets = []rocktable.Reset{{Fingerprint: poison}}
	f.step()
	c.linkCut = true
	f.addArrival(1, 1)
	f.w.Inbox.Arrivals[0].Request.Fingerprint = poison
	f.step()
	if len(f.running) != 1 {
		t.Error("the request was not started after the reset of its quarantine")
	}
}

// Guards against requests that remain suspects although only the link to their backend server was
// cut.
func TestCutLinkMakesNoSuspects(t *testing.T) {
	f := newFleet(t, 2, 8, 1)
	c := &crasher{linkCut: true}
	f.addArrival(0, 1)
	f.w.Inbox.Arrivals[0].Request.Fingerprint = poison
	f.run(700*time.Millisecond, func() { c.step(f) })
	if c.crashes != 1 || f.w.Suspects.Len() != 1 {
		t.Fatalf("%d signs and %d suspects, want 1 and 1 unconfirmed suspect", c.crashes, f.w.Suspects.Len())
	}
	f.run(300*time.Millisecond, func() { c.step(f) })
	if f.w.Suspects.Len() != 0 {
		t.Errorf("%d suspects after the backend server answered with its old incarnation, want 0", f.w.Suspects.Len())
	}
}

// Guards against a crash that counts again in each tick in which an attempt ends because of it. The
// replays would then run alone, one after the other.
func TestLateEndsOfOneCrash(t *testing.T) {
	f := newFleet(t, 1, 8, 1)
	for range 3 {
		f.addArrival(0, 1)
	}
	f.step()
	s := f.w.Servers.Get(f.starts[0].Path[1].Server)
	s.FailedProbes = 2
	for _, start := range f.starts[:3] {
		f.w.Inbox.AttemptsEnded = append(f.w.Inbox.AttemptsEnded, rocktable.AttemptEnded{Attempt: start.Attempt, Reason: rockreason.StageDied, FailedServer: s.ID, Crashed: true})
		f.step()
	}
	for _, suspect := range f.w.Suspects.All() {
		if len(suspect.Crashes) != 1 {
			t.Errorf("content %d: %d crashes, want 1", suspect.Fingerprint, len(suspect.Crashes))
		}
	}
}

// Guards against queued requests that all go to a dead backend server, because its slots look free
// until probes mark it as down.
func TestCircuitBreakerOfUnreachableServer(t *testing.T) {
	f := newFleet(t, 2, 4, 1)
	complete := f.end
	dead := rocktable.BackendServerID(2)
	f.service = 500 * time.Millisecond
	f.end = func(f *fleet, s rocktable.Start) rocktable.AttemptEnded {
		if s.Path[1].Server == dead {
			return rocktable.AttemptEnded{Attempt: s.Attempt, Reason: rockreason.StageUnreachable, FailedServer: dead}
		}
		return complete(f, s)
	}
	n := 0
	// Only the link from this host is cut; peers still relay the backend server's reports. The
	// fleet does not run rockmember, so the test applies the reports itself.
	work := func() {
		n++
		if n%10 == 0 {
			f.addArrival(0, 1)
		}
		if n%50 == 0 {
			f.w.Servers.Get(dead).ConnectionFailed = false
		}
	}
	f.run(8*time.Second, work)
	failed := 0
	for _, s := range f.starts {
		if s.Path[1].Server == dead {
			failed++
		}
	}
	// Four attempts start before the first failure is known, then one each time that the
	// circuit breaker has been open, for 1, 2 and 4 s.
	if failed == 0 || failed > 8 {
		t.Errorf("%d attempts on the dead backend server, want 1 to 8", failed)
	}
	f.end = complete
	f.run(20*time.Second, work)
	if s := f.w.Servers.Get(dead); s.BreakerTrips != 0 {
		t.Errorf("%d trips after the backend server came back, want 0", s.BreakerTrips)
	}
}

// Guards against a lower concurrency limit at a backend server that took over a stream, caused by
// the gap that the failure of another backend server left.
func TestGapOfFailureDoesNotLowerLimits(t *testing.T) {
	f := newFleet(t, 2, 4, 1)
	complete := f.end
	f.end = func(f *fleet, s rocktable.Start) rocktable.AttemptEnded {
		if s.Epoch == 1 {
			return rocktable.AttemptEnded{Attempt: s.Attempt, Reason: rockreason.StageDied, FailedServer: s.Path[1].Server, Tokens: 20, FirstTokenAt: f.now, LargestGap: time.Millisecond}
		}
		e := complete(f, s)
		e.LargestGap = 3 * time.Second
		return e
	}
	f.addArrival(0, 0)
	f.run(3*time.Second, nil)
	for _, s := range f.w.Servers.All() {
		if s.ConcurrencyLimit != 0 {
			t.Errorf("backend server %s has the limit %v, want none", s.Name, s.ConcurrencyLimit)
		}
	}
}

// Guards against a cut link that makes suspects of all requests behind it. Signs at two stages of
// one attempt are at most one crash.
func TestSignsOfOneAttemptCountOnce(t *testing.T) {
	f := newFleet(t, 3, 4, 1)
	complete := f.end
	id := f.addArrival(0, 1)
	other := f.addArrival(0, 1)
	f.end = func(f *fleet, s rocktable.Start) rocktable.AttemptEnded {
		if s.Epoch > 1 {
			return complete(f, s)
		}
		// The first request reports stage 0 as failed, the other one stage 1. Where their paths
		// share a backend server, both requests get both signs.
		stage := 0
		if s.Request == other {
			stage = 1
		}
		return rocktable.AttemptEnded{Attempt: s.Attempt, Reason: rockreason.StageDied, FailedServer: s.Path[stage].Server, Crashed: true}
	}
	for _, s := range f.w.Servers.All() {
		if s.ID > 3 {
			s.State = rocktable.StateDown
		}
	}
	f.step()
	for i := range f.running {
		f.running[i].due = f.now
	}
	f.step()
	for _, r := range []rocktable.RequestID{id, other} {
		s := f.w.Suspects.Get(uint64(r))
		if s == nil || s.UnconfirmedSigns != 1 {
			t.Errorf("request %d: %+v, want 1 unconfirmed sign", r, s)
		}
	}
}
