package rockprocess

import (
	"sync"
	"testing"
	"time"

	"sassafrasrock/io/rockstandin"
)

// crashes returns how many times backend servers crashed by themselves.
func (f *fleet) crashes() (n int) {
	for _, s := range f.counts().Servers {
		n += s.Crashes
	}
	return n
}

// crashPlan returns three hosts before four backend servers for each layer range, so that some are left while others restart.
func crashPlan() *plan {
	p := newPlan(3)
	p.standin.Engine.RestartMs = 1000
	for _, e := range p.standin.Engines {
		e.Name += "-b"
		p.standin.Engines = append(p.standin.Engines, e)
	}
	return p
}

// Guards against a request that takes down one backend server after the other when its caller resends it through all hosts, and against innocent requests of the same batches that are lost with it.
func TestCrashingRequest(t *testing.T) {
	f := crashPlan().start(t)
	f.fault(rockstandin.Fault{Target: "yoff", Kind: rockstandin.FaultCrash, Text: "poison"})
	const tokens = 400
	innocent := f.streams(f.hosts, 9, tokens, 20)
	ends := make(map[string]int)
	for round := range 2 {
		for i, h := range f.hosts {
			a := f.chat(h, "poison for the engines", 20, nil)
			if a.whole || a.code == "" {
				t.Errorf("round %d, host %d: whole %t, code %q, error %v", round, i, a.whole, a.code, a.err)
			}
			ends[a.code]++
		}
	}
	innocent.Wait()
	t.Logf("the request ended with %v and took %d backend servers down", ends, f.crashes())
	if n := f.crashes(); n == 0 || n > 3 {
		t.Errorf("%d backend servers crashed, want 1 to 3", n)
	}
	f.noViolation()
}

// Guards against a request that takes down backend servers for each host when its caller sends it through all hosts at the same time.
func TestCrashingRequestEverywhere(t *testing.T) {
	f := crashPlan().start(t)
	f.fault(rockstandin.Fault{Target: "yoff", Kind: rockstandin.FaultCrash, Text: "poison"})
	var group sync.WaitGroup
	for i := range f.hosts {
		group.Go(func() {
			for end := time.Now().Add(patience); time.Now().Before(end); {
				a := f.chat(f.hosts[i], "poison for the engines", 20, nil)
				if a.code == "quarantined" {
					return
				}
			}
			t.Errorf("host %d: the request is not quarantined", i)
		})
	}
	group.Wait()
	t.Logf("the request took %d backend servers down", f.crashes())
	if n := f.crashes(); n > 3 {
		t.Errorf("%d backend servers crashed, want at most 3", n)
	}
	prompt := "after the crashes"
	eventually(t, "requests are answered again", func() bool { return f.chat(f.hosts[0], prompt, 20, nil).whole })
}
