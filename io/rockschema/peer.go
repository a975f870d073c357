package rockschema

import (
	"time"

	"github.com/rotisserie/eris"

	"sassafrasrock/core/rocktable"
	v1 "sassafrasrock/schema/gen/sassafrasrock/v1"
)

// PeerProtocol is the version of the peers' protocol that this program speaks.
const PeerProtocol = 1

// ErrProtocol says that a peer's message has a protocol version that this program does not speak.
var ErrProtocol = eris.New("unknown version of the peer protocol")

// ErrPeerMessage says that a peer's message has a field that no peer sends.
var ErrPeerMessage = eris.New("invalid peer message")

// PeerToProto returns the message that is sent to a peer.
func PeerToProto(p rocktable.PeerMessage) *v1.PeerMessage {
	m := &v1.PeerMessage{
		Protocol:          PeerProtocol,
		Sender:            p.Sender,
		Address:           p.Address,
		DataCentre:        p.DataCentre,
		Region:            p.Region,
		Incarnation:       p.Incarnation,
		Heartbeat:         p.Heartbeat,
		State:             uint32(p.State),
		InFlight:          clampUint32(p.InFlight),
		ConfigVersion:     p.ConfigVersion,
		WantConfiguration: p.WantConfiguration,
		Reply:             p.Reply,
		Hosts:             each(p.Hosts, hostNewsToProto),
		Servers:           each(p.Servers, serverNewsToProto),
		Sent:              each(p.Loads, sentNewsToProto),
		Demand:            each(p.Demands, demandNewsToProto),
		Suspects:          each(p.Suspects, suspectNewsToProto),
		Work:              each(p.Work, suspectWorkToProto),
		LostLease:         p.LostLeaseVersion,
	}
	if p.Configuration != nil {
		m.ChangeId = p.Configuration.ChangeID
		m.Earlier = each(p.Configuration.Earlier, acceptedToProto)
		m.Configuration = ConfigurationToProto(p.Configuration.Configuration)
	}
	return m
}

// PeerFromProto returns the struct of a peer's message, or an error that is ErrProtocol or ErrPeerMessage.
func PeerFromProto(m *v1.PeerMessage) (rocktable.PeerMessage, error) {
	if m.GetProtocol() != PeerProtocol {
		return rocktable.PeerMessage{}, eris.Wrapf(ErrProtocol, "version %d", m.GetProtocol())
	}
	if err := checkPeer(m); err != nil {
		return rocktable.PeerMessage{}, err
	}
	p := rocktable.PeerMessage{
		Sender:            m.GetSender(),
		Address:           m.GetAddress(),
		DataCentre:        m.GetDataCentre(),
		Region:            m.GetRegion(),
		Incarnation:       m.GetIncarnation(),
		Heartbeat:         m.GetHeartbeat(),
		State:             rocktable.State(m.GetState()),
		InFlight:          int(m.GetInFlight()),
		ConfigVersion:     m.GetConfigVersion(),
		WantConfiguration: m.GetWantConfiguration(),
		Reply:             m.GetReply(),
		Hosts:             each(m.GetHosts(), hostNewsFromProto),
		Servers:           each(m.GetServers(), serverNewsFromProto),
		Loads:             each(m.GetSent(), sentNewsFromProto),
		Demands:           each(m.GetDemand(), demandNewsFromProto),
		Suspects:          each(m.GetSuspects(), suspectNewsFromProto),
		Work:              each(m.GetWork(), suspectWorkFromProto),
		LostLeaseVersion:  m.GetLostLease(),
	}
	if m.GetConfiguration() != nil {
		p.Configuration = &rocktable.ConfigRow{
			ChangeID:      m.GetChangeId(),
			Earlier:       each(m.GetEarlier(), acceptedFromProto),
			Configuration: ConfigurationFromProto(m.GetConfiguration()),
		}
	}
	return p, nil
}

func acceptedToProto(c rocktable.AcceptedChange) *v1.AcceptedChange {
	return &v1.AcceptedChange{ChangeId: c.ChangeID, Version: c.Version}
}

func acceptedFromProto(m *v1.AcceptedChange) rocktable.AcceptedChange {
	return rocktable.AcceptedChange{ChangeID: m.GetChangeId(), Version: m.GetVersion()}
}

func hostNewsToProto(n rocktable.HostUpdate) *v1.HostNews {
	return &v1.HostNews{
		Name:          n.Name,
		Address:       n.Address,
		DataCentre:    n.DataCentre,
		Region:        n.Region,
		Incarnation:   n.Incarnation,
		Heartbeat:     n.Heartbeat,
		State:         uint32(n.State),
		ConfigVersion: n.ConfigVersion,
	}
}

func hostNewsFromProto(m *v1.HostNews) rocktable.HostUpdate {
	return rocktable.HostUpdate{
		Name:          m.GetName(),
		Address:       m.GetAddress(),
		DataCentre:    m.GetDataCentre(),
		Region:        m.GetRegion(),
		Incarnation:   m.GetIncarnation(),
		Heartbeat:     m.GetHeartbeat(),
		State:         rocktable.State(m.GetState()),
		ConfigVersion: m.GetConfigVersion(),
	}
}

