package rocklookup

import (
	"time"

	"sassafrasrock/core/rockconfig"
	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// Destination is the target of a request that selects it by host name and path.
type Destination struct {
	Route      rocktable.RouteConfig
	Caller     rocktable.CallerID // 0 without a known token, on a public route or if no callers are configured
	CallerName string
	Rank       rocktable.RankID     // NoRank for calls
	Pipeline   rocktable.PipelineID // 0 for a call
	Service    rocktable.ServiceID  // 0 for a model request
}

// maxConfirmationAge is the time since its last confirmation for which a configuration decides that a path or a token
// does not exist. A change must be in force 2 s after its acknowledgement; the rest is for the news to arrive.
const maxConfirmationAge = 1500 * time.Millisecond

// Route returns the destination of a request, or the reason for a refusal. The argument draw, from
// 0 to 1, chooses among the targets of a route by their weights. What the configuration does not
// know is refused for good only while the configuration is confirmed: a newer one may know it.
func Route(now time.Time, s *rocktable.Snapshot, host, path, tokenSHA256 string, draw float64) (Destination, rockreason.Code) {
	if s.ConfigVersion == 0 {
		return Destination{}, rockreason.NotReady
	}
	d, code := findDestination(s, host, path, tokenSHA256, draw)
	if code != "" && isStale(now, s.Freshness) {
		return Destination{}, rockreason.ConfigUnconfirmed
	}
	return d, code
}

// isStale reports whether a newer configuration may be in force already.
func isStale(now time.Time, f rocktable.ConfigFreshness) bool {
	return f.Tracked && now.Sub(f.ConfirmedAt) > maxConfirmationAge
}

// findDestination returns the destination of a request in a configuration, or the reason why there is none.
func findDestination(s *rocktable.Snapshot, host, path, tokenSHA256 string, draw float64) (Destination, rockreason.Code) {
	route, ok := s.Routes.Find(host, path)
	if !ok {
		return Destination{}, rockreason.UnknownPath
	}
	d := Destination{Route: route, Rank: rocktable.NoRank}
	id, known := s.Callers[tokenSHA256]
	if !known && len(s.CallerConfigs) > 0 && !route.Public {
		return Destination{}, rockreason.Unauthorized
	}
	cfg := s.CallerConfigs[id]
	d.Caller, d.CallerName = id, cfg.Name
	target := pickTarget(route.Targets, draw)
	if d.Pipeline = s.Pipelines[target]; d.Pipeline == 0 {
		if d.Service = s.Services[target]; d.Service == 0 {
			return Destination{}, rockreason.UnknownService
		}
		return d, ""
	}
	priority := route.Priority
	if cfg.Priority != nil {
		priority = *cfg.Priority
	}
	if d.Rank, ok = s.Ranks[rockconfig.RankName(priority, route.TargetMs, route.GapMs)]; !ok {
		return Destination{}, rockreason.UnknownRank
	}
	return d, ""
}

// pickTarget returns the target in whose range of the summed weights the draw falls, or the first
// target if all weights are 0.
func pickTarget(targets []rocktable.RouteTarget, draw float64) string {
	sum := 0
	for _, t := range targets {
		sum += max(0, t.Weight)
	}
	remaining := draw * float64(sum)
	for _, t := range targets {
		if remaining -= float64(max(0, t.Weight)); remaining < 0 {
			return t.Name
		}
	}
	if len(targets) == 0 {
		return ""
	}
	return targets[0].Name
}
