package rockpeer

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/core/rocktick"
	sassafrasrockv1 "sassafrasrock/schema/gen/sassafrasrock/v1"
)

// fullMessage returns a message in which every field of the protobuf schema is set.
func fullMessage() rocktable.PeerMessage {
	return rocktable.PeerMessage{
		Sender: "entry-1", Address: "127.0.0.1:7000", DataCentre: "ga-west-a", Region: "ga-west",
		Incarnation: 3, Heartbeat: 4, State: rocktable.StateLeaving, InFlight: 5, ConfigVersion: 6, WantConfiguration: true, Reply: true, LostLeaseVersion: 11,
		Hosts: []rocktable.HostUpdate{{
			Name: "entry-2", Address: "a", DataCentre: "b", Region: "c", Incarnation: 1, Heartbeat: 2, State: rocktable.StateLive, ConfigVersion: 3,
		}},
		Servers: []rocktable.ServerUpdate{{
			Name: "runner-1", State: rocktable.StateDown, Drained: true, StatusSeq: 1<<40 | 7,
			Status: rocktable.EngineStatus{
				Name: "runner-1", Kind: "k", Model: "m", Version: "v", FirstLayer: 1, LastLayer: 2, Slots: 3, Active: 4, Queued: 5,
				TokensPerSecond: 6.5, Incarnation: 7, State: "live", Fencing: 8, ChecksFencing: true, Resume: true,
			},
		}},
		Loads:    []rocktable.LoadUpdate{{Server: "runner-1", InFlight: 2}},
		Demands:  []rocktable.DemandUpdate{{Caller: "guild", Rate: 2.5}},
		Suspects: []rocktable.SuspectUpdate{{Fingerprint: 1, Crashes: []uint64{1 << 60, 7}, AloneCrashes: 1, Quarantined: true, Remaining: time.Second}},
		Work:     []rocktable.SuspectWork{{Fingerprint: 1, Signs: 2, Servers: []string{"runner-1", "runner-2"}, Running: true}},
		Configuration: &rocktable.ConfigRow{ChangeID: "change", Configuration: rocktable.Configuration{
			Pipelines: []rocktable.PipelineConfig{{
				Name: "p", Model: "m", Version: "v", Layers: 4,
				Placements: []rocktable.Placement{{Server: "runner-1", FirstLayer: 1, LastLayer: 2, Adapter: "a"}},
			}},
			Ranks:    []rocktable.RankConfig{{Name: "urgent", FirstTokenMs: 1, GapMs: 2, Worth: 3, Floor: 0.25, MaxQueue: 4}},
			Callers:  []rocktable.CallerConfig{{Name: "guild", TokenSHA256: "s", Weight: 1, TokensPerSecond: 2, Burst: 3, Ranks: []string{"urgent"}}},
			Services: []rocktable.ServiceConfig{{Name: "ledger", Servers: []string{"app-1"}, Idempotent: true, TimeoutMs: 5}},
			Drained:  []string{"runner-2"},
		}},
	}
}

// Guards against a field that is lost when a message is encoded and decoded.
func TestFrameKeepsEveryField(t *testing.T) {
	frame, err := EncodeFrame(fullMessage())
	if err != nil {
		t.Fatal(err)
	}
	got, err := ReadFrame(bytes.NewReader(frame))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(fullMessage(), got); diff != "" {
		t.Errorf("decoded message differs (-want +got):\n%s", diff)
	}
}

func frameOf(body []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
}

func protoFrame(m *sassafrasrockv1.PeerMessage) []byte {
	body, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	return frameOf(body)
}

// Guards against invalid frames that allocate memory or reach the control state.
func TestReadFrameRejectsInvalidFrames(t *testing.T) {
	valid, err := EncodeFrame(fullMessage())
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		frame []byte
		want  error
	}{
		"empty":           {nil, ErrFrameMalformed},
		"body truncated":  {valid[:len(valid)-1], ErrFrameMalformed},
		"trailing byte":   {append(bytes.Clone(valid), 0), ErrFrameMalformed},
		"too large":       {binary.BigEndian.AppendUint32(nil, MaxFrameBytes+1), ErrFrameTooLarge},
		"not protobuf":    {frameOf([]byte{0xff}), ErrFrameMalformed},
		"version":         {protoFrame(&sassafrasrockv1.PeerMessage{Protocol: 2, Sender: "a", DataCentre: "b"}), ErrFrameVersion},
		"no sender":       {protoFrame(&sassafrasrockv1.PeerMessage{Protocol: 1, DataCentre: "b"}), ErrFrameMalformed},
		"state":           {protoFrame(&sassafrasrockv1.PeerMessage{Protocol: 1, Sender: "a", DataCentre: "b", State: 4}), ErrFrameMalformed},
		"state 256":       {protoFrame(&sassafrasrockv1.PeerMessage{Protocol: 1, Sender: "a", DataCentre: "b", State: 257}), ErrFrameMalformed},
		"negative demand": {protoFrame(&sassafrasrockv1.PeerMessage{Protocol: 1, Sender: "a", DataCentre: "b", Demand: []*sassafrasrockv1.DemandNews{{Rate: -1}}}), ErrFrameMalformed},
		"worth": {protoFrame(&sassafrasrockv1.PeerMessage{
			Protocol: 1, Sender: "a", DataCentre: "b",
			Configuration: &sassafrasrockv1.Configuration{Ranks: []*sassafrasrockv1.Rank{{Worth: math.NaN()}}},
		}), ErrFrameMalformed},
	}
	for name, test := range tests {
		if _, err := ReadFrame(bytes.NewReader(test.frame)); !errors.Is(err, test.want) {
			t.Errorf("%s: got error %v, want %v", name, err, test.want)
		}
	}
	m := fullMessage()
	m.Region = string(make([]byte, MaxFrameBytes))
	if _, err := EncodeFrame(m); !errors.Is(err, ErrFrameTooLarge) {
		t.Errorf("encoding a message over the limit: got error %v, want %v", err, ErrFrameTooLarge)
	}
}

