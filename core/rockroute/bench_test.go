package rockroute_test

import (
	"fmt"
	"testing"
	"time"

	"sassafrasrock/core/rockinvariant"
	"sassafrasrock/core/rockroute"
	"sassafrasrock/core/rocktable"
)

const (
	benchCallers = 2700
	benchServers = 600
)

// newLoadedFleet returns a host at full scale: 2,700 callers, 600 backend servers and the given
// number of pipelines, with all slots taken and requests queued.
func newLoadedFleet(b *testing.B, pipelines, waiting int) *fleet {
	f := newFleet(b, 0, 0, benchCallers)
	f.w.Limits.MaxRequests = 0
	for i := range f.w.Ranks.Len() {
		c := &f.w.Ranks.Get(rocktable.RankID(i)).Config
		c.FirstTokenMs, c.MaxQueue = 86400000, 100000
	}
	for i := range pipelines {
		p := f.w.InternPipeline(fmt.Sprintf("p%d", i))
		p.Config = rocktable.PipelineConfig{Name: fmt.Sprint(i), Model: fmt.Sprint(i), Version: "1", Layers: 80}
	}
	for i := range benchServers {
		first := i / pipelines % 4 * 20
		s := f.addServer(fmt.Sprintf("runner-%d", i), first, first+19, 4)
		s.Status.Model = fmt.Sprint(i % pipelines)
		s.RoundTrip = time.Duration(1+i%7) * time.Millisecond
	}
	for i := range waiting {
		f.arrive(i, pipelines)
		if i%1000 == 0 {
			f.tickOnce()
		}
	}
	f.tickOnce()
	b.ReportAllocs()
	b.ResetTimer()
	return f
}

func (f *fleet) arrive(i, pipelines int) {
	f.addArrival(i%benchCallers, rocktable.RankID(i%3))
	f.w.Inbox.Arrivals[len(f.w.Inbox.Arrivals)-1].Request.Pipeline = rocktable.PipelineID(2 + i%pipelines)
}

// tickOnce runs the systems without the invariants and records the starts.
func (f *fleet) tickOnce() {
	f.now = f.now.Add(time.Millisecond)
	f.w.Outbox = rocktable.Outbox{}
	for _, s := range modelSystems {
		s.Run(f.now, f.w)
	}
	f.w.Inbox = rocktable.Inbox{}
	for _, s := range f.w.Outbox.Starts {
		f.running = append(f.running, running{start: s})
	}
}

func (f *fleet) endOldest() {
	s := f.running[0].start
	f.running = f.running[1:]
	f.w.Inbox.AttemptsEnded = append(f.w.Inbox.AttemptsEnded, rocktable.AttemptEnded{Attempt: s.Attempt, Tokens: 50, FirstTokenAt: f.now})
}

// Measures a tick with one arrival and one ended attempt while 10,000 requests are queued.
func BenchmarkTickWithBacklog(b *testing.B) {
	for _, pipelines := range []int{1, 22} {
		b.Run(fmt.Sprintf("pipelines=%d", pipelines), func(b *testing.B) {
			f := newLoadedFleet(b, pipelines, 10000)
			for i := 0; b.Loop(); i++ {
				f.arrive(i, pipelines)
				f.endOldest()
				f.tickOnce()
			}
		})
	}
}

// Measures a tick with progress only while 10,000 requests are queued and all slots are taken.
func BenchmarkTickWithProgress(b *testing.B) {
	f := newLoadedFleet(b, 22, 10000)
	for b.Loop() {
		f.w.Inbox.Progress = append(f.w.Inbox.Progress, rocktable.Progress{Attempt: f.running[0].start.Attempt, Tokens: 1})
		f.tickOnce()
	}
}

// Measures a tick with one arrival and one ended attempt while slots are free and the queues are
// empty.
func BenchmarkTickWithoutBacklog(b *testing.B) {
	f := newLoadedFleet(b, 22, 200)
	for i := 0; b.Loop(); i++ {
		f.arrive(i, 22)
		f.endOldest()
		f.tickOnce()
	}
}

// Measures the invariants at the end of a tick while all slots are taken.
func BenchmarkInvariants(b *testing.B) {
	f := newLoadedFleet(b, 22, 10000)
	for b.Loop() {
		for _, inv := range rockinvariant.All {
			if err := inv.Check(f.now, f.w); err != nil {
				b.Fatal(err)
			}
		}
	}
}

// Measures a search over the 600 backend servers of one pipeline.
func BenchmarkFindPath(b *testing.B) {
	f := newLoadedFleet(b, 1, 1)
	f.addArrival(0, 0)
	r := f.w.Inbox.Arrivals[0].Request
	r.Pipeline = 2
	f.w.Pipelines.Get(2).Waiting = 1
	for b.Loop() {
		if rockroute.FindPath(f.now, f.w, &r) == nil {
			b.Fatal("no path")
		}
	}
}
