package rockstandin_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockplatform"
	"sassafrasrock/io/rockservice"
	"sassafrasrock/io/rockstandin"
)

func order(key string) rockservice.Call {
	return rockservice.Call{
		Method: http.MethodPost, Path: "/orders", ContentType: "application/json",
		IdempotencyKey: key, AttemptID: "h1-1", Body: []byte(`{"item":"rope","quantity":2}`),
	}
}

// Guards against a call or a read that is forwarded with wrong content, and against a health probe that
// does not report a leaving server.
func TestCalls(t *testing.T) {
	s := start(t, settings())
	c := rockservice.New()
	square := rockservice.Call{Method: http.MethodPost, Path: "/squares", IdempotencyKey: "k1", Body: []byte(`{"number":12}`)}
	reply, err := c.Do(timeoutContext(t), s.Address("app"), square)
	if err != nil || reply.Status != http.StatusCreated || !strings.Contains(string(reply.Body), "144") {
		t.Fatalf("POST: got status %d, body %s, error %v; want status 201 and 144", reply.Status, reply.Body, err)
	}
	reply, err = c.Do(timeoutContext(t), s.Address("app"), rockservice.Call{Method: http.MethodGet, Path: "/squares/s1"})
	if err != nil || reply.Status != http.StatusOK || !strings.Contains(string(reply.Body), "144") {
		t.Fatalf("GET: got status %d, body %s, error %v; want status 200 and 144", reply.Status, reply.Body, err)
	}
	fault(t, s, rockstandin.Fault{Target: "app", Kind: rockstandin.FaultLeaving})
	if health, err := c.Probe(timeoutContext(t), s.Address("app")); err != nil || health.State != "leaving" || health.Incarnation == 0 {
		t.Fatalf("probe: got %+v, error %v; want state leaving and an incarnation", health, err)
	}
}

// Guards against the automatic retries of net/http, which resends requests with an idempotency key, and
// against an executed call that is reported as not sent.
func TestCallRunsAtMostOnce(t *testing.T) {
	cases := []struct {
		name string
		kind string
		call rockservice.Call
		runs int
	}{
		{"lost answer", rockstandin.FaultLostAnswer, order("k1"), 1},
		{"crash after the run", rockstandin.FaultCrashAfter, order("k1"), 1},
		{"crash before the run", rockstandin.FaultCrashBefore, order("k1"), 0},
		// net/http treats a call without a body as safe to retry. The stand-in rejects the empty body, so
		// the call is not executed; a retry would return that rejection instead of ErrLost.
		{"no body", rockstandin.FaultLostAnswer, rockservice.Call{Method: http.MethodPost, Path: "/orders", IdempotencyKey: "k1"}, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			s := start(t, settings())
			c := rockservice.New()
			if _, err := c.Do(timeoutContext(t), s.Address("app"), order("first")); err != nil {
				t.Fatal(err)
			}
			fault(t, s, rockstandin.Fault{Target: "app", Kind: test.kind, Times: 1})
			if _, err := c.Do(timeoutContext(t), s.Address("app"), test.call); !errors.Is(err, rockservice.ErrLost) {
				t.Fatalf("got %v, want ErrLost", err)
			}
			if got := s.Counts().Runs["k1"]; got != test.runs {
				t.Fatalf("got %d runs, want %d", got, test.runs)
			}
		})
	}
}

// Guards against an unreachable server that is reported as a lost answer: the call would not be retried
// at another server.
func TestUnreachableService(t *testing.T) {
	s := start(t, settings())
	fault(t, s, rockstandin.Fault{Target: "app", Kind: rockstandin.FaultKill})
	_, err := rockservice.New().Do(timeoutContext(t), s.Address("app"), order("k1"))
	if !errors.Is(err, rockservice.ErrUnreachable) || errors.Is(err, rockservice.ErrLost) {
		t.Fatalf("got %v, want ErrUnreachable", err)
	}
}

// Guards against a timed-out call that is reported as not sent although it is still being executed.
func TestSlowService(t *testing.T) {
	cfg := settings()
	cfg.Applications[0].CallMs = 1
	s := start(t, cfg)
	fault(t, s, rockstandin.Fault{Target: "app", Kind: rockstandin.FaultSlow, Factor: 300})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := rockservice.New().Do(ctx, s.Address("app"), order("k1")); !errors.Is(err, rockservice.ErrLost) {
		t.Fatalf("got %v, want ErrLost", err)
	}
	eventually(t, "the call to be executed", func() bool { return s.Counts().Runs["k1"] == 1 })
}

