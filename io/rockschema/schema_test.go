package rockschema_test

import (
	"errors"
	"math"
	"reflect"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockschema"
	v1 "sassafrasrock/schema/gen/sassafrasrock/v1"
)

// fill sets every field to a value of its own that is small enough for every number type.
func fill(v reflect.Value, next *int) {
	*next++
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), next)
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i), next)
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fill(v.Index(0), next)
		fill(v.Index(1), next)
	case reflect.String:
		v.SetString("s" + time.Duration(*next).String())
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(float64(*next))
	case reflect.Uint8:
		// The highest value that every enumeration of the messages has.
		v.SetUint(uint64(rocktable.RoleApplication))
	case reflect.Uint64:
		v.SetUint(uint64(*next))
	case reflect.Int64:
		v.SetInt(int64(time.Duration(*next) * time.Millisecond))
	default:
		v.SetInt(int64(*next))
	}
}

// Guards against a field that is added to a struct and lost on the wire.
func TestPeerMessageKeepsEveryField(t *testing.T) {
	var want rocktable.PeerMessage
	next := 0
	fill(reflect.ValueOf(&want).Elem(), &next)
	for i := range want.Servers {
		want.Servers[i].Status.Name = want.Servers[i].Name
	}
	pipelines := want.Configuration.Configuration.Pipelines
	for i := range pipelines {
		for j := range pipelines[i].Placements {
			// Filled in by core/rocklease from the pipeline; not part of the configuration.
			pipelines[i].Placements[j].Model, pipelines[i].Placements[j].Version = "", ""
		}
	}
	got, err := rockschema.PeerFromProto(rockschema.PeerToProto(want))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("round trip (-want +got):\n%s", diff)
	}
}

// Guards against a peer's message that breaks the state of its receiver.
func TestPeerMessageRefused(t *testing.T) {
	nan := float32(math.NaN())
	for name, c := range map[string]struct {
		m    *v1.PeerMessage
		want error
	}{
		"version": {&v1.PeerMessage{Protocol: 2, Sender: "entry-1"}, rockschema.ErrProtocol},
		"sender":  {&v1.PeerMessage{Protocol: 1, DataCentre: "yoff"}, rockschema.ErrPeerMessage},
		"state":   {&v1.PeerMessage{Protocol: 1, Sender: "entry-1", DataCentre: "yoff", State: 200}, rockschema.ErrPeerMessage},
		"role": {&v1.PeerMessage{Protocol: 1, Sender: "entry-1", DataCentre: "yoff", Servers: []*v1.ServerNews{
			{Name: "runner-1", Role: 2},
		}}, rockschema.ErrPeerMessage},
		"demand": {&v1.PeerMessage{Protocol: 1, Sender: "entry-1", DataCentre: "yoff", Demand: []*v1.DemandNews{{Rate: nan}}}, rockschema.ErrPeerMessage},
		"speed": {&v1.PeerMessage{Protocol: 1, Sender: "entry-1", DataCentre: "yoff", Servers: []*v1.ServerNews{
			{Name: "runner-1", Status: &v1.EngineStatus{TokensPerSecond: -1}},
		}}, rockschema.ErrPeerMessage},
	} {
		if _, err := rockschema.PeerFromProto(c.m); !errors.Is(err, c.want) {
			t.Errorf("%s: error = %v, want %v", name, err, c.want)
		}
	}
}

// Guards against layers counted as covered by servers that cannot serve them, and against hosts missed by apply.
func TestStatusToProto(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	holds := func(first, last int) rocktable.EngineStatus {
		return rocktable.EngineStatus{Model: "m", Version: "1", FirstLayer: first, LastLayer: last}
	}
	m := rockschema.StatusToProto(now, &rocktable.Status{
		ConfigVersion: 7,
		Config:        rocktable.Configuration{Pipelines: []rocktable.PipelineConfig{{Name: "p", Model: "m", Version: "1", Layers: 10}}},
		Hosts: []rocktable.Host{
			{Name: "entry-3", State: rocktable.StateLive, ConfigVersion: 6, HeartbeatAt: now.Add(-time.Second)},
			{Name: "entry-1", State: rocktable.StateLive, Self: true},
			{Name: "entry-2", State: rocktable.StateDown, ConfigVersion: 5},
		},
		Servers: []rocktable.BackendServer{
			{Name: "runner-1", State: rocktable.StateLive, Status: holds(0, 3)},
			{Name: "runner-2", State: rocktable.StateDown, Status: holds(4, 6)},
			{Name: "runner-3", State: rocktable.StateLive, Status: holds(8, 4000)},
		},
	})
	if got := m.GetPipelines()[0].GetLayersCovered(); got != 6 {
		t.Errorf("layers covered = %d, want 6", got)
	}
	if diff := cmp.Diff([]string{"entry-3"}, m.GetHostsLacking()); m.GetHostsInForce() != 1 || diff != "" {
		t.Errorf("hosts in force = %d, want 1; lacking (-want +got):\n%s", m.GetHostsInForce(), diff)
	}
	if h := m.GetHosts(); h[0].GetName() != "entry-1" || h[1].GetSilentMs() != rockschema.NeverHeard || h[2].GetSilentMs() != 1000 {
		t.Errorf("hosts = %v", h)
	}
}
