package rockprocess

import (
	"fmt"
	"syscall"
	"testing"

	"sassafrasrock/io/rockstandin"
)

// Guards against requests that hang when their connections stop delivering data, and against
// backend servers that are then declared down although new connections to them work.
func TestSilentConnections(t *testing.T) {
	p := newPlan(2)
	for i := range p.standin.Applications {
		p.standin.Applications[i].CallMs = 2000
	}
	// The timeout of a call allows for one operation that fails on a silent connection to the
	// platform, not for several in a row.
	p.config.Services[0].TimeoutMs = 5500
	f := p.start(t)
	const streams, calls, tokens = 8, 6, 500
	before := make([]answer, calls)
	group := f.startStreams(f.hosts, streams, tokens, 40, "retryBudget")
	for k := range calls {
		group.Go(func() { before[k] = f.callService(f.hosts[k%2], fmt.Sprintf("k-%d", k), k) })
	}
	f.waitForRequests(streams + calls)
	f.injectFault(rockstandin.Fault{Target: "yoff", Kind: rockstandin.FaultSilent})
	f.injectFault(rockstandin.Fault{Target: "platform", Kind: rockstandin.FaultSilent})
	for i := range 8 {
		group.Go(func() {
			prompt := fmt.Sprintf("new request %d", i)
			// The retry budget need not cover all requests when they fail at once. A resend is a
			// new request outside of the budget.
			a := f.chat(f.hosts[i%2], prompt, 20, nil)
			if a.code == "retryBudget" {
				a, _ = f.resendChat(i, prompt, 20, nil)
			}
			f.check(a, prompt, 20)
		})
	}
	for k := range calls {
		key := fmt.Sprintf("new-%d", k)
		group.Go(func() {
			if a := f.callService(f.hosts[k%2], key, k); !a.complete {
				t.Errorf("%s: got status %d, code %q, error %v, want a complete answer", key, a.status, a.code, a.err)
			}
		})
	}
	group.Wait()
	ends := make(map[string]int)
	for k, a := range before {
		ends[fmt.Sprint(a.status, a.code)]++
		again := f.callService(f.hosts[(k+1)%2], fmt.Sprintf("k-%d", k), k)
		switch {
		case a.complete && again.body == a.body:
		case a.code == "outcomeUnknown" && again.code == "outcomeUnknown":
		case a.ran == "notRun" && (again.complete || again.code == "inProgress"):
		default:
			t.Errorf("k-%d: call got %d %q %v, resend got %d %q %v, which do not match", k, a.status, a.code, a.err, again.status, again.code, again.err)
		}
	}
	t.Logf("calls in flight when the connections went silent: %v", ends)
	for key, n := range f.counts().Runs {
		if n != 1 {
			t.Errorf("%s ran %d times, want 1", key, n)
		}
	}
	for _, h := range f.hosts {
		if n := h.countLogLines("what=backendServer", "to=down"); n > 0 {
			t.Errorf("%s declared %d backend servers down, want 0", h.settings.Host, n)
		}
	}
	f.checkInvariants()
}

// Guards against requests that wait for a suspended peer, and against a peer that stays down for
// the other hosts after it has resumed at the same address.
func TestSilentPeer(t *testing.T) {
	f := newPlan(3).start(t)
	suspended := f.hosts[1]
	suspended.signal(syscall.SIGSTOP)
	for i := range 6 {
		prompt := fmt.Sprintf("request number %d", i)
		h := f.hosts[i%2*2]
		f.check(f.chat(h, prompt, 20, nil), prompt, 20)
		if a := f.callService(h, fmt.Sprintf("k-%d", i), i); !a.complete {
			t.Errorf("k-%d: got status %d, code %q, want a complete answer", i, a.status, a.code)
		}
	}
	for _, i := range []int{0, 2} {
		eventually(t, "suspended peer is declared down", func() bool { return f.hosts[i].countLogLines("name="+suspended.settings.Host, "to=down") > 0 })
	}
	suspended.signal(syscall.SIGCONT)
	eventually(t, "all hosts serve after the peer resumes", func() bool {
		return f.isServing(f.hosts[0], 8) && f.isServing(suspended, 8) && f.isServing(f.hosts[2], 8)
	})
	for _, h := range f.hosts {
		if n := h.countLogLines("what=backendServer", "to=down"); n > 0 {
			t.Errorf("%s declared %d backend servers down, want 0", h.settings.Host, n)
		}
	}
	f.checkInvariants()
}
