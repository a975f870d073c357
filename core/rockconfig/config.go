package rockconfig

import (
	"slices"
	"strconv"
	"time"

	"sassafrasrock/core/rockadmit"
	"sassafrasrock/core/rockmember"
	"sassafrasrock/core/rocktable"
)

// RowKey is the key of the configuration row in the table service.
const RowKey = "configuration"

const (
	// minPeerReports is the number of peers whose reported versions replace the platform's answer during an outage.
	minPeerReports = 3
	// hostsPerInterval is the number of live hosts for which the interval between reads of the row grows by one
	// ConfigEvery.
	hostsPerInterval = 10
	// peerRequestInterval is the time between requests to peers for the configuration.
	peerRequestInterval = time.Second
	// removedRankRetention is the least time for which a rank that is no longer configured stays. Requests that were looked
	// up in an earlier snapshot arrive within it.
	removedRankRetention = 10 * time.Second
	// opTimeout is the time without a result after which an operation on the table service counts as lost.
	opTimeout = 5 * time.Second
)

// System activates configuration versions.
var System = rocktable.System{
	Name:        "rockconfig",
	Description: "Accepts higher configuration versions from the platform and from peers, and writes operators' changes by compare-and-set.",
	Run:         run,
}

func run(now time.Time, w *rocktable.World) {
	for _, l := range w.Inbox.Limits {
		applyLimits(w, l)
	}
	for _, r := range w.Inbox.ConfigResults {
		applyResult(now, w, r)
	}
	for _, p := range w.Inbox.ConfigPushes {
		applyPush(now, w, p)
	}
	for _, m := range w.Inbox.Peers {
		applyPeerMessage(now, w, m)
	}
	for _, c := range w.Inbox.ConfigChanges {
		startChange(now, w, c)
	}
	runChanges(now, w)
	readRow(now, w)
	w.Ready = w.StopSignalAt.IsZero() && (w.Ready || isCurrent(w))
}

// applyLimits activates changed limits. Those on which the lease and the source of the tables depend keep their
// values until a restart.
func applyLimits(w *rocktable.World, l rocktable.Limits) {
	l.LeaseTTL, l.OrderTimeout, l.PlatformPushes = w.Limits.LeaseTTL, w.Limits.OrderTimeout, w.Limits.PlatformPushes
	if l != w.Limits {
		w.Limits = l
		w.LogChange("limits", w.SelfHost().Name, "", "changed")
	}
}

// isCurrent reports whether a host that has just started has the highest version that the platform or its peers
// reported.
func isCurrent(w *rocktable.World) bool {
	st := &w.ConfigState
	if w.ConfigVersion == 0 || w.ConfigVersion < st.HighestVersion {
		return false
	}
	if w.Limits.PlatformPushes && w.ListState.ReadAt.IsZero() {
		return false // without backend servers the host would refuse every request
	}
	return st.PlatformAnswered || st.ReadFailed && hasEnoughPeerReports(w)
}

// hasEnoughPeerReports reports whether enough peers reported their version to replace the platform's answer during an
// outage.
func hasEnoughPeerReports(w *rocktable.World) bool {
	reported, known := 0, 0
	for _, h := range w.Hosts.All() {
		if h.Self || h.State == rocktable.StateDown {
			continue
		}
		known++
		if h.MessageReceived {
			reported++
		}
	}
	return reported >= max(1, min(minPeerReports, known))
}

func readRow(now time.Time, w *rocktable.World) {
	if w.Limits.PlatformPushes {
		return
	}
	st := &w.ConfigState
	if st.PendingOp != 0 && now.Sub(st.PendingSince) >= opTimeout {
		st.PendingOp, st.ReadFailed = 0, true
	}
	if st.PendingOp == 0 && !now.Before(st.NextRead) {
		st.PendingOp, st.PendingSince = w.NextOp(), now
		st.NextRead = now.Add(readInterval(w))
		w.Outbox.ConfigOps = append(w.Outbox.ConfigOps, rocktable.TableOp[rocktable.ConfigRow]{Op: st.PendingOp, Key: RowKey})
	}
	w.WakeAt(st.NextRead)
}

