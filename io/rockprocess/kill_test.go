package rockprocess

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against lost or wrong answers, and against calls that run twice, when a host is killed
// while it serves them and the callers resend to other hosts.
func TestKilledHost(t *testing.T) {
	p := newPlan(3)
	for i := range p.standin.Applications {
		p.standin.Applications[i].CallMs = 300
	}
	f := p.start(t)
	killed := f.hosts[0]
	const calls = 8
	recorded := f.callService(killed, "recorded", 5)
	if recorded.status != http.StatusCreated {
		t.Fatalf("got status %d, code %q, want status 201", recorded.status, recorded.code)
	}
	before := make([]answer, calls)
	var once sync.Once
	var kill atomic.Bool
	var streams, running sync.WaitGroup
	var resent atomic.Int32
	for i := range 12 {
		streams.Go(func() {
			prompt := fmt.Sprintf("request number %d", i)
			a, sent := f.resendChat(i, prompt, 250, func(n int) {
				if n == 50 {
					once.Do(func() {
						for k := range calls {
							running.Go(func() { before[k] = f.callService(killed, fmt.Sprintf("k-%d", k), k) })
							time.Sleep(50 * time.Millisecond) // the kill then hits the calls in different states
						}
						kill.Store(true)
						killed.kill()
					})
				}
			})
			if sent > 1 {
				resent.Add(1)
			}
			f.check(a, prompt, 250)
		})
	}
	streams.Wait()
	running.Wait()
	if resent.Load() == 0 {
		t.Error("no stream was resent: the kill hit no stream")
	}
	after := make(map[string]int)
	for k := range calls {
		key := fmt.Sprintf("k-%d", k)
		a := f.callService(f.hosts[1+k%2], key, k)
		outcome := fmt.Sprint(a.status, " ", a.code)
		after[outcome]++
		switch {
		case a.status == http.StatusCreated && before[k].complete && a.body != before[k].body:
			t.Errorf("%s: resend got %q, want %q as the call", key, a.body, before[k].body)
		case a.status != http.StatusCreated && a.code != "inProgress" && a.code != "outcomeUnknown":
			t.Errorf("%s: resend got %s, want an answer, inProgress or outcomeUnknown", key, outcome)
		case a.status != http.StatusCreated && before[k].complete:
			t.Errorf("%s: resend of an answered call got %s, want its answer", key, outcome)
		}
	}
	t.Logf("resends after the kill: %v", after)
	if a := f.callService(f.hosts[1], "recorded", 5); a.status != recorded.status || a.body != recorded.body {
		t.Errorf("resend of a recorded call got %d %q, want %d %q", a.status, a.body, recorded.status, recorded.body)
	}
	for key, n := range f.counts().Runs {
		if n != 1 {
			t.Errorf("%s ran %d times, want 1", key, n)
		}
	}
	f.checkInvariants()
}
