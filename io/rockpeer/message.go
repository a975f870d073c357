package rockpeer

import (
	"math"
	"time"

	"github.com/rotisserie/eris"

	"sassafrasrock/core/rocktable"
	sassafrasrockv1 "sassafrasrock/schema/gen/sassafrasrock/v1"
)

// toProto converts a message to its encoded form.
func toProto(m rocktable.PeerMessage) *sassafrasrockv1.PeerMessage {
	p := &sassafrasrockv1.PeerMessage{
		Protocol:          protocolVersion,
		Sender:            m.Sender,
		Address:           m.Address,
		DataCentre:        m.DataCentre,
		Region:            m.Region,
		Incarnation:       m.Incarnation,
		Heartbeat:         m.Heartbeat,
		State:             uint32(m.State),
		InFlight:          toUint32(m.InFlight),
		ConfigVersion:     m.ConfigVersion,
		WantConfiguration: m.WantConfiguration,
		Reply:             m.Reply,
		Hosts:             convert(m.Hosts, hostToProto),
		Servers:           convert(m.Servers, serverToProto),
		Sent:              convert(m.Sent, sentToProto),
		Demand:            convert(m.Demand, demandToProto),
		Suspects:          convert(m.Suspects, suspectToProto),
	}
	if m.Configuration != nil {
		p.ChangeId = m.Configuration.ChangeID
		p.Configuration = configurationToProto(m.Configuration.Configuration)
	}
	return p
}

// fromProto converts a message back, or returns ErrFrameBroken if a value is out of range.
func fromProto(p *sassafrasrockv1.PeerMessage) (rocktable.PeerMessage, error) {
	m := rocktable.PeerMessage{
		Sender:            p.Sender,
		Address:           p.Address,
		DataCentre:        p.DataCentre,
		Region:            p.Region,
		Incarnation:       p.Incarnation,
		Heartbeat:         p.Heartbeat,
		State:             rocktable.State(p.State),
		InFlight:          int(p.InFlight),
		ConfigVersion:     p.ConfigVersion,
		WantConfiguration: p.WantConfiguration,
		Reply:             p.Reply,
		Hosts:             convert(p.Hosts, hostFromProto),
		Servers:           convert(p.Servers, serverFromProto),
		Sent:              convert(p.Sent, sentFromProto),
		Demand:            convert(p.Demand, demandFromProto),
		Suspects:          convert(p.Suspects, suspectFromProto),
	}
	if err := check(p); err != nil {
		return rocktable.PeerMessage{}, err
	}
	if p.Configuration != nil {
		m.Configuration = &rocktable.ConfigRow{ChangeID: p.ChangeId, Configuration: configurationFromProto(p.Configuration)}
	}
	return m, nil
}

// check refuses values that the control state must not hold.
func check(p *sassafrasrockv1.PeerMessage) error {
	if p.Sender == "" || p.DataCentre == "" {
		return eris.Wrap(ErrFrameBroken, "sender or data centre is empty")
	}
	if !isState(p.State) {
		return eris.Wrapf(ErrFrameBroken, "state %d", p.State)
	}
	for _, n := range p.Hosts {
		if n.Name == "" || !isState(n.State) {
			return eris.Wrapf(ErrFrameBroken, "host %q with state %d", n.Name, n.State)
		}
	}
	for _, n := range p.Servers {
		if n.Name == "" || !isState(n.State) || !isRate(n.GetStatus().GetTokensPerSecond()) {
			return eris.Wrapf(ErrFrameBroken, "backend server %q with state %d", n.Name, n.State)
		}
	}
	for _, n := range p.Demand {
		if !isRate(n.Rate) {
			return eris.Wrapf(ErrFrameBroken, "demand of %q", n.Caller)
		}
	}
	if p.Configuration != nil && !isConfiguration(p.Configuration) {
		return eris.Wrapf(ErrFrameBroken, "configuration %s has a number out of range", p.ChangeId)
	}
	return nil
}

func isState(state uint32) bool { return state <= uint32(rocktable.StateDown) }

func isRate[F float32 | float64](rate F) bool { return rate >= 0 && !math.IsInf(float64(rate), 0) }

func convert[From, To any](from []From, f func(From) To) []To {
	if len(from) == 0 {
		return nil
	}
	to := make([]To, len(from))
	for i, v := range from {
		to[i] = f(v)
	}
	return to
}

