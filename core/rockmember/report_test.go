package rockmember_test

import (
	"testing"
	"time"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/core/rocktick"
)

// newPeeredWorld returns a World that has received a round's message of a peer with a load, a demand and work on a
// suspect, and that peer's next message without any of them.
func newPeeredWorld(now time.Time) (*rocktable.World, rocktable.PeerMessage) {
	w := rocktable.NewWorld(now, rocktable.Host{Name: "entry-1", Address: "10.0.0.1:1"}, rocktable.DataCentre{Name: "yoff"}, 1)
	m := rocktable.PeerMessage{
		Sender: "entry-2", Address: "10.0.0.2:1", DataCentre: "yoff", Incarnation: 1, Heartbeat: 9, State: rocktable.StateLive,
		Loads:   []rocktable.LoadUpdate{{Server: "runner-1", InFlight: 3}},
		Demands: []rocktable.DemandUpdate{{Caller: "guild", Rate: 5}},
		Work:    []rocktable.SuspectWork{{Fingerprint: 7, Signs: 1}},
	}
	receive(now, w, m)
	m.Loads, m.Demands, m.Work = nil, nil, nil
	return w, m
}

func receive(now time.Time, w *rocktable.World, m rocktable.PeerMessage) {
	w.Inbox = rocktable.Inbox{Peers: []rocktable.PeerMessage{m}}
	rocktick.Run(now, w)
}

func reportedRows(w *rocktable.World) int {
	h := w.HostNamed("entry-2")
	return len(h.ReportedLoads) + len(h.ReportedDemands) + len(h.ReportedWork)
}

// Guards against a message that carries no reports, such as a departure, a welcome or a request for the configuration,
// that erases what its sender had reported.
func TestMessageWithoutReportsErasesNone(t *testing.T) {
	now := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	for name, change := range map[string]func(m *rocktable.PeerMessage){
		"reply":                         func(m *rocktable.PeerMessage) { m.Reply = true },
		"request for the configuration": func(m *rocktable.PeerMessage) { m.WantConfiguration = true },
	} {
		w, m := newPeeredWorld(now)
		change(&m)
		receive(now.Add(100*time.Millisecond), w, m)
		if got := reportedRows(w); got != 3 {
			t.Errorf("%s: got %d reported rows, want the 3 of the message before", name, got)
		}
	}
}

// Guards against reports that stay in force after their sender has withdrawn them, by a round's message or, for work on
// suspects, by an extra message.
func TestMessageWithReportsReplacesThem(t *testing.T) {
	now := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	w, m := newPeeredWorld(now)
	receive(now.Add(100*time.Millisecond), w, m)
	if got := reportedRows(w); got != 0 {
		t.Errorf("round's message: got %d reported rows, want 0", got)
	}
	w, m = newPeeredWorld(now)
	m.Reply, m.ReportsWork = true, true
	receive(now.Add(100*time.Millisecond), w, m)
	if got := len(w.HostNamed("entry-2").ReportedWork); got != 0 {
		t.Errorf("extra message about work: got %d rows of work, want 0", got)
	}
}

// Guards against reports that expire between two rounds' messages of a peer in a large data centre, where each host
// writes to a few peers in each round.
func TestReportsLastUntilTheNextMessage(t *testing.T) {
	now := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	w, m := newPeeredWorld(now)
	const hosts = 34
	for i := range hosts - 2 {
		h := w.InternHost("other-" + string(rune('A'+i)))
		h.Address, h.DataCentre, h.State, h.HeartbeatAt = "10.0.1.1:1", w.SelfHost().DataCentre, rocktable.StateLive, now
	}
	m.Reply = true // keeps the host live without a report
	const betweenMessages = 11 * time.Second
	for at := time.Second; at <= betweenMessages; at += time.Second {
		m.Heartbeat++
		receive(now.Add(at), w, m)
	}
	if got := reportedRows(w); got != 3 {
		t.Errorf("after %s with %d hosts: got %d reported rows, want 3", betweenMessages, hosts, got)
	}
}
