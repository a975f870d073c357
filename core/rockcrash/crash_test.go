package rockcrash

import (
	"testing"
	"time"

	"sassafrasrock/core/rocktable"
)

// startAttempt adds a running attempt of a request content on a backend server.
func startAttempt(w *rocktable.World, now time.Time, id rocktable.AttemptID, fingerprint uint64, s *rocktable.BackendServer) {
	request := rocktable.RequestID(id)
	w.Requests.Put(request, rocktable.Request{ID: request, Fingerprint: fingerprint, Attempt: id})
	w.Attempts.Put(id, rocktable.Attempt{
		ID: id, Request: request, StartedAt: now, Path: []rocktable.Stage{{Server: s.ID, LastLayer: 8, Incarnation: s.Incarnation}},
	})
}

// endAttempt runs a tick in which an attempt ends, by a crash of its backend server or with a complete answer.
func endAttempt(w *rocktable.World, now time.Time, id rocktable.AttemptID, crashed *rocktable.BackendServer) {
	e := rocktable.AttemptEnded{Attempt: id}
	if crashed != nil {
		e.Reason, e.FailedServer, e.Crashed = "stageDied", crashed.ID, true
		crashed.Incarnation++
	}
	w.Inbox.AttemptsEnded = []rocktable.AttemptEnded{e}
	run(now, w)
	w.Inbox.AttemptsEnded = nil
	w.Attempts.Delete(id)
}

// Guards against running alone or refusing content that was in flight at every crash only because many callers send
// it, for instance a common question. A complete answer between two crashes clears it.
func TestAnsweredContentIsNoSuspect(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	const content = 9
	w := rocktable.NewWorld(now, rocktable.Host{Name: "entry-1"}, rocktable.DataCentre{Name: "yoff"}, 1)
	one, two := w.InternServer("runner-1"), w.InternServer("runner-2")
	one.Incarnation, two.Incarnation = 1, 1

	startAttempt(w, now, 1, content, one)
	endAttempt(w, now, 1, one)
	if s := w.Suspects.Get(content); s == nil || len(s.Crashes) != 1 {
		t.Fatalf("suspect = %+v, want one crash", s)
	}
	now = now.Add(time.Second)
	startAttempt(w, now, 2, content, two)
	endAttempt(w, now, 2, nil)
	now = now.Add(time.Second)
	startAttempt(w, now, 3, content, two)
	endAttempt(w, now, 3, two)
	if IsSuspect(now, w, content) {
		t.Error("content that was answered between two crashes has to run alone")
	}
	now = now.Add(time.Second)
	startAttempt(w, now, 4, content, one)
	endAttempt(w, now, 4, one)
	if !IsSuspect(now, w, content) {
		t.Error("content that was in flight at two crashes without an answer in between does not run alone")
	}
}

// Guards against content that runs again while it has unconfirmed signs of crashes that would have it refused if
// confirmed.
func TestContentWaitsForUnconfirmedSigns(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	w := rocktable.NewWorld(now, rocktable.Host{Name: "entry-1"}, rocktable.DataCentre{Name: "yoff"}, 1)
	s := w.Suspects.Put(9, rocktable.Suspect{Fingerprint: 9, Crashes: []uint64{1}, UnconfirmedSigns: 1, ExpiresAt: now.Add(time.Minute)})
	if MustWait(w, 9) {
		t.Error("content with two crashes and signs in total waits, want it to run alone")
	}
	s.PeerSigns = 1
	if !MustWait(w, 9) {
		t.Error("content with three crashes and signs in total does not wait")
	}
	s.Crashes, s.UnconfirmedSigns, s.PeerSigns = []uint64{1, 2, 3}, 0, 0
	run(now, w)
	if !IsQuarantined(now, w, &rocktable.Request{Fingerprint: 9}) {
		t.Error("content with three crashes is not quarantined")
	}
}

// Guards against a crash that is taken for the previous one, because its attempt started between the first sign of the
// previous crash and its confirmation, when the backend server had already restarted.
func TestCrashAfterUnconfirmedCrash(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	const other, content = 8, 9
	w := rocktable.NewWorld(now, rocktable.Host{Name: "entry-1"}, rocktable.DataCentre{Name: "yoff"}, 1)
	s := w.InternServer("runner-1")
	s.Incarnation = 1
	startAttempt(w, now, 1, other, s)
	w.Inbox.AttemptsEnded = []rocktable.AttemptEnded{{Attempt: 1, Reason: "stageDied", FailedServer: s.ID, Crashed: true}}
	run(now.Add(time.Second), w)
	w.Inbox.AttemptsEnded = nil
	w.Attempts.Delete(1)
	startAttempt(w, now.Add(2*time.Second), 2, content, s)
	s.Incarnation = 2 // the first crash is confirmed
	run(now.Add(3*time.Second), w)
	endAttempt(w, now.Add(4*time.Second), 2, s)
	if row := w.Suspects.Get(content); row == nil || len(row.Crashes) != 1 {
		t.Errorf("suspect %+v, want one crash", row)
	}
}

// Guards against sound streams that are suspected, and have to run alone, because they were moved from one crashed
// backend server to another: a request that crashes engines of a full path does so when it begins to write.
func TestStreamThatWritesIsNoSuspect(t *testing.T) {
	for name, c := range map[string]struct {
		tokens  int
		suspect bool
	}{"writes": {1, false}, "waits for its first token": {0, true}} {
		t.Run(name, func(t *testing.T) {
			now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
			const content, cause = 9, 10
			w := rocktable.NewWorld(now, rocktable.Host{Name: "entry-1"}, rocktable.DataCentre{Name: "yoff"}, 1)
			p := w.InternPipeline("pool")
			p.Config.Engine.Kinds = []rocktable.KindConfig{{Name: "k"}}
			for i, server := range []string{"runner-1", "runner-2"} {
				s := w.InternServer(server)
				s.Incarnation = 1
				stream, other := rocktable.AttemptID(2*i+1), rocktable.AttemptID(2*i+2)
				startAttempt(w, now, stream, content, s)
				startAttempt(w, now, other, cause, s)
				for _, r := range w.Requests.All() {
					r.Pipeline = p.ID
				}
				w.Attempts.Get(stream).Tokens = c.tokens
				endAttempt(w, now, other, s)
				w.Attempts.Delete(stream)
				now = now.Add(time.Second)
			}
			if !IsSuspect(now, w, cause) || IsSuspect(now, w, content) != c.suspect {
				t.Errorf("the cause is a suspect: %t, the stream: %t; want true and %t", IsSuspect(now, w, cause), IsSuspect(now, w, content), c.suspect)
			}
		})
	}
}
