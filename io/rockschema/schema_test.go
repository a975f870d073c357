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

// fillFields sets every field to a different value that fits every number type of the messages.
func fillFields(v reflect.Value, next *int) {
	*next++
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fillFields(v.Elem(), next)
	case reflect.Struct:
		for i := range v.NumField() {
			fillFields(v.Field(i), next)
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fillFields(v.Index(0), next)
		fillFields(v.Index(1), next)
	case reflect.String:
		v.SetString("s" + time.Duration(*next).String())
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(float64(*next))
	case reflect.Uint8:
		// Valid for every enumeration of the messages.
		v.SetUint(uint64(rocktable.RoleApplication))
	case reflect.Uint64:
		v.SetUint(uint64(*next))
	case reflect.Int64:
		v.SetInt(int64(time.Duration(*next) * time.Millisecond))
	default:
		v.SetInt(int64(*next))
	}
}

// Guards against a field that is added to a struct but not to its conversion, and so is lost on the wire.
func TestPeerMessageKeepsEveryField(t *testing.T) {
	var want rocktable.PeerMessage
	next := 0
	fillFields(reflect.ValueOf(&want).Elem(), &next)
	for i := range want.Servers {
		want.Servers[i].Status.Name = want.Servers[i].Name
	}
	pipelines := want.Configuration.Configuration.Pipelines
	for i := range pipelines {
		for j := range pipelines[i].Placements {
			// core/rocklease copies these from the pipeline; they are not part of the configuration.
			pipelines[i].Placements[j].Model, pipelines[i].Placements[j].Version = "", ""
		}
	}
	got, err := rockschema.PeerFromProto(rockschema.PeerToProto(want))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("message differs after a round trip (-want +got):\n%s", diff)
	}
}

// Guards against a peer's message whose invalid values reach the control state of the receiver.
func TestInvalidPeerMessageIsRejected(t *testing.T) {
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
			t.Errorf("%s: got error %v, want %v", name, err, c.want)
		}
	}
}

// Guards against layers that are counted as covered by backend servers that are down, and against live
// hosts without the current configuration that are missing from the hosts lacking it.
func TestStatusToProto(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	servesLayers := func(first, last int) rocktable.EngineStatus {
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
			{Name: "runner-1", State: rocktable.StateLive, Status: servesLayers(0, 3)},
			{Name: "runner-2", State: rocktable.StateDown, Status: servesLayers(4, 6)},
			{Name: "runner-3", State: rocktable.StateLive, Status: servesLayers(8, 4000)},
		},
	})
	if got := m.GetPipelines()[0].GetLayersCovered(); got != 6 {
		t.Errorf("got %d layers covered, want 6", got)
	}
	if diff := cmp.Diff([]string{"entry-3"}, m.GetHostsLacking()); m.GetHostsInForce() != 1 || diff != "" {
		t.Errorf("got %d hosts with the current version, want 1; hosts lacking it (-want +got):\n%s", m.GetHostsInForce(), diff)
	}
	if h := m.GetHosts(); h[0].GetName() != "entry-1" || h[1].GetSilentMs() != rockschema.NoHeartbeat || h[2].GetSilentMs() != 1000 {
		t.Errorf("got hosts %v, want sorted by name, with the time since each heartbeat", h)
	}
}
