package rocktable

import (
	"maps"
	"time"

	"sassafrasrock/core/rockreason"
)

// Snapshot holds the part of the control state that traffic goroutines read for each request. A new one is published
// when that part changes; a published one is never written.
type Snapshot struct {
	Host           string
	Ready          bool
	Draining       bool
	Stopping       bool      // the signal to stop has arrived; requests are still accepted until Draining
	GraceEnd       time.Time // see World.GraceEnd
	ConfigVersion  uint64
	Config         Configuration
	Freshness      ConfigFreshness
	Callers        map[string]CallerID // by lower-case SHA-256 of the token, in hexadecimal
	CallerConfigs  map[CallerID]CallerConfig
	Models         map[string]PipelineID
	Ranks          map[string]RankID
	Services       map[string]ServiceID
	Pipelines      map[string]PipelineID // by name
	Routes         RouteIndex
	ShortPipelines int // pipelines whose capacity is short
}

// ConfigFreshness tells whether a newer configuration may exist. It is zero where the configuration does not come from a
// followed table of the platform's store.
type ConfigFreshness struct {
	Tracked bool
	// ConfirmedAt is when the store, or a host that reaches it, last showed that no newer configuration exists. It is
	// zero before the first time, and while neither this host nor a source of it reaches the store.
	ConfirmedAt time.Time
}

// Update returns a snapshot that matches the World: the same one if nothing has changed.
func (s *Snapshot) Update(w *World) *Snapshot {
	stopping := !w.StopSignalAt.IsZero()
	if s.ConfigVersion != w.ConfigVersion || s.Ready != w.Ready || s.Draining != w.Draining || s.Stopping != stopping || !s.GraceEnd.Equal(w.GraceEnd()) {
		return w.TakeSnapshot()
	}
	freshness, short := w.configFreshness(), w.shortPipelines()
	if s.Freshness == freshness && s.ShortPipelines == short {
		return s
	}
	updated := *s // the maps are shared: nobody writes them
	updated.Freshness, updated.ShortPipelines = freshness, short
	return &updated
}

// shortPipelines returns the number of pipelines whose capacity is short.
func (w *World) shortPipelines() int {
	n := 0
	for _, c := range w.Capacities.All() {
		if !c.ShortSince.IsZero() {
			n++
		}
	}
	return n
}

// configFreshness returns the freshness of the configuration that is active at this host.
func (w *World) configFreshness() ConfigFreshness {
	f := ConfigFreshness{Tracked: w.Limits.PlatformPushes}
	if t := w.FollowedTables.Get(ConfigurationTable); t != nil && !w.Follow.Disconnected {
		f.ConfirmedAt = t.ConfirmedAt
	}
	return f
}

// TakeSnapshot returns a new snapshot of the World.
func (w *World) TakeSnapshot() *Snapshot {
	s := &Snapshot{
		Host:           w.SelfHost().Name,
		Ready:          w.Ready,
		Draining:       w.Draining,
		Stopping:       !w.StopSignalAt.IsZero(),
		GraceEnd:       w.GraceEnd(),
		ConfigVersion:  w.ConfigVersion,
		Config:         w.Config.Configuration,
		Freshness:      w.configFreshness(),
		Callers:        make(map[string]CallerID, w.Callers.Len()),
		CallerConfigs:  make(map[CallerID]CallerConfig, w.Callers.Len()),
		Models:         make(map[string]PipelineID, w.Pipelines.Len()),
		Ranks:          make(map[string]RankID, w.Ranks.Len()),
		Services:       make(map[string]ServiceID, w.Services.Len()),
		Pipelines:      make(map[string]PipelineID, w.Pipelines.Len()),
		Routes:         NewRouteIndex(w.Config.Configuration.Routes),
		ShortPipelines: w.shortPipelines(),
	}
	for id, row := range w.Callers.All() {
		if !row.RemovedAt.IsZero() {
			continue
		}
		if row.Config.TokenSHA256 != "" { // requests without a token match no caller
			s.Callers[row.Config.TokenSHA256] = id
		}
		for _, sum := range row.Config.MoreSHA256 {
			s.Callers[sum] = id
		}
		s.CallerConfigs[id] = row.Config
	}
	for id, row := range w.ConfiguredPipelines() {
		s.Models[row.Config.Model] = id
		s.Pipelines[row.Config.Name] = id
	}
	for id, row := range w.Ranks.All() {
		if row.RemovedAt.IsZero() {
			s.Ranks[row.Config.Name] = id
		}
	}
	for id, row := range w.Services.All() {
		if row.RemovedAt.IsZero() {
			s.Services[row.Config.Name] = id
		}
	}
	return s
}

// Status is a copy of the control state for status pages and callers' totals.
type Status struct {
	Host          string
	Ready         bool
	Draining      bool
	Incarnation   uint64
	ConfigVersion uint64
	Config        Configuration
	Hosts         []Host
	Servers       []BackendServer
	DataCentres   map[DataCentreID]DataCentre
	Callers       map[CallerID]string
	Ranks         map[RankID]string // names
	Suspects      []Suspect         // contents of requests, and parts of prompts
	Tallies       map[ShareKey]Tally
	Counters      map[rockreason.Code]uint64
	Lease         Lease
	Requests      int // queued or running
	Waiting       map[RankID]int
}

// TakeStatus returns a copy of the control state.
func (w *World) TakeStatus() *Status {
	s := &Status{
		Host:          w.SelfHost().Name,
		Ready:         w.Ready,
		Draining:      w.Draining,
		Incarnation:   w.Incarnation,
		ConfigVersion: w.ConfigVersion,
		Config:        w.Config.Configuration,
		DataCentres:   make(map[DataCentreID]DataCentre, w.DataCentres.Len()),
		Callers:       make(map[CallerID]string, w.Callers.Len()),
		Ranks:         make(map[RankID]string, w.Ranks.Len()),
		Tallies:       make(map[ShareKey]Tally, w.Tallies.Len()),
		Counters:      maps.Clone(w.Counters),
		Lease:         w.Lease,
		Requests:      w.Requests.Len(),
		Waiting:       make(map[RankID]int, w.Ranks.Len()),
	}
	for _, row := range w.Hosts.All() {
		s.Hosts = append(s.Hosts, *row)
	}
	for _, row := range w.Servers.All() {
		s.Servers = append(s.Servers, *row)
	}
	for _, row := range w.Suspects.All() {
		s.Suspects = append(s.Suspects, *row)
	}
	for _, row := range w.Parts.All() {
		s.Suspects = append(s.Suspects, Suspect{Fingerprint: uint64(row.ID), Crashes: row.Crashes, Quarantined: row.Blamed, ExpiresAt: row.ExpiresAt})
	}
	for id, row := range w.DataCentres.All() {
		s.DataCentres[id] = *row
	}
	for id, row := range w.Callers.All() {
		s.Callers[id] = row.Config.Name
	}
	for id, row := range w.Ranks.All() {
		s.Ranks[id] = row.Config.Name
		s.Waiting[id] = row.Waiting
	}
	for key, row := range w.Tallies.All() {
		s.Tallies[key] = *row
	}
	return s
}
