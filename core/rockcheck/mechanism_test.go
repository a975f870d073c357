package rockcheck_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"sassafrasrock/core/rockcheck"
	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// eventEachSecond returns n events of one kind, one each second, that affect the hosts and engines
// in turn.
func eventEachSecond(kind string, n int, length time.Duration) []rockcheck.Event {
	var events []rockcheck.Event
	for i := range n {
		events = append(events, rockcheck.Event{
			Kind: rockcheck.KindIndex(kind), At: 4*time.Second + time.Duration(i)*time.Second, A: i, B: i + 1, For: length,
		})
	}
	return events
}

// crashAll returns events that crash every engine within 110 ms.
func crashAll() []rockcheck.Event {
	events := eventEachSecond("crashEngine", 12, 8*time.Second)
	for i := range events {
		events[i].At = 8*time.Second + time.Duration(i)*10*time.Millisecond
	}
	return events
}

// mechanism is a part of the decision code that maintains an invariant, with the options that
// disable it.
type mechanism struct {
	name      string
	invariant string // violated without the mechanism
	disabled  rockcheck.Options
	events    []rockcheck.Event
}

// mechanismSeeds is the number of seeds that are tried until one meets the fault that a mechanism handles. The rarest
// fault is met by one seed in thirteen.
const mechanismSeeds = 64

func mechanisms() []mechanism {
	return []mechanism{
		{"paths cover every layer", "wholeAnswer", rockcheck.Options{EditOutbox: shortenPaths}, nil},
		{"epoch and index of tokens", "wholeAnswer", rockcheck.Options{AcceptAnyToken: true}, nil},
		{"an attempt that was lost may have run", "notRun", rockcheck.Options{EditInbox: reportNotStarted}, crashAll()},
		{"compare-and-set of claims", "atMostOnce", rockcheck.Options{SkipVersionCheck: true}, nil},
		{"a call that may have been sent is not sent again", "atMostOnce", rockcheck.Options{EditInbox: reportNotSent}, eventEachSecond("stopApplication", 12, 500*time.Millisecond)},
		{"gossip of departures", "leaving", rockcheck.Options{EditOutbox: hideDepartures}, eventEachSecond("drain", 6, 0)},
		{"a stop waits for the host's requests", "gracefulStop", rockcheck.Options{StopAtOnce: true}, eventEachSecond("stopHost", 5, 0)},
		{"only a higher version is accepted", "configuration", rockcheck.Options{EditInbox: resetVersion}, append(eventEachSecond("change", 8, 0), eventEachSecond("oldReads", 8, time.Second)...)},
		{"compare-and-set of changes", "configuration", rockcheck.Options{SkipVersionCheck: true}, eventEachSecond("changesRace", 8, 0)},
		{"suspects and quarantine", "crashes", rockcheck.Options{EditInbox: deleteSuspects, NoMessageFaults: true}, eventEachSecond("poison", 5, 0)},
		{"gossip between hosts", "agreement", rockcheck.Options{EditOutbox: dropPeerSends}, eventEachSecond("drain", 2, 0)},
		{"every end of an attempt is processed", "answered", rockcheck.Options{EditInbox: dropEnds}, nil},
	}
}

// Guards against checks that never fail: each must report a violation when the mechanism behind it
// is disabled.
func TestChecksDetectMissingMechanisms(t *testing.T) {
	for _, m := range mechanisms() {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			enabled := m.disabled
			enabled.EditInbox, enabled.EditOutbox, enabled.AcceptAnyToken, enabled.SkipVersionCheck, enabled.StopAtOnce = nil, nil, false, false, false
			for seed := range uint64(mechanismSeeds) {
				if v := findViolation(check(seed, m.events, enabled), m.invariant); v != "" {
					t.Fatalf("with the mechanism: %s", v)
				}
				if v := findViolation(check(seed, m.events, m.disabled), m.invariant); v != "" {
					t.Logf("seed %d without the mechanism: %s", seed, v)
					return
				}
			}
			t.Errorf("no violation of %s without the mechanism", m.invariant)
		})
	}
}

func check(seed uint64, events []rockcheck.Event, options rockcheck.Options) []string {
	f := run(seed, events, options)
	if options.NoMessageFaults {
		f.CheckCrashes()
	}
	return f.Violations
}

func findViolation(violations []string, invariant string) string {
	for _, v := range violations {
		if strings.HasPrefix(v, invariant+":") {
			return v
		}
	}
	return ""
}

func shortenPaths(_ *rockcheck.Fleet, _ *rockcheck.Host, out *rocktable.Outbox) {
	for i := range out.Starts {
		path := slices.Clone(out.Starts[i].Path)
		path[len(path)-1].LastLayer--
		out.Starts[i].Path = path
	}
}

func reportNotStarted(_ *rockcheck.Fleet, _ *rockcheck.Host, in *rocktable.Inbox) {
	for i := range in.AttemptsEnded {
		if e := &in.AttemptsEnded[i]; e.Reason == rockreason.StageDied && e.Tokens == 0 {
			e.Reason = rockreason.StageUnreachable
		}
	}
}

func reportNotSent(_ *rockcheck.Fleet, _ *rockcheck.Host, in *rocktable.Inbox) {
	for i := range in.CallsEnded {
		if e := &in.CallsEnded[i]; e.Reason != "" {
			e.Sent = false
		}
	}
}

func hideDepartures(_ *rockcheck.Fleet, _ *rockcheck.Host, out *rocktable.Outbox) {
	for i := range out.PeerSends {
		m := &out.PeerSends[i].Message
		m.Servers = slices.DeleteFunc(slices.Clone(m.Servers), func(n rocktable.ServerUpdate) bool { return n.State == rocktable.StateLeaving })
	}
}

func resetVersion(_ *rockcheck.Fleet, h *rockcheck.Host, in *rocktable.Inbox) {
	if len(in.ConfigResults) > 0 {
		h.World.ConfigVersion = 0
	}
}

func deleteSuspects(_ *rockcheck.Fleet, h *rockcheck.Host, _ *rocktable.Inbox) {
	for fingerprint := range h.World.Suspects.All() {
		h.World.Suspects.Delete(fingerprint)
	}
}

func dropPeerSends(_ *rockcheck.Fleet, _ *rockcheck.Host, out *rocktable.Outbox) { out.PeerSends = nil }

func dropEnds(f *rockcheck.Fleet, _ *rockcheck.Host, in *rocktable.Inbox) {
	if f.Rand.IntN(20) == 0 {
		in.AttemptsEnded = nil
	}
}
