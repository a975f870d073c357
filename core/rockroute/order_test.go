package rockroute_test

import (
	"testing"
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// Guards against lower ranks that get nothing while many urgent requests arrive.
func TestFloorsHoldInUrgentFlood(t *testing.T) {
	f := newFleet(t, 1, 10, 3)
	f.run(20*time.Second, func() {
		f.addArrival(0, 0)
		f.addArrival(1, 1)
		f.addArrival(2, 2)
	})
	total := f.tally(0, 0).Answered + f.tally(1, 1).Answered + f.tally(2, 2).Answered
	for rank := rocktable.RankID(1); rank <= 2; rank++ {
		if got := f.tally(int(rank), rank).Answered; got*10 < total {
			t.Errorf("rank %d: %d of %d answers, want at least the floor of 10%%", rank, got, total)
		}
	}
	if got := f.tally(0, 0).Answered; got*100 < 70*total {
		t.Errorf("urgent: %d of %d answers, want at least 70%%", got, total)
	}
}

// Guards against urgent requests that miss their target behind queued background requests.
func TestUrgentIsServedInBackgroundFlood(t *testing.T) {
	f := newFleet(t, 1, 10, 2)
	f.service = 300 * time.Millisecond
	n := 0
	f.run(20*time.Second, func() {
		f.addArrival(1, 2)
		if n++; n%20 == 0 {
			f.addArrival(0, 0)
		}
	})
	got := f.tally(0, 0)
	if got.WithinTarget < 95 || got.Refused+got.Failed > 0 {
		t.Errorf("urgent: %+v, want at least 95 of 100 within the target and none refused", got)
	}
}

// Guards against a large caller that starves a small one of the same rank.
func TestSmallCallerBesideLarge(t *testing.T) {
	f := newFleet(t, 1, 10, 2)
	n := 0
	f.run(30*time.Second, func() {
		f.addArrival(0, 1)
		f.addArrival(0, 1)
		if n++; n%25 == 0 {
			f.addArrival(1, 1)
		}
	})
	f.run(2*time.Second, func() { f.addArrival(0, 1) })
	// The capacity is 10 requests/s; the small caller asks for 4, less than half.
	if small := f.tally(1, 1); small.WithinTarget != 120 {
		t.Errorf("small caller: %+v, want 120 within the target", small)
	}
}

// Guards against credit for idle time, with which a returning caller would block the others.
func TestIdleTimeEarnsNoCredit(t *testing.T) {
	f := newFleet(t, 1, 10, 2)
	f.run(10*time.Second, func() { f.addArrival(0, 2) })
	before := f.tally(0, 2).Answered
	f.run(10*time.Second, func() { f.addArrival(0, 2); f.addArrival(1, 2) })
	if got := f.tally(0, 2).Answered - before; got < 40 {
		t.Errorf("first caller: %d answers in 10 s beside a returning one, want about 50", got)
	}
}

// Guards against refusals on arrival while the service rate is unknown, and against a queue in
// which all requests miss their target.
func TestRefusalOnArrival(t *testing.T) {
	f := newFleet(t, 1, 10, 1)
	f.service = 300 * time.Millisecond
	for range 150 {
		f.addArrival(0, 0)
	}
	f.step()
	if n := f.codes[rockreason.WouldMissTarget]; n != 0 {
		t.Fatalf("%d requests refused at a cold start", n)
	}
	f.run(5*time.Second, func() { f.addArrival(0, 0) })
	shed, before := f.codes[rockreason.Shed], f.tally(0, 0)
	if shed == 0 {
		t.Error("no request of the cold start was shed, although requests were queued for twice their target")
	}
	f.run(10*time.Second, func() { f.addArrival(0, 0) })
	after := f.tally(0, 0)
	answered, withinTarget := after.Answered-before.Answered, after.WithinTarget-before.WithinTarget
	if answered < 300 || withinTarget*10 < answered*9 || f.codes[rockreason.Shed] > shed {
		t.Errorf("%d answered, %d within the target, %d shed, want about 330, nine tenths and none", answered, withinTarget, f.codes[rockreason.Shed]-shed)
	}
	if n := f.codes[rockreason.WouldMissTarget]; n < 600 {
		t.Errorf("%d refused on arrival, want at least 600 of 1500", n)
	}
	for _, a := range f.answers {
		if a.Reason == rockreason.WouldMissTarget && a.RetryAfter <= 0 {
			t.Fatalf("request %d: retry after %v, want a positive time", a.Request, a.RetryAfter)
		}
	}
}

// Guards against a full queue that refuses a request of a light caller because of a heavy one.
func TestFullQueueShedsHeaviest(t *testing.T) {
	f := newFleet(t, 1, 1, 2)
	f.w.Ranks.Get(2).Config.MaxQueue = 10
	for range 12 {
		f.addArrival(0, 2)
	}
	f.step()
	if f.codes[rockreason.QueueFull] != 2 {
		t.Errorf("%d refused by a full queue, want 2", f.codes[rockreason.QueueFull])
	}
	f.addArrival(0, 2) // takes the queue slot of the request that started
	id := f.addArrival(1, 2)
	f.step()
	if a, ok := f.answers[id]; ok {
		t.Errorf("small caller got %q, want a slot in the queue", a.Reason)
	}
	if f.codes[rockreason.Shed] != 1 {
		t.Errorf("%d shed, want 1 of the large caller", f.codes[rockreason.Shed])
	}
}

// Guards against a host that holds more requests than its memory allows, and against background
// requests that keep urgent ones out.
func TestHostFull(t *testing.T) {
	f := newFleet(t, 1, 1, 2)
	f.w.Limits.MaxRequests = 4
	for range 5 {
		f.addArrival(0, 2)
	}
	f.step()
	f.wantCode(5, rockreason.HostFull)
	id := f.addArrival(1, 0)
	f.step()
	f.wantCode(4, rockreason.Shed)
	if _, ok := f.answers[id]; ok {
		t.Error("the urgent request was not admitted in place of background work")
	}
}

// Guards against a caller's limit that each host grants in full, and against one that the caller
// can't use at the host where its demand is.
func TestCallerLimit(t *testing.T) {
	f := newFleet(t, 1, 50, 1)
	c := f.w.Callers.Get(1)
	c.Config.TokensPerSecond, c.Config.Burst = 1000, 100
	f.run(10*time.Second, func() { f.addArrival(0, 2) })
	if got := f.tally(0, 2).Answered; got < 80 || got > 105 {
		t.Errorf("%d answers of 100 tokens in 10 s, want about 90 at 1000 tokens/s", got)
	}
	if f.codes[rockreason.CallerLimit] == 0 {
		t.Error("no request was refused by the caller's limit")
	}
	before := f.tally(0, 2).Answered
	f.run(10*time.Second, func() {
		c.PeerDemand = c.Demand * 3
		f.addArrival(0, 2)
	})
	if got := f.tally(0, 2).Answered - before; got < 20 || got > 40 {
		t.Errorf("%d answers with a quarter of the demand here, want about 25", got)
	}
}

// Guards against refusals with a wrong code, and against requests accepted by a host that
// can't serve them.
func TestRefusalCodes(t *testing.T) {
	f := newFleet(t, 1, 1, 1)
	f.w.Ready = false
	f.addArrival(0, 0)
	f.step()
	f.wantCode(1, rockreason.NotReady)
	f.w.Draining = true
	f.addArrival(0, 0)
	f.step()
	f.wantCode(2, rockreason.ShuttingDown)
	f.w.Draining, f.w.Ready = false, true
	f.addArrival(0, 9)
	f.step()
	f.wantCode(3, rockreason.UnknownRank)
	f.w.Servers.Get(1).State = rocktable.StateDown
	f.addArrival(0, 2)
	f.run(time.Second, nil)
	if len(f.answers) != 3 {
		t.Error("a request without a path was answered before noPathWait was over")
	}
	f.run(2*time.Second, nil)
	f.wantCode(4, rockreason.NoPath)
	if got := f.tally(0, 2); got.Refused != 1 {
		t.Errorf("tally %+v, want 1 refused", got)
	}
}

// Guards against hosts that together send a backend server more work than its slots. Sessions that
// wait there occupy their slots on the other stages without using them. A host gives back its share
// of the excess, but keeps an even share.
func TestReportedSessionsOfOthersTakeSlots(t *testing.T) {
	for _, test := range []struct{ own, others, want int }{
		{own: 0, others: 0, want: 8},
		{own: 4, others: 4, want: 4},
		{own: 6, others: 6, want: 4},
		{own: 6, others: 1, want: 7},
		{own: 0, others: 8, want: 4},
	} {
		f := newFleet(t, 1, 8, 1)
		f.w.InternHost("entry-2")
		f.w.Servers.Get(1).InFlightAtReport, f.w.Servers.Get(1).OtherSessionsAtReport = test.own, test.others
		for range 10 {
			f.addArrival(0, 0)
		}
		f.step()
		if got := f.w.Servers.Get(1).InFlight; got != test.want {
			t.Errorf("%d attempts with %d own and %d other sessions in the report, want %d", got, test.own, test.others, test.want)
		}
	}
}

// Guards against slots given to requests that can no longer meet their target, while others that
// still can are queued.
func TestLateRequestsAreShedBeforeTheyStart(t *testing.T) {
	f := newFleet(t, 1, 1, 1)
	f.w.Pipelines.Get(1).FirstTokenDelay = 200 * time.Millisecond
	f.service = 5 * time.Second
	f.addArrival(0, 0)
	late := f.addArrival(0, 0)
	f.run(790*time.Millisecond, nil)
	if a, ok := f.answers[late]; ok {
		t.Errorf("answer %q before the latest start that meets the target", a.Reason)
	}
	f.run(20*time.Millisecond, nil)
	f.wantCode(late, rockreason.Shed)
}
