package rockcheck_test

import (
	"math"
	"testing"
	"time"

	"sassafrasrock/core/rockcheck"
)

// event returns an event with its times in ms.
func event(kind string, at, a, b, duration int) rockcheck.Event {
	return rockcheck.Event{
		Kind: rockcheck.KindIndex(kind), At: time.Duration(at) * time.Millisecond, A: a, B: b, For: time.Duration(duration) * time.Millisecond,
	}
}

// repeat returns the event with a repetition after some ms.
func repeat(e rockcheck.Event, after int) rockcheck.Event {
	e.RepeatAfter = time.Duration(after) * time.Millisecond
	return e
}

// Guards against regressions of faults that random runs found. The seeds and events are those of
// the shrunk runs.
func TestFoundFaults(t *testing.T) {
	for _, test := range []struct {
		name            string
		seed            uint64
		noMessageFaults bool
		events          []rockcheck.Event
	}{
		{
			"a call whose end is reported twice is started twice", 0x41b1ee4949b9, false,
			[]rockcheck.Event{
				event("loseTableAnswers", 3049, 3, 0, 101), event("cutDataCentres", 3083, 59, 6, 9502), event("flood", 3641, 1, 59, 101),
			},
		},
		{
			"a peer's update on an unconfirmed suspect clears it at the host that reported it first", 0x5f, true,
			[]rockcheck.Event{event("poison", 3004, 59, 3, 103)},
		},
		{
			"a request is retried on backend servers that are down until its retry budget is used up", 1, true,
			[]rockcheck.Event{event("poison", 3000, 0, 0, 100), event("poison", 3007, 0, 0, 100)},
		},
		{
			"a second crash of a backend server is not counted while the first one is unconfirmed", 0x307, false,
			[]rockcheck.Event{event("poison", 3003, 49, 58, 101), event("poison", 3001, 57, 0, 4455)},
		},
		{
			"a starting host receives no report of a quarantine", 6, false,
			[]rockcheck.Event{
				event("freezeHost", 3004, 1, 59, 4952), event("stopHost", 11390, 29, 13, 103), event("clockJump", 15618, 3, 45, 171),
				event("clockJump", 3025, 51, 28, 129), event("restartHost", 3001, 21, 1, 448), event("restartHost", 3010, 21, 1, 448),
				event("flood", 3028, 6, 0, 106), event("change", 3002, 12, 59, 105), event("clockJump", 20000, 0, 2, 100),
				event("poison", 3064, 53, 5, 132),
			},
		},
		{
			"a crash in another data centre that is confirmed too late is ignored although the content ran alone", math.MaxUint64, false,
			[]rockcheck.Event{event("poison", 3001, 48, 25, 437)},
		},
		{
			"a crash is mistaken for an earlier, unconfirmed one of the same backend server", 0x7e, false,
			[]rockcheck.Event{
				event("flood", 3609, 25, 6, 101), event("poison", 3002, 1, 24, 135), event("refuse", 3041, 0, 20, 8004),
				event("refuse", 3937, 36, 31, 245), event("poison", 3223, 1, 52, 781),
			},
		},
	} {
		f := run(test.seed, test.events, rockcheck.Options{NoMessageFaults: test.noMessageFaults, LoseLayersOnRestart: test.seed == 6})
		f.CheckCrashes()
		if test.noMessageFaults {
			f.CheckInnocent(true)
		}
		for _, v := range f.Violations {
			t.Errorf("%s: %s", test.name, v)
		}
	}
}

// Guards against a host that starts after a drain, alone in its data centre, and sends work to the
// drained backend server.
func TestDrainBeforeStart(t *testing.T) {
	f := run(0x12f47de, []rockcheck.Event{
		event("changesRace", 3018, 2, 41, 5996), event("cutPlatform", 3001, 11, 37, 1410), repeat(event("clockJump", 3014, 7, 28, 12000), 11),
		event("restartHost", 3024, 19, 28, 103), event("drain", 3002, 59, 51, 100), event("change", 5911, 1, 52, 100),
		event("cutPlatform", 3449, 4, 45, 317), repeat(event("restartHost", 3005, 4, 14, 214), 616),
	}, rockcheck.Options{})
	for _, v := range f.Violations {
		t.Error(v)
	}
}

// Guards against a departure that reaches a connected host only after 7 s, because later changes
// displace it from the messages.
func TestDepartureAmongManyChanges(t *testing.T) {
	f := run(3, []rockcheck.Event{
		event("killHost", 3210, 1, 15, 8796), event("restartHost", 3020, 13, 10, 11623), repeat(event("cutPlatform", 3011, 49, 16, 5095), 3889),
		event("freezeEngine", 3059, 1, 2, 550), event("restartHost", 5358, 12, 25, 100), event("cutDataCentres", 3019, 33, 1, 8180),
		event("leaveReported", 4398, 29, 39, 101), event("leaveReported", 3005, 31, 6, 128), event("leaveReported", 3003, 13, 12, 684),
	}, rockcheck.Options{})
	for _, v := range f.Violations {
		t.Error(v)
	}
}

// Guards against a host that restarts during an outage of the platform and then sends work to a
// drained backend server, because the update on the drain arrived before the list with that backend
// server and could not be applied.
func TestDepartureBeforeTheList(t *testing.T) {
	f := run(4, []rockcheck.Event{
		event("stopApplication", 3006, 2, 0, 101), event("killHost", 3068, 37, 1, 100), event("platformOut", 3004, 6, 24, 3116),
		repeat(event("flood", 3224, 25, 3, 1097), 2488), event("killHost", 3000, 6, 3, 139), event("refuse", 3014, 3, 0, 355),
		repeat(event("drain", 3057, 5, 2, 101), 3037), event("flood", 6098, 0, 14, 103),
	}, rockcheck.Options{})
	for _, v := range f.Violations {
		t.Error(v)
	}
}

