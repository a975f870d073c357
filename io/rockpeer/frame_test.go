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

// full returns a message with every field set that the schema carries.
func full() rocktable.PeerMessage {
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

// Guards against a field that is lost between hosts.
func TestFrameKeepsEveryField(t *testing.T) {
	frame, err := EncodeFrame(full())
	if err != nil {
		t.Fatal(err)
	}
	got, err := ReadFrame(bytes.NewReader(frame))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(full(), got); diff != "" {
		t.Errorf("the decoded message differs (-want +got):\n%s", diff)
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

// Guards against frames that take memory or change the control state although they are not valid.
func TestReadFrameRefuses(t *testing.T) {
	valid, err := EncodeFrame(full())
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		frame []byte
		want  error
	}{
		"empty":        {nil, ErrFrameBroken},
		"cut short":    {valid[:len(valid)-1], ErrFrameBroken},
		"too much":     {append(bytes.Clone(valid), 0), ErrFrameBroken},
		"too large":    {binary.BigEndian.AppendUint32(nil, MaxFrame+1), ErrFrameTooLarge},
		"no protobuf":  {frameOf([]byte{0xff}), ErrFrameBroken},
		"version":      {protoFrame(&sassafrasrockv1.PeerMessage{Protocol: 2, Sender: "a", DataCentre: "b"}), ErrFrameVersion},
		"no sender":    {protoFrame(&sassafrasrockv1.PeerMessage{Protocol: 1, DataCentre: "b"}), ErrFrameBroken},
		"state":        {protoFrame(&sassafrasrockv1.PeerMessage{Protocol: 1, Sender: "a", DataCentre: "b", State: 4}), ErrFrameBroken},
		"state 256":    {protoFrame(&sassafrasrockv1.PeerMessage{Protocol: 1, Sender: "a", DataCentre: "b", State: 257}), ErrFrameBroken},
		"demand below": {protoFrame(&sassafrasrockv1.PeerMessage{Protocol: 1, Sender: "a", DataCentre: "b", Demand: []*sassafrasrockv1.DemandNews{{Rate: -1}}}), ErrFrameBroken},
		"worth": {protoFrame(&sassafrasrockv1.PeerMessage{
			Protocol: 1, Sender: "a", DataCentre: "b",
			Configuration: &sassafrasrockv1.Configuration{Ranks: []*sassafrasrockv1.Rank{{Worth: math.NaN()}}},
		}), ErrFrameBroken},
	}
	for name, test := range tests {
		if _, err := ReadFrame(bytes.NewReader(test.frame)); !errors.Is(err, test.want) {
			t.Errorf("%s: error %v, want %v", name, err, test.want)
		}
	}
	m := full()
	m.Region = string(make([]byte, MaxFrame))
	if _, err := EncodeFrame(m); !errors.Is(err, ErrFrameTooLarge) {
		t.Errorf("encoding a message over the limit: error %v, want %v", err, ErrFrameTooLarge)
	}
}

// Guards against a frame from a broken peer that stops the decoder, or that decodes to something that does not encode again.
func FuzzReadFrame(f *testing.F) {
	valid, err := EncodeFrame(full())
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
			t.Fatalf("a decoded message does not encode: %v", err)
		}
		again, err := ReadFrame(bytes.NewReader(frame))
		if err != nil {
			t.Fatalf("an encoded message does not decode: %v", err)
		}
		if diff := cmp.Diff(m, again); diff != "" {
			t.Errorf("the message differs after a second pass (-first +second):\n%s", diff)
		}
	})
}

// gossipBytes runs one host among 340, in front of 600 backend servers, and returns the bytes and messages that it sends each second.
func gossipBytes(tb testing.TB, seconds int) (bytesEach, messagesEach float64) {
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
			hear(w, list.Entries, incarnation, uint64(tick/10))
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

// hear gives the host one second's news of its peers, with new load of every tenth backend server.
func hear(w *rocktable.World, entries []rocktable.ListedHost, incarnation, beat uint64) {
	for i, e := range entries {
		if e.Role == "entry" {
			w.Inbox.Peers = append(w.Inbox.Peers, rocktable.PeerMessage{
				Sender: e.Name, Address: e.Address, DataCentre: e.DataCentre, Region: e.Region,
				Incarnation: incarnation, Heartbeat: 100000 + beat, State: rocktable.StateLive, ConfigVersion: 0,
			})
			continue
		}
		n := rocktable.ServerUpdate{Name: e.Name, State: rocktable.StateLive, StatusSeq: 100000 + 10*beat, Status: rocktable.EngineStatus{
			Kind: "accelerator-3", Model: "caption-large", Version: "2026-01-02", LastLayer: 39, Slots: 64, Active: int(beat)*7%64 + i%3, Queued: 3,
			TokensPerSecond: 5000, Incarnation: incarnation, State: "live", Fencing: 1000, ChecksFencing: true,
		}}
		w.Inbox.Peers[0].Servers = append(w.Inbox.Peers[0].Servers, n)
	}
}

// Guards against messages that outgrow the budget of 4 KB/s for each host at 340 hosts and 600 backend servers.
func TestGossipBudget(t *testing.T) {
	const budget = 4000
	bytesEach, messagesEach := gossipBytes(t, 60)
	t.Logf("%.0f bytes/s in %.1f messages/s", bytesEach, messagesEach)
	if bytesEach > budget {
		t.Errorf("%.0f bytes/s, want at most %d", bytesEach, budget)
	}
	if messagesEach < 4 {
		t.Errorf("%.1f messages/s, want at least 4", messagesEach)
	}
}