// readInterval returns the time until the next read of the row. The row of a large installation has several hundred
// kilobytes, and a host that reads a new version reports it to the others. With 340 hosts, one of them reads the row
// every 0.5 s on average.
func readInterval(w *rocktable.World) time.Duration {
	return rockmember.ScaledInterval(w, w.Limits.ConfigEvery, hostsPerInterval)
}

func applyResult(now time.Time, w *rocktable.World, r rocktable.TableResult[rocktable.ConfigRow]) {
	if r.Op == w.ConfigState.PendingOp {
		w.ConfigState.PendingOp = 0
	}
	isRow := r.Found && (r.Status == rocktable.TableOK || r.Status == rocktable.TableConflict)
	if isRow && !r.Write {
		Accept(now, w, r.Version, r.Row)
	}
	if !r.Write {
		w.ConfigState.PlatformAnswered = w.ConfigState.PlatformAnswered || r.Status == rocktable.TableOK
		w.ConfigState.ReadFailed = w.ConfigState.ReadFailed || r.Status != rocktable.TableOK
	}
	for _, p := range w.Changes.All() {
		if p.PendingOp == r.Op && r.Op != 0 {
			p.PendingOp = 0
			applyChangeResult(now, w, p, r)
			return
		}
	}
}

// applyPeerMessage accepts a peer's configuration, requests it, or sends this host's.
func applyPeerMessage(now time.Time, w *rocktable.World, m rocktable.PeerMessage) {
	st := &w.ConfigState
	st.PeerReported = true
	st.HighestVersion = max(st.HighestVersion, m.ConfigVersion)
	if m.Configuration != nil {
		Accept(now, w, m.ConfigVersion, *m.Configuration)
	}
	if m.WantConfiguration && w.ConfigVersion > 0 {
		reply := rockmember.SelfMessage(w)
		reply.Reply = true
		row := w.Config
		reply.Configuration = &row
		rockmember.SendTo(w, m, reply)
	}
	// The limit of one request per peerRequestInterval keeps a host from fetching the configuration from every peer
	// at once.
	if m.ConfigVersion > w.ConfigVersion && (st.PeerRequestedAt.IsZero() || now.Sub(st.PeerRequestedAt) >= peerRequestInterval) {
		st.PeerRequestedAt = now
		request := rockmember.SelfMessage(w)
		request.WantConfiguration = true
		rockmember.SendTo(w, m, request)
	}
}

// Accept activates a version if it is higher than the active one, and reports whether it did.
func Accept(now time.Time, w *rocktable.World, version uint64, row rocktable.ConfigRow) bool {
	if version <= w.ConfigVersion {
		return false
	}
	w.LogChange("configuration", row.ChangeID, strconv.FormatUint(w.ConfigVersion, 10), strconv.FormatUint(version, 10))
	last := w.Config.Configuration.Drained
	w.Config, w.ConfigVersion = row, version
	w.ConfigState.HighestVersion = max(w.ConfigState.HighestVersion, version)
	w.SelfHost().ConfigVersion = version
	w.SelfHost().ChangeSeq = w.NextChangeSeq()
	updateTables(now, w, row.Configuration)
	applyDrained(now, w, last, row.Configuration.Drained)
	return true
}

// applyDrained drains the backend servers that were added to the list of drained ones, and lifts the drain of those
// that were removed.
func applyDrained(now time.Time, w *rocktable.World, previous, next []string) {
	for _, name := range next {
		if !slices.Contains(previous, name) {
			rockmember.Drain(now, w, w.InternServer(name))
		}
	}
	for _, name := range previous {
		s := w.InternServer(name)
		// A backend server that is leaving for another reason stays out of use.
		if !slices.Contains(next, name) && s.Drained {
			rockmember.LiftDrain(w, s)
		}
	}
}