// Guards against a simulation that delivers the answer to a killed host's call to the call with the
// same number of the host's next incarnation.
func TestAnswerOfKilledHostIsLost(t *testing.T) {
	f := run(3, []rockcheck.Event{
		event("flood", 3000, 22, 45, 795), event("restartHost", 3027, 8, 1, 120), event("poison", 3000, 7, 25, 103), event("cutPlatform", 3001, 10, 4, 438),
	}, rockcheck.Options{})
	for _, v := range f.Violations {
		t.Error(v)
	}
}

// Guards against a check that reports a missing configuration for a host that started 10 ms before
// the end of the run and is not ready yet.
func TestHostStartsAtTheEnd(t *testing.T) {
	f := run(0, []rockcheck.Event{
		{Kind: rockcheck.KindIndex("stopHost"), At: 7991 * time.Millisecond, A: 59, B: 49, For: 109 * time.Millisecond},
	}, rockcheck.Options{})
	for _, v := range f.Violations {
		t.Error(v)
	}
}

// Guards against a departure that reaches a running host too late, because the hosts that received
// it at once were killed.
func TestDepartureWhileHostsRestart(t *testing.T) {
	f := run(1, []rockcheck.Event{
		{At: 3767 * time.Millisecond, Kind: rockcheck.KindIndex("stopApplication"), A: 4, B: 55, For: 4202 * time.Millisecond, RepeatAfter: 0 * time.Millisecond},
		{At: 3004 * time.Millisecond, Kind: rockcheck.KindIndex("clockJump"), A: 1, B: 42, For: 276 * time.Millisecond, RepeatAfter: 2569 * time.Millisecond},
		{At: 3030 * time.Millisecond, Kind: rockcheck.KindIndex("killHost"), A: 0, B: 36, For: 4398 * time.Millisecond, RepeatAfter: 0 * time.Millisecond},
		{At: 4875 * time.Millisecond, Kind: rockcheck.KindIndex("loseTableAnswers"), A: 4, B: 6, For: 4335 * time.Millisecond, RepeatAfter: 0 * time.Millisecond},
		{At: 3001 * time.Millisecond, Kind: rockcheck.KindIndex("leaveReported"), A: 23, B: 35, For: 1173 * time.Millisecond, RepeatAfter: 0 * time.Millisecond},
		{At: 3036 * time.Millisecond, Kind: rockcheck.KindIndex("killHost"), A: 47, B: 57, For: 102 * time.Millisecond, RepeatAfter: 0 * time.Millisecond},
		{At: 3009 * time.Millisecond, Kind: rockcheck.KindIndex("killHost"), A: 18, B: 1, For: 558 * time.Millisecond, RepeatAfter: 0 * time.Millisecond},
		{At: 3009 * time.Millisecond, Kind: rockcheck.KindIndex("crashEngine"), A: 48, B: 48, For: 100 * time.Millisecond, RepeatAfter: 0 * time.Millisecond},
		{At: 3008 * time.Millisecond, Kind: rockcheck.KindIndex("stopHost"), A: 55, B: 1, For: 101 * time.Millisecond, RepeatAfter: 0 * time.Millisecond},
		{At: 3223 * time.Millisecond, Kind: rockcheck.KindIndex("refuse"), A: 1, B: 43, For: 2857 * time.Millisecond, RepeatAfter: 0 * time.Millisecond},
		{At: 15408 * time.Millisecond, Kind: rockcheck.KindIndex("killHost"), A: 12, B: 3, For: 100 * time.Millisecond, RepeatAfter: 0 * time.Millisecond},
		{At: 3005 * time.Millisecond, Kind: rockcheck.KindIndex("freezeHost"), A: 14, B: 5, For: 155 * time.Millisecond, RepeatAfter: 0 * time.Millisecond},
		{At: 3028 * time.Millisecond, Kind: rockcheck.KindIndex("clockJump"), A: 42, B: 10, For: 100 * time.Millisecond, RepeatAfter: 0 * time.Millisecond},
		{At: 3027 * time.Millisecond, Kind: rockcheck.KindIndex("flood"), A: 7, B: 51, For: 101 * time.Millisecond, RepeatAfter: 0 * time.Millisecond},
		{At: 3001 * time.Millisecond, Kind: rockcheck.KindIndex("platformOut"), A: 0, B: 0, For: 100 * time.Millisecond, RepeatAfter: 1305 * time.Millisecond},
		{At: 3033 * time.Millisecond, Kind: rockcheck.KindIndex("restartHost"), A: 48, B: 6, For: 115 * time.Millisecond, RepeatAfter: 0 * time.Millisecond},
		{At: 10182 * time.Millisecond, Kind: rockcheck.KindIndex("stopHost"), A: 55, B: 7, For: 193 * time.Millisecond, RepeatAfter: 0 * time.Millisecond},
		{At: 3805 * time.Millisecond, Kind: rockcheck.KindIndex("change"), A: 6, B: 3, For: 215 * time.Millisecond, RepeatAfter: 0 * time.Millisecond},
		{At: 3157 * time.Millisecond, Kind: rockcheck.KindIndex("leaveReported"), A: 6, B: 33, For: 103 * time.Millisecond, RepeatAfter: 0 * time.Millisecond},
		{At: 3000 * time.Millisecond, Kind: rockcheck.KindIndex("killHost"), A: 53, B: 58, For: 114 * time.Millisecond, RepeatAfter: 0 * time.Millisecond},
	}, rockcheck.Options{})
	for _, v := range f.Violations {
		t.Error(v)
	}
}
