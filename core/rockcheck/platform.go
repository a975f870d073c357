package rockcheck

import (
	"strings"
	"time"

	"sassafrasrock/core/rocktable"
)

// tableTimeout is the longest wait for an answer of the table service.
const tableTimeout = 2 * time.Second

// Platform is a fake of the table service and of the host list. A read of the list returns its
// content of ListLag ago.
type Platform struct {
	Configs            Table[rocktable.ConfigRow]
	Leases             Table[rocktable.LeaseRow]
	Claims             Table[rocktable.ClaimRow]
	UnavailableUntil   time.Time // neither the table service nor the list answers until then
	StaleReadsUntil    time.Time // half of the reads until then return the row before the last write
	WriteAnswersToLose int       // next answers to successful writes that are lost
	ListLag            time.Duration

	listed      []rocktable.ListedHost
	listHistory []listVersion
}

// listVersion is the content of the host list from a time on.
type listVersion struct {
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

func (p *Platform) initialise(f *Fleet) {
	p.ListLag = 2 * time.Second
	cfg := rocktable.Configuration{
		Pipelines: []rocktable.PipelineConfig{{Name: "captions", Model: "m", Version: "1", Layers: Layers}},
		Ranks: []rocktable.RankConfig{
			{Name: "urgent", FirstTokenMs: 2000, GapMs: 200, Worth: 10, Floor: 0.1},
			{Name: "background", FirstTokenMs: 3000, GapMs: 500, Worth: 1, Floor: 0.1},
		},
		Callers:  []rocktable.CallerConfig{{Name: "guild"}, {Name: "ferry"}},
		Services: []rocktable.ServiceConfig{{Name: "ledger", Servers: []string{"app-0", "app-1"}, TimeoutMs: 4000}},
	}
	if f.Options.LoseLayersOnRestart {
		for _, e := range f.Engines {
			cfg.Pipelines[0].Placements = append(cfg.Pipelines[0].Placements, rocktable.Placement{Server: e.Name, FirstLayer: e.FirstLayer, LastLayer: e.LastLayer})
		}
	}
	p.Configs.write("configuration", rocktable.ConfigRow{ChangeID: "first", Configuration: cfg})
	for _, e := range f.Engines {
		p.listed = append(p.listed, rocktable.ListedHost{Name: e.Name, Role: "model", Address: e.Name, DataCentre: e.DataCentre, Region: "r", State: "live"})
	}
	for _, a := range f.Applications {
		p.listed = append(p.listed, rocktable.ListedHost{Name: a.Name, Role: "application", Address: a.Name, DataCentre: a.DataCentre, Region: "r", State: "live"})
	}
	for _, h := range f.Hosts {
		p.listed = append(p.listed, rocktable.ListedHost{Name: h.Name, Role: "entry", Address: h.Name, DataCentre: h.DataCentre, Region: "r", State: "live"})
	}
	p.listHistory = []listVersion{{at: f.Now.Add(-time.Minute), entries: append([]rocktable.ListedHost(nil), p.listed...)}}
}

// SetListed changes the state of a list entry.
func (f *Fleet) SetListed(name, state string) {
	p := &f.Platform
	for i := range p.listed {
		if p.listed[i].Name == name {
			p.listed[i].State = state
		}
	}
	p.listHistory = append(p.listHistory, listVersion{at: f.Now, entries: append([]rocktable.ListedHost(nil), p.listed...)})
}

// laggedList returns the list as it was ListLag ago.
func (p *Platform) laggedList(now time.Time) []rocktable.ListedHost {
	last := p.listHistory[0].entries
	for _, l := range p.listHistory {
		if !l.at.After(now.Add(-p.ListLag)) {
			last = l.entries
		}
	}
	return last
}

func (f *Fleet) isPlatformReachable(h *Host) bool {
	return f.Reaches(h.DataCentre, platformSite) && !f.Now.Before(f.Platform.UnavailableUntil)
}

func (f *Fleet) readList(h *Host) {
	f.AfterFunc(f.delay(), func() {
		list := rocktable.HostList{OK: f.isPlatformReachable(h), Entries: f.Platform.laggedList(f.Now)}
		wait := f.delay()
		if !list.OK {
			list.Entries, wait = nil, tableTimeout
		}
		f.deliverToHost(h, wait, func() {
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

// do runs an operation. A stale read returns the version before the last one.
func (t *Table[T]) do(op rocktable.TableOp[T], stale, skipVersionCheck bool) rocktable.TableResult[T] {
	r := rocktable.TableResult[T]{Op: op.Op, Key: op.Key, Write: op.Write}
	versions := t.Rows[op.Key]
	if stale && !op.Write && len(versions) > 0 {
		versions = versions[:len(versions)-1]
	}
	if n := len(versions); n > 0 {
		r.Found, r.Version, r.Row = true, versions[n-1].Version, versions[n-1].Row
	}
	if !op.Write {
		return r
	}
	if r.Version != op.Expected && !skipVersionCheck {
		r.Status = rocktable.TableConflict
		return r
	}
	r.Found, r.Row = true, op.Row
	r.Version = t.write(op.Key, op.Row)
	return r
}

// runTable runs an operation of a host. The operation may reach the service late or not at all, and
// its answer may be lost, late or duplicated.
func runTable[T any](f *Fleet, h *Host, t *Table[T], op rocktable.TableOp[T], results func(in *rocktable.Inbox) *[]rocktable.TableResult[T]) {
	requestDelay := f.delay()
	if f.chance(0.03) {
		requestDelay = f.between(0, 2*tableTimeout)
	}
	answer := func(wait time.Duration, r rocktable.TableResult[T]) {
		f.deliverToHost(h, wait, func() {
			f.post(h, func(in *rocktable.Inbox) { *results(in) = append(*results(in), r) })
		})
	}
	lost := rocktable.TableResult[T]{Op: op.Op, Key: op.Key, Write: op.Write, Status: rocktable.TableUnavailable}
	if op.Write {
		lost.Status = rocktable.TableOutcomeUnknown
	}
	if requestDelay > tableTimeout {
		answer(tableTimeout, lost)
	}
	f.AfterFunc(requestDelay, func() {
		if !f.isPlatformReachable(h) {
			if f.Rand.IntN(2) == 0 {
				lost.Status = rocktable.TableUnavailable // the connection was refused
			}
			answer(max(0, tableTimeout-requestDelay), lost)
			return
		}
		stale := f.Now.Before(f.Platform.StaleReadsUntil) && f.Rand.IntN(2) == 0
		r := t.do(op, stale, f.Options.SkipVersionCheck)
		f.traceTable(h, op.Key, op.Write, op.Expected, r.Status, r.Version)
		answerDelay := f.delay()
		isLost := op.Write && r.Status == rocktable.TableOK && f.Platform.WriteAnswersToLose > 0
		if isLost {
			f.Platform.WriteAnswersToLose--
		}
		switch {
		case requestDelay > tableTimeout:
		case isLost || f.chance(0.02) || requestDelay+answerDelay > tableTimeout:
			f.trace(h.Name, "answer of the table service lost: %s", op.Key)
			answer(tableTimeout-requestDelay, lost)
		default:
			answer(answerDelay, r)
			if f.chance(0.02) {
				answer(answerDelay+f.delay(), r)
			}
		}
	})
}

// traceTable traces operations on claims, and operations on the configuration while a change is in
// progress.
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
