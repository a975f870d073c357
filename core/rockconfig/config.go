package rockconfig

import (
	"strconv"
	"time"

	"sassafrasrock/core/rocktable"
)

// RowKey is the key of the configuration row in the table service.
const RowKey = "configuration"

// System puts configuration versions in force.
var System = rocktable.System{
	Name: "rockconfig",
	Doc:  "Accepts higher configuration versions from the platform and from peers, and writes operators' changes by compare-and-set.",
	Run:  run,
}

func run(now time.Time, w *rocktable.World) {
	for _, r := range w.Inbox.ConfigResults {
		if r.Op == w.ConfigState.Op {
			w.ConfigState.Op = 0
		}
		if r.Status == rocktable.TableOK && r.Found {
			Accept(w, r.Version, r.Row)
		}
	}
	if w.ConfigState.Op == 0 && !now.Before(w.ConfigState.Next) {
		w.ConfigState.Op = w.NextOp()
		w.ConfigState.Next = now.Add(w.Limits.ConfigEvery)
		w.Outbox.ConfigOps = append(w.Outbox.ConfigOps, rocktable.TableOp[rocktable.ConfigRow]{Op: w.ConfigState.Op, Key: RowKey})
	}
	w.Ready = w.ConfigVersion > 0 && !w.Draining
	w.WakeAt(w.ConfigState.Next)
}

// Accept puts a version in force if it is higher than the one in force, and reports whether it did.
func Accept(w *rocktable.World, version uint64, row rocktable.ConfigRow) bool {
	if version <= w.ConfigVersion {
		return false
	}
	w.LogChange("configuration", row.ChangeID, strconv.FormatUint(w.ConfigVersion, 10), strconv.FormatUint(version, 10))
	w.Config, w.ConfigVersion = row, version
	w.SelfHost().ConfigVersion = version
	w.SelfHost().Changed = w.Changed()
	fill(w, row.Configuration)
	return true
}

// fill brings the tables of ranks, callers, pipelines and services in line with the configuration.
func fill(w *rocktable.World, cfg rocktable.Configuration) {
	for i, c := range cfg.Ranks {
		id := rocktable.RankID(i)
		row := w.Ranks.GetOrPut(id)
		row.ID, row.Config = id, c
	}
	for id := range w.Ranks.All() {
		if int(id) >= len(cfg.Ranks) {
			w.Ranks.Delete(id)
		}
	}
	keepCallers(w, cfg.Callers)
	keepPipelines(w, cfg.Pipelines)
	keepServices(w, cfg.Services)
}

func keepCallers(w *rocktable.World, configs []rocktable.CallerConfig) {
	kept := make(map[rocktable.CallerID]bool, len(configs))
	for _, c := range configs {
		row := w.InternCaller(c.Name)
		row.Config = c
		kept[row.ID] = true
	}
	for id := range w.Callers.All() {
		if !kept[id] {
			w.Callers.Delete(id)
		}
	}
}

func keepPipelines(w *rocktable.World, configs []rocktable.PipelineConfig) {
	kept := make(map[rocktable.PipelineID]bool, len(configs))
	for _, c := range configs {
		row := w.InternPipeline(c.Name)
		row.Config = c
		kept[row.ID] = true
	}
	for id := range w.Pipelines.All() {
		if !kept[id] {
			w.Pipelines.Delete(id)
		}
	}
}

func keepServices(w *rocktable.World, configs []rocktable.ServiceConfig) {
	kept := make(map[rocktable.ServiceID]bool, len(configs))
	for _, c := range configs {
		row := w.InternService(c.Name)
		row.Config = c
		kept[row.ID] = true
	}
	for id := range w.Services.All() {
		if !kept[id] {
			w.Services.Delete(id)
		}
	}
}
