package rockschema

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"sassafrasrock/core/rocktable"
	v1 "sassafrasrock/schema/gen/sassafrasrock/v1"
)

// NoHeartbeat is the value of HostStatus.silent_ms for a listed host of which no heartbeat has been received.
const NoHeartbeat = -1

// StatusToProto converts a status to its message. Hosts and backend servers are sorted by name,
// suspects by fingerprint and counters by code.
func StatusToProto(now time.Time, s *rocktable.Status) *v1.GetStatusResponse {
	m := &v1.GetStatusResponse{
		Host:          s.Host,
		Ready:         s.Ready,
		Draining:      s.Draining,
		ConfigVersion: s.ConfigVersion,
		LeaseHeld:     s.Lease.Held,
		Requests:      clampInt32(s.Requests),
	}
	addHosts(m, now, s)
	addServers(m, s)
	for _, c := range s.Config.Pipelines {
		m.Pipelines = append(m.Pipelines, &v1.PipelineStatus{
			Name:          c.Name,
			Model:         c.Model,
			Layers:        clampInt32(c.Layers),
			LayersCovered: clampInt32(coveredLayers(c, s.Servers)),
		})
	}
	for _, row := range s.Suspects {
		m.Suspects = append(m.Suspects, &v1.SuspectStatus{
			Fingerprint: FormatFingerprint(row.Fingerprint),
			Crashes:     clampInt32(len(row.Crashes)),
			Quarantined: row.Quarantined,
			ExpiresMs:   row.ExpiresAt.Sub(now).Milliseconds(),
		})
	}
	slices.SortFunc(m.Suspects, func(a, b *v1.SuspectStatus) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	for _, code := range slices.Sorted(maps.Keys(s.Counters)) {
		m.Counters = append(m.Counters, &v1.Counter{Code: string(code), Count: s.Counters[code]})
	}
	return m
}

func addHosts(m *v1.GetStatusResponse, now time.Time, s *rocktable.Status) {
	for _, row := range s.Hosts {
		version := row.ConfigVersion
		if row.Self {
			version = s.ConfigVersion
		}
		m.Hosts = append(m.Hosts, &v1.HostStatus{
			Name:          row.Name,
			Address:       row.Address,
			DataCentre:    s.DataCentres[row.DataCentre].Name,
			State:         row.State.String(),
			ConfigVersion: version,
			SilentMs:      silentMs(now, row),
		})
		if row.State != rocktable.StateLive {
			continue
		}
		if version >= s.ConfigVersion {
			m.HostsInForce++
		} else {
			m.HostsLacking = append(m.HostsLacking, row.Name)
		}
	}
	slices.SortFunc(m.Hosts, func(a, b *v1.HostStatus) int { return cmp.Compare(a.Name, b.Name) })
	slices.Sort(m.HostsLacking)
}

func silentMs(now time.Time, row rocktable.Host) int64 {
	if row.Self {
		return 0
	}
	if row.HeartbeatAt.IsZero() {
		return NoHeartbeat
	}
	return max(0, now.Sub(row.HeartbeatAt).Milliseconds())
}

func addServers(m *v1.GetStatusResponse, s *rocktable.Status) {
	for _, row := range s.Servers {
		m.BackendServers = append(m.BackendServers, &v1.BackendServerStatus{
			Name:       row.Name,
			Address:    row.Address,
			DataCentre: s.DataCentres[row.DataCentre].Name,
			Role:       roleName(row.Role),
			Kind:       cmp.Or(row.Status.Kind, row.Kind),
			State:      row.State.String(),
			Model:      row.Status.Model,
			Version:    row.Status.Version,
			FirstLayer: clampInt32(row.Status.FirstLayer),
			LastLayer:  clampInt32(row.Status.LastLayer),
			Slots:      clampInt32(row.Status.Slots),
			InFlight:   clampInt32(row.InFlight + row.PeerInFlight),
			Limit:      row.ConcurrencyLimit,
		})
	}
	slices.SortFunc(m.BackendServers, func(a, b *v1.BackendServerStatus) int { return cmp.Compare(a.Name, b.Name) })
}

// roleName returns the name of a role as in the platform's host list.
func roleName(role rocktable.BackendRole) string {
	if role == rocktable.RoleApplication {
		return "application"
	}
	return "model"
}

// coveredLayers returns the number of layers of a pipeline that at least one live backend server holds.
func coveredLayers(c rocktable.PipelineConfig, servers []rocktable.BackendServer) int {
	covered := make([]bool, max(0, c.Layers))
	for _, row := range servers {
		if row.State != rocktable.StateLive || row.Status.Model != c.Model || row.Status.Version != c.Version {
			continue
		}
		for i := max(0, row.Status.FirstLayer); i <= min(row.Status.LastLayer, c.Layers-1); i++ {
			covered[i] = true
		}
	}
	n := 0
	for _, isCovered := range covered {
		if isCovered {
			n++
		}
	}
	return n
}

// OutcomesToProto converts the totals of a status to their message, sorted by caller and rank.
func OutcomesToProto(s *rocktable.Status) *v1.GetOutcomesResponse {
	m := &v1.GetOutcomesResponse{Host: s.Host}
	for key, row := range s.Tallies {
		m.Totals = append(m.Totals, &v1.Total{
			Caller:   s.Callers[key.Caller],
			Rank:     rankName(s.Ranks, key.Rank),
			Answered: int64(row.Answered),
			Kept:     int64(row.WithinTarget),
			Refused:  int64(row.Refused),
			Failed:   int64(row.Failed),
			Tokens:   int64(row.Tokens),
		})
	}
	slices.SortFunc(m.Totals, func(a, b *v1.Total) int {
		return cmp.Or(cmp.Compare(a.Caller, b.Caller), cmp.Compare(a.Rank, b.Rank))
	})
	return m
}

func rankName(ranks map[rocktable.RankID]string, id rocktable.RankID) string {
	if id == rocktable.NoRank {
		return ""
	}
	if name, ok := ranks[id]; ok {
		return name
	}
	return fmt.Sprintf("rank %d", id)
}

// FormatFingerprint formats a fingerprint as 16 hexadecimal digits.
func FormatFingerprint(fingerprint uint64) string {
	return fmt.Sprintf("%016x", fingerprint)
}

// ParseFingerprint parses a fingerprint of up to 16 hexadecimal digits.
func ParseFingerprint(s string) (uint64, error) {
	return strconv.ParseUint(s, 16, 64)
}
