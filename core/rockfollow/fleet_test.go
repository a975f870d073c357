package rockfollow_test

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/core/rocktick"
)

const (
	step          = 100 * time.Millisecond
	readLatency   = 200 * time.Millisecond // of the store
	registerDelay = 300 * time.Millisecond // from the start of a host until its row is written
	settlingTime  = 10 * time.Second       // from the start of all hosts until only the followers read the store
)

var startTime = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

// store is a model of the platform's store.
type store struct {
	era       uint64
	version   uint64
	copied    storeCopy
	rows      map[rocktable.FollowedTableID]map[string]rocktable.TableRow
	history   map[rocktable.FollowedTableID][]rocktable.TableRow
	droppedTo uint64
	calls     int
	refuses   func(h *host) bool
	silent    bool // answers no read; each fails after a while
}

func (s *store) write(table rocktable.FollowedTableID, key string, removed bool) uint64 {
	s.version++
	r := rocktable.TableRow{Key: key, Version: s.version, Value: []byte(key), Removed: removed}
	if s.rows[table] == nil {
		s.rows[table] = make(map[string]rocktable.TableRow)
	}
	delete(s.rows[table], key)
	if !removed {
		s.rows[table][key] = r
	}
	s.history[table] = append(s.history[table], r)
	return s.version
}

// storeCopy is a copy of a store, from which it can be restored.
type storeCopy struct {
	version uint64
	rows    map[rocktable.FollowedTableID]map[string]rocktable.TableRow
}

// copyRows makes a copy of the store.
func (s *store) copyRows() {
	s.copied = storeCopy{version: s.version, rows: make(map[rocktable.FollowedTableID]map[string]rocktable.TableRow)}
	for table, rows := range s.rows {
		s.copied.rows[table] = maps.Clone(rows)
	}
}

// restore takes the store back to its last copy, in a new era.
func (s *store) restore() {
	s.era++
	s.version, s.droppedTo = s.copied.version, s.copied.version
	for table := range s.rows {
		s.rows[table] = maps.Clone(s.copied.rows[table])
	}
	clear(s.history)
}

func (s *store) dropHistory() {
	clear(s.history)
	s.droppedTo = s.version
}

// host is an entry host of the fleet.
type host struct {
	w       *rocktable.World
	stopped bool
	frozen  bool
	alone   bool   // no message of another host reaches it, and none of it another host
	cut     bool   // the store answers none of its reads
	row     uint64 // version of its row in the table of hosts, which has the key that peers trust
	inbox   rocktable.Inbox
	reads   []pendingRead
	known   map[rocktable.FollowedTableID]map[string]uint64 // versions of the decoded rows
	eras    map[rocktable.FollowedTableID]uint64            // of the decoded rows
	listed  map[string]rocktable.ListedHost
	// snapshot is what traffic of the host sees; nil until a test publishes the first one.
	snapshot *rocktable.Snapshot
}

type pendingRead struct {
	read        rocktable.TableRead
	sentAt, end time.Time
	silent      bool // its connection went silent: it is never answered
	// late is an answer that is delivered at lateAt, whatever the store holds then; unused while lateAt is zero.
	late   rocktable.TableReadEnded
	lateAt time.Time
}

// fleet runs hosts against the store in virtual time.
type fleet struct {
	t        *testing.T
	now      time.Time
	store    *store
	hosts    []*host
	byName   map[string]*host // also by address, which equals the name
	rand     *rand.Rand
	loseTo   float64 // fraction of the messages that are lost
	messages int
	changes  []rocktable.StateChange
	// changedAt is when a test last changed the configuration.
	changedAt time.Time
}

func newFleet(t *testing.T, dataCentres, hosts int) *fleet {
	f := &fleet{t: t, now: startTime, byName: make(map[string]*host), rand: rand.New(rand.NewPCG(7, 7)), store: &store{
		era:     1,
		rows:    make(map[rocktable.FollowedTableID]map[string]rocktable.TableRow),
		history: make(map[rocktable.FollowedTableID][]rocktable.TableRow),
		refuses: func(*host) bool { return false },
	}}
	f.store.write(rocktable.ConfigurationTable, "config", false)
	for i := range 40 {
		f.store.write(rocktable.BackendServersTable, fmt.Sprintf("runner-%d", i), false)
	}
	for i := range hosts {
		f.addHost(i, i%dataCentres)
	}
	return f
}

