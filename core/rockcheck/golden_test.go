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

// session is a whole run with its events and decisions as text.
type session struct {
	*rockcheck.Fleet
	text   bytes.Buffer
	starts []rocktable.Start
}

func newSession() *session {
	s := &session{}
	s.Fleet = rockcheck.NewFleet(3, rockcheck.Layout{Hosts: []int{1, 1}, Copies: []int{1, 1}}, rockcheck.Options{
		Quiet: true, Steady: true,
		Trace: func(now time.Time, host, what string) {
			fmt.Fprintf(&s.text, "%8.3f %-12s %s\n", now.Sub(rockcheck.Epoch).Seconds(), host, what)
		},
		Ticked: func(_ *rockcheck.Fleet, _ *rockcheck.Host, out *rocktable.Outbox) {
			s.starts = append(s.starts, out.Starts...)
		},
	})
	s.Run(3 * time.Second)
	return s
}

func (s *session) finish(t *testing.T) {
	t.Helper()
	s.CheckAnswered()
	s.CheckWitness()
	s.CheckConfiguration()
	for _, v := range s.Violations {
		t.Error(v)
	}
	goldie.New(t).Assert(t, t.Name(), s.text.Bytes())
}

// Guards against a change of what follows when a stage dies in a stream: one replay elsewhere and a whole answer.
func TestSessionStageDies(t *testing.T) {
	s := newSession()
	s.Ask(s.Hosts[0], "guild", 0, []uint32{1, 2, 3}, 12)
	s.Run(250 * time.Millisecond)
	address := s.starts[0].Path[1].Address
	for _, e := range s.Engines {
		if e.Name == address {
			s.Crash(e, time.Second)
		}
	}
	s.Run(5 * time.Second)
	s.finish(t)
}

// Guards against a second run of a call whose claim's answer is lost and which is resent through another host.
func TestSessionClaimLost(t *testing.T) {
	s := newSession()
	s.Platform.LoseNext = 1
	s.Call(s.Hosts[0], "payout-1")
	s.Run(100 * time.Millisecond)
	s.Call(s.Hosts[1], "payout-1")
	s.Run(5 * time.Second)
	s.Call(s.Hosts[1], "payout-1")
	s.Run(5 * time.Second)
	if n := s.Runs["payout-1"]; n != 1 {
		t.Errorf("the call ran %d times, want once", n)
	}
	s.finish(t)
}

// Guards against two operators who both win, and an accepted change that is reported lost with the answer to its write.
func TestSessionOperatorsRace(t *testing.T) {
	s := newSession()
	s.Platform.LoseNext = 1
	s.Change(s.Hosts[0], "one", 1)
	s.Change(s.Hosts[1], "two", 2)
	s.Run(10 * time.Second)
	if len(s.Accepted) != 1 {
		t.Errorf("%d changes accepted, want 1", len(s.Accepted))
	}
	s.finish(t)
}
