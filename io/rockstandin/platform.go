package rockstandin

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockplatform"
)

func runPlatform(now time.Time, w *World) {
	for _, event := range w.Inbox.Rows {
		event.Reply(runRow(now, w, event))
	}
	for _, event := range w.Inbox.Objects {
		runObject(w, event)
	}
	for _, event := range w.Inbox.Hosts {
		if event.Remove {
			w.Hosts.Delete(event.Host.Name)
		} else {
			w.Hosts.Put(event.Host.Name, event.Host)
		}
		w.Platform.HostsChanged = true
		event.Reply()
	}
	if w.Platform.HostsChanged {
		w.Platform.HostsChanged = false
		w.Platform.HostLists = append(w.Platform.HostLists, ListVersion{From: now, Hosts: w.hostList()})
	}
}

func runRow(now time.Time, w *World, event RowEvent) RowReply {
	s, p := w.Servers.Get(PlatformName), &w.Platform
	limiter, base := p.Reads, w.Settings.Platform.ReadMs
	if event.Put != nil {
		limiter, base = p.Writes, w.Settings.Platform.WriteMs
	}
	if !limiter.AllowN(now, 1) {
		p.Count.RateLimited++
		return RowReply{Status: http.StatusServiceUnavailable}
	}
	reply := readRow(now, w, s, event.Key)
	if event.Put != nil {
		reply = writeRow(now, w, s, event)
	} else {
		p.Count.Reads++
	}
	reply.Delay = milliseconds(base * s.slowFactor())
	return reply
}

func readRow(now time.Time, w *World, s *Server, key RowKey) RowReply {
	row := w.Rows.Get(key)
	if row == nil {
		return RowReply{Status: http.StatusNotFound}
	}
	current := rockplatform.Row{Value: row.Value, Version: row.Version}
	if fault, ok := s.Faults[FaultOldReads]; ok {
		delay := milliseconds(fault.Fault.DelayMs)
		if delay == 0 || now.Sub(row.ChangedAt) < delay {
			current = row.Previous
		}
	}
	if current.Version == 0 {
		return RowReply{Status: http.StatusNotFound}
	}
	return RowReply{Status: http.StatusOK, Row: current}
}

func writeRow(now time.Time, w *World, s *Server, event RowEvent) RowReply {
	row := w.Rows.Get(event.Key)
	var current rockplatform.Row
	if row != nil {
		current = rockplatform.Row{Value: row.Value, Version: row.Version}
	}
	if current.Version != event.Put.ExpectedVersion {
		w.Platform.Count.Conflicts++
		return RowReply{Status: http.StatusConflict, Row: current}
	}
	w.Rows.Put(event.Key, StoredRow{Value: event.Put.Value, Version: current.Version + 1, Previous: current, ChangedAt: now})
	w.Platform.Count.Writes++
	return RowReply{
		Status:     http.StatusOK,
		Row:        rockplatform.Row{Version: current.Version + 1},
		DropAnswer: triggerFault(s, FaultLostAnswer),
		RawAnswer:  takeRawAnswer(s),
	}
}

func runObject(w *World, event ObjectEvent) {
	if event.Write {
		w.Objects.Put(event.Name, event.Body)
		event.Reply(nil, true)
		return
	}
	body := w.Objects.Get(event.Name)
	if body == nil {
		event.Reply(nil, false)
		return
	}
	event.Reply(*body, true)
}

func (w *World) hostList() []rocktable.ListedHost {
	hosts := make([]rocktable.ListedHost, 0, w.Hosts.Len())
	for _, host := range w.Hosts.All() {
		hosts = append(hosts, *host)
	}
	slices.SortFunc(hosts, func(a, b rocktable.ListedHost) int { return strings.Compare(a.Name, b.Name) })
	return hosts
}

// laggedList returns the newest host list that is at least as old as the lag, or the oldest one, and
// deletes versions that are no longer needed.
func laggedList(now time.Time, w *World) []rocktable.ListedHost {
	lag := milliseconds(max(w.Settings.Platform.ListLagMs, w.Servers.Get(PlatformName).Faults[FaultLag].Fault.DelayMs))
	lists, at := w.Platform.HostLists, 0
	for i, list := range lists {
		if now.Sub(list.From) >= lag {
			at = i
		}
	}
	// FaultLag may increase the lag later, which makes older versions visible again.
	const keptVersions = 1024
	hosts := lists[at].Hosts
	if at > keptVersions {
		w.Platform.HostLists = slices.Delete(lists, 0, at-keptVersions)
	}
	return hosts
}
