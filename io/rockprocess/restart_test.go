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

// readiness reads /readyz of a host. ok is false if the host does not answer, or if the status
// contradicts the body.
func (f *fleet) readiness(h *host) (r rockhttp.Readiness, ok bool) {
	response, err := f.httpClient.Get("http://" + h.settings.CallersAddress + "/readyz")
	if err != nil {
		return r, false
	}
	defer response.Body.Close()
	err = json.NewDecoder(response.Body).Decode(&r)
	return r, err == nil && r.Ready == (response.StatusCode == http.StatusOK)
}

// Guards against a host that stays unready, serves an old configuration or reverts the
// configuration of its peers, when it restarts while its data centre has no connection to the
// platform.
func TestRestartsWithoutPlatform(t *testing.T) {
	p := newPlan(3)
	f := p.start(t)
	// The active version is not the first one; otherwise a reverted configuration would not be
	// noticed.
	p.config.Ranks[1].Worth = 2
	if code, out := f.apply(f.hosts[0], p.config); code != 0 {
		t.Fatalf("apply: exit code %d, want 0: %s", code, out)
	}
	const version = 2
	f.injectFault(rockstandin.Fault{Target: "platform", Kind: rockstandin.FaultCut})
	for i, h := range f.hosts {
		if i%2 == 0 {
			h.kill()
		} else {
			h.signal(syscall.SIGTERM)
			if code := h.waitForExit(); code != 0 {
				t.Errorf("%s: exit code %d, want 0", h.settings.Host, code)
			}
		}
		f.startDaemon(h)
		eventually(t, h.settings.Host+" is ready with the configuration of its peers", func() bool {
			r, ok := f.readiness(h)
			if ok && r.Ready && r.ConfigVersion != version {
				t.Fatalf("%s is ready with version %d, want %d", h.settings.Host, r.ConfigVersion, version)
			}
			return ok && r.Ready
		})
		prompt := fmt.Sprintf("after restart %d", i)
		eventually(t, h.settings.Host+" answers", func() bool {
			a := f.chat(h, prompt, 20, nil)
			if a.complete {
				f.check(a, prompt, 20)
			}
			return a.complete
		})
		for _, other := range f.hosts {
			if r, ok := f.readiness(other); !ok || r.ConfigVersion != version {
				t.Errorf("%s has version %d, want %d", other.settings.Host, r.ConfigVersion, version)
			}
		}
	}
	if a := f.callService(f.hosts[2], "cut", 3); a.ran != "notRun" {
		t.Errorf("call without the platform: got status %d, code %q, ran %q; want notRun", a.status, a.code, a.ran)
	}
	f.injectFault(rockstandin.Fault{Target: "platform", Kind: rockstandin.FaultCut, Lift: true})
	eventually(t, "calls run after the platform is reachable again", func() bool { return f.callService(f.hosts[0], "healed", 3).complete })
	for _, h := range f.hosts {
		if r, _ := f.readiness(h); r.ConfigVersion != version {
			t.Errorf("%s has version %d after the platform is reachable again, want %d", h.settings.Host, r.ConfigVersion, version)
		}
	}
	f.checkInvariants()
}
