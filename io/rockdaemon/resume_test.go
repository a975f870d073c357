package rockdaemon

import (
	"fmt"
	"sync"
	"testing"

	"sassafrasrock/io/rockhttp"
	"sassafrasrock/io/rockstandin"
)

// chatsWithFault sends n requests of a rank, injects a fault when a stream has 10 tokens, and
// checks each answer.
func (f *fleet) chatsWithFault(rank string, n, maxTokens int, fault rockstandin.Fault) []answer {
	f.rank = rank
	var once sync.Once
	return f.checkChats(n, maxTokens, func(k int) {
		if k == 10 {
			once.Do(func() { f.injectFault(fault) })
		}
	})
}

// checkNothingRanTwice fails the test unless every request of checkChats had one attempt and each
// stage ran each of its positions once.
func (f *fleet) checkNothingRanTwice(answers []answer, maxTokens int) {
	f.t.Helper()
	var want, got rockstandin.RequestCount
	for i, a := range answers {
		if a.attempts != 1 {
			f.t.Errorf("request %d: got %d attempts, want 1", i, a.attempts)
		}
		text := rockhttp.FormatPrompt([]rockhttp.ChatMessage{{Role: "user", Content: fmt.Sprintf("request number %d", i)}})
		tokens := len(rockstandin.ExpectedTexts(model, layers, text, maxTokens))
		want.Sessions += 3
		want.Steps += 3 * tokens
		want.Positions += 3 * (len(rockstandin.Tokenise(text)) + tokens - 1)
	}
	for _, count := range f.standin.Counts().Requests {
		got.Sessions += count.Sessions
		got.Steps += count.Steps
		got.Positions += count.Positions
	}
	if got != want {
		f.t.Errorf("engines ran %+v, want %+v", got, want)
	}
}

// Guards against a replay, or a position that runs twice, when only connections fail and the
// engines keep their sessions. Rank urgent has a long step limit, so the ping of the connection
// detects the fault first; rank brisk has a short one, so the missing answer of a step does.
func TestStreamsResume(t *testing.T) {
	for _, rank := range []string{"urgent", "brisk"} {
		for _, kind := range []string{rockstandin.FaultSilent, rockstandin.FaultReset, rockstandin.FaultLostAnswer} {
			t.Run(rank+"/"+kind, func(t *testing.T) {
				f := newFleet(t, 1)
				answers := f.chatsWithFault(rank, 6, 60, rockstandin.Fault{Target: "yoff", Kind: kind, Times: 1})
				f.checkNothingRanTwice(answers, 60)
				resumed := 0
				for _, e := range f.standin.Counts().Engines {
					resumed += e.ResumedSessions
				}
				if resumed == 0 {
					t.Error("no session was resumed: the fault hit no stream")
				}
			})
		}
	}
}

// BenchmarkLongestGap measures the longest gap, the attempts and the positions run for six streams
// whose connections fail, with engines that resume sessions and with engines that cannot.
func BenchmarkLongestGap(b *testing.B) {
	faults := []rockstandin.Fault{
		{Target: "yoff", Kind: rockstandin.FaultSilent},
		{Target: "runner-2", Kind: rockstandin.FaultSilent},
		{Target: "yoff", Kind: rockstandin.FaultReset},
		{Target: "runner-2", Kind: rockstandin.FaultCut},
	}
	for _, rank := range []string{"urgent", "brisk"} {
		for _, fault := range faults {
			for _, resume := range []bool{false, true} {
				b.Run(fmt.Sprintf("%s/%s-%s/resume=%t", rank, fault.Kind, fault.Target, resume), func(b *testing.B) {
					benchGap(b, rank, fault, resume)
				})
			}
		}
	}
}

func benchGap(b *testing.B, rank string, fault rockstandin.Fault, resume bool) {
	var mean, worst, attempts, positions float64
	for b.Loop() {
		f := newFleet(b, 1, func(s *rockstandin.Settings) {
			for i := range s.Kinds {
				s.Kinds[i].PrefillMs = 2
			}
			for i := range s.Engines {
				s.Engines[i].NoResume = !resume
			}
		})
		gap := 0.0
		for _, a := range f.chatsWithFault(rank, 6, 60, fault) {
			gap = max(gap, float64(a.largestGapMs))
			attempts += float64(a.attempts)
		}
		mean += gap
		worst = max(worst, gap)
		for _, count := range f.standin.Counts().Requests {
			positions += float64(count.Positions)
		}
	}
	b.ReportMetric(mean/float64(b.N), "ms-mean-gap")
	b.ReportMetric(worst, "ms-worst-gap")
	b.ReportMetric(attempts/float64(b.N), "attempts")
	b.ReportMetric(positions/float64(b.N), "positions")
}