func toUint32(n int) uint32 { return uint32(max(0, min(n, math.MaxUint32))) }

func hostToProto(n rocktable.HostNews) *sassafrasrockv1.HostNews {
	return &sassafrasrockv1.HostNews{
		Name: n.Name, Address: n.Address, DataCentre: n.DataCentre, Region: n.Region,
		Incarnation: n.Incarnation, Heartbeat: n.Heartbeat, State: uint32(n.State), ConfigVersion: n.ConfigVersion,
	}
}

func hostFromProto(p *sassafrasrockv1.HostNews) rocktable.HostNews {
	return rocktable.HostNews{
		Name: p.Name, Address: p.Address, DataCentre: p.DataCentre, Region: p.Region,
		Incarnation: p.Incarnation, Heartbeat: p.Heartbeat, State: rocktable.State(p.State), ConfigVersion: p.ConfigVersion,
	}
}

func serverToProto(n rocktable.ServerNews) *sassafrasrockv1.ServerNews {
	s := n.Status
	return &sassafrasrockv1.ServerNews{
		Name: n.Name, State: uint32(n.State), Drained: n.Drained, StatusSeq: n.StatusSeq,
		Status: &sassafrasrockv1.EngineStatus{
			Kind: s.Kind, Model: s.Model, Version: s.Version,
			FirstLayer: toUint32(s.FirstLayer), LastLayer: toUint32(s.LastLayer),
			Slots: toUint32(s.Slots), Active: toUint32(s.Active), Queued: toUint32(s.Queued),
			TokensPerSecond: float32(s.TokensPerSecond), Incarnation: s.Incarnation, State: s.State,
			Fencing: s.Fencing, ChecksFencing: s.ChecksFencing,
		},
	}
}

func serverFromProto(p *sassafrasrockv1.ServerNews) rocktable.ServerNews {
	s := p.GetStatus()
	return rocktable.ServerNews{
		Name: p.Name, State: rocktable.State(p.State), Drained: p.Drained, StatusSeq: p.StatusSeq,
		Status: rocktable.EngineStatus{
			Name: p.Name, Kind: s.GetKind(), Model: s.GetModel(), Version: s.GetVersion(),
			FirstLayer: int(s.GetFirstLayer()), LastLayer: int(s.GetLastLayer()),
			Slots: int(s.GetSlots()), Active: int(s.GetActive()), Queued: int(s.GetQueued()),
			TokensPerSecond: float64(s.GetTokensPerSecond()), Incarnation: s.GetIncarnation(), State: s.GetState(),
			Fencing: s.GetFencing(), ChecksFencing: s.GetChecksFencing(),
		},
	}
}

func sentToProto(n rocktable.SentNews) *sassafrasrockv1.SentNews {
	return &sassafrasrockv1.SentNews{Server: n.Server, InFlight: toUint32(n.InFlight)}
}

func sentFromProto(p *sassafrasrockv1.SentNews) rocktable.SentNews {
	return rocktable.SentNews{Server: p.Server, InFlight: int(p.InFlight)}
}

func demandToProto(n rocktable.DemandNews) *sassafrasrockv1.DemandNews {
	return &sassafrasrockv1.DemandNews{Caller: n.Caller, Rate: float32(n.Rate)}
}

func demandFromProto(p *sassafrasrockv1.DemandNews) rocktable.DemandNews {
	return rocktable.DemandNews{Caller: p.Caller, Rate: float64(p.Rate)}
}

func suspectToProto(n rocktable.SuspectNews) *sassafrasrockv1.SuspectNews {
	return &sassafrasrockv1.SuspectNews{
		Fingerprint: n.Fingerprint, Crashes: toUint32(n.Crashes), AloneCrash: toUint32(n.AloneCrash),
		Quarantined: n.Quarantined, RemainingMs: toUint32(int(n.Remaining.Milliseconds())),
	}
}

func suspectFromProto(p *sassafrasrockv1.SuspectNews) rocktable.SuspectNews {
	return rocktable.SuspectNews{
		Fingerprint: p.Fingerprint, Crashes: int(p.Crashes), AloneCrash: int(p.AloneCrash),
		Quarantined: p.Quarantined, Remaining: time.Duration(p.RemainingMs) * time.Millisecond,
	}
}
