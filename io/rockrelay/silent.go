package rockrelay

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"sassafrasrock/core/rocktable"
)

// runningStreams holds the streams of the host that can be moved. What one of them learns of a silent backend server, the
// others on a path through it need not ask again.
type runningStreams struct {
	mu      sync.Mutex
	rows    map[*exchange]struct{}
	silents map[rocktable.BackendServerID]silentServer
}

// silentServer is a backend server that another one reported as silent.
type silentServer struct {
	reportedAt time.Time
	reporter   rocktable.BackendServerID
	waiting    map[string]string // the report
}

func (s *runningStreams) add(x *exchange) {
	if !x.dest.Route.Resumable {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rows == nil {
		s.rows = make(map[*exchange]struct{})
		s.silents = make(map[rocktable.BackendServerID]silentServer)
	}
	s.rows[x] = struct{}{}
}

func (s *runningStreams) remove(x *exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.rows, x)
}

// recordSilent records that a report names a backend server as silent.
func (s *runningStreams) recordSilent(server, reporter rocktable.BackendServerID, answer waitAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, silent := range s.silents {
		if answer.receivedAt.Sub(silent.reportedAt) >= waitReportMaxAge {
			delete(s.silents, id)
		}
	}
	s.silents[server] = silentServer{answer.receivedAt, reporter, answer.waiting}
}

// silentOn returns a backend server on a path, beyond the first stage, that was reported as silent within the last
// waitReportMaxAge. One through which an event has arrived since is not known to be silent.
func (s *runningStreams) silentOn(now time.Time, path []rocktable.Stage) rocktable.BackendServerID {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, stage := range path[1:] {
		silent, ok := s.silents[stage.Server]
		if ok && now.Sub(silent.reportedAt) < waitReportMaxAge && !s.hasProgress(stage.Server, silent.reportedAt) {
			return stage.Server
		}
	}
	return 0
}

// hasProgress reports whether a stream on a path through a backend server has had an event after a time. The caller holds
// the mutex.
func (s *runningStreams) hasProgress(server rocktable.BackendServerID, after time.Time) bool {
	for x := range s.rows {
		_, path, _ := x.current()
		if passes(path, server) && x.watch.LastEventAt().After(after) {
			return true
		}
	}
	return false
}

// takeStalls returns the stalls of the other streams that wait for a silent backend server as well: on a path through it,
// silent for an unusual time, and reported as waiting for it if the report is that of their first backend server.
func (s *runningStreams) takeStalls(now time.Time, server rocktable.BackendServerID) []rocktable.Stall {
	s.mu.Lock()
	defer s.mu.Unlock()
	silent := s.silents[server]
	var stalls []rocktable.Stall
	for x := range s.rows {
		id, path, _ := x.current()
		if !passes(path, server) {
			continue
		}
		if _, listed := silent.waiting[x.req.ID]; path[0].Server == silent.reporter && !listed {
			continue
		}
		if x.watch.TakeStall(now, server) {
			x.log("attempt stalled", "attempt", id, "fault", serverName(path, server), "unmovable", false, "reported", "for another attempt")
			stalls = append(stalls, rocktable.Stall{Attempt: id, Server: server})
		}
	}
	slices.SortFunc(stalls, func(a, b rocktable.Stall) int { return cmp.Compare(a.Attempt, b.Attempt) })
	return stalls
}

// passes reports whether a path passes through a backend server after its first stage.
func passes(path []rocktable.Stage, server rocktable.BackendServerID) bool {
	return slices.ContainsFunc(path[min(1, len(path)):], func(stage rocktable.Stage) bool { return stage.Server == server })
}
