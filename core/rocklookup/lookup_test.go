package rocklookup_test

import (
	"testing"
	"time"

	"sassafrasrock/core/rocklookup"
	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
	"sassafrasrock/core/rocktick"
)

// snapshot returns the snapshot of a World that accepted a configuration.
func snapshot() *rocktable.Snapshot {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	w := rocktable.NewWorld(now, rocktable.Host{Name: "entry-1"}, rocktable.DataCentre{Name: "ga-west-a"}, 1)
	w.Inbox.ConfigResults = []rocktable.TableResult[rocktable.ConfigRow]{{
		Status: rocktable.TableOK, Found: true, Version: 1,
		Row: rocktable.ConfigRow{ChangeID: "first", Configuration: rocktable.Configuration{
			Ranks:    []rocktable.RankConfig{{Name: "urgent"}, {Name: "ordinary"}},
			Callers:  []rocktable.CallerConfig{{Name: "a", TokenSHA256: "aa"}, {Name: "b", TokenSHA256: "bb", Ranks: []string{"ordinary"}}},
			Services: []rocktable.ServiceConfig{{Name: "squares", Idempotent: true}, {Name: "orders"}},
		}},
	}}
	rocktick.Run(now, w)
	return w.TakeSnapshot()
}

// Guards against ranks that a caller may not use, and against a default rank that is not the
// caller's.
func TestRank(t *testing.T) {
	s := snapshot()
	for _, c := range []struct {
		token, rank string
		code        rockreason.Code
	}{
		{"aa", "urgent", ""},
		{"aa", "", rockreason.BadField},
		{"aa", "late", rockreason.UnknownRank},
		{"bb", "", ""},
		{"bb", "urgent", rockreason.RankNotAllowed},
	} {
		caller, code := rocklookup.Caller(s, c.token)
		if code != "" {
			t.Fatalf("token %s: %s", c.token, code)
		}
		rank, code := rocklookup.Rank(s, caller, c.rank)
		if code != c.code {
			t.Errorf("token %s, rank %q: got %q, want %q", c.token, c.rank, code, c.code)
		}
		if c.rank == "" && code == "" && rank != s.Ranks["ordinary"] {
			t.Errorf("default rank is %d, want the rank ordinary", rank)
		}
	}
}

// Guards against calls accepted without an idempotency key although they may not run twice.
func TestService(t *testing.T) {
	s := snapshot()
	for _, c := range []struct {
		name       string
		reading    bool
		key        string
		idempotent bool
		code       rockreason.Code
	}{
		{"squares", false, "", true, ""},
		{"orders", true, "", true, ""},
		{"orders", false, "k", false, ""},
		{"orders", false, "", false, rockreason.MissingKey},
		{"none", true, "k", false, rockreason.UnknownService},
	} {
		target, code := rocklookup.Service(s, c.name, c.reading, c.key)
		if code != c.code || target.Idempotent != c.idempotent || (code == "" && target.Service != s.Services[c.name]) {
			t.Errorf("%+v: got %+v, %q", c, target, code)
		}
	}
}
