package rockcapacity

import (
	"math/rand/v2"
	"testing"
	"time"

	"sassafrasrock/core/rocktable"
)

var epoch = time.Date(2026, 12, 6, 9, 0, 0, 0, time.UTC)

// newWorld returns a host among others, with one backend server that holds all layers and has memory for 1,000 tokens x
// layers.
func newWorld(hosts int) (*rocktable.World, *rocktable.BackendServer) {
	w := rocktable.NewWorld(epoch, rocktable.Host{Name: "entry-0"}, rocktable.DataCentre{Name: "yoff"}, 1)
	for i := 1; i < hosts; i++ {
		w.InternHost(string(rune('a' + i))).State = rocktable.StateLive
	}
	w.InternPipeline("pool").Config = rocktable.PipelineConfig{Name: "pool", Model: "m", Layers: 4, Engine: rocktable.EngineConfig{
		TokenBytes: 4e6, Kinds: []rocktable.KindConfig{{Name: "k", MemoryMB: 1000}},
	}}
	s := w.InternServer("r")
	s.State, s.Kind, s.ListedService, s.Incarnation = rocktable.StateLive, "k", "pool", 1
	s.Status = rocktable.EngineStatus{Model: "m", LastLayer: 3}
	run(epoch, w)
	return w, s
}

func refuse(now time.Time, w *rocktable.World, s *rocktable.BackendServer) {
	s.MemoryRefusalAt, s.MemoryAtRefusal = now, s.ReservedMemory+s.PeerReservedMemory
	run(now, w)
}

// Guards against hosts that go on filling a backend server that refuses, against one refusal that closes it for long, and
// against a limit that outlives the start of the backend server it was learned of.
func TestRefusalsLowerUsableMemory(t *testing.T) {
	for name, c := range map[string]struct {
		used, peers float64
		refusals    []time.Duration
		later       time.Duration
		restart     bool
		low, high   float64 // of the usable fraction
	}{
		"none":                         {600, 0, nil, 0, false, 1, 1},
		"one, at the use":              {600, 200, []time.Duration{0}, 0, false, 0.7, 0.8},
		"two of one moment count once": {800, 0, []time.Duration{0, 10 * time.Millisecond}, 0, false, 0.77, 0.8},
		"two, later":                   {800, 0, []time.Duration{0, 300 * time.Millisecond}, 0, false, 0.7, 0.785},
		"unknown reservations":         {10, 0, []time.Duration{0}, 0, false, minUsable, minUsable},
		"forgotten":                    {600, 200, []time.Duration{0}, 10 * time.Second, false, 1, 1},
		"new incarnation":              {600, 200, []time.Duration{0}, time.Second, true, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			w, s := newWorld(3)
			s.ReservedMemory, s.PeerReservedMemory = c.used, c.peers
			now := epoch
			for _, d := range c.refusals {
				now = epoch.Add(d)
				refuse(now, w, s)
			}
			if c.restart {
				s.Incarnation++
			}
			if c.later > 0 {
				run(now.Add(c.later), w)
			}
			if got := UsableFraction(s); got < c.low-1e-9 || got > c.high+1e-9 {
				t.Errorf("got usable fraction %.3f, want %.3f to %.3f", got, c.low, c.high)
			}
		})
	}
}

// Guards against hosts that all take the same free memory until the next report, and against a host that finds no room
// because the others are busy.
func TestHostsShareFullServers(t *testing.T) {
	for name, c := range map[string]struct {
		atReport, own, peers float64 // of this host, and of the other nine
		refused              bool
		need                 float64
		want                 bool
	}{
		"free":                                {0, 0, 300, false, 10, true},
		"free, much of it":                    {0, 0, 300, false, 650, true},
		"nearly full, own part":               {90, 95, 800, false, 5, true},
		"nearly full, part of others":         {90, 140, 800, false, 10, false},
		"full, replaces what ended":           {100, 85, 900, false, 10, true},
		"full":                                {100, 100, 900, false, 10, false},
		"beyond, gives back":                  {120, 115, 1080, false, 10, false},
		"refused lately, more than its share": {60, 70, 500, true, 50, false},
		"below an even share":                 {0, 0, 850, false, 50, true},
	} {
		t.Run(name, func(t *testing.T) {
			w, s := newWorld(10)
			s.ReservedMemory, s.PeerReservedMemory = c.atReport, c.peers
			if c.refused {
				refuse(epoch.Add(shareInterval), w, s)
			} else {
				run(epoch.Add(shareInterval), w)
			}
			s.ReservedMemory = c.own
			if got := HasRoom(w, s, c.need, 1000); got != c.want {
				t.Errorf("got room for %.0f: %t, want %t", c.need, got, c.want)
			}
		})
	}
}

