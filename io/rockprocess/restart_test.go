package rockprocess

import (
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"testing"

	"sassafrasrock/io/rockhttp"
	"sassafrasrock/io/rockstandin"
)

// ready asks a host whether it is ready; ok is false while it does not answer.
func (f *fleet) ready(h *host) (r rockhttp.Readiness, ok bool) {
	response, err := f.client.Get("http://" + h.settings.CallersAddress + "/readyz")
	if err != nil {
		return r, false
	}
	defer response.Body.Close()
	err = json.NewDecoder(response.Body).Decode(&r)
	return r, err == nil && r.Ready == (response.StatusCode == http.StatusOK)
}

// Guards against a host that stays unready, serves an old configuration, or reverts that of others, when it restarts while its data centre is cut off from the platform.
func TestRestartsWithoutPlatform(t *testing.T) {
	p := newPlan(3)
	f := p.start(t)
	// The version in force is not the first one, so that a reverted one shows.
	p.config.Ranks[1].Worth = 2
	if code, out := f.apply(f.hosts[0], p.config); code != 0 {
		t.Fatalf("apply ended with %d: %s", code, out)
	}
	const version = 2
	f.fault(rockstandin.Fault{Target: "platform", Kind: rockstandin.FaultCut})
	for i, h := range f.hosts {
		if i%2 == 0 {
			h.kill()
		} else {
			h.signal(syscall.SIGTERM)
			if code := h.exit(); code != 0 {
				t.Errorf("%s ended with %d, want 0", h.settings.Host, code)
			}
		}
		f.launch(h)
		eventually(t, h.settings.Host+" is ready from its peers", func() bool {
			r, ok := f.ready(h)
			if ok && r.Ready && r.ConfigVersion != version {
				t.Fatalf("%s is ready with version %d, want %d", h.settings.Host, r.ConfigVersion, version)
			}
			return ok && r.Ready
		})
		prompt := fmt.Sprintf("after restart %d", i)
		eventually(t, h.settings.Host+" answers", func() bool {
			a := f.chat(h, prompt, 20, nil)
			if a.whole {
				f.check(a, prompt, 20)
			}
			return a.whole
		})
		for _, other := range f.hosts {
			if r, ok := f.ready(other); !ok || r.ConfigVersion != version {
				t.Errorf("%s has version %d, want %d", other.settings.Host, r.ConfigVersion, version)
			}
		}
	}
	if a := f.call(f.hosts[2], "cut", 3); a.ran != "notRun" {
		t.Errorf("a call without the platform: status %d, code %q, ran %q; want it refused as not run", a.status, a.code, a.ran)
	}
	f.fault(rockstandin.Fault{Target: "platform", Kind: rockstandin.FaultCut, Lift: true})
	eventually(t, "calls run after the cut", func() bool { return f.call(f.hosts[0], "healed", 3).whole })
	for _, h := range f.hosts {
		if r, _ := f.ready(h); r.ConfigVersion != version {
			t.Errorf("%s has version %d after the cut, want %d", h.settings.Host, r.ConfigVersion, version)
		}
	}
	f.noViolation()
}
