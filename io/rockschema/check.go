package rockschema

import (
	"math"

	"github.com/rotisserie/eris"

	"sassafrasrock/core/rocktable"
	v1 "sassafrasrock/schema/gen/sassafrasrock/v1"
)

// checkPeer refuses values that the control state must not hold; its error is ErrPeerMessage.
func checkPeer(m *v1.PeerMessage) error {
	if m.GetSender() == "" || m.GetDataCentre() == "" {
		return eris.Wrap(ErrPeerMessage, "sender or data centre is empty")
	}
	if !isState(m.GetState()) {
		return eris.Wrapf(ErrPeerMessage, "state %d", m.GetState())
	}
	for _, n := range m.GetHosts() {
		if n.GetName() == "" || !isState(n.GetState()) {
			return eris.Wrapf(ErrPeerMessage, "host %q with state %d", n.GetName(), n.GetState())
		}
	}
	for _, n := range m.GetServers() {
		if err := checkServer(n); err != nil {
			return err
		}
	}
	for _, n := range m.GetDemand() {
		if !isRate(n.GetRate()) {
			return eris.Wrapf(ErrPeerMessage, "demand of caller %q is %v", n.GetCaller(), n.GetRate())
		}
	}
	if m.GetConfiguration() != nil && !isConfiguration(m.GetConfiguration()) {
		return eris.Wrapf(ErrPeerMessage, "configuration %s has a number out of range", m.GetChangeId())
	}
	return nil
}

func checkServer(n *v1.ServerNews) error {
	if n.GetName() == "" || !isState(n.GetState()) || n.GetRole() > uint32(rocktable.RoleApplication) {
		return eris.Wrapf(ErrPeerMessage, "backend server %q with state %d and role %d", n.GetName(), n.GetState(), n.GetRole())
	}
	if rate := n.GetStatus().GetTokensPerSecond(); !isRate(rate) {
		return eris.Wrapf(ErrPeerMessage, "speed of backend server %q is %v", n.GetName(), rate)
	}
	return nil
}

func isState(state uint32) bool { return state <= uint32(rocktable.StateDown) }

// isRate refuses numbers that would spread through sums: one NaN makes every limit derived from it NaN.
func isRate[F float32 | float64](rate F) bool { return rate >= 0 && !math.IsInf(float64(rate), 0) }

// isConfiguration reports whether no number is negative, infinite or undefined; operators' changes were validated in full.
func isConfiguration(m *v1.Configuration) bool {
	for _, c := range m.GetPipelines() {
		if !isPipeline(c) {
			return false
		}
	}
	for _, c := range m.GetRanks() {
		if c.GetFirstTokenMs() < 0 || c.GetGapMs() < 0 || c.GetMaxQueue() < 0 || !isRate(c.GetWorth()) || !isRate(c.GetFloor()) {
			return false
		}
	}
	for _, c := range m.GetCallers() {
		if !isRate(c.GetWeight()) || !isRate(c.GetTokensPerSecond()) || !isRate(c.GetBurst()) {
			return false
		}
	}
	for _, c := range m.GetServices() {
		if c.GetTimeoutMs() < 0 {
			return false
		}
	}
	return true
}

func isPipeline(c *v1.Pipeline) bool {
	for _, p := range c.GetPlacements() {
		if p.GetFirstLayer() < 0 || p.GetLastLayer() < 0 {
			return false
		}
	}
	return c.GetLayers() >= 0
}
