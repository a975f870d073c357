package rockschema_test

import (
	"testing"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockschema"
)

// Guards against a host that learns the configuration from a peer and keeps other limits than the rest.
func TestRequestLimitsRoundTrip(t *testing.T) {
	for _, want := range []rocktable.RequestLimits{{}, {MaxHeadBytes: 1, MaxBodyBytes: 1 << 30, HeadTimeoutMs: 3, IdleTimeoutMs: 4}} {
		m := rockschema.ConfigurationToProto(rocktable.Configuration{RequestLimits: want})
		if got := rockschema.ConfigurationFromProto(m).RequestLimits; got != want {
			t.Errorf("got %+v, want %+v", got, want)
		}
	}
}
