package rockadmit

import (
	"testing"
	"time"

	"sassafrasrock/core/rocktable"
)

var epoch = time.Date(2026, 12, 6, 9, 0, 0, 0, time.UTC)

// newWorld returns a host with an urgent rank 0 and a background rank 1, targets 500 ms and 2 s, and one pipeline.
func newWorld(maxRequests int) *rocktable.World {
	limits := rocktable.DefaultLimits()
	limits.MaxRequests, limits.RankReserve = maxRequests, 0.2
	w := rocktable.NewWorld(epoch, rocktable.Host{Name: "entry-1"}, rocktable.DataCentre{Name: "yoff"}, 1, rocktable.WithLimits(limits))
	w.Ready = true
	w.InternPipeline("pool").Config = rocktable.PipelineConfig{Name: "pool", Model: "m", Layers: 1}
	for _, name := range []string{"guild", "sponsor"} {
		w.InternCaller(name).Config = rocktable.CallerConfig{Name: name}
	}
	w.Ranks.Put(0, rocktable.Rank{ID: 0, Position: 0, Config: rocktable.RankConfig{FirstTokenMs: 500, GapMs: 250, Worth: 1}})
	w.Ranks.Put(1, rocktable.Rank{ID: 1, Position: 1, Config: rocktable.RankConfig{FirstTokenMs: 2000, GapMs: 250, Worth: 0.5}})
	return w
}

type arrival struct {
	after  time.Duration
	rank   rocktable.RankID
	tokens int
}

// Guards against a full host that turns away what costs its callers most: urgent work instead of background work, one that
// can be in time instead of one that is late, or several short requests instead of a long one.
func TestFullHostShedsWhatCostsLeast(t *testing.T) {
	for name, c := range map[string]struct {
		arrivals []arrival // the last one meets a full host
		refused  rocktable.RequestID
	}{
		"less worth":                {[]arrival{{0, 0, 100}, {0, 1, 100}, {0, 0, 100}}, 2},
		"equal: the new one":        {[]arrival{{0, 0, 100}, {0, 0, 100}, {0, 0, 100}}, 3},
		"the new one is worth less": {[]arrival{{0, 0, 100}, {0, 0, 100}, {0, 1, 100}}, 3},
		"the longest":               {[]arrival{{0, 1, 100}, {0, 1, 900}, {0, 1, 100}, {0, 0, 100}}, 2},
		"the newest of equal ones":  {[]arrival{{0, 1, 100}, {0, 1, 100}, {0, 0, 100}}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(len(c.arrivals) - 1)
			var refused []rocktable.RequestID
			for i, a := range c.arrivals {
				w.Inbox.Arrivals = []rocktable.Arrival{{Request: rocktable.Request{
					ID: rocktable.RequestID(i + 1), Caller: 1, Pipeline: 1, Rank: a.rank, ArrivedAt: epoch.Add(a.after), PromptTokens: a.tokens,
				}}}
				run(epoch.Add(a.after), w)
				for _, answer := range w.Outbox.Answers {
					refused = append(refused, answer.Request)
				}
				w.Outbox.Answers = nil
			}
			if len(refused) != 1 || refused[0] != c.refused {
				t.Errorf("requests %v were refused, want %d", refused, c.refused)
			}
		})
	}
}

// Guards against a late request that keeps out one that can still be in time.
func TestLateRequestsCostLess(t *testing.T) {
	w := newWorld(10)
	early, late := rocktable.Request{ID: 1, Rank: 1, Pipeline: 1, ArrivedAt: epoch.Add(time.Second)}, rocktable.Request{ID: 2, Rank: 0, Pipeline: 1, ArrivedAt: epoch}
	if now := epoch.Add(100 * time.Millisecond); isCheaper(now, w, &late, &early) {
		t.Error("the urgent request costs less to refuse while it can be in time")
	}
	if now := epoch.Add(time.Second); !isCheaper(now, w, &late, &early) {
		t.Error("the urgent request that is late costs more to refuse than the one that can be in time")
	}
}

// Guards against callers who are refused together and return together, and against a time after which a caller does not
// return any more.
func TestRefusedCallersReturnSpread(t *testing.T) {
	const least, callers = 4 * time.Second, 200
	w := newWorld(10)
	mean := make(map[rocktable.RankID]time.Duration)
	for rank := range rocktable.RankID(2) {
		first, last := time.Hour, time.Duration(0)
		for range callers {
			r := &rocktable.Request{Rank: rank, Pipeline: 1, ArrivedAt: epoch, PromptTokens: 100, Deadline: epoch.Add(20 * time.Second)}
			after := ReturnAfter(epoch, w, r, least)
			first, last = min(first, after), max(last, after)
			mean[rank] += after / callers
		}
		if first < least || last-first < least/4 || last > 20*time.Second/3 {
			t.Errorf("rank %d returns after %s to %s, want at least %s, spread, and at most a third of its time", rank, first, last, least)
		}
	}
	if mean[1] <= mean[0] {
		t.Errorf("the background rank returns after %s, before the urgent one after %s", mean[1], mean[0])
	}
	short := &rocktable.Request{Rank: 0, Pipeline: 1, ArrivedAt: epoch, Deadline: epoch.Add(3 * time.Second)}
	if after := ReturnAfter(epoch, w, short, least); after > time.Second {
		t.Errorf("a caller with 3 s left is to return after %s, want at most 1 s", after)
	}
}

// Guards against reserved capacity that acts in calm, or keeps a rank below its floor.
func TestCapacityIsKeptOnlyWhileShort(t *testing.T) {
	w := newWorld(10)
	w.Ranks.Get(1).Config.Floor = 0.2
	background, urgent := &rocktable.Request{Rank: 1, Pipeline: 1}, &rocktable.Request{Rank: 0, Pipeline: 1}
	lane := func(rank rocktable.RankID, started float64) {
		w.Lanes.GetOrPut(rocktable.LaneKey{Rank: rank, Pipeline: 1}).StartedTokens = started
	}
	lane(0, 500)
	lane(1, 500)
	if got := CapacityShare(w, background); got != 1 {
		t.Errorf("got share %v in calm, want 1", got)
	}
	w.Capacities.GetOrPut(1).ShortSince = epoch
	if got := CapacityShare(w, background); got != 0.9 {
		t.Errorf("got share %v of the background rank, want 0.9", got)
	}
	if got := CapacityShare(w, urgent); got != 1 {
		t.Errorf("got share %v of the urgent rank, want 1", got)
	}
	lane(1, 50)
	if got := CapacityShare(w, background); got != 1 {
		t.Errorf("got share %v below the floor, want 1", got)
	}
}
