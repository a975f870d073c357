package rockcheck_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"sassafrasrock/core/rockcheck"
	"sassafrasrock/core/rocktable"
)

// recordedRun is a fleet whose events and decisions are recorded as text.
type recordedRun struct {
	*rockcheck.Fleet
	text   bytes.Buffer
	starts []rocktable.Start
}

func newRecordedRun() *recordedRun {
	s := &recordedRun{}
	s.Fleet = rockcheck.NewFleet(3, rockcheck.Layout{Hosts: []int{1, 1}, ModelCopies: []int{1, 1}}, rockcheck.Options{
		NoMessageFaults: true, FixedDelays: true,
		Trace: func(now time.Time, host, what string) {
			fmt.Fprintf(&s.text, "%8.3f %-12s %s\n", now.Sub(rockcheck.StartTime).Seconds(), host, what)
		},
		OnTick: func(_ *rockcheck.Fleet, _ *rockcheck.Host, out *rocktable.Outbox) {
			s.starts = append(s.starts, out.Starts...)
		},
	})
	s.Run(3 * time.Second)
	return s
}

func (s *recordedRun) checkGolden(t *testing.T) {
	t.Helper()
	s.CheckAnswered()
	s.CheckRuns()
	s.CheckConfiguration()
	for _, v := range s.Violations {
		t.Error(v)
	}
	goldie.New(t).Assert(t, t.Name(), s.text.Bytes())
}

// Guards against a change in the handling of a stage that dies during a stream: one replay on
// another path and a complete answer.
func TestSessionStageDies(t *testing.T) {
	s := newRecordedRun()
	s.SendChat(s.Hosts[0], "guild", 0, []uint32{1, 2, 3}, 12)
	s.Run(250 * time.Millisecond)
	address := s.starts[0].Path[1].Address
	for _, e := range s.Engines {
		if e.Name == address {
			s.Crash(e, time.Second)
		}
	}
	s.Run(5 * time.Second)
	s.checkGolden(t)
}

// Guards against a second run of a call if the answer to the claim's write is lost and the call is
// sent again through another host.
func TestSessionClaimLost(t *testing.T) {
	s := newRecordedRun()
	s.Platform.WriteAnswersToLose = 1
	s.SendCall(s.Hosts[0], "payout-1")
	s.Run(100 * time.Millisecond)
	s.SendCall(s.Hosts[1], "payout-1")
	s.Run(5 * time.Second)
	s.SendCall(s.Hosts[1], "payout-1")
	s.Run(5 * time.Second)
	if n := s.CallRunsByKey["payout-1"]; n != 1 {
		t.Errorf("call ran %d times, want 1", n)
	}
	s.checkGolden(t)
}

// Guards against accepting the conflicting changes of two operators, and against reporting an
// accepted change as failed because the answer to its write was lost.
func TestSessionOperatorsRace(t *testing.T) {
	s := newRecordedRun()
	s.Platform.WriteAnswersToLose = 1
	s.SendChange(s.Hosts[0], "one", 1)
	s.SendChange(s.Hosts[1], "two", 2)
	s.Run(10 * time.Second)
	if len(s.AcceptedChanges) != 1 {
		t.Errorf("got %d accepted changes, want 1", len(s.AcceptedChanges))
	}
	s.checkGolden(t)
}