func (f *fleet) addHost(i, dataCentre int) {
	h := &host{}
	f.start(h, fmt.Sprintf("entry-%d", i), fmt.Sprintf("centre-%d", dataCentre), uint64(i+1))
	f.hosts = append(f.hosts, h)
	f.byName[h.w.SelfHost().Name] = h
	f.register(h)
}

// start gives a host the state of a process that has just started.
func (f *fleet) start(h *host, name, dataCentre string, incarnation uint64) {
	limits := rocktable.DefaultLimits()
	limits.PlatformPushes, limits.LeaseTTL = true, 0
	w := rocktable.NewWorld(f.now, rocktable.Host{Name: name, Address: name}, rocktable.DataCentre{Name: dataCentre, Region: "dakar"}, incarnation, rocktable.WithLimits(limits))
	*h = host{w: w, known: make(map[rocktable.FollowedTableID]map[string]uint64), eras: make(map[rocktable.FollowedTableID]uint64), listed: make(map[string]rocktable.ListedHost)}
}

// restart replaces the processes of hosts. Each has a new key, which it registers after it has begun to read the tables.
func (f *fleet) restart(hosts []*host) {
	for _, h := range hosts {
		name := h.w.SelfHost().Name
		f.start(h, name, f.dataCentreOf(name), h.w.Incarnation+1000)
		h.row = math.MaxUint64
	}
	f.run(registerDelay)
	for _, h := range hosts {
		f.register(h)
	}
}

// register writes the row of a host.
func (f *fleet) register(h *host) {
	h.row = f.store.write(rocktable.HostsTable, h.w.SelfHost().Name, false)
}

// trusts reports whether a host knows the present key of another one.
func (h *host) trusts(other *host) bool {
	return h.known[rocktable.HostsTable][other.w.SelfHost().Name] >= other.row
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(step)
		for _, h := range f.hosts {
			if !h.stopped && !h.frozen {
				f.tick(h)
			}
		}
	}
}

func (f *fleet) tick(h *host) {
	f.answerReads(h)
	h.w.Inbox, h.inbox = h.inbox, rocktable.Inbox{}
	result := rocktick.Run(f.now, h.w)
	if len(result.Violations) > 0 {
		f.t.Fatalf("%s: %v", h.w.SelfHost().Name, result.Violations[0])
	}
	f.changes = append(f.changes, result.Outbox.Changes...)
	for _, r := range result.Outbox.TableReads {
		f.store.calls++
		h.reads = append(h.reads, pendingRead{read: r, sentAt: f.now, end: f.now.Add(r.Wait)})
	}
	for _, c := range result.Outbox.TableChanges {
		f.decode(h, c)
	}
	for _, s := range result.Outbox.PeerSends {
		f.deliver(h, s)
	}
	if h.snapshot != nil {
		h.snapshot = h.snapshot.Update(h.w)
	}
}

func (f *fleet) deliver(from *host, s rocktable.PeerSend) {
	f.messages++
	to := f.byName[s.Address]
	if to == nil || to.stopped || to.frozen || to.alone || from.alone || !to.trusts(from) || !from.trusts(to) {
		return
	}
	if f.rand.Float64() >= f.loseTo {
		to.inbox.Peers = append(to.inbox.Peers, s.Message)
	}
}

// answerReads answers the reads of a host whose changes are there, whose wait is over or that the store refuses.
func (f *fleet) answerReads(h *host) {
	h.reads = slices.DeleteFunc(h.reads, func(p pendingRead) bool {
		if !p.lateAt.IsZero() {
			if f.now.Before(p.lateAt) {
				return false
			}
			h.inbox.TableReads = append(h.inbox.TableReads, p.late)
			return true
		}
		silent := f.store.silent || p.silent || h.cut
		if f.now.Sub(p.sentAt) < readLatency || silent && f.now.Sub(p.sentAt) < p.read.Limit {
			return false
		}
		end := f.result(h, p)
		if end.Status == rocktable.TableReadOK && p.read.After > 0 && len(end.Rows) == 0 && f.now.Before(p.end) {
			return false
		}
		h.inbox.TableReads = append(h.inbox.TableReads, end)
		return true
	})
}

