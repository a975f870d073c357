package rockprocess

import (
	"strings"
	"sync"
	"testing"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockcommand"
	"sassafrasrock/io/rockstandin"
)

// storedVersion returns the version and the change ID of the stored configuration row.
func (f *fleet) storedVersion() (uint64, string) {
	f.t.Helper()
	var stored struct {
		Value   rocktable.ConfigRow `json:"value"`
		Version uint64              `json:"version"`
	}
	f.getJSON("http://"+f.platform+"/v1/tables/configuration/configuration", &stored)
	return stored.Version, stored.Value.ChangeID
}

// Guards against a configuration change that is applied twice, or reported as failed although it
// was stored, when answers of the platform are lost or the platform has an outage during the
// change.
func TestApplyDuringLostAnswers(t *testing.T) {
	t.Parallel() // parallel tests mostly wait and together start at most ten processes
	p := newPlan(2)
	f := p.start(t)
	before, _ := f.storedVersion()
	p.config.Ranks[1].Worth = 2
	f.injectFault(rockstandin.Fault{Target: "platform", Kind: rockstandin.FaultLostAnswer, ForMs: 1500})
	if code, out := f.apply(f.hosts[0], p.config); code != rockcommand.ExitOK {
		t.Errorf("apply: got exit code %d, want ExitOK: %s", code, out)
	}
	if n, _ := f.storedVersion(); n != before+1 {
		t.Errorf("got version %d after version %d, want the next one", n, before)
	}

	// The outage hides the result of the write, and the row cannot be read back. The change is
	// retried with its ID afterwards.
	p.config.Ranks[1].Worth = 3
	f.injectFault(rockstandin.Fault{Target: "platform", Kind: rockstandin.FaultOutage})
	code, out := f.apply(f.hosts[0], p.config, "--change-id", "repeated", "--wait", "0")
	t.Logf("apply during the outage: exit code %d", code)
	if code != rockcommand.ExitFailed {
		t.Errorf("apply during the outage: got exit code %d, want ExitFailed: %s", code, out)
	}
	f.injectFault(rockstandin.Fault{Target: "platform", Kind: rockstandin.FaultOutage, Lift: true})
	eventually(t, "retried change is accepted", func() bool {
		code, _ := f.apply(f.hosts[1], p.config, "--change-id", "repeated")
		return code == rockcommand.ExitOK
	})
	if n, id := f.storedVersion(); n != before+2 || id != "repeated" {
		t.Errorf("got version %d of change %q, want version %d of change \"repeated\"", n, id, before+2)
	}
	f.checkInvariants()
}

// Guards against concurrent changes of two operators that are both accepted for one version, or
// both rejected, when the platform is slow or its answers are lost.
func TestRacingOperators(t *testing.T) {
	t.Parallel() // parallel tests mostly wait and together start at most ten processes
	p := newPlan(2)
	f := p.start(t)
	for round, fault := range []rockstandin.Fault{
		{Target: "platform", Kind: rockstandin.FaultSlow, Factor: 1, DelayMs: 300, ForMs: 2000},
		{Target: "platform", Kind: rockstandin.FaultLostAnswer, ForMs: 2000},
	} {
		before, _ := f.storedVersion()
		f.injectFault(fault)
		var codes [2]int
		var outs [2]string
		var group sync.WaitGroup
		for i := range codes {
			cfg := p.config
			cfg.Ranks = append([]rocktable.RankConfig(nil), cfg.Ranks...)
			cfg.Ranks[1].Worth = float64(10*round + i + 2)
			group.Go(func() { codes[i], outs[i] = f.apply(f.hosts[i], cfg) })
		}
		group.Wait()
		after, id := f.storedVersion()
		accepted := 0
		for i, code := range codes {
			switch code {
			case rockcommand.ExitOK:
				accepted++
				if after == before+1 && !strings.Contains(outs[i], id) {
					t.Errorf("round %d: apply of operator %d succeeded, but change %s is active: %s", round, i, id, outs[i])
				}
			case rockcommand.ExitConflict:
			default:
				t.Errorf("round %d: apply of operator %d: got exit code %d, want ExitOK or ExitConflict: %s", round, i, code, outs[i])
			}
		}
		t.Logf("round %d: exit codes %v, version %d after version %d", round, codes, after, before)
		// Both are accepted, with consecutive versions, if the second operator read the version of
		// the first.
		if accepted == 0 || after != before+uint64(accepted) {
			t.Errorf("round %d: %d changes accepted, but version %d after version %d", round, accepted, after, before)
		}
	}
	f.checkInvariants()
}
