package rockprocess

import (
	"strings"
	"sync"
	"testing"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockcommand"
	"sassafrasrock/io/rockstandin"
)

// version returns the version of the configuration row as stored, and its change id.
func (f *fleet) version() (uint64, string) {
	f.t.Helper()
	var stored struct {
		Value   rocktable.ConfigRow `json:"value"`
		Version uint64              `json:"version"`
	}
	f.get("http://"+f.platform+"/v1/tables/configuration/configuration", &stored)
	return stored.Version, stored.Value.ChangeID
}

// Guards against a change that is applied twice, or reported as failed, when the platform's answers are lost or the platform goes out under it.
func TestApplyDuringLostAnswers(t *testing.T) {
	t.Parallel() // with the tests that mostly wait; together they have no more than ten processes
	p := newPlan(2)
	f := p.start(t)
	before, _ := f.version()
	p.config.Ranks[1].Worth = 2
	f.fault(rockstandin.Fault{Target: "platform", Kind: rockstandin.FaultLostAnswer, ForMs: 1500})
	if code, out := f.apply(f.hosts[0], p.config); code != rockcommand.ExitOK {
		t.Errorf("apply ended with %d: %s", code, out)
	}
	if n, _ := f.version(); n != before+1 {
		t.Errorf("version %d after %d, want one more", n, before)
	}

	// The answer is lost and the platform is out when the row is read back; the change is repeated with its id afterwards.
	p.config.Ranks[1].Worth = 3
	f.fault(rockstandin.Fault{Target: "platform", Kind: rockstandin.FaultOutage})
	code, out := f.apply(f.hosts[0], p.config, "--change-id", "repeated", "--wait", "0")
	t.Logf("apply while the platform is out ended with %d", code)
	if code != rockcommand.ExitFailed {
		t.Errorf("apply while the platform is out ended with %d: %s", code, out)
	}
	f.fault(rockstandin.Fault{Target: "platform", Kind: rockstandin.FaultOutage, Lift: true})
	eventually(t, "the repeated change is accepted", func() bool {
		code, _ := f.apply(f.hosts[1], p.config, "--change-id", "repeated")
		return code == rockcommand.ExitOK
	})
	if n, id := f.version(); n != before+2 || id != "repeated" {
		t.Errorf("version %d of change %q, want %d of repeated", n, id, before+2)
	}
	f.noViolation()
}

// Guards against two operators of whom both, or neither, get their change in force, also when the answers of the platform are lost.
func TestRacingOperators(t *testing.T) {
	t.Parallel() // with the tests that mostly wait; together they have no more than ten processes
	p := newPlan(2)
	f := p.start(t)
	for round, fault := range []rockstandin.Fault{
		{Target: "platform", Kind: rockstandin.FaultSlow, Factor: 1, DelayMs: 300, ForMs: 2000},
		{Target: "platform", Kind: rockstandin.FaultLostAnswer, ForMs: 2000},
	} {
		before, _ := f.version()
		f.fault(fault)
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
		after, id := f.version()
		accepted := 0
		for i, code := range codes {
			switch code {
			case rockcommand.ExitOK:
				accepted++
				if after == before+1 && !strings.Contains(outs[i], id) {
					t.Errorf("round %d: operator %d was told of success, but %s is in force: %s", round, i, id, outs[i])
				}
			case rockcommand.ExitConflict:
			default:
				t.Errorf("round %d: operator %d ended with %d: %s", round, i, code, outs[i])
			}
		}
		t.Logf("round %d: exit codes %v, version %d after %d", round, codes, after, before)
		// The second may have read the version of the first, and then both are in force one after the other.
		if accepted == 0 || after != before+uint64(accepted) {
			t.Errorf("round %d: %d accepted, version %d after %d", round, accepted, after, before)
		}
	}
	f.noViolation()
}