// updateTables updates the tables of ranks, callers, pipelines and services to match the configuration.
func updateTables(now time.Time, w *rocktable.World, cfg rocktable.Configuration) {
	syncTable(now, w, entities[rocktable.RankID, rocktable.Rank]{
		rows: &w.Ranks, removedAt: func(r *rocktable.Rank) *time.Time { return &r.RemovedAt }, retention: removedRankRetention,
		keyOf:  func(r *rocktable.Request) rocktable.RankID { return r.Rank },
		remove: func(id rocktable.RankID) { rockadmit.RemoveRank(w, id) },
	}, cfg.Ranks, func(i int, c rocktable.RankConfig) rocktable.RankID {
		row := w.InternRank(c.Name)
		row.Config, row.Position = c, i
		return row.ID
	})
	syncTable(now, w, entities[rocktable.CallerID, rocktable.Caller]{
		rows: &w.Callers, removedAt: func(c *rocktable.Caller) *time.Time { return &c.RemovedAt },
		keyOf:  func(r *rocktable.Request) rocktable.CallerID { return r.Caller },
		remove: w.Callers.Delete,
	}, cfg.Callers, func(_ int, c rocktable.CallerConfig) rocktable.CallerID {
		row := w.InternCaller(c.Name)
		row.Config = c
		return row.ID
	})
	syncTable(now, w, entities[rocktable.PipelineID, rocktable.Pipeline]{
		rows: &w.Pipelines, removedAt: func(p *rocktable.Pipeline) *time.Time { return &p.RemovedAt },
		keyOf:  func(r *rocktable.Request) rocktable.PipelineID { return r.Pipeline },
		remove: w.Pipelines.Delete,
	}, cfg.Pipelines, func(_ int, c rocktable.PipelineConfig) rocktable.PipelineID {
		row := w.InternPipeline(c.Name)
		row.Config = c
		return row.ID
	})
	syncTable(now, w, entities[rocktable.ServiceID, rocktable.Service]{
		rows: &w.Services, removedAt: func(s *rocktable.Service) *time.Time { return &s.RemovedAt },
		keyOf: func(r *rocktable.Request) rocktable.ServiceID {
			if r.Call == nil {
				return 0
			}
			return r.Call.Service
		},
		remove: w.Services.Delete,
	}, cfg.Services, func(_ int, c rocktable.ServiceConfig) rocktable.ServiceID {
		row := w.InternService(c.Name)
		row.Config = c
		return row.ID
	})
}

// entities is a table of what is configured.
type entities[K comparable, T any] struct {
	rows      *rocktable.Table[K, T]
	removedAt func(row *T) *time.Time
	retention time.Duration // least time for which a row stays that is no longer configured
	keyOf     func(r *rocktable.Request) K
	remove    func(K)
}

// syncTable calls set for each configuration, which updates a row and returns its key. Accepted requests keep the rows that
// they were accepted with: one that is no longer configured stays, closed to new requests, until a change finds it unused.
func syncTable[K comparable, T, C any](now time.Time, w *rocktable.World, e entities[K, T], configs []C, set func(int, C) K) {
	configured, used := make(map[K]bool, len(configs)), make(map[K]bool)
	for i, c := range configs {
		key := set(i, c)
		*e.removedAt(e.rows.Get(key)) = time.Time{}
		configured[key] = true
	}
	for _, r := range w.Requests.All() {
		used[e.keyOf(r)] = true
	}
	for key, row := range e.rows.All() {
		removedAt := e.removedAt(row)
		if configured[key] {
			continue
		}
		if removedAt.IsZero() {
			*removedAt = now
		}
		if !used[key] && now.Sub(*removedAt) >= e.retention {
			e.remove(key)
		}
	}
}