func serverNewsToProto(n rocktable.ServerUpdate) *v1.ServerNews {
	return &v1.ServerNews{
		Name:      n.Name,
		State:     uint32(n.State),
		Drained:   n.Drained,
		StatusSeq: n.StatusSeq,
		Status:    engineStatusToProto(n.Status),

		Address:    n.Address,
		DataCentre: n.DataCentre,
		Region:     n.Region,
		Role:       uint32(n.Role),
	}
}

func serverNewsFromProto(m *v1.ServerNews) rocktable.ServerUpdate {
	status := engineStatusFromProto(m.GetStatus())
	if m.GetStatus() != nil {
		// The engine's own name is not sent: it is the name of the row.
		status.Name = m.GetName()
	}
	return rocktable.ServerUpdate{
		Name:      m.GetName(),
		State:     rocktable.State(m.GetState()),
		Drained:   m.GetDrained(),
		StatusSeq: m.GetStatusSeq(),
		Status:    status,

		Address:    m.GetAddress(),
		DataCentre: m.GetDataCentre(),
		Region:     m.GetRegion(),
		Role:       rocktable.BackendRole(m.GetRole()),
	}
}

// engineStatusToProto returns nil for an empty status, which saves bytes for a server that was never heard.
func engineStatusToProto(s rocktable.EngineStatus) *v1.EngineStatus {
	if s == (rocktable.EngineStatus{}) {
		return nil
	}
	return &v1.EngineStatus{
		Kind:            s.Kind,
		Model:           s.Model,
		Version:         s.Version,
		FirstLayer:      clampUint32(s.FirstLayer),
		LastLayer:       clampUint32(s.LastLayer),
		Slots:           clampUint32(s.Slots),
		Active:          clampUint32(s.Active),
		Queued:          clampUint32(s.Queued),
		TokensPerSecond: float32(s.TokensPerSecond),
		Incarnation:     s.Incarnation,
		State:           s.State,
		Fencing:         s.Fencing,
		ChecksFencing:   s.ChecksFencing,
		SubRanges:       s.SubRanges,
		Resume:          s.Resume,
		Sequence:        s.Sequence,
	}
}

func engineStatusFromProto(m *v1.EngineStatus) rocktable.EngineStatus {
	return rocktable.EngineStatus{
		Kind:            m.GetKind(),
		Model:           m.GetModel(),
		Version:         m.GetVersion(),
		FirstLayer:      int(m.GetFirstLayer()),
		LastLayer:       int(m.GetLastLayer()),
		Slots:           int(m.GetSlots()),
		Active:          int(m.GetActive()),
		Queued:          int(m.GetQueued()),
		TokensPerSecond: float64(m.GetTokensPerSecond()),
		Incarnation:     m.GetIncarnation(),
		State:           m.GetState(),
		Fencing:         m.GetFencing(),
		ChecksFencing:   m.GetChecksFencing(),
		SubRanges:       m.GetSubRanges(),
		Resume:          m.GetResume(),
		Sequence:        m.GetSequence(),
	}
}

func sentNewsToProto(n rocktable.LoadUpdate) *v1.SentNews {
	return &v1.SentNews{
		Server: n.Server, InFlight: clampUint32(n.InFlight), Entered: clampUint32(n.FirstStageInFlight), Memory: uint64(max(0, n.ReservedMemory)),
	}
}

func sentNewsFromProto(m *v1.SentNews) rocktable.LoadUpdate {
	return rocktable.LoadUpdate{
		Server: m.GetServer(), InFlight: int(m.GetInFlight()), FirstStageInFlight: int(m.GetEntered()), ReservedMemory: float64(m.GetMemory()),
	}
}

func demandNewsToProto(n rocktable.DemandUpdate) *v1.DemandNews {
	return &v1.DemandNews{Caller: n.Caller, Rate: float32(n.Rate)}
}

func demandNewsFromProto(m *v1.DemandNews) rocktable.DemandUpdate {
	return rocktable.DemandUpdate{Caller: m.GetCaller(), Rate: float64(m.GetRate())}
}

func suspectNewsToProto(n rocktable.SuspectUpdate) *v1.SuspectNews {
	return &v1.SuspectNews{
		Fingerprint: n.Fingerprint,
		Crashes:     n.Crashes,
		AloneCrash:  clampUint32(n.AloneCrashes),
		Quarantined: n.Quarantined,
		RemainingMs: clampUint32(int(n.Remaining.Milliseconds())),
	}
}

func suspectNewsFromProto(m *v1.SuspectNews) rocktable.SuspectUpdate {
	return rocktable.SuspectUpdate{
		Fingerprint:  m.GetFingerprint(),
		Crashes:      m.GetCrashes(),
		AloneCrashes: int(m.GetAloneCrash()),
		Quarantined:  m.GetQuarantined(),
		Remaining:    time.Duration(m.GetRemainingMs()) * time.Millisecond,
	}
}

func suspectWorkToProto(n rocktable.SuspectWork) *v1.SuspectWork {
	return &v1.SuspectWork{Fingerprint: n.Fingerprint, Signs: clampUint32(n.Signs), Servers: n.Servers, Running: n.Running}
}

func suspectWorkFromProto(m *v1.SuspectWork) rocktable.SuspectWork {
	return rocktable.SuspectWork{
		Fingerprint: m.GetFingerprint(), Signs: int(m.GetSigns()), Servers: m.GetServers(), Running: m.GetRunning(),
	}
}