// Guards against a frame that makes the decoder panic, and against a decoded message that cannot be
// encoded again or changes when it is.
func FuzzReadFrame(f *testing.F) {
	valid, err := EncodeFrame(fullMessage())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add([]byte{0, 0, 0, 2, 8, 1})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := ReadFrame(bytes.NewReader(data))
		if err != nil {
			return
		}
		frame, err := EncodeFrame(m)
		if err != nil {
			t.Fatalf("encoding a decoded message: %v", err)
		}
		again, err := ReadFrame(bytes.NewReader(frame))
		if err != nil {
			t.Fatalf("decoding an encoded message: %v", err)
		}
		if diff := cmp.Diff(m, again); diff != "" {
			t.Errorf("message differs after a second round trip (-first +second):\n%s", diff)
		}
	})
}

// measureGossip runs one of 340 hosts, with 600 backend servers, and returns the bytes and messages
// that it sends per second.
func measureGossip(tb testing.TB, seconds int) (bytesPerSecond, messagesPerSecond float64) {
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	self := rocktable.Host{Name: "dakar-plateau-entry-00", Address: "10.20.0.10:7443"}
	dc := rocktable.DataCentre{Name: "dakar-plateau-0", Region: "dakar"}
	incarnation := uint64(start.UnixNano())
	w := rocktable.NewWorld(start, self, dc, incarnation, rocktable.WithSeed(1))
	list := rocktable.HostList{OK: true}
	add := func(role, format string, n int) {
		for i := range n {
			d := i % 10
			list.Entries = append(list.Entries, rocktable.ListedHost{
				Name: fmt.Sprintf(format, i), Role: role, Address: fmt.Sprintf("10.20.%d.%d:7443", d, 10+i/10),
				DataCentre: fmt.Sprintf("dakar-plateau-%d", d), Region: "dakar", State: "live",
			})
		}
	}
	add("entry", "dakar-plateau-entry-%03d", 339)
	add("model", "dakar-plateau-runner-%03d", 600)
	w.Inbox.HostLists = []rocktable.HostList{list}
	total, messages := 0, 0
	const warmUp = 10
	for tick := range 10 * (seconds + warmUp) {
		now := start.Add(time.Duration(tick) * 100 * time.Millisecond)
		if tick%10 == 9 {
			addPeerReports(w, list.Entries, incarnation, uint64(tick/10))
		}
		result := rocktick.Run(now, w)
		if tick < 10*warmUp {
			continue
		}
		for _, s := range result.Outbox.PeerSends {
			frame, err := EncodeFrame(s.Message)
			if err != nil {
				tb.Fatal(err)
			}
			total += len(frame)
			messages++
		}
	}
	return float64(total) / float64(seconds), float64(messages) / float64(seconds)
}

// addPeerReports adds the updates that peers send in one second to the inbox: a heartbeat of every
// host and a new status of every backend server.
func addPeerReports(w *rocktable.World, entries []rocktable.ListedHost, incarnation, second uint64) {
	for i, e := range entries {
		if e.Role == "entry" {
			w.Inbox.Peers = append(w.Inbox.Peers, rocktable.PeerMessage{
				Sender: e.Name, Address: e.Address, DataCentre: e.DataCentre, Region: e.Region,
				Incarnation: incarnation, Heartbeat: 100000 + second, State: rocktable.StateLive, ConfigVersion: 0,
			})
			continue
		}
		u := rocktable.ServerUpdate{Name: e.Name, State: rocktable.StateLive, StatusSeq: 100000 + 10*second, Status: rocktable.EngineStatus{
			Kind: "accelerator-3", Model: "caption-large", Version: "2026-01-02", LastLayer: 39, Slots: 64, Active: int(second)*7%64 + i%3, Queued: 3,
			TokensPerSecond: 5000, Incarnation: incarnation, State: "live", Fencing: 1000, ChecksFencing: true,
		}}
		w.Inbox.Peers[0].Servers = append(w.Inbox.Peers[0].Servers, u)
	}
}

// Guards against gossip that exceeds the budget of 4 KB/s for each host at 340 hosts and 600 backend servers.
func TestGossipBudget(t *testing.T) {
	const budget = 4000 // bytes/s
	bytesPerSecond, messagesPerSecond := measureGossip(t, 60)
	t.Logf("%.0f bytes/s in %.1f messages/s", bytesPerSecond, messagesPerSecond)
	if bytesPerSecond > budget {
		t.Errorf("got %.0f bytes/s, want at most %d", bytesPerSecond, budget)
	}
	if messagesPerSecond < 4 {
		t.Errorf("got %.1f messages/s, want at least 4", messagesPerSecond)
	}
}
