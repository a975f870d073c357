package rockdaemon

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockstandin"
)

// Guards against incomplete or wrong answers over real connections without any fault.
func TestAnswersWithoutFaults(t *testing.T) {
	f := newFleet(t, 2)
	f.checkChats(12, 24, nil)
}

// Guards against lost, repeated or wrong tokens when the engine of a stage is killed while it
// serves streams.
func TestStageDiesInStreams(t *testing.T) {
	f := newFleet(t, 2)
	var kill sync.Once
	answers := f.checkChats(12, 60, func(n int) {
		if n == 10 {
			kill.Do(func() {
				f.injectFault(rockstandin.Fault{Target: f.busierEngine("runner-2", "runner-5"), Kind: rockstandin.FaultKill, ForMs: 2000})
			})
		}
	})
	replayed := 0
	for _, a := range answers {
		if a.attempts > 1 {
			replayed++
		}
	}
	if replayed == 0 {
		t.Error("no request had a second attempt: the fault hit no stream")
	}
}

// Guards against requests that hang when their connections stop delivering data while new
// connections work.
func TestSilentConnections(t *testing.T) {
	f := newFleet(t, 1)
	var silence sync.Once
	f.checkChats(6, 60, func(n int) {
		if n == 10 {
			silence.Do(func() { f.injectFault(rockstandin.Fault{Target: "yoff", Kind: rockstandin.FaultSilent}) })
		}
	})
}

// Guards against a non-idempotent call that runs twice, or a resend that gets a different answer,
// when answers of the table service are lost: the daemon then does not know whether its claim was
// stored.
func TestCallRunsOnceUnderLostAnswers(t *testing.T) {
	f := newFleet(t, 2)
	f.injectFault(rockstandin.Fault{Target: "platform", Kind: rockstandin.FaultLostAnswer, Times: 3})
	status, body, code := f.callService(f.daemons[0], "k-1", 7)
	if status != http.StatusCreated {
		t.Fatalf("status %d, code %q: %s", status, code, body)
	}
	resendStatus, resendBody, _ := f.callService(f.daemons[1], "k-1", 7)
	if resendStatus != status || resendBody != body {
		t.Errorf("resend got status %d %q, want %d %q", resendStatus, resendBody, status, body)
	}
	if n := f.standin.Counts().Runs["k-1"]; n != 1 {
		t.Errorf("call ran %d times, want 1", n)
	}
	if _, _, code := f.callService(f.daemons[0], "k-1", 8); code != "keyReused" {
		t.Errorf("same key with another body got code %q, want keyReused", code)
	}
}

// Guards against a call that runs without a claim during an outage of the platform, and against an
// outage that also stops model requests, which need no claim.
func TestPlatformOutage(t *testing.T) {
	f := newFleet(t, 2)
	f.injectFault(rockstandin.Fault{Target: "platform", Kind: rockstandin.FaultOutage})
	if status, _, code := f.callService(f.daemons[0], "k-2", 3); status != http.StatusServiceUnavailable || code != "platformOut" {
		t.Errorf("got status %d, code %q, want %d and platformOut", status, code, http.StatusServiceUnavailable)
	}
	if n := f.standin.Counts().Runs["k-2"]; n != 0 {
		t.Errorf("call refused as not run ran %d times, want 0", n)
	}
	f.checkChats(4, 16, nil)
	f.injectFault(rockstandin.Fault{Target: "platform", Kind: rockstandin.FaultOutage, Lift: true})
	f.eventually("call runs after the outage", func() bool {
		status, _, _ := f.callService(f.daemons[0], "k-2", 3)
		return status == http.StatusCreated
	})
}

// Guards against a graceful shutdown that interrupts streams, and against a peer that does not
// learn of the shutdown.
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
	f.eventually("shutdown begins", func() bool { return stopped.Load() && leaving.control.Snapshot().Draining })
	wg.Wait()
	<-leaving.done
	f.eventually("peer lists the host as leaving or down", func() bool {
		for _, h := range f.status(f.daemons[1]).Hosts {
			if h.Name == "entry-1" {
				return h.State == rocktable.StateLeaving || h.State == rocktable.StateDown
			}
		}
		return true
	})
	f.daemons = f.daemons[1:]
	f.checkChats(2, 8, nil)
}

// Guards against new sessions on a drained backend server, from the host that received the drain
// command or from its peers.
func TestDrainedServerGetsNoNewWork(t *testing.T) {
	f := newFleet(t, 2)
	f.daemons[0].control.Post(func(in *rocktable.Inbox) {
		in.Drains = append(in.Drains, rocktable.Drain{Server: "runner-1"})
	})
	f.eventually("both hosts list the server as leaving", func() bool {
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
	f.checkChats(12, 8, nil)
	if after := f.standin.Counts().Engines["runner-1"].Sessions; after != before {
		t.Errorf("drained backend server got %d new sessions, want 0", after-before)
	}
}
