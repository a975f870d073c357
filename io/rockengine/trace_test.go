package rockengine

import (
	"net/http/httptrace"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a round trip of 0 when the answer arrives before the transport reports the end of the request.
func TestRoundTripOfAnEarlyAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, state := withTrace(t.Context())
		trace := httptrace.ContextClientTrace(ctx)
		trace.GotConn(httptrace.GotConnInfo{})
		time.Sleep(time.Millisecond)
		trace.GotFirstResponseByte()
		// The transport calls WroteRequest after its last write.
		if trace.WroteRequest != nil {
			time.Sleep(time.Millisecond)
			trace.WroteRequest(httptrace.WroteRequestInfo{})
		}
		if got := state.roundTrip(); got != time.Millisecond {
			t.Fatalf("got round trip %v, want %v", got, time.Millisecond)
		}
	})
}
