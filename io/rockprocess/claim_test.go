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

// Guards against a call that runs twice when its host is stopped between the claim and the call, and the caller resends meanwhile.
func TestStoppedWithClaim(t *testing.T) {
	t.Parallel() // with the tests that mostly wait; together they have no more than ten processes
	p := newPlan(2)
	p.config.Services[0].TimeoutMs = 3000
	f := p.start(t)
	f.stopWithClaim("short", true)
	f.stopWithClaim("long", false)
	f.noViolation()
}

// stopWithClaim stops a host between the claim and the call, and continues it within the time that the call has or later.
func (f *fleet) stopWithClaim(key string, within bool) {
	f.t.Helper()
	t := f.t
	// The claim takes effect at once and its answer comes a second later, when the host is stopped.
	f.fault(rockstandin.Fault{Target: "platform", Kind: rockstandin.FaultSlow, Factor: 500})
	var first answer
	var call sync.WaitGroup
	call.Go(func() { first = f.call(f.hosts[0], key, 7) })
	eventually(t, "the claim is stored", func() bool {
		row, ok := readRow[rocktable.ClaimRow](f, "claims", rockclaim.ClaimKey("guild", "squares", key))
		return ok && row.State == rocktable.ClaimRowClaimed
	})
	f.hosts[0].signal(syscall.SIGSTOP)
	f.fault(rockstandin.Fault{Target: "platform", Kind: rockstandin.FaultSlow, Lift: true})
	if a := f.call(f.hosts[1], key, 7); a.code != "inProgress" {
		t.Errorf("the resend got status %d, code %q, want inProgress", a.status, a.code)
	}
	if n := f.counts().Runs[key]; n != 0 {
		t.Errorf("the call ran %d times while its host was stopped", n)
	}
	if !within {
		time.Sleep(3 * time.Second) // past the time of the call
	}
	var resent answer
	f.hosts[0].signal(syscall.SIGCONT)
	eventually(t, "the resend ends", func() bool {
		resent = f.call(f.hosts[1], key, 7)
		return resent.code != "inProgress"
	})
	call.Wait()
	t.Logf("call: %d %s, resend: %d %s", first.status, first.code, resent.status, resent.code)
	if resent.status != http.StatusCreated || first.whole && first.body != resent.body {
		t.Errorf("the resend got %d %q %s, the call %d %q %s", resent.status, resent.body, resent.code, first.status, first.body, first.code)
	}
	if !first.whole && (first.ran != "notRun" || within) {
		t.Errorf("the call got %d %q, ran %q", first.status, first.code, first.ran)
	}
	if n := f.counts().Runs[key]; n != 1 {
		t.Errorf("the call ran %d times, want 1", n)
	}
}
