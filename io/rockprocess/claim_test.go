package rockprocess

import (
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"sassafrasrock/core/rockclaim"
	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockstandin"
)

// Guards against a call that runs twice when its host is suspended between the claim and the call,
// and the caller meanwhile resends it to another host.
func TestHostStoppedAfterClaim(t *testing.T) {
	t.Parallel() // parallel tests mostly wait and together start at most ten processes
	p := newPlan(2)
	p.config.Services[0].TimeoutMs = 3000
	f := p.start(t)
	f.checkStopAfterClaim("short", true)
	f.checkStopAfterClaim("long", false)
	f.checkInvariants()
}

// checkStopAfterClaim suspends a host between the claim and the call, and resumes it within the
// timeout of the call or later.
func (f *fleet) checkStopAfterClaim(key string, withinTimeout bool) {
	f.t.Helper()
	t := f.t
	// The claim is stored at once, but its answer arrives a second later, when the host is
	// suspended.
	f.injectFault(rockstandin.Fault{Target: "platform", Kind: rockstandin.FaultSlow, Factor: 500})
	var first answer
	var call sync.WaitGroup
	call.Go(func() { first = f.callService(f.hosts[0], key, 7) })
	eventually(t, "claim is stored", func() bool {
		row, ok := readRow[rocktable.ClaimRow](f, "claims", rockclaim.ClaimKey("guild", "squares", key))
		return ok && row.State == rocktable.ClaimRowClaimed
	})
	f.hosts[0].signal(syscall.SIGSTOP)
	f.injectFault(rockstandin.Fault{Target: "platform", Kind: rockstandin.FaultSlow, Lift: true})
	if a := f.callService(f.hosts[1], key, 7); a.code != "inProgress" {
		t.Errorf("resend got status %d, code %q, want code inProgress", a.status, a.code)
	}
	if n := f.counts().Runs[key]; n != 0 {
		t.Errorf("call ran %d times while its host was suspended, want 0", n)
	}
	if !withinTimeout {
		time.Sleep(3 * time.Second) // past the timeout of the call
	}
	var resent answer
	f.hosts[0].signal(syscall.SIGCONT)
	eventually(t, "resend gets a final answer", func() bool {
		resent = f.callService(f.hosts[1], key, 7)
		return resent.code != "inProgress"
	})
	call.Wait()
	t.Logf("call: %d %s, resend: %d %s", first.status, first.code, resent.status, resent.code)
	if resent.status != http.StatusCreated || first.complete && first.body != resent.body {
		t.Errorf("resend got %d %q %s, want the answer of the call, which got %d %q %s", resent.status, resent.body, resent.code, first.status, first.body, first.code)
	}
	if !first.complete && (first.ran != "notRun" || withinTimeout) {
		t.Errorf("call got status %d, code %q, ran %q; want a complete answer, or notRun after the timeout", first.status, first.code, first.ran)
	}
	if n := f.counts().Runs[key]; n != 1 {
		t.Errorf("call ran %d times, want 1", n)
	}
}
