package rockcheck

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// StartTime is the virtual time at which every fleet begins.
var StartTime = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// Fleet is a simulated set of hosts with the fakes around them, and records what the fakes ran.
type Fleet struct {
	Now             time.Time
	Rand            *rand.Rand
	Platform        Platform
	Link            Link
	Hosts           []*Host
	Engines         []*Engine
	Applications    []*Application
	Chats           []*Chat
	Calls           []*Call
	AcceptedChanges []rocktable.ConfigEnd // ends that reported an accepted change
	CallRunsByKey   map[string]int        // by idempotency key
	CallRunsByName  map[string]int        // by name of the call
	CallOutcomes    map[string]string     // of the last run, by idempotency key
	Violations      []string
	AnswerCounts    map[rockreason.Code]int
	HealedAt        time.Time // zero while faults are injected

	Options Options

	queue      schedule
	lastSeq    int
	lastUnique int
}

// Options vary a run. Some disable a mechanism to show that the checks detect it.
type Options struct {
	// EditInbox changes the events of a tick.
	EditInbox func(f *Fleet, h *Host, in *rocktable.Inbox)
	// EditOutbox changes the actions of a tick.
	EditOutbox func(f *Fleet, h *Host, out *rocktable.Outbox)
	// AcceptAnyToken makes streams accept all tokens, without the checks of rockstream.
	AcceptAnyToken bool
	// SkipVersionCheck makes the table service write rows without comparing the expected version.
	SkipVersionCheck bool
	// StopAtOnce makes a graceful stop kill the host at once.
	StopAtOnce bool
	// Trace receives each traced event; nil for none.
	Trace func(now time.Time, host, what string)
	// NoMessageFaults disables the random loss, extra delay and duplication of messages.
	NoMessageFaults bool
	// FixedDelays replaces each random delay by the mean of its range, for golden files.
	FixedDelays bool
	// OnTick is called after each tick.
	OnTick func(f *Fleet, h *Host, out *rocktable.Outbox)
	// LoseLayersOnRestart makes engines lose their layers in a crash. The configuration then has
	// placements, and hosts order the engines to load them again.
	LoseLayersOnRestart bool
}

// Layout is the size of a fleet.
type Layout struct {
	Hosts       []int // number by data centre
	ModelCopies []int // number of copies of the model, by data centre
}

// Layers is the number of layers of the model.
const (
	Layers          = 9
	layersPerEngine = 3
	slotsPerEngine  = 6
)

// NewFleet returns a fleet whose hosts have just started.
func NewFleet(seed uint64, layout Layout, options Options) *Fleet {
	f := &Fleet{
		Now: StartTime, Rand: rand.New(rand.NewPCG(seed, 1)), Options: options,
		CallRunsByKey: make(map[string]int), CallRunsByName: make(map[string]int), CallOutcomes: make(map[string]string),
		AnswerCounts: make(map[rockreason.Code]int),
	}
	f.Link.partitions = make(map[sitePair]time.Time)
	for dc, copies := range layout.ModelCopies {
		for i := range copies * (Layers / layersPerEngine) {
			f.addEngine(fmt.Sprintf("runner-%d-%d", dc, i), fmt.Sprintf("dc-%d", dc), i%(Layers/layersPerEngine)*layersPerEngine)
		}
	}
	f.addApplication("app-0", "dc-0")
	f.addApplication("app-1", "dc-1")
	for dc, hosts := range layout.Hosts {
		for i := range hosts {
			f.Hosts = append(f.Hosts, &Host{Name: fmt.Sprintf("entry-%d-%d", dc, i), DataCentre: fmt.Sprintf("dc-%d", dc)})
		}
	}
	f.Platform.initialise(f)
	for _, h := range f.Hosts {
		f.Start(h)
	}
	return f
}

// AddViolation records the violation of an invariant. Only the first 20 are kept.
func (f *Fleet) AddViolation(invariant, format string, args ...any) {
	if len(f.Violations) < 20 {
		at := f.Now.Sub(StartTime).Round(time.Millisecond)
		f.Violations = append(f.Violations, fmt.Sprintf("%s: at %v: %s", invariant, at, fmt.Sprintf(format, args...)))
	}
}

func (f *Fleet) trace(host, format string, args ...any) {
	if f.Options.Trace != nil {
		f.Options.Trace(f.Now, host, fmt.Sprintf(format, args...))
	}
}

// AfterFunc schedules do after a delay of virtual time.
func (f *Fleet) AfterFunc(d time.Duration, do func()) {
	f.lastSeq++
	heap.Push(&f.queue, scheduled{at: f.Now.Add(d), seq: f.lastSeq, do: do})
}

// Run advances the virtual time by d and runs everything scheduled until then.
func (f *Fleet) Run(d time.Duration) {
	end := f.Now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		next := heap.Pop(&f.queue).(scheduled)
		f.Now = next.at
		next.do()
	}
	f.Now = end
}

// chance reports true with probability p while message faults are injected, and false otherwise.
func (f *Fleet) chance(p float64) bool {
	return !f.Options.NoMessageFaults && f.HealedAt.IsZero() && f.Rand.Float64() < p
}

// between returns a random duration, or the mean if delays are fixed.
func (f *Fleet) between(low, high time.Duration) time.Duration {
	if f.Options.FixedDelays {
		return (low + high) / 2
	}
	return low + time.Duration(f.Rand.Int64N(int64(high-low)+1))
}

type scheduled struct {
	at  time.Time
	seq int
	do  func()
}

// schedule is a heap of scheduled functions, ordered by time and then by sequence number.
type schedule []scheduled

func (s schedule) Len() int { return len(s) }

func (s schedule) Less(i, j int) bool {
	if s[i].at.Equal(s[j].at) {
		return s[i].seq < s[j].seq
	}
	return s[i].at.Before(s[j].at)
}

func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push implements heap.Interface.
func (s *schedule) Push(x any) { *s = append(*s, x.(scheduled)) }

// Pop implements heap.Interface.
func (s *schedule) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}
