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

// every returns events of one kind, one each second, that concern each host and engine in turn.
func every(kind string, n int, length time.Duration) []rockcheck.Event {
	var events []rockcheck.Event
	for i := range n {
		events = append(events, rockcheck.Event{
			Kind: rockcheck.KindNamed(kind), At: 4*time.Second + time.Duration(i)*time.Second, A: i, B: i + 1, For: length,
		})
	}
	return events
}

// crashAll ends every engine at nearly the same time.
func crashAll() []rockcheck.Event {
	events := every("crashEngine", 12, 8*time.Second)
	for i := range events {
		events[i].At = 8*time.Second + time.Duration(i)*10*time.Millisecond
	}
	return events
}

// mechanism is a part that keeps an invariant, and how to switch it off.
type mechanism struct {
	name      string
	invariant string // that the checks report as broken
	off       rockcheck.Options
	events    []rockcheck.Event
	seed      uint64 // first one to try
}

func mechanisms() []mechanism {
	return []mechanism{
		{"paths cover every layer", "wholeAnswer", rockcheck.Options{After: shortenPaths}, nil, 0},
		{"epoch and index of tokens", "wholeAnswer", rockcheck.Options{TakeAny: true}, nil, 0},
		{"an attempt that was lost may have run", "notRun", rockcheck.Options{Before: sayNotStarted}, crashAll(), 21},
		{"compare-and-set of claims", "atMostOnce", rockcheck.Options{NoCompare: true}, nil, 0},
		{"a call that may have been sent is not sent again", "atMostOnce", rockcheck.Options{Before: sayNotSent}, every("stopApplication", 12, 500*time.Millisecond), 0},
		{"gossip of departures", "leaving", rockcheck.Options{After: hideDepartures}, every("drain", 6, 0), 0},
		{"a stop waits for the host's requests", "gracefulStop", rockcheck.Options{StopAtOnce: true}, every("stopHost", 5, 0), 0},
		{"only a higher version is accepted", "configuration", rockcheck.Options{Before: forgetVersion}, append(every("change", 8, 0), every("oldReads", 8, time.Second)...), 0},
		{"compare-and-set of changes", "configuration", rockcheck.Options{NoCompare: true}, every("changesRace", 8, 0), 0},
		{"suspects and quarantine", "crashes", rockcheck.Options{Before: forgetSuspects, Quiet: true}, every("poison", 5, 0), 0},
		{"gossip between hosts", "agreement", rockcheck.Options{After: sendNothing}, every("drain", 2, 0), 0},
		{"every end of an attempt is taken", "answered", rockcheck.Options{Before: dropEnds}, nil, 0},
	}
}

// Guards against checks that pass whatever the systems do: each must fail when the mechanism behind it is off.
func TestChecksNoticeMissingMechanisms(t *testing.T) {
	for _, m := range mechanisms() {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			on := m.off
			on.Before, on.After, on.TakeAny, on.NoCompare, on.StopAtOnce = nil, nil, false, false, false
			for seed := m.seed; seed < m.seed+8; seed++ {
				if v := find(check(seed, m.events, on), m.invariant); v != "" {
					t.Fatalf("with the mechanism: %s", v)
				}
				if v := find(check(seed, m.events, m.off), m.invariant); v != "" {
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
	if options.Quiet {
		f.CheckCrashes()
	}
	return f.Violations
}

func find(violations []string, invariant string) string {
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

func sayNotStarted(_ *rockcheck.Fleet, _ *rockcheck.Host, in *rocktable.Inbox) {
	for i := range in.Ended {
		if e := &in.Ended[i]; e.Reason == rockreason.StageDied && e.Tokens == 0 {
			e.Reason = rockreason.StageUnreachable
		}
	}
}

func sayNotSent(_ *rockcheck.Fleet, _ *rockcheck.Host, in *rocktable.Inbox) {
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

func forgetVersion(_ *rockcheck.Fleet, h *rockcheck.Host, in *rocktable.Inbox) {
	if len(in.ConfigResults) > 0 {
		h.World.ConfigVersion = 0
	}
}

func forgetSuspects(_ *rockcheck.Fleet, h *rockcheck.Host, _ *rocktable.Inbox) {
	for print := range h.World.Suspects.All() {
		h.World.Suspects.Delete(print)
	}
}

func sendNothing(_ *rockcheck.Fleet, _ *rockcheck.Host, out *rocktable.Outbox) { out.PeerSends = nil }

func dropEnds(f *rockcheck.Fleet, _ *rockcheck.Host, in *rocktable.Inbox) {
	if f.Rand.IntN(20) == 0 {
		in.Ended = nil
	}
}
