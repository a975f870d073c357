package rockstandin_test

import (
	"errors"
	"testing"
	"time"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockplatform"
	"sassafrasrock/io/rockstandin"
)

func platform(t *testing.T, s *rockstandin.Standin, options ...rockplatform.Option) *rockplatform.Platform {
	p := rockplatform.New(s.PlatformURL(), options...)
	t.Cleanup(p.Close)
	return p
}

func write(t *testing.T, p *rockplatform.Platform, expected uint64, holder string) rocktable.TableResult[rocktable.LeaseRow] {
	t.Helper()
	return rockplatform.Do(timeoutContext(t), p, "leases", rocktable.TableOp[rocktable.LeaseRow]{
		Op: 1, Key: "ga-west-a/1", Write: true, Expected: expected, Row: rocktable.LeaseRow{Holder: holder},
	})
}

func read(t *testing.T, p *rockplatform.Platform) rocktable.TableResult[rocktable.LeaseRow] {
	t.Helper()
	return rockplatform.Do(timeoutContext(t), p, "leases", rocktable.TableOp[rocktable.LeaseRow]{Op: 2, Key: "ga-west-a/1"})
}

// Guards against a write that ignores the expected version, and against a conflict that does not return
// the current row.
func TestCompareAndSet(t *testing.T) {
	p := platform(t, start(t, settings()))
	if got := read(t, p); got.Status != rocktable.TableOK || got.Found {
		t.Fatalf("read of a missing row: got %+v, want TableOK without a row", got)
	}
	if got := write(t, p, 0, "h1"); got.Status != rocktable.TableOK || got.Version != 1 || got.Row.Holder != "h1" {
		t.Fatalf("first write: got %+v, want TableOK with version 1 of holder h1", got)
	}
	if got := write(t, p, 0, "h2"); got.Status != rocktable.TableConflict || got.Version != 1 || got.Row.Holder != "h1" {
		t.Fatalf("conflicting write: got %+v, want TableConflict with version 1 of holder h1", got)
	}
	if got := write(t, p, 1, "h2"); got.Status != rocktable.TableOK || got.Version != 2 {
		t.Fatalf("second write: got %+v, want TableOK with version 2", got)
	}
}

// Guards against a write with a lost answer that is reported as one without an effect.
func TestLostAnswerOfWrite(t *testing.T) {
	s := start(t, settings())
	p := platform(t, s)
	fault(t, s, rockstandin.Fault{Target: rockstandin.PlatformName, Kind: rockstandin.FaultLostAnswer, Times: 1})
	if got := write(t, p, 0, "h1"); got.Status != rocktable.TableOutcomeUnknown {
		t.Fatalf("write with a lost answer: got %+v, want TableOutcomeUnknown", got)
	}
	if got := read(t, p); got.Status != rocktable.TableOK || got.Row.Holder != "h1" {
		t.Fatalf("read after the write: got %+v, want TableOK with holder h1", got)
	}
}

// Guards against a timed-out write that is reported as one that never reached the service.
func TestSlowWrite(t *testing.T) {
	cfg := settings()
	cfg.Platform.WriteMs = 1
	s := start(t, cfg)
	p := platform(t, s, rockplatform.WithCallTimeout(100*time.Millisecond))
	fault(t, s, rockstandin.Fault{Target: rockstandin.PlatformName, Kind: rockstandin.FaultSlow, Factor: 1e6})
	if got := write(t, p, 0, "h1"); got.Status != rocktable.TableOutcomeUnknown {
		t.Fatalf("slow write: got %+v, want TableOutcomeUnknown", got)
	}
}

// Guards against an outage or a refusal over the rate limit that is reported with an unknown outcome,
// which would delay claims without need.
func TestOutage(t *testing.T) {
	cfg := settings()
	cfg.Platform.WritesPerSecond = 1
	s := start(t, cfg)
	p := platform(t, s)
	if got := write(t, p, 0, "h1"); got.Status != rocktable.TableOK {
		t.Fatalf("first write: got %+v, want TableOK", got)
	}
	if got := write(t, p, 1, "h1"); got.Status != rocktable.TableUnavailable {
		t.Fatalf("write over the rate limit: got %+v, want TableUnavailable", got)
	}
	fault(t, s, rockstandin.Fault{Target: rockstandin.PlatformName, Kind: rockstandin.FaultOutage})
	p.Close()
	for _, got := range []rocktable.TableResult[rocktable.LeaseRow]{write(t, p, 1, "h1"), read(t, p)} {
		if got.Status != rocktable.TableUnavailable {
			t.Fatalf("operation during the outage: got %+v, want TableUnavailable", got)
		}
	}
	fault(t, s, rockstandin.Fault{Target: rockstandin.PlatformName, Kind: rockstandin.FaultOutage, Lift: true})
	eventually(t, "the end of the outage", func() bool { return read(t, p).Row.Holder == "h1" })
}

// Guards against a stand-in that ignores the fault oldReads.
func TestOldReads(t *testing.T) {
	s := start(t, settings())
	p := platform(t, s)
	write(t, p, 0, "h1")
	write(t, p, 1, "h2")
	fault(t, s, rockstandin.Fault{Target: rockstandin.PlatformName, Kind: rockstandin.FaultOldReads})
	if got := read(t, p); got.Version != 1 || got.Row.Holder != "h1" {
		t.Fatalf("read with the fault oldReads: got %+v, want version 1 of holder h1", got)
	}
}

// Guards against a host list without the configured lag: it would hide faults of a router that relies on
// an up-to-date list.
func TestHostList(t *testing.T) {
	s := start(t, settings())
	p := platform(t, s)
	state := func(name string) string {
		hosts, err := p.Hosts(timeoutContext(t))
		if err != nil {
			t.Fatal(err)
		}
		for _, host := range hosts {
			if host.Name == name {
				return host.State
			}
		}
		return ""
	}
	if got := state("a"); got != "live" {
		t.Fatalf("got state %q, want live", got)
	}
	fault(t, s, rockstandin.Fault{Target: rockstandin.PlatformName, Kind: rockstandin.FaultLag, DelayMs: 3600000})
	fault(t, s, rockstandin.Fault{Target: "a", Kind: rockstandin.FaultLeaving})
	fault(t, s, rockstandin.Fault{Target: "b", Kind: rockstandin.FaultKill})
	if got := state("a") + state("b"); got != "livelive" {
		t.Fatalf("got states %q within the lag, want livelive", got)
	}
	fault(t, s, rockstandin.Fault{Target: rockstandin.PlatformName, Kind: rockstandin.FaultLag, Lift: true})
	eventually(t, "the list to show a leaving and a killed engine", func() bool { return state("a") == "leaving" && state("b") == "" })
	if err := s.SetHost(rocktable.ListedHost{Name: "entry-1", Role: "entry", State: "live"}); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the list to show an added host", func() bool { return state("entry-1") == "live" })
}

// Guards against an object that is altered in transfer, and against a wrong error for a missing one.
func TestObjects(t *testing.T) {
	p := platform(t, start(t, settings()))
	if _, err := p.GetObject(timeoutContext(t), "weights/1"); !errors.Is(err, rockplatform.ErrNotFound) {
		t.Fatalf("missing object: got %v, want ErrNotFound", err)
	}
	if err := p.PutObject(timeoutContext(t), "weights/1", []byte("abc")); err != nil {
		t.Fatal(err)
	}
	if body, err := p.GetObject(timeoutContext(t), "weights/1"); err != nil || string(body) != "abc" {
		t.Fatalf("got object %q, error %v; want abc", body, err)
	}
}
