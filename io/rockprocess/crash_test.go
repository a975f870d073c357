package rockprocess

import (
	"sync"
	"testing"
	"time"

	"sassafrasrock/io/rockstandin"
)

// crashCount returns the number of crashes of backend servers, excluding stops by a fault of kind
// kill or restart.
func (f *fleet) crashCount() (n int) {
	for _, s := range f.counts().Servers {
		n += s.Crashes
	}
	return n
}

// crashPlan returns a plan with three hosts and four backend servers for each layer range. Some
// servers stay available while others restart.
func crashPlan() *fleetPlan {
	p := newPlan(3)
	p.standin.Engine.RestartMs = 1000
	for _, e := range p.standin.Engines {
		e.Name += "-b"
		p.standin.Engines = append(p.standin.Engines, e)
	}
	return p
}

// Guards against a request that crashes one backend server after the other when its caller resends
// it to all hosts, and against the loss of other requests in the batches that crash.
func TestCrashingRequest(t *testing.T) {
	f := crashPlan().start(t)
	f.injectFault(rockstandin.Fault{Target: "yoff", Kind: rockstandin.FaultCrash, Text: "poison"})
	const tokens = 400
	otherStreams := f.startStreams(f.hosts, 9, tokens, 20)
	ends := make(map[string]int)
	for round := range 2 {
		for i, h := range f.hosts {
			a := f.chat(h, "poison for the engines", 20, nil)
			if a.complete || a.code == "" {
				t.Errorf("round %d, host %d: got complete %t, code %q, error %v, want a reason code", round, i, a.complete, a.code, a.err)
			}
			ends[a.code]++
		}
	}
	otherStreams.Wait()
	t.Logf("the request ended with %v and crashed %d backend servers", ends, f.crashCount())
	if n := f.crashCount(); n == 0 || n > 3 {
		t.Errorf("%d backend servers crashed, want 1 to 3", n)
	}
	f.checkInvariants()
}

// Guards against a request that crashes backend servers once for each host when its caller sends it
// to all hosts at the same time.
func TestCrashingRequestOnAllHosts(t *testing.T) {
	f := crashPlan().start(t)
	f.injectFault(rockstandin.Fault{Target: "yoff", Kind: rockstandin.FaultCrash, Text: "poison"})
	var group sync.WaitGroup
	for i := range f.hosts {
		group.Go(func() {
			for end := time.Now().Add(conditionTimeout); time.Now().Before(end); {
				a := f.chat(f.hosts[i], "poison for the engines", 20, nil)
				if a.code == "quarantined" {
					return
				}
			}
			t.Errorf("host %d: request was not quarantined in time", i)
		})
	}
	group.Wait()
	t.Logf("the request crashed %d backend servers", f.crashCount())
	if n := f.crashCount(); n > 3 {
		t.Errorf("%d backend servers crashed, want at most 3", n)
	}
	prompt := "after the crashes"
	eventually(t, "other requests are answered after the crashes", func() bool { return f.chat(f.hosts[0], prompt, 20, nil).complete })
}