// Guards against faults and counters that are reachable only through Go methods, and against an unknown
// fault kind that is accepted without an effect.
func TestControlAddress(t *testing.T) {
	s := start(t, settings())
	c := rockservice.New()
	post := func(body string) int {
		reply, err := c.Do(timeoutContext(t), s.Address(rockstandin.ControlName), rockservice.Call{Method: http.MethodPost, Path: "/v1/faults", Body: []byte(body)})
		if err != nil {
			t.Fatal(err)
		}
		return reply.Status
	}
	if got := post(`{"target":"app","kind":"kil"}`); got != http.StatusBadRequest {
		t.Fatalf("unknown kind: got status %d, want 400", got)
	}
	if got := post(`{"target":"ga-west-a","kind":"kill"}`); got != http.StatusOK {
		t.Fatalf("kill of a data centre: got status %d, want 200", got)
	}
	reply, err := c.Do(timeoutContext(t), s.Address(rockstandin.ControlName), rockservice.Call{Method: http.MethodGet, Path: "/v1/counts"})
	if err != nil {
		t.Fatal(err)
	}
	var counts rockstandin.Counts
	if err := json.Unmarshal(reply.Body, &counts); err != nil || !counts.Servers["a"].Down || !counts.Servers["app"].Down {
		t.Fatalf("got counts %s, error %v; want a and app down", reply.Body, err)
	}
}

// Guards against an example file that does not load, or whose engines do not cover all layers of the
// model.
func TestExample(t *testing.T) {
	s, err := rockstandin.LoadFile("../../examples/sassafrasrock-standin.json")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := rockstandin.NewWorld(time.Now(), s); err != nil {
		t.Fatal(err)
	}
	firsts, kinds := make(map[int]int), make(map[string]int)
	for _, e := range s.Engines {
		firsts[e.FirstLayer]++
		kinds[e.Kind]++
	}
	if len(s.Engines) != 9 || firsts[0] != 3 || firsts[3] != 3 || firsts[6] != 3 || len(kinds) != 3 || len(s.Applications) != 3 {
		t.Fatalf("got engines by first layer %v, by kind %v, and %d applications; want 3 engines for each of 3 ranges, 3 kinds, 3 applications", firsts, kinds, len(s.Applications))
	}
}

// Guards against goroutines that outlive Close.
func TestClose(t *testing.T) {
	before := goleak.IgnoreCurrent()
	s, err := rockstandin.Start(t.Context(), settings())
	if err != nil {
		t.Fatal(err)
	}
	e := engineClient(t)
	mustOpen(t, e, s, "a", "r1")
	s.Close()
	e.Close()
	goleak.VerifyNone(t, before)
}

// Guards against socket faults that do not affect the platform or an application server, or whose effect
// remains after they are lifted.
func TestSocketFaultsOfOtherServers(t *testing.T) {
	for _, kind := range []string{rockstandin.FaultFreeze, rockstandin.FaultCut} {
		t.Run(kind, func(t *testing.T) {
			s := start(t, settings())
			c, p := rockservice.New(), platform(t, s, rockplatform.WithCallTimeout(100*time.Millisecond))
			for _, target := range []string{"app", rockstandin.PlatformName} {
				fault(t, s, rockstandin.Fault{Target: target, Kind: kind})
			}
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			if _, err := c.Do(ctx, s.Address("app"), order("k1")); !errors.Is(err, rockservice.ErrLost) {
				t.Fatalf("call: got %v, want ErrLost", err)
			}
			if got := write(t, p, 0, "h1"); got.Status != rocktable.TableOutcomeUnknown {
				t.Fatalf("write: got %+v, want TableOutcomeUnknown", got)
			}
			for _, target := range []string{"app", rockstandin.PlatformName} {
				fault(t, s, rockstandin.Fault{Target: target, Kind: kind, Lift: true})
			}
			if _, err := c.Do(timeoutContext(t), s.Address("app"), order("k2")); err != nil {
				t.Fatalf("call after the fault: got error %v, want none", err)
			}
			eventually(t, "a read after the fault", func() bool { return read(t, p).Status == rocktable.TableOK })
		})
	}
}
