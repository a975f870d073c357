package rockschema

import (
	"math"

	"github.com/rotisserie/eris"

	"sassafrasrock/core/rocktable"
	v1 "sassafrasrock/schema/gen/sassafrasrock/v1"
)

// checkPeerMessage returns ErrPeerMessage for a message with values that the control state must not hold.
func checkPeerMessage(m *v1.PeerMessage) error {
	if m.GetSender() == "" || m.GetDataCentre() == "" {
		return eris.Wrap(ErrPeerMessage, "empty sender or data centre")
	}
	if !isValidState(m.GetState()) {
		return eris.Wrapf(ErrPeerMessage, "state %d", m.GetState())
	}
	for _, u := range m.GetHosts() {
		if u.GetName() == "" || !isValidState(u.GetState()) {
			return eris.Wrapf(ErrPeerMessage, "host %q with state %d", u.GetName(), u.GetState())
		}
	}
	for _, u := range m.GetServers() {
		if err := checkServerUpdate(u); err != nil {
			return err
		}
	}
	for _, u := range m.GetDemand() {
		if !isFiniteNonNegative(u.GetRate()) {
			return eris.Wrapf(ErrPeerMessage, "demand of caller %q is %v tokens/s", u.GetCaller(), u.GetRate())
		}
	}
	if m.GetConfiguration() != nil && !hasValidNumbers(m.GetConfiguration()) {
		return eris.Wrapf(ErrPeerMessage, "number out of range in the configuration of change %s", m.GetChangeId())
	}
	return nil
}

func checkServerUpdate(u *v1.ServerNews) error {
	if u.GetName() == "" || !isValidState(u.GetState()) || u.GetRole() > uint32(rocktable.RoleApplication) {
		return eris.Wrapf(ErrPeerMessage, "backend server %q with state %d and role %d", u.GetName(), u.GetState(), u.GetRole())
	}
	if rate := u.GetStatus().GetTokensPerSecond(); !isFiniteNonNegative(rate) {
		return eris.Wrapf(ErrPeerMessage, "throughput of backend server %q is %v tokens/s", u.GetName(), rate)
	}
	return nil
}

func isValidState(state uint32) bool { return state <= uint32(rocktable.StateDown) }

// isFiniteNonNegative reports whether v is a finite number of at least 0. Other values would spread
// through sums: one NaN makes every limit derived from it NaN.
func isFiniteNonNegative[F float32 | float64](v F) bool { return v >= 0 && !math.IsInf(float64(v), 0) }

// hasValidNumbers reports whether no number of a configuration is negative, infinite or NaN. The rest
// was validated when an operator submitted the change.
func hasValidNumbers(m *v1.Configuration) bool {
	for _, c := range m.GetPipelines() {
		if !hasValidLayers(c) {
			return false
		}
	}
	for _, c := range m.GetRanks() {
		if c.GetFirstTokenMs() < 0 || c.GetGapMs() < 0 || c.GetMaxQueue() < 0 || !isFiniteNonNegative(c.GetWorth()) || !isFiniteNonNegative(c.GetFloor()) {
			return false
		}
	}
	for _, c := range m.GetCallers() {
		if !isFiniteNonNegative(c.GetWeight()) || !isFiniteNonNegative(c.GetTokensPerSecond()) || !isFiniteNonNegative(c.GetBurst()) {
			return false
		}
	}
	for _, c := range m.GetServices() {
		if c.GetTimeoutMs() < 0 {
			return false
		}
	}
	l := m.GetRequestLimits()
	return min(l.GetMaxHeadBytes(), l.GetMaxBodyBytes()) >= 0 && min(l.GetHeadTimeoutMs(), l.GetIdleTimeoutMs()) >= 0
}

func hasValidLayers(c *v1.Pipeline) bool {
	for _, p := range c.GetPlacements() {
		if p.GetFirstLayer() < 0 || p.GetLastLayer() < 0 {
			return false
		}
	}
	return c.GetLayers() >= 0
}
