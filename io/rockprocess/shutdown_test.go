package rockprocess

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
)

// Guards against a planned stop that cuts a stream or a call off, takes new work, or ends with a failure.
func TestGracefulStopUnderLoad(t *testing.T) {
	p := newPlan(2)
	for i := range p.standin.Applications {
		p.standin.Applications[i].RunMs = 1000
	}
	f := p.start(t)
	leaving := f.hosts[0]
	const streams, calls, tokens = 10, 4, 400
	group := f.streams(f.hosts[:1], streams, tokens, 30)
	for k := range calls {
		key := fmt.Sprintf("k-%d", k)
		group.Go(func() {
			if a := f.call(leaving, key, k); !a.whole {
				t.Errorf("%s under the shutdown: status %d, code %q, error %v", key, a.status, a.code, a.err)
			}
		})
	}
	f.holding(streams + calls)
	leaving.signal(syscall.SIGTERM)
	eventually(t, "new work is refused", func() bool {
		a := f.chat(leaving, "late", 2, nil)
		return a.err != nil || a.code == "shuttingDown"
	})
	if !leaving.isRunning() {
		t.Error("the daemon ended before its streams")
	}
	group.Wait()
	if code := leaving.exit(); code != 0 {
		t.Errorf("exit code %d, want 0", code)
	}
	for key, n := range f.counts().Runs {
		if n != 1 {
			t.Errorf("%s ran %d times", key, n)
		}
	}
}

// Guards against a second signal that waits for streams, and against callers whose streams are cut off without a reason.
func TestSecondSignal(t *testing.T) {
	f := newPlan(2).start(t)
	leaving := f.hosts[0]
	// Undisturbed, these streams would last longer than the test.
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
			if a.whole || a.code != "stoppedNow" || a.ran != "mayHaveRun" {
				t.Errorf("stream %d: %d tokens, code %q, ran %q, error %v; want the reason stoppedNow", i, a.tokens, a.code, a.ran, a.err)
			}
		})
	}
	began.Wait()
	leaving.signal(syscall.SIGTERM)
	eventually(t, "the shutdown begins", func() bool {
		a := f.chat(leaving, "late", 2, nil)
		return a.code == "shuttingDown"
	})
	leaving.signal(syscall.SIGTERM)
	t.Logf("exit code %d", leaving.exit())
	group.Wait()
}