// Guards against a shortage that is not noticed at the layer with the least room, and one that flaps or never ends.
func TestShortageFollowsTheFullestLayer(t *testing.T) {
	w, s := newWorld(2)
	half := w.InternServer("half")
	half.State, half.Kind, half.ListedService = rocktable.StateLive, "k", "pool"
	half.Status = rocktable.EngineStatus{Model: "m", FirstLayer: 0, LastLayer: 1}
	now := epoch
	for i, c := range []struct {
		reserved, half float64
		short          bool
	}{{500, 100, false}, {900, 100, true}, {800, 800, true}, {600, 0, false}, {800, 0, false}} {
		now = now.Add(updateInterval)
		s.ReservedMemory, half.ReservedMemory = c.reserved, c.half
		run(now, w)
		if IsShort(w, 1) != c.short {
			t.Errorf("step %d: short %t, want %t (used %.2f)", i, !c.short, c.short, w.Capacities.Get(1).UsedFraction)
		}
	}
	s.ReservedMemory = 100
	refuse(now.Add(updateInterval), w, s)
	if !IsShort(w, 1) {
		t.Error("a refusal is not taken for a shortage")
	}
	run(now.Add(2*refusalMemory), w)
	if IsShort(w, 1) {
		t.Error("still short after the refusal was forgotten")
	}
}

// Guards against a request that no host can start: each host's part of the free memory is smaller than the request.
func TestHostWithoutRequestsStartsOne(t *testing.T) {
	for name, c := range map[string]struct {
		peers, need float64
		want        bool
	}{
		"empty, refused lately":  {0, 50, true},
		"room for one":           {300, 50, true},
		"no room":                {370, 50, false},
		"no memory needed":       {0, 0, true},
		"second one of the host": {0, 50, false},
	} {
		t.Run(name, func(t *testing.T) {
			w, s := newWorld(100)
			s.PeerReservedMemory = 100
			refuse(epoch.Add(shareInterval), w, s) // to minUsable
			s.PeerReservedMemory = c.peers
			if name == "second one of the host" {
				s.ReservedMemory = c.need
			}
			if got := HasRoom(w, s, c.need, 1000); got != c.want {
				t.Errorf("got room for %.0f: %t, want %t", c.need, got, c.want)
			}
		})
	}
}

// Guards against a shortage that is reported for good after a change of the configuration.
func TestCapacityRowEndsWithFullPaths(t *testing.T) {
	w, s := newWorld(2)
	s.ReservedMemory = 900
	now := epoch.Add(updateInterval)
	run(now, w)
	if !IsShort(w, 1) {
		t.Fatal("not short")
	}
	w.Pipelines.Get(1).Config.Engine.Kinds = nil
	run(now.Add(updateInterval), w)
	if w.Capacities.Len() != 0 {
		t.Error("the row remains although the engines run no full paths")
	}
}

// Guards against a shortage at a layer that no backend server holds, from the rounding of sums.
func TestLayersWithoutServersAreNotShort(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for round := range 100 {
		w, s := newWorld(2)
		s.State = rocktable.StateDown
		for i := range 20 {
			other := w.InternServer(string(rune('A' + i)))
			other.State, other.Kind, other.ListedService = rocktable.StateLive, "k", "pool"
			other.Status = rocktable.EngineStatus{Model: "m", FirstLayer: i % 3, LastLayer: 2}
			other.ReservedMemory, other.UsableMemory, other.UsableMemoryAt = 300*random.Float64(), 0.4+random.Float64()/2, epoch
		}
		run(epoch.Add(updateInterval), w)
		if c := w.Capacities.Get(1); c.UsedFraction > 0.5 {
			t.Fatalf("round %d: got used fraction %g, want less than 0.5", round, c.UsedFraction)
		}
	}
}

func BenchmarkHasRoom(b *testing.B) {
	w, s := newWorld(100)
	s.ReservedMemory, s.PeerReservedMemory = 10, 850
	run(epoch.Add(shareInterval), w)
	for b.Loop() {
		HasRoom(w, s, 10, 1000)
	}
}

func BenchmarkRun(b *testing.B) {
	w, _ := newWorld(100)
	w.Pipelines.Get(1).Config.Layers = 80
	for i := range 100 {
		s := w.InternServer(string(rune('A' + i)))
		s.State, s.Kind, s.ListedService, s.UsableMemory, s.UsableMemoryAt = rocktable.StateLive, "k", "pool", 0.5, epoch
		s.Status = rocktable.EngineStatus{Model: "m", FirstLayer: i % 40, LastLayer: i%40 + 39}
	}
	now := epoch
	for b.Loop() {
		now = now.Add(updateInterval)
		run(now, w)
	}
}
