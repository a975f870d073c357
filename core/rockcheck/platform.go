package rockcheck

import (
	"strings"
	"time"

	"sassafrasrock/core/rocktable"
)

// tableTimeout is the longest wait for an answer of the table service.
const tableTimeout = 2 * time.Second

// Platform stands in for the table service and the lagging host list.
type Platform struct {
	Configs  Table[rocktable.ConfigRow]
	Leases   Table[rocktable.LeaseRow]
	Claims   Table[rocktable.ClaimRow]
	OutUntil time.Time // the table service and the list do not answer
	OldUntil time.Time // some reads return the row before the last write
	LoseNext int       // answers to writes that are lost after the write took effect
	Lag      time.Duration

	list  []rocktable.ListedHost
	lists []listAt
}

// listAt is the host list as it was from a time on.
type listAt struct {
	at      time.Time
	entries []rocktable.ListedHost
}

// Table holds every version of each row, oldest first.
type Table[T any] struct {
	Rows    map[string][]Version[T]
	Version uint64
}

// Version is one version of a row.
type Version[T any] struct {
	Version uint64
	Row     T
}

func (p *Platform) begin(f *Fleet) {
	p.Lag = 2 * time.Second
	cfg := rocktable.Configuration{
		Pipelines: []rocktable.PipelineConfig{{Name: "captions", Model: "m", Version: "1", Layers: Layers}},
		Ranks: []rocktable.RankConfig{
			{Name: "urgent", FirstTokenMs: 2000, GapMs: 200, Worth: 10, Floor: 0.1},
			{Name: "background", FirstTokenMs: 3000, GapMs: 500, Worth: 1, Floor: 0.1},
		},
		Callers:  []rocktable.CallerConfig{{Name: "guild"}, {Name: "ferry"}},
		Services: []rocktable.ServiceConfig{{Name: "ledger", Servers: []string{"app-0", "app-1"}, TimeoutMs: 4000}},
	}
	if f.Options.Placements {
		for _, e := range f.Engines {
			cfg.Pipelines[0].Placements = append(cfg.Pipelines[0].Placements, rocktable.Placement{Server: e.Name, FirstLayer: e.FirstLayer, LastLayer: e.LastLayer})
		}
	}
	p.Configs.write("configuration", rocktable.ConfigRow{ChangeID: "first", Configuration: cfg})
	for _, e := range f.Engines {
		p.list = append(p.list, rocktable.ListedHost{Name: e.Name, Role: "model", Address: e.Name, DataCentre: e.DataCentre, Region: "r", State: "live"})
	}
	for _, a := range f.Applications {
		p.list = append(p.list, rocktable.ListedHost{Name: a.Name, Role: "application", Address: a.Name, DataCentre: a.DataCentre, Region: "r", State: "live"})
	}
	for _, h := range f.Hosts {
		p.list = append(p.list, rocktable.ListedHost{Name: h.Name, Role: "entry", Address: h.Name, DataCentre: h.DataCentre, Region: "r", State: "live"})
	}
	p.lists = []listAt{{at: f.Now.Add(-time.Minute), entries: append([]rocktable.ListedHost(nil), p.list...)}}
}

// SetListed changes the state of a list entry.
func (f *Fleet) SetListed(name, state string) {
	p := &f.Platform
	for i := range p.list {
		if p.list[i].Name == name {
			p.list[i].State = state
		}
	}
	p.lists = append(p.lists, listAt{at: f.Now, entries: append([]rocktable.ListedHost(nil), p.list...)})
}

// lagged returns the list as it was before the lag.
func (p *Platform) lagged(now time.Time) []rocktable.ListedHost {
	last := p.lists[0].entries
	for _, l := range p.lists {
		if !l.at.After(now.Add(-p.Lag)) {
			last = l.entries
		}
	}
	return last
}

func (f *Fleet) platformReached(h *Host) bool {
	return f.Reaches(h.DataCentre, platformPlace) && !f.Now.Before(f.Platform.OutUntil)
}

