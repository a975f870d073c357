package rockcheck

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// Epoch is the virtual time at which every fleet begins.
var Epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// Fleet is a set of hosts, the fakes around them and the witness of what ran.
type Fleet struct {
	Now          time.Time
	Rand         *rand.Rand
	Platform     Platform
	Link         Link
	Hosts        []*Host
	Engines      []*Engine
	Applications []*Application
	Chats        []*Chat
	Calls        []*Call
	Accepted     []rocktable.ConfigEnd // changes that were reported accepted
	Runs         map[string]int        // of application calls, by key
	RunsOf       map[string]int        // of application calls, by name of the call
	Outcomes     map[string]string     // of the last run, by key
	Violations   []string
	Answers      map[rockreason.Code]int
	HealedAt     time.Time // zero while faults are injected

	Options Options

	queue  schedule
	lastEv int
	lastNo int
}

// Options switch mechanisms off, to show that the checks notice it, and trace a run.
type Options struct {
	Before     func(f *Fleet, h *Host, in *rocktable.Inbox)   // changes the events of a tick
	After      func(f *Fleet, h *Host, out *rocktable.Outbox) // changes the actions of a tick
	TakeAny    bool                                           // callers take tokens without the rules of rockstream
	NoCompare  bool                                           // the table service writes whatever version is expected
	StopAtOnce bool                                           // a graceful stop ends the host at once
	Trace      func(now time.Time, host, what string)         // nil for none
	Quiet      bool                                           // no faults of single messages
	Steady     bool                                           // delays are the mean of what is drawn otherwise, for golden files
	Ticked     func(f *Fleet, h *Host, out *rocktable.Outbox) // after each tick
	Placements bool                                           // engines that restart lose their layers and are ordered to load them
}

// Layout is the size of a fleet.
type Layout struct {
	Hosts  []int // by data centre
	Copies []int // of the whole model, by data centre
}

// Layers is the number of layers of the model; each engine holds layersEach of them.
const (
	Layers     = 9
	layersEach = 3
	slots      = 6
)

// NewFleet returns a fleet whose hosts start now.
func NewFleet(seed uint64, layout Layout, options Options) *Fleet {
	f := &Fleet{
		Now: Epoch, Rand: rand.New(rand.NewPCG(seed, 1)), Options: options,
		Runs: make(map[string]int), RunsOf: make(map[string]int), Outcomes: make(map[string]string),
		Answers: make(map[rockreason.Code]int),
	}
	f.Link.cuts = make(map[pair]time.Time)
	for dc, copies := range layout.Copies {
		for i := range copies * (Layers / layersEach) {
			f.addEngine(fmt.Sprintf("runner-%d-%d", dc, i), fmt.Sprintf("dc-%d", dc), i%(Layers/layersEach)*layersEach)
		}
	}
	f.addApplication("app-0", "dc-0")
	f.addApplication("app-1", "dc-1")
	for dc, hosts := range layout.Hosts {
		for i := range hosts {
			f.Hosts = append(f.Hosts, &Host{Name: fmt.Sprintf("entry-%d-%d", dc, i), DataCentre: fmt.Sprintf("dc-%d", dc)})
		}
	}
	f.Platform.begin(f)
	for _, h := range f.Hosts {
		f.Start(h)
	}
	return f
}

// Violate records that an invariant does not hold.
func (f *Fleet) Violate(invariant, format string, args ...any) {
	if len(f.Violations) < 20 {
		at := f.Now.Sub(Epoch).Round(time.Millisecond)
		f.Violations = append(f.Violations, fmt.Sprintf("%s: at %v: %s", invariant, at, fmt.Sprintf(format, args...)))
	}
}

func (f *Fleet) trace(host, format string, args ...any) {
	if f.Options.Trace != nil {
		f.Options.Trace(f.Now, host, fmt.Sprintf(format, args...))
	}
}

// After runs do after a delay of virtual time.
func (f *Fleet) After(d time.Duration, do func()) {
	f.lastEv++
	heap.Push(&f.queue, scheduled{at: f.Now.Add(d), seq: f.lastEv, do: do})
}

// Run advances the fleet.
func (f *Fleet) Run(d time.Duration) {
	end := f.Now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		next := heap.Pop(&f.queue).(scheduled)
		f.Now = next.at
		next.do()
	}
	f.Now = end
}

// chance reports true with the given probability while faults of single messages are injected.
func (f *Fleet) chance(p float64) bool {
	return !f.Options.Quiet && f.HealedAt.IsZero() && f.Rand.Float64() < p
}

// between returns a random duration.
func (f *Fleet) between(low, high time.Duration) time.Duration {
	if f.Options.Steady {
		return (low + high) / 2
	}
	return low + time.Duration(f.Rand.Int64N(int64(high-low)+1))
}

type scheduled struct {
	at  time.Time
	seq int
	do  func()
}

// schedule is a heap for container/heap.
type schedule []scheduled

func (s schedule) Len() int { return len(s) }

func (s schedule) Less(i, j int) bool {
	if s[i].at.Equal(s[j].at) {
		return s[i].seq < s[j].seq
	}
	return s[i].at.Before(s[j].at)
}

func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push adds an element; container/heap calls it.
func (s *schedule) Push(x any) { *s = append(*s, x.(scheduled)) }

// Pop removes the last element; container/heap calls it.
func (s *schedule) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}
