package rockroute_test

import (
	"testing"
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// Guards against rare sequences of events that lose a request, leave a slot taken or break an
// invariant.
func TestRandomEventsLoseNoRequest(t *testing.T) {
	for seed := range uint64(20) {
		f := newFleet(t, 2, 3, 5)
		rocktable.WithSeed(seed)(f.w)
		f.w.InternPipeline("q").Config = f.w.Pipelines.Get(1).Config
		f.w.Limits.MaxRequests = 60
		f.w.Callers.Get(2).Config.TokensPerSecond = 500
		f.w.Ranks.Get(2).Config.MaxQueue = 20
		complete := f.end
		f.end = func(f *fleet, s rocktable.Start) rocktable.AttemptEnded { return randomEnd(f, s, complete) }
		arrivals := 0
		f.run(30*time.Second, func() { arrivals += randomEvent(f) })
		for _, s := range f.w.Servers.All() {
			s.State = rocktable.StateLive
		}
		f.end = complete
		f.run(20*time.Minute/100, nil)
		for f.w.Requests.Len() > 0 && f.now.Before(startTime.Add(time.Hour)) {
			f.run(time.Second, nil)
		}
		if len(f.answers) != arrivals || f.w.Requests.Len() != 0 || f.w.Attempts.Len() != 0 {
			t.Errorf("seed %d: %d of %d requests answered; %d requests and %d attempts left", seed, len(f.answers), arrivals, f.w.Requests.Len(), f.w.Attempts.Len())
		}
		for _, s := range f.w.Servers.All() {
			if s.InFlight != 0 || s.ExclusiveRequest != 0 {
				t.Errorf("seed %d: backend server %s has %d in flight and is reserved for %d", seed, s.Name, s.InFlight, s.ExclusiveRequest)
			}
		}
	}
}

func randomEnd(f *fleet, s rocktable.Start, complete func(*fleet, rocktable.Start) rocktable.AttemptEnded) rocktable.AttemptEnded {
	server := s.Path[f.rand.IntN(len(s.Path))].Server
	codes := []rockreason.Code{rockreason.StageDied, rockreason.StageRefused, rockreason.StageUnreachable, rockreason.StageStalled}
	switch n := f.rand.IntN(10); n {
	case 0, 1, 2, 3:
		return rocktable.AttemptEnded{Attempt: s.Attempt, Reason: codes[n], FailedServer: server, Crashed: n%2 == 0, Tokens: f.rand.IntN(2) * 5}
	default:
		return complete(f, s)
	}
}

// randomEvent changes the state of the fleet and returns the number of new requests.
func randomEvent(f *fleet) int {
	s := f.w.Servers.Get(rocktable.BackendServerID(1 + f.rand.IntN(f.w.Servers.Len())))
	switch f.rand.IntN(200) {
	case 0:
		s.State = rocktable.StateDown
	case 1, 2:
		s.State, s.StatusAt = rocktable.StateLive, f.now
	case 3:
		s.Incarnation++
	case 4:
		s.PeerInFlight = f.rand.IntN(3)
	case 5, 6, 7:
		f.w.Inbox.CallerDisconnects = append(f.w.Inbox.CallerDisconnects, rocktable.CallerDisconnect{Request: rocktable.RequestID(1 + f.rand.IntN(int(f.lastID)+1))})
	case 8:
		f.w.Inbox.Resets = append(f.w.Inbox.Resets, rocktable.Reset{Fingerprint: uint64(f.rand.IntN(40))})
	default:
		if f.rand.IntN(6) > 0 {
			return 0
		}
		f.addArrival(f.rand.IntN(5), rocktable.RankID(f.rand.IntN(3)))
		r := &f.w.Inbox.Arrivals[len(f.w.Inbox.Arrivals)-1].Request
		r.Fingerprint, r.Pipeline = uint64(f.rand.IntN(40)), rocktable.PipelineID(1+f.rand.IntN(2))
		return 1
	}
	return 0
}