func (f *fleet) result(h *host, p pendingRead) rocktable.TableReadEnded {
	end := rocktable.TableReadEnded{Read: p.read, Era: f.store.era, Version: f.store.version}
	switch {
	case f.store.refuses(h) || f.store.silent || p.silent || h.cut:
		end.Status, end.Era = rocktable.TableReadFailed, 0
	case p.read.After == 0:
		end.Rows = slices.Collect(maps.Values(f.store.rows[p.read.Table]))
	case p.read.After < f.store.droppedTo, p.read.After > f.store.version:
		end.Status = rocktable.TableHistoryDropped
	default:
		for _, r := range f.store.history[p.read.Table] {
			if r.Version > p.read.After {
				end.Rows = append(end.Rows, r)
			}
		}
	}
	return end
}

// decode does what the platform's client does with changed rows.
func (f *fleet) decode(h *host, c rocktable.TableChange) {
	if c.Era < h.eras[c.Table] {
		f.t.Fatalf("%s: table %s goes back from era %d to %d", h.w.SelfHost().Name, c.Table, h.eras[c.Table], c.Era)
	}
	if c.Era > h.eras[c.Table] && !c.Full {
		f.t.Fatalf("%s: table %s has changes of era %d, but its rows are of %d", h.w.SelfHost().Name, c.Table, c.Era, h.eras[c.Table])
	}
	h.eras[c.Table] = c.Era
	if c.Full || h.known[c.Table] == nil {
		h.known[c.Table] = make(map[string]uint64)
	}
	for _, r := range c.Rows {
		if r.Removed {
			delete(h.known[c.Table], r.Key)
			continue
		}
		if r.Version < h.known[c.Table][r.Key] {
			f.t.Fatalf("%s: row %s goes back from version %d to %d", h.w.SelfHost().Name, r.Key, h.known[c.Table][r.Key], r.Version)
		}
		h.known[c.Table][r.Key] = r.Version
	}
	if c.Table == rocktable.ConfigurationTable {
		return
	}
	list := rocktable.HostList{OK: true, Pushed: true}
	for name := range h.known[rocktable.HostsTable] {
		list.Entries = append(list.Entries, rocktable.ListedHost{Name: name, Role: "entry", Address: name, DataCentre: f.dataCentreOf(name), Region: "dakar", State: "live"})
	}
	for name := range h.known[rocktable.BackendServersTable] {
		list.Entries = append(list.Entries, rocktable.ListedHost{Name: name, Role: "model", Address: name, DataCentre: "centre-0", Region: "dakar", State: "live"})
	}
	h.inbox.HostLists = append(h.inbox.HostLists, list)
}

func (f *fleet) dataCentreOf(name string) string {
	w := f.byName[name].w
	return w.DataCentres.Get(w.SelfHost().DataCentre).Name
}

// silenceConnections leaves all reads that wait now without an answer. Later ones are answered.
func (f *fleet) silenceConnections() {
	for _, h := range f.hosts {
		for i := range h.reads {
			h.reads[i].silent = true
		}
	}
}

// followers returns the hosts that follow the store.
func (f *fleet) followers() []*host {
	var followers []*host
	for _, h := range f.hosts {
		if h.w.Follow.Follows && !h.stopped {
			followers = append(followers, h)
		}
	}
	return followers
}

// lagging returns the names of the running hosts whose decoded tables differ from the store.
func (f *fleet) lagging() []string {
	var names []string
	for _, h := range f.hosts {
		if h.stopped || h.frozen {
			continue
		}
		for table, rows := range f.store.rows {
			same := len(h.known[table]) == len(rows) && h.eras[table] == f.store.era
			for key, r := range rows {
				same = same && h.known[table][key] == r.Version
			}
			if !same {
				names = append(names, h.w.SelfHost().Name+" "+table.String())
			}
		}
	}
	return names
}
