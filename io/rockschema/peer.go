package rockschema

import (
	"time"

	"github.com/rotisserie/eris"

	"sassafrasrock/core/rocktable"
	v1 "sassafrasrock/schema/gen/sassafrasrock/v1"
)

// PeerProtocol is the version of the peer protocol that this program supports.
const PeerProtocol = 1

// ErrProtocol is returned for a peer's message of another protocol version than PeerProtocol.
var ErrProtocol = eris.New("unsupported version of the peer protocol")

// ErrPeerMessage is returned for a peer's message with an invalid value, which no correct peer sends.
var ErrPeerMessage = eris.New("invalid peer message")

// PeerToProto converts a message to a peer to protobuf.
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
		Hosts:             convertAll(p.Hosts, hostUpdateToProto),
		Servers:           convertAll(p.Servers, serverUpdateToProto),
		Sent:              convertAll(p.Loads, loadUpdateToProto),
		Demand:            convertAll(p.Demands, demandUpdateToProto),
		Suspects:          convertAll(p.Suspects, suspectUpdateToProto),
		Work:              convertAll(p.Work, suspectWorkToProto),
		Parts:             convertAll(p.Parts, partUpdateToProto),
		LostLeaseEra:      p.LostLeaseEra,
		LostLease:         p.LostLeaseVersion,
		ReportsWork:       p.ReportsWork,
		FollowsStore:      p.FollowsStore,
		StoreLost:         p.StoreLost,
		StoreReached:      p.StoreReached,
		Tables:            convertAll(p.Tables, tableUpdateToProto),
		TableRequests:     convertAll(p.TableRequests, tableRequestToProto),
		WantState:         p.WantState,
		FullState:         p.FullState,
	}
	if p.Configuration != nil {
		m.ChangeId = p.Configuration.ChangeID
		m.Earlier = convertAll(p.Configuration.Earlier, acceptedChangeToProto)
		m.Configuration = ConfigurationToProto(p.Configuration.Configuration)
	}
	return m
}

// PeerFromProto converts a peer's message from protobuf and checks it. Its errors are ErrProtocol and
// ErrPeerMessage.
func PeerFromProto(m *v1.PeerMessage) (rocktable.PeerMessage, error) {
	if m.GetProtocol() != PeerProtocol {
		return rocktable.PeerMessage{}, eris.Wrapf(ErrProtocol, "version %d", m.GetProtocol())
	}
	if err := checkPeerMessage(m); err != nil {
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
		Hosts:             convertAll(m.GetHosts(), hostUpdateFromProto),
		Servers:           convertAll(m.GetServers(), serverUpdateFromProto),
		Loads:             convertAll(m.GetSent(), loadUpdateFromProto),
		Demands:           convertAll(m.GetDemand(), demandUpdateFromProto),
		Suspects:          convertAll(m.GetSuspects(), suspectUpdateFromProto),
		Work:              convertAll(m.GetWork(), suspectWorkFromProto),
		Parts:             convertAll(m.GetParts(), partUpdateFromProto),
		LostLeaseEra:      m.GetLostLeaseEra(),
		LostLeaseVersion:  m.GetLostLease(),
		ReportsWork:       m.GetReportsWork(),
		FollowsStore:      m.GetFollowsStore(),
		StoreLost:         m.GetStoreLost(),
		StoreReached:      m.GetStoreReached(),
		Tables:            convertAll(m.GetTables(), tableUpdateFromProto),
		TableRequests:     convertAll(m.GetTableRequests(), tableRequestFromProto),
		WantState:         m.GetWantState(),
		FullState:         m.GetFullState(),
	}
	if m.GetConfiguration() != nil {
		p.Configuration = &rocktable.ConfigRow{
			ChangeID:      m.GetChangeId(),
			Earlier:       convertAll(m.GetEarlier(), acceptedChangeFromProto),
			Configuration: ConfigurationFromProto(m.GetConfiguration()),
		}
	}
	return p, nil
}

func acceptedChangeToProto(c rocktable.AcceptedChange) *v1.AcceptedChange {
	return &v1.AcceptedChange{ChangeId: c.ChangeID, Version: c.Version}
}

func acceptedChangeFromProto(m *v1.AcceptedChange) rocktable.AcceptedChange {
	return rocktable.AcceptedChange{ChangeID: m.GetChangeId(), Version: m.GetVersion()}
}

