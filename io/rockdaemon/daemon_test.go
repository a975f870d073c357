package rockdaemon

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockstandin"
)

// Guards against a request that does not come back whole and right over real connections.
func TestUndisturbedAnswers(t *testing.T) {
	f := newFleet(t, 2)
	f.chats(12, 24, nil)
}

// Guards against a lost, repeated or wrong token when a stage dies in the middle of streams.
func TestStageDiesInStreams(t *testing.T) {
	f := newFleet(t, 2)
	var kill sync.Once
	answers := f.chats(12, 60, func(n int) {
		if n == 10 {
			kill.Do(func() {
				f.fault(rockstandin.Fault{Target: f.busier("runner-2", "runner-5"), Kind: rockstandin.FaultKill, ForMs: 2000})
			})
		}
	})
	replayed := 0
	for _, a := range answers {
		if a.tries > 1 {
			replayed++
		}
	}
	if replayed == 0 {
		t.Error("no request was replayed: the failure did not strike")
	}
}

// Guards against requests held for good by connections that went silent while new ones work.
func TestSilentConnections(t *testing.T) {
	f := newFleet(t, 1)
	var silence sync.Once
	f.chats(6, 60, func(n int) {
		if n == 10 {
			silence.Do(func() { f.fault(rockstandin.Fault{Target: "yoff", Kind: rockstandin.FaultSilent}) })
		}
	})
}

// Guards against a non-idempotent call that runs twice, or a resend that gets another answer, when the table service's answers are lost.
func TestCallRunsOnceUnderLostAnswers(t *testing.T) {
	f := newFleet(t, 2)
	f.fault(rockstandin.Fault{Target: "platform", Kind: rockstandin.FaultLostAnswer, Times: 3})
	first, body, code := f.call(f.daemons[0], "k-1", 7)
	if first != http.StatusCreated {
		t.Fatalf("status %d, code %q: %s", first, code, body)
	}
	again, resent, _ := f.call(f.daemons[1], "k-1", 7)
	if again != first || resent != body {
		t.Errorf("the resend got status %d %q, want %d %q", again, resent, first, body)
	}
	if n := f.standin.Counts().Runs["k-1"]; n != 1 {
		t.Errorf("the call ran %d times, want 1", n)
	}
	if _, _, code := f.call(f.daemons[0], "k-1", 8); code != "keyReused" {
		t.Errorf("the key with another body got %q, want keyReused", code)
	}
}

// Guards against a call that runs without its claim while the platform is out, and against model requests that stop with it.
func TestPlatformOutage(t *testing.T) {
	f := newFleet(t, 2)
	f.fault(rockstandin.Fault{Target: "platform", Kind: rockstandin.FaultOutage})
	if status, _, code := f.call(f.daemons[0], "k-2", 3); status != http.StatusServiceUnavailable || code != "platformOut" {
		t.Errorf("status %d, code %q, want %d and platformOut", status, code, http.StatusServiceUnavailable)
	}
	if n := f.standin.Counts().Runs["k-2"]; n != 0 {
		t.Errorf("a call refused as not run ran %d times", n)
	}
	f.chats(4, 16, nil)
	f.fault(rockstandin.Fault{Target: "platform", Kind: rockstandin.FaultOutage, Lift: true})
	f.eventually("the call runs after the outage", func() bool {
		status, _, _ := f.call(f.daemons[0], "k-2", 3)
		return status == http.StatusCreated
	})
}

// Guards against a planned stop that cuts off a stream, or that keeps taking new work.
func TestGracefulStop(t *testing.T) {
	f := newFleet(t, 2)
	leaving := f.daemons[0]
	var stop sync.Once
	var stopped atomic.Bool
	var wg sync.WaitGroup
	for range 6 {
		wg.Go(func() {
			a := f.chat(leaving, "a long answer", 80, func(n int) {
				if n == 10 {
					stop.Do(func() { stopped.Store(true); leaving.stop() })
				}
			})
			f.check(a, "a long answer", 80)
		})
	}
	f.eventually("the stop begins", func() bool { return stopped.Load() && leaving.control.Snapshot().Draining })
	wg.Wait()
	<-leaving.done
	f.eventually("the peer learns of it", func() bool {
		for _, h := range f.status(f.daemons[1]).Hosts {
			if h.Name == "entry-1" {
				return h.State == rocktable.StateLeaving || h.State == rocktable.StateDown
			}
		}
		return true
	})
	f.daemons = f.daemons[1:]
	f.chats(2, 8, nil)
}

// Guards against new work on a backend server that an operator drained, on the host that was told and on its peers.
func TestDrainedServerGetsNoNewWork(t *testing.T) {
	f := newFleet(t, 2)
	f.daemons[0].control.Post(func(in *rocktable.Inbox) {
		in.Drains = append(in.Drains, rocktable.Drain{Server: "runner-1"})
	})
	f.eventually("both hosts know", func() bool {
		for _, m := range f.daemons {
			for _, s := range f.status(m).Servers {
				if s.Name == "runner-1" && s.State != rocktable.StateLeaving {
					return false
				}
			}
		}
		return true
	})
	before := f.standin.Counts().Engines["runner-1"].Sessions
	f.chats(12, 8, nil)
	if after := f.standin.Counts().Engines["runner-1"].Sessions; after != before {
		t.Errorf("the drained backend server got %d sessions", after-before)
	}
}
