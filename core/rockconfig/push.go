package rockconfig

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"sassafrasrock/core/rocktable"
)

// routeFloor is the fraction of the tokens that each rank but the first is guaranteed under overload if the ranks are
// derived from routes, which set no floors.
const routeFloor = 0.08

// applyPush activates a configuration that the platform pushed after a change.
func applyPush(now time.Time, w *rocktable.World, p rocktable.ConfigPush) {
	cfg := p.Configuration
	cfg.Ranks = RanksFromRoutes(cfg)
	w.ConfigState.PlatformAnswered = true
	Accept(now, w, p.Version, rocktable.ConfigRow{ChangeID: "pushed", Configuration: cfg})
}

// RanksFromRoutes derives the ranks of a configuration from its streaming routes: one for each combination of
// priority and targets that a request can have, the most urgent first.
func RanksFromRoutes(cfg rocktable.Configuration) []rocktable.RankConfig {
	type key struct{ priority, target, gap int }
	found := make(map[key]bool)
	for _, r := range cfg.Routes {
		if !r.Streaming {
			continue
		}
		found[key{r.Priority, r.TargetMs, r.GapMs}] = true
		for _, c := range cfg.Callers {
			if c.Priority != nil {
				found[key{*c.Priority, r.TargetMs, r.GapMs}] = true
			}
		}
	}
	keys := make([]key, 0, len(found))
	for k := range found {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b key) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.target, b.target), cmp.Compare(a.gap, b.gap))
	})
	ranks := make([]rocktable.RankConfig, len(keys))
	for i, k := range keys {
		ranks[i] = rocktable.RankConfig{
			Name: RankName(k.priority, k.target, k.gap), FirstTokenMs: max(1, k.target), GapMs: max(1, k.gap),
			Worth: 1 / float64(1+max(0, k.priority)),
		}
		if i > 0 {
			ranks[i].Floor = routeFloor
		}
	}
	return ranks
}

// RankName returns the name of the rank with a priority and with targets in milliseconds.
func RankName(priority, target, gap int) string {
	return fmt.Sprintf("p%d-%d-%d", priority, target, gap)
}
