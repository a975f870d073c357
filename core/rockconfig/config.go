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
	// peersNeeded is the number of peers whose versions stand in for a platform that is out.
	peersNeeded = 3
	// hostsPerRead is the number of live hosts for each ConfigEvery between reads.
	hostsPerRead = 10
	// askEvery is the time between requests to peers for the configuration.
	askEvery = time.Second
	// opLimit is the silence after which an operation on the table service counts as lost.
	opLimit = 5 * time.Second
)

// System puts configuration versions in force.
var System = rocktable.System{
	Name: "rockconfig",
	Doc:  "Accepts higher configuration versions from the platform and from peers, and writes operators' changes by compare-and-set.",
	Run:  run,
}

func run(now time.Time, w *rocktable.World) {
	for _, l := range w.Inbox.Limits {
		takeLimits(w, l)
	}
	for _, r := range w.Inbox.ConfigResults {
		takeResult(now, w, r)
	}
	for _, p := range w.Inbox.ConfigPushes {
		takePush(now, w, p)
	}
	for _, m := range w.Inbox.Peers {
		takePeer(now, w, m)
	}
	for _, c := range w.Inbox.ConfigChanges {
		takeChange(now, w, c)
	}
	runChanges(now, w)
	readRow(now, w)
	w.Ready = w.StopSignalAt.IsZero() && (w.Ready || isCurrent(w))
}

// takeLimits puts changed limits in force, but for those on which the lease and the source of the tables depend.
func takeLimits(w *rocktable.World, l rocktable.Limits) {
	l.LeaseTTL, l.OrderTimeout, l.PlatformPushes = w.Limits.LeaseTTL, w.Limits.OrderTimeout, w.Limits.PlatformPushes
	if l != w.Limits {
		w.Limits = l
		w.LogChange("limits", w.SelfHost().Name, "", "changed")
	}
}

// isCurrent reports whether a host that has just started has the highest version known to the platform or its peers.
func isCurrent(w *rocktable.World) bool {
	st := &w.ConfigState
	if w.ConfigVersion == 0 || w.ConfigVersion < st.HighestVersion {
		return false
	}
	if w.Limits.PlatformPushes && w.ListState.ReadAt.IsZero() {
		return false // without backend servers it would refuse everything
	}
	return st.PlatformAnswered || st.ReadFailed && peersTold(w)
}

// peersTold reports whether enough peers told their version to stand in for a platform that is out.
func peersTold(w *rocktable.World) bool {
	told, known := 0, 0
	for _, h := range w.Hosts.All() {
		if h.Self || h.State == rocktable.StateDown {
			continue
		}
		known++
		if h.MessageReceived {
			told++
		}
	}
	return told >= max(1, min(peersNeeded, known))
}

func readRow(now time.Time, w *rocktable.World) {
	if w.Limits.PlatformPushes {
		return
	}
	st := &w.ConfigState
	if st.Op != 0 && now.Sub(st.OpAt) >= opLimit {
		st.Op, st.ReadFailed = 0, true
	}
	if st.Op == 0 && !now.Before(st.NextRead) {
		st.Op, st.OpAt = w.NextOp(), now
		st.NextRead = now.Add(readEvery(w))
		w.Outbox.ConfigOps = append(w.Outbox.ConfigOps, rocktable.TableOp[rocktable.ConfigRow]{Op: st.Op, Key: RowKey})
	}
	w.WakeAt(st.NextRead)
}

// readEvery returns the time to the next read of the row. It grows with the number of live hosts, because any of them
// tells the others of a new version, and the row of a large installation is some hundred kilobytes long. The times are
// random, so that hosts that started together do not read together: some host of 340 reads every 0.5 s on average.
func readEvery(w *rocktable.World) time.Duration {
	live := 0
	for _, h := range w.Hosts.All() {
		if h.State == rocktable.StateLive {
			live++
		}
	}
	every := w.Limits.ConfigEvery * time.Duration(1+live/hostsPerRead)
	if every == w.Limits.ConfigEvery {
		return every
	}
	return every/2 + time.Duration(w.Rand.Int64N(int64(every)))
}

