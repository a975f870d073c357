package rocklookup

import (
	"testing"
	"time"

	"sassafrasrock/core/rockconfig"
	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

func newRoutedSnapshot(t *testing.T) *rocktable.Snapshot {
	t.Helper()
	first := 0
	cfg := rocktable.Configuration{
		Pipelines: []rocktable.PipelineConfig{{Name: "pool", Model: "m", Layers: 4}},
		Services:  []rocktable.ServiceConfig{{Name: "desk", Listed: true}, {Name: "other", Listed: true}},
		Callers: []rocktable.CallerConfig{
			{Name: "guild", MoreSHA256: []string{"aa", "ab"}},
			{Name: "sponsor", MoreSHA256: []string{"bb"}, Priority: &first},
		},
		Routes: []rocktable.RouteConfig{
			{Name: "all", Host: "a.example", Prefix: "/", Targets: []rocktable.RouteTarget{{Name: "desk", Weight: 1}}, Public: true},
			{Name: "draft", Host: "A.example", Prefix: "/draft/", Targets: []rocktable.RouteTarget{{Name: "pool", Weight: 1}}, Streaming: true, TargetMs: 500, GapMs: 250, Priority: 2},
			{Name: "split", Host: "a.example", Prefix: "/split/", Targets: []rocktable.RouteTarget{{Name: "desk", Weight: 9}, {Name: "other", Weight: 1}}},
		},
	}
	cfg.Ranks = rockconfig.RanksFromRoutes(cfg)
	now := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	w := rocktable.NewWorld(now, rocktable.Host{Name: "entry-1"}, rocktable.DataCentre{Name: "yoff"}, 1)
	if !rockconfig.Accept(now, w, 3, rocktable.ConfigRow{Configuration: cfg}) {
		t.Fatal("the configuration was not accepted")
	}
	return w.TakeSnapshot()
}

// Guards against a request that is routed, accepted or rejected contrary to the routes and tokens.
func TestRoute(t *testing.T) {
	s := newRoutedSnapshot(t)
	for name, c := range map[string]struct {
		host, path, token string
		draw              float64
		route, caller     string
		code              rockreason.Code
	}{
		"longest prefix":      {"a.example", "/draft/x", "aa", 0, "draft", "guild", ""},
		"shorter prefix":      {"a.example", "/draftx", "", 0, "all", "", ""},
		"second token":        {"a.example", "/draft/x", "ab", 0, "draft", "guild", ""},
		"host in upper case":  {"A.EXAMPLE", "/draft/x", "aa", 0, "draft", "guild", ""},
		"unknown host":        {"b.example", "/draft/x", "aa", 0, "", "", rockreason.UnknownPath},
		"unknown token":       {"a.example", "/draft/x", "cc", 0, "", "", rockreason.Unauthorized},
		"no token":            {"a.example", "/draft/x", "", 0, "", "", rockreason.Unauthorized},
		"public with a token": {"a.example", "/x", "aa", 0, "all", "guild", ""},
	} {
		t.Run(name, func(t *testing.T) {
			d, code := Route(time.Time{}, s, c.host, c.path, c.token, c.draw)
			if code != c.code || d.Route.Name != c.route || d.CallerName != c.caller {
				t.Errorf("route %q, caller %q, reason %q; want %q, %q, %q", d.Route.Name, d.CallerName, code, c.route, c.caller, c.code)
			}
		})
	}
}

// Guards against a caller's own priority that does not take precedence over the route's.
func TestRouteRank(t *testing.T) {
	s := newRoutedSnapshot(t)
	guild, _ := Route(time.Time{}, s, "a.example", "/draft/x", "aa", 0)
	sponsor, _ := Route(time.Time{}, s, "a.example", "/draft/x", "bb", 0)
	if guild.Rank <= sponsor.Rank {
		t.Errorf("rank %d of the guild and %d of the sponsor, want a lower number for the sponsor, whose priority is higher", guild.Rank, sponsor.Rank)
	}
}

// Guards against a split that does not follow the weights.
func TestRouteSplit(t *testing.T) {
	s := newRoutedSnapshot(t)
	counts := map[rocktable.ServiceID]int{}
	for i := range 1000 {
		d, code := Route(time.Time{}, s, "a.example", "/split/x", "aa", float64(i)/1000)
		if code != "" {
			t.Fatal(code)
		}
		counts[d.Service]++
	}
	if counts[s.Services["desk"]] != 900 || counts[s.Services["other"]] != 100 {
		t.Errorf("%d requests to the first target and %d to the second, want 900 and 100", counts[s.Services["desk"]], counts[s.Services["other"]])
	}
}

// Guards against 401 or 404 from a host that has no configuration yet.
func TestRouteBeforeTheConfiguration(t *testing.T) {
	if _, code := Route(time.Time{}, &rocktable.Snapshot{}, "a.example", "/", "", 0); code != rockreason.NotReady {
		t.Errorf("reason %q, want %q", code, rockreason.NotReady)
	}
}
