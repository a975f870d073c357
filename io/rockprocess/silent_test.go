package rockprocess

import (
	"fmt"
	"syscall"
	"testing"

	"sassafrasrock/io/rockstandin"
)

// Guards against requests held for good by connections that went silent, and against backend servers that count as down for it.
func TestSilentConnections(t *testing.T) {
	p := newPlan(2)
	for i := range p.standin.Applications {
		p.standin.Applications[i].RunMs = 500
	}
	// A call has time for one operation on a silent connection to the platform, not for one after the other.
	p.config.Services[0].TimeoutMs = 4000
	f := p.start(t)
	const streams, calls, tokens = 8, 6, 250
	before := make([]answer, calls)
	group := f.streams(f.hosts, streams, tokens, 40, "retryBudget")
	for k := range calls {
		group.Go(func() { before[k] = f.call(f.hosts[k%2], fmt.Sprintf("k-%d", k), k) })
	}
	f.holding(streams + calls)
	f.fault(rockstandin.Fault{Target: "yoff", Kind: rockstandin.FaultSilent})
	f.fault(rockstandin.Fault{Target: "platform", Kind: rockstandin.FaultSilent})
	for i := range 8 {
		group.Go(func() {
			prompt := fmt.Sprintf("new request %d", i)
			// All requests fail at once, which the retry budget need not cover; a resend is new work, which goes on.
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
			if a := f.call(f.hosts[k%2], key, k); !a.whole {
				t.Errorf("%s: status %d, code %q, error %v", key, a.status, a.code, a.err)
			}
		})
	}
	group.Wait()
	ends := make(map[string]int)
	for k, a := range before {
		ends[fmt.Sprint(a.status, a.code)]++
		again := f.call(f.hosts[(k+1)%2], fmt.Sprintf("k-%d", k), k)
		switch {
		case a.whole && again.body == a.body:
		case a.code == "outcomeUnknown" && again.code == "outcomeUnknown":
		case a.ran == "notRun" && (again.whole || again.code == "inProgress"):
		default:
			t.Errorf("k-%d: %d %q %v, resent: %d %q %v", k, a.status, a.code, a.err, again.status, again.code, again.err)
		}
	}
	t.Logf("calls under way: %v", ends)
	for key, n := range f.counts().Runs {
		if n != 1 {
			t.Errorf("%s ran %d times", key, n)
		}
	}
	for _, h := range f.hosts {
		if n := h.logged("what=backendServer", "to=down"); n > 0 {
			t.Errorf("%s declared %d backend servers down", h.settings.Host, n)
		}
	}
	f.noViolation()
}

// Guards against requests that wait for a peer that stopped, and against a peer that is not heard of again after it was replaced at the same address.
func TestSilentPeer(t *testing.T) {
	f := newPlan(3).start(t)
	silent := f.hosts[1]
	silent.signal(syscall.SIGSTOP)
	for i := range 6 {
		prompt := fmt.Sprintf("request number %d", i)
		h := f.hosts[i%2*2]
		f.check(f.chat(h, prompt, 20, nil), prompt, 20)
		if a := f.call(h, fmt.Sprintf("k-%d", i), i); !a.whole {
			t.Errorf("k-%d: status %d, code %q", i, a.status, a.code)
		}
	}
	for _, i := range []int{0, 2} {
		eventually(t, "the silent peer counts as down", func() bool { return f.hosts[i].logged("name="+silent.settings.Host, "to=down") > 0 })
	}
	silent.signal(syscall.SIGCONT)
	eventually(t, "the peer is back", func() bool { return f.serves(f.hosts[0], 8) && f.serves(silent, 8) && f.serves(f.hosts[2], 8) })
	for _, h := range f.hosts {
		if n := h.logged("what=backendServer", "to=down"); n > 0 {
			t.Errorf("%s declared %d backend servers down", h.settings.Host, n)
		}
	}
	f.noViolation()
}