func (f *Fleet) readList(h *Host) {
	f.After(f.delay(), func() {
		list := rocktable.HostList{OK: f.platformReached(h), Entries: f.Platform.lagged(f.Now)}
		wait := f.delay()
		if !list.OK {
			list.Entries, wait = nil, tableTimeout
		}
		f.toHost(h, wait, func() {
			f.post(h, func(in *rocktable.Inbox) { in.HostLists = append(in.HostLists, list) })
		})
	})
}

func (t *Table[T]) write(key string, row T) uint64 {
	if t.Rows == nil {
		t.Rows = make(map[string][]Version[T])
	}
	t.Version++
	t.Rows[key] = append(t.Rows[key], Version[T]{Version: t.Version, Row: row})
	return t.Version
}

// do runs an operation; old reads see the version before the last one.
func (t *Table[T]) do(op rocktable.TableOp[T], old, noCompare bool) rocktable.TableResult[T] {
	r := rocktable.TableResult[T]{Op: op.Op, Key: op.Key, Write: op.Write}
	versions := t.Rows[op.Key]
	if old && !op.Write && len(versions) > 0 {
		versions = versions[:len(versions)-1]
	}
	if n := len(versions); n > 0 {
		r.Found, r.Version, r.Row = true, versions[n-1].Version, versions[n-1].Row
	}
	if !op.Write {
		return r
	}
	if r.Version != op.Expected && !noCompare {
		r.Status = rocktable.TableConflict
		return r
	}
	r.Found, r.Row = true, op.Row
	r.Version = t.write(op.Key, op.Row)
	return r
}

// runTable runs an operation of a host: it may reach the service late or not at all, and its answer may be lost, late or doubled.
func runTable[T any](f *Fleet, h *Host, t *Table[T], op rocktable.TableOp[T], results func(in *rocktable.Inbox) *[]rocktable.TableResult[T]) {
	there := f.delay()
	if f.chance(0.03) {
		there = f.between(0, 2*tableTimeout)
	}
	answer := func(wait time.Duration, r rocktable.TableResult[T]) {
		f.toHost(h, wait, func() {
			f.post(h, func(in *rocktable.Inbox) { *results(in) = append(*results(in), r) })
		})
	}
	lost := rocktable.TableResult[T]{Op: op.Op, Key: op.Key, Write: op.Write, Status: rocktable.TableUnavailable}
	if op.Write {
		lost.Status = rocktable.TableUnclear
	}
	if there > tableTimeout {
		answer(tableTimeout, lost)
	}
	f.After(there, func() {
		if !f.platformReached(h) {
			if f.Rand.IntN(2) == 0 {
				lost.Status = rocktable.TableUnavailable // the connection was refused
			}
			answer(max(0, tableTimeout-there), lost)
			return
		}
		old := f.Now.Before(f.Platform.OldUntil) && f.Rand.IntN(2) == 0
		r := t.do(op, old, f.Options.NoCompare)
		f.traceTable(h, op.Key, op.Write, op.Expected, r.Status, r.Version)
		back := f.delay()
		isLost := op.Write && r.Status == rocktable.TableOK && f.Platform.LoseNext > 0
		if isLost {
			f.Platform.LoseNext--
		}
		switch {
		case there > tableTimeout:
		case isLost || f.chance(0.02) || there+back > tableTimeout:
			f.trace(h.Name, "answer of the table service lost: %s", op.Key)
			answer(tableTimeout-there, lost)
		default:
			answer(back, r)
			if f.chance(0.02) {
				answer(back+f.delay(), r)
			}
		}
	})
}

// traceTable traces the operations on claims, and those on the configuration while a change is under way.
func (f *Fleet) traceTable(h *Host, key string, write bool, expected uint64, status rocktable.TableStatus, version uint64) {
	if key == "configuration" && h.World.Changes.Len() == 0 || strings.HasPrefix(key, "lease/") {
		return
	}
	if !write {
		f.trace(h.Name, "reads %s: version %d", key, version)
		return
	}
	result := "written as"
	if status == rocktable.TableConflict {
		result = "conflict with"
	}
	f.trace(h.Name, "writes %s where version %d is expected: %s version %d", key, expected, result, version)
}