func takeResult(now time.Time, w *rocktable.World, r rocktable.TableResult[rocktable.ConfigRow]) {
	if r.Op == w.ConfigState.Op {
		w.ConfigState.Op = 0
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
		if p.Op == r.Op && r.Op != 0 {
			p.Op = 0
			takeChangeResult(now, w, p, r)
			return
		}
	}
}

// takePeer accepts a peer's configuration, asks for it, or sends this host's.
func takePeer(now time.Time, w *rocktable.World, m rocktable.PeerMessage) {
	st := &w.ConfigState
	st.PeerReported = true
	st.HighestVersion = max(st.HighestVersion, m.ConfigVersion)
	if m.Configuration != nil {
		Accept(now, w, m.ConfigVersion, *m.Configuration)
	}
	if m.WantConfiguration && w.ConfigVersion > 0 {
		answer := rockmember.Header(w)
		answer.Reply = true
		row := w.Config
		answer.Configuration = &row
		rockmember.SendTo(w, m, answer)
	}
	// One request each second keeps a host from fetching the configuration from every peer at once.
	if m.ConfigVersion > w.ConfigVersion && (st.PeerAskedAt.IsZero() || now.Sub(st.PeerAskedAt) >= askEvery) {
		st.PeerAskedAt = now
		question := rockmember.Header(w)
		question.WantConfiguration = true
		rockmember.SendTo(w, m, question)
	}
}

// Accept puts a version in force if it is higher than the one in force, and reports whether it did.
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
	moveRanks(w, row.Configuration.Ranks)
	fill(w, row.Configuration)
	drain(now, w, last, row.Configuration.Drained)
	return true
}

// drain puts the difference between two lists of drained backend servers in force.
func drain(now time.Time, w *rocktable.World, last, next []string) {
	for _, name := range next {
		if !slices.Contains(last, name) {
			rockmember.Drain(now, w, w.InternServer(name))
		}
	}
	for _, name := range last {
		s := w.InternServer(name)
		// A backend server that left for another reason meanwhile stays out of use.
		if !slices.Contains(next, name) && s.Drained {
			rockmember.Lift(w, s)
		}
	}
}

// fill brings the tables of ranks, callers, pipelines and services in line with the configuration.
func fill(w *rocktable.World, cfg rocktable.Configuration) {
	for i, c := range cfg.Ranks {
		id := rocktable.RankID(i)
		row := w.Ranks.GetOrPut(id)
		row.ID, row.Config = id, c
	}
	keep(&w.Callers, cfg.Callers, func(c rocktable.CallerConfig) rocktable.CallerID {
		row := w.InternCaller(c.Name)
		row.Config = c
		return row.ID
	})
	keep(&w.Pipelines, cfg.Pipelines, func(c rocktable.PipelineConfig) rocktable.PipelineID {
		row := w.InternPipeline(c.Name)
		row.Config = c
		return row.ID
	})
	keep(&w.Services, cfg.Services, func(c rocktable.ServiceConfig) rocktable.ServiceID {
		row := w.InternService(c.Name)
		row.Config = c
		return row.ID
	})
}

// moveRanks keeps the rows and the work of each rank with its name when positions change.
func moveRanks(w *rocktable.World, next []rocktable.RankConfig) {
	moves := make(map[rocktable.RankID]rocktable.RankID, len(next))
	isMoved := false
	for id, rank := range w.Ranks.All() {
		i := slices.IndexFunc(next, func(c rocktable.RankConfig) bool { return c.Name == rank.Config.Name })
		if i >= 0 {
			moves[id] = rocktable.RankID(i)
		}
		isMoved = isMoved || i != int(id)
	}
	if isMoved {
		rockadmit.MoveRanks(w, moves)
	}
}

// keep sets the row of each configuration and deletes the others; set returns the key of the row.
func keep[K comparable, T, C any](t *rocktable.Table[K, T], configs []C, set func(C) K) {
	kept := make(map[K]bool, len(configs))
	for _, c := range configs {
		kept[set(c)] = true
	}
	for key := range t.All() {
		if !kept[key] {
			t.Delete(key)
		}
	}
}
