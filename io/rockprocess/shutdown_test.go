package rockprocess

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"

	"sassafrasrock/io/rockstandin"
)

// Guards against a graceful shutdown that interrupts streams or calls, accepts new requests, or
// exits with an error.
func TestGracefulStopUnderLoad(t *testing.T) {
	p := newPlan(2)
	for i := range p.standin.Applications {
		p.standin.Applications[i].CallMs = 1000
	}
	f := p.start(t)
	leaving := f.hosts[0]
	const streams, calls, tokens = 10, 4, 400
	group := f.startStreams(f.hosts[:1], streams, tokens, 30)
	for k := range calls {
		key := fmt.Sprintf("k-%d", k)
		group.Go(func() {
			if a := f.callService(leaving, key, k); !a.complete {
				t.Errorf("%s during the shutdown: got status %d, code %q, error %v, want a complete answer", key, a.status, a.code, a.err)
			}
		})
	}
	f.waitForRequests(streams + calls)
	leaving.signal(syscall.SIGTERM)
	eventually(t, "new requests are refused", func() bool {
		a := f.chat(leaving, "late", 2, nil)
		return a.err != nil || a.code == "shuttingDown"
	})
	if !leaving.isRunning() {
		t.Error("daemon exited before its streams ended")
	}
	group.Wait()
	if code := leaving.waitForExit(); code != 0 {
		t.Errorf("got exit code %d, want 0", code)
	}
	for key, n := range f.counts().Runs {
		if n != 1 {
			t.Errorf("%s ran %d times, want 1", key, n)
		}
	}
}

// Guards against a daemon that waits for its streams after a second signal, and against streams
// that it interrupts without a reason.
func TestSecondSignal(t *testing.T) {
	f := newPlan(2).start(t)
	leaving := f.hosts[0]
	// Without the second signal, these streams would last longer than the test.
	const streams, tokens = 6, 30000
	var group sync.WaitGroup
	var began sync.WaitGroup
	began.Add(streams)
	for i := range streams {
		group.Go(func() {
			a := f.chat(leaving, fmt.Sprintf("endless %d", i), tokens, func(n int) {
				if n == 10 {
					began.Done()
				}
			})
			if a.complete || a.code != "stoppedNow" || a.ran != "mayHaveRun" {
				t.Errorf("stream %d: %d tokens, code %q, ran %q, error %v; want stoppedNow and mayHaveRun", i, a.tokens, a.code, a.ran, a.err)
			}
		})
	}
	began.Wait()
	leaving.signal(syscall.SIGTERM)
	eventually(t, "shutdown begins", func() bool {
		a := f.chat(leaving, "late", 2, nil)
		return a.code == "shuttingDown"
	})
	leaving.signal(syscall.SIGTERM)
	t.Logf("exit code %d", leaving.waitForExit())
	group.Wait()
}

// Guards against a daemon that waits beyond its grace, and so is killed with requests that have no answer.
func TestRequestsAreAnsweredBeforeTheGraceEnds(t *testing.T) {
	p := newPlan(2)
	p.standin.Kinds = []rockstandin.KindSettings{{Name: "fast", StepMs: 50}, {Name: "slow", StepMs: 50}} // no stream ends by itself
	p.limits.StopGraceS = 2
	p.config.Services[0].TimeoutMs = 60000
	for i := range p.standin.Applications {
		p.standin.Applications[i].CallMs = 50000 // longer than the test waits
	}
	f := p.start(t)
	leaving, other := f.hosts[0], f.hosts[1]
	const streams, calls, tokens = 4, 2, 30000
	var group sync.WaitGroup
	for i := range streams {
		group.Go(func() {
			a := f.chat(leaving, fmt.Sprintf("endless %d", i+1), tokens, nil)
			if a.complete || a.code != "stoppedNow" || a.ran != "mayHaveRun" {
				t.Errorf("stream %d: %d tokens, code %q, ran %q, error %v; want stoppedNow and mayHaveRun", i, a.tokens, a.code, a.ran, a.err)
			}
		})
	}
	for k := range calls {
		group.Go(func() {
			a := f.callService(leaving, fmt.Sprintf("k-%d", k), k)
			if a.complete || a.status != http.StatusBadGateway || a.code != "stoppedNow" || a.ran != "mayHaveRun" {
				t.Errorf("call %d: status %d, code %q, ran %q, error %v; want 502, stoppedNow and mayHaveRun", k, a.status, a.code, a.ran, a.err)
			}
		})
	}
	f.waitForRequests(streams + calls)
	leaving.signal(syscall.SIGTERM)
	if code := leaving.waitForExit(); code != 0 {
		t.Errorf("got exit code %d, want 0", code)
	}
	group.Wait()
	for k := range calls {
		if a := f.callService(other, fmt.Sprintf("k-%d", k), k); a.code != "outcomeUnknown" {
			t.Errorf("retry of call %d: got status %d, code %q, error %v; want outcomeUnknown", k, a.status, a.code, a.err)
		}
	}
}
