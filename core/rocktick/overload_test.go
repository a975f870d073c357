package rocktick_test

import (
	"testing"
	"time"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/core/rocktick"
)

// overload is a model of hosts in front of engines that share their time among all requests that they accepted, so that
// a request's first token takes longer the more wait for theirs.
type overload struct {
	now      time.Time
	worlds   []*rocktable.World
	waiting  map[overloadKey]*overloadRequest
	capacity float64 // first tokens in a second
	open     bool    // hosts admit everything, as they did without the window
	lastID   rocktable.RequestID

	inTime, late, left, refused int
}

type overloadKey struct {
	host    int
	attempt rocktable.AttemptID
}

type overloadRequest struct {
	request   rocktable.RequestID
	arrivedAt time.Time
	work      float64 // share of a first token that is done
}

const (
	overloadStep   = 10 * time.Millisecond
	overloadTarget = 500 * time.Millisecond
	callerPatience = 2 * time.Second // callers leave if they have no first token by then
	overloadHosts  = 4
	engineCapacity = 40.0 // first tokens in a second
)

func newOverload(open bool) *overload {
	o := &overload{now: start, waiting: make(map[overloadKey]*overloadRequest), capacity: engineCapacity, open: open}
	for i := range overloadHosts {
		w := newFullPathWorld(i)
		w.Ranks.Put(0, rocktable.Rank{Config: rocktable.RankConfig{Name: "r", FirstTokenMs: int(overloadTarget.Milliseconds()), GapMs: 250, Worth: 1}})
		addFullPathServer(w, "runner")
		o.worlds = append(o.worlds, w)
	}
	return o
}

// run lets requests arrive at a rate, over all hosts, for a time.
func (o *overload) run(perSecond float64, d time.Duration) {
	due := 0.0
	for end := o.now.Add(d); o.now.Before(end); {
		o.now = o.now.Add(overloadStep)
		due += perSecond * overloadStep.Seconds()
		for ; due >= 1; due-- {
			o.lastID++
			w := o.worlds[int(o.lastID)%len(o.worlds)]
			w.Inbox.Arrivals = append(w.Inbox.Arrivals, rocktable.Arrival{Request: rocktable.Request{
				ID: o.lastID, Caller: 1, Pipeline: 1, ArrivedAt: o.now, PromptTokens: 500, MaxTokens: 10,
			}})
		}
		o.work()
		for i, w := range o.worlds {
			if o.open {
				w.Pipelines.Get(1).FirstTokenWindow = 0
			}
			o.dispatch(i, rocktick.Run(o.now, w).Outbox)
			w.Inbox = rocktable.Inbox{}
		}
	}
}

// work divides the capacity of one step among the waiting requests.
func (o *overload) work() {
	share := o.capacity * overloadStep.Seconds() / float64(max(1, len(o.waiting)))
	for key, r := range o.waiting {
		w, age := o.worlds[key.host], o.now.Sub(r.arrivedAt)
		r.work += share
		switch {
		case age >= callerPatience:
			o.left++
			w.Inbox.CallerDisconnects = append(w.Inbox.CallerDisconnects, rocktable.CallerDisconnect{Request: r.request})
			w.Inbox.AttemptsEnded = append(w.Inbox.AttemptsEnded, rocktable.AttemptEnded{Attempt: key.attempt, Reason: "callerLeft"})
		case r.work < 1:
			continue
		default:
			if age <= overloadTarget {
				o.inTime++
			} else {
				o.late++
			}
			w.Inbox.Progress = append(w.Inbox.Progress, rocktable.Progress{Attempt: key.attempt, Tokens: 1, FirstTokenAt: o.now})
			w.Inbox.AttemptsEnded = append(w.Inbox.AttemptsEnded, rocktable.AttemptEnded{Attempt: key.attempt, Tokens: 1, FirstTokenAt: o.now})
		}
		delete(o.waiting, key)
	}
}

func (o *overload) dispatch(host int, out rocktable.Outbox) {
	for _, s := range out.Starts {
		o.waiting[overloadKey{host, s.Attempt}] = &overloadRequest{request: s.Request, arrivedAt: o.worlds[host].Requests.Get(s.Request).ArrivedAt}
	}
	for _, a := range out.Answers {
		if a.Reason == "shed" || a.Reason == "wouldMissTarget" {
			o.refused++
		}
	}
}

// Guards against the collapse of a fleet that takes in more than it can read: twice the capacity arrives for 10 s, as
// after the loss of a data centre at the peak. Without a bound on what waits in the engines, all first tokens are
// late or never come.
func TestOverloadKeepsGoodput(t *testing.T) {
	const length = 10 * time.Second
	open, bounded := newOverload(true), newOverload(false)
	open.run(2*engineCapacity, length)
	bounded.run(2*engineCapacity, length)
	t.Logf("admit everything: %d in time, %d late, %d left, %d refused", open.inTime, open.late, open.left, open.refused)
	t.Logf("window:           %d in time, %d late, %d left, %d refused", bounded.inTime, bounded.late, bounded.left, bounded.refused)
	if possible := int(engineCapacity * length.Seconds()); bounded.inTime < possible/2 || bounded.inTime+bounded.late < possible*9/10 {
		t.Errorf("%d first tokens in time and %d late, want at least half of the %d that the engines can make in time and a tenth lost", bounded.inTime, bounded.late, possible)
	}
	if bounded.left > open.left/4 {
		t.Errorf("%d callers left without a first token, want at most a quarter of the %d without the window", bounded.left, open.left)
	}
	inTime := bounded.inTime
	const calm = 10 * time.Second
	bounded.run(engineCapacity/2, calm)
	if want := int(engineCapacity / 2 * calm.Seconds() * 0.9); bounded.inTime-inTime < want {
		t.Errorf("after the overload: %d first tokens in time, want at least %d", bounded.inTime-inTime, want)
	}
}