func hostUpdateToProto(u rocktable.HostUpdate) *v1.HostNews {
	return &v1.HostNews{
		Name:          u.Name,
		Address:       u.Address,
		DataCentre:    u.DataCentre,
		Region:        u.Region,
		Incarnation:   u.Incarnation,
		Heartbeat:     u.Heartbeat,
		State:         uint32(u.State),
		ConfigVersion: u.ConfigVersion,
	}
}

func hostUpdateFromProto(m *v1.HostNews) rocktable.HostUpdate {
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

func serverUpdateToProto(u rocktable.ServerUpdate) *v1.ServerNews {
	return &v1.ServerNews{
		Name:      u.Name,
		State:     uint32(u.State),
		Drained:   u.Drained,
		StatusSeq: u.StatusSeq,
		Status:    engineStatusToProto(u.Status),

		Address:    u.Address,
		DataCentre: u.DataCentre,
		Region:     u.Region,
		Role:       uint32(u.Role),
	}
}

func serverUpdateFromProto(m *v1.ServerNews) rocktable.ServerUpdate {
	status := engineStatusFromProto(m.GetStatus())
	if m.GetStatus() != nil {
		// The status is sent without the engine's name, which equals the name of the backend server.
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

// engineStatusToProto returns nil for an empty status. This saves bytes for a backend server that has
// not reported yet.
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

func loadUpdateToProto(u rocktable.LoadUpdate) *v1.SentNews {
	return &v1.SentNews{
		Server: u.Server, InFlight: clampUint32(u.InFlight), Entered: clampUint32(u.FirstStageInFlight), Memory: uint64(max(0, u.ReservedMemory)),
	}
}

func loadUpdateFromProto(m *v1.SentNews) rocktable.LoadUpdate {
	return rocktable.LoadUpdate{
		Server: m.GetServer(), InFlight: int(m.GetInFlight()), FirstStageInFlight: int(m.GetEntered()), ReservedMemory: float64(m.GetMemory()),
	}
}

func demandUpdateToProto(u rocktable.DemandUpdate) *v1.DemandNews {
	return &v1.DemandNews{Caller: u.Caller, Rate: float32(u.Rate)}
}

func demandUpdateFromProto(m *v1.DemandNews) rocktable.DemandUpdate {
	return rocktable.DemandUpdate{Caller: m.GetCaller(), Rate: float64(m.GetRate())}
}

func suspectUpdateToProto(u rocktable.SuspectUpdate) *v1.SuspectNews {
	return &v1.SuspectNews{
		Fingerprint: u.Fingerprint,
		Crashes:     u.Crashes,
		AloneCrash:  clampUint32(u.AloneCrashes),
		Quarantined: u.Quarantined,
		RemainingMs: clampUint32(int(u.Remaining.Milliseconds())),
	}
}

func suspectUpdateFromProto(m *v1.SuspectNews) rocktable.SuspectUpdate {
	return rocktable.SuspectUpdate{
		Fingerprint:  m.GetFingerprint(),
		Crashes:      m.GetCrashes(),
		AloneCrashes: int(m.GetAloneCrash()),
		Quarantined:  m.GetQuarantined(),
		Remaining:    time.Duration(m.GetRemainingMs()) * time.Millisecond,
	}
}

func partUpdateToProto(u rocktable.PartUpdate) *v1.PartNews {
	return &v1.PartNews{
		Part:        uint64(u.Part),
		Depth:       clampUint32(u.Depth),
		Crashes:     u.Crashes,
		Excused:     u.Excused,
		Blamed:      u.Blamed,
		RemainingMs: clampUint32(int(u.Remaining.Milliseconds())),
	}
}

func partUpdateFromProto(m *v1.PartNews) rocktable.PartUpdate {
	return rocktable.PartUpdate{
		Part:      rocktable.PartID(m.GetPart()),
		Depth:     int(m.GetDepth()),
		Crashes:   m.GetCrashes(),
		Excused:   m.GetExcused(),
		Blamed:    m.GetBlamed(),
		Remaining: time.Duration(m.GetRemainingMs()) * time.Millisecond,
	}
}

func suspectWorkToProto(w rocktable.SuspectWork) *v1.SuspectWork {
	return &v1.SuspectWork{Fingerprint: w.Fingerprint, Signs: clampUint32(w.Signs), Servers: w.Servers, Running: w.Running}
}

func suspectWorkFromProto(m *v1.SuspectWork) rocktable.SuspectWork {
	return rocktable.SuspectWork{
		Fingerprint: m.GetFingerprint(), Signs: int(m.GetSigns()), Servers: m.GetServers(), Running: m.GetRunning(),
	}
}
