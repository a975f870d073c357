package rockrelay

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"sassafrasrock/core/rocktable"
)

const (
	darkStreams = 20
	darkFirsts  = 5 // backend servers that run the first stages
	darkServer  = rocktable.BackendServerID(90)
	spareServer = rocktable.BackendServerID(91)
)

// darkFleet plays the backend servers and the control thread around streams whose second stages run on a backend server
// that falls silent.
type darkFleet struct {
	*fixture
	mu      sync.Mutex
	dark    time.Time // since when the backend server is silent
	queries int
	batches [][]rocktable.Stall // as they reach the control thread
	moves   map[string]time.Duration
	refuse  map[string]error // refusals of the next move, by request
	writers []*io.PipeWriter
}

func darkPath(i int, second rocktable.BackendServerID) []rocktable.Stage {
	first := rocktable.BackendServerID(i%darkFirsts + 1)
	return []rocktable.Stage{
		{Server: first, Address: fmt.Sprintf("r%d:80", first), LastLayer: 1}, {Server: second, Address: fmt.Sprintf("r%d:80", second), FirstLayer: 2, LastLayer: 3},
	}
}

// startDarkFleet starts streams with an event every 20 ms, each 1 ms after the one before.
func startDarkFleet(t *testing.T, n int) *darkFleet {
	f := &darkFleet{fixture: newFixture(t, streaming), moves: make(map[string]time.Duration), refuse: make(map[string]error)}
	ids := rocktable.RequestID(0)
	f.Exchanges.NextRequestID = func() rocktable.RequestID { ids++; return ids }
	f.Exchanges.Post = func(fill func(in *rocktable.Inbox)) {
		var in rocktable.Inbox
		fill(&in)
		f.mu.Lock()
		defer f.mu.Unlock()
		if len(in.Stalls) > 0 {
			f.batches = append(f.batches, in.Stalls)
		}
		var out rocktable.Outbox
		for _, s := range in.Stalls {
			if !s.Unmovable && (s.RefusedMove == 0 || s.Server != 0 && s.RefusedBy != 0) {
				out.Repaths = append(out.Repaths, rocktable.Repath{
					Request: rocktable.RequestID(s.Attempt), Attempt: s.Attempt, Path: darkPath(int(s.Attempt)-1, spareServer+rocktable.BackendServerID(s.RefusedMove)), Move: s.RefusedMove + 1,
				})
			}
		}
		go f.Exchanges.Dispatch(out)
		for _, a := range in.Arrivals {
			go f.Exchanges.Dispatch(rocktable.Outbox{Starts: []rocktable.Start{{
				Request: a.Request.ID, Attempt: rocktable.AttemptID(a.Request.ID), FirstTokenLimit: time.Second, StepLimit: 700 * time.Millisecond,
				SilenceLimit: 150 * time.Millisecond, Path: darkPath(int(a.Request.ID)-1, darkServer),
			}}})
		}
	}
	f.Open = func(ctx context.Context, a Attempt) (*Response, error) {
		f.mu.Lock()
		defer f.mu.Unlock()
		r, w := io.Pipe()
		f.writers = append(f.writers, w)
		context.AfterFunc(ctx, func() { _ = r.Close() })
		return respond(r)()
	}
	f.FetchWaiting = func(_ context.Context, address string) (map[string]string, error) {
		time.Sleep(1500 * time.Microsecond)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.queries++
		waiting := make(map[string]string)
		for i := range n {
			id := fmt.Sprint("s", i)
			if _, moved := f.moves[id]; !f.dark.IsZero() && !moved && darkPath(i, 0)[0].Address == address {
				waiting[id] = "r90:80"
			}
		}
		return waiting, nil
	}
	f.Move = func(_ context.Context, a Attempt) error {
		f.mu.Lock()
		defer f.mu.Unlock()
		if err := f.refuse[a.Request.ID]; err != nil {
			delete(f.refuse, a.Request.ID)
			return err
		}
		f.moves[a.Request.ID] = time.Since(f.dark)
		return nil
	}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	for i := range n {
		f.send(ctx, Request{ID: fmt.Sprint("s", i)})
		synctest.Wait()
	}
	return f
}

// sendEvents lets each stream send events until the backend server falls silent. It returns the number of queries so far.
func (f *darkFleet) sendEvents(n int) (queries int) {
	for id := 1; id <= n; id++ {
		for _, w := range f.writers {
			_, _ = io.WriteString(w, event(id))
			time.Sleep(time.Millisecond)
		}
		time.Sleep(20*time.Millisecond - time.Duration(len(f.writers))*time.Millisecond)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dark = time.Now()
	return f.queries
}

// Guards against streams that each wait for the limit of their rank, and each ask their first backend server, when one
// backend server on all their paths falls silent.
func TestOneReportMovesAllStreamsOfADarkServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startDarkFleet(t, darkStreams)
		if n := f.sendEvents(10); n != 0 {
			t.Errorf("%d queries while all backend servers are sound, want none", n)
		}
		time.Sleep(500 * time.Millisecond)
		synctest.Wait()
		t.Logf("%d queries, %d reports, moves after %v", f.queries, len(f.batches), f.moves)
		if len(f.moves) != darkStreams {
			t.Errorf("%d streams moved, want %d", len(f.moves), darkStreams)
		}
		// The second stream asks while the first answer is on its way.
		if f.queries > 2 {
			t.Errorf("%d queries, want at most 2", f.queries)
		}
		reported := make(map[rocktable.AttemptID]bool)
		for _, batch := range f.batches {
			for _, s := range batch {
				if s.Server != darkServer || s.Unmovable || reported[s.Attempt] {
					t.Errorf("got stall %+v, want one for each stream that names the dark backend server", s)
				}
				reported[s.Attempt] = true
			}
		}
		if len(f.batches) == 0 || len(f.batches[0]) != 2 {
			t.Errorf("got reports %+v, want the first one to name both streams that were silent then", f.batches)
		}
	})
}

// Guards against streams that make progress and are moved away from a backend server that only some streams wait for.
func TestStreamsWithProgressStay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startDarkFleet(t, darkStreams)
		f.sendEvents(10)
		for id := 11; id <= 30; id++ { // all but the first five, each of which waits for the same backend server
			for _, w := range f.writers[darkFirsts:] {
				_, _ = io.WriteString(w, event(id))
			}
			time.Sleep(20 * time.Millisecond)
		}
		synctest.Wait()
		if len(f.moves) != darkFirsts {
			t.Errorf("moved %v, want the %d streams that wait", f.moves, darkFirsts)
		}
	})
}

// Guards against a stream that is left at a dead backend server because the stage to which it was moved refused it, and
// against a sound first stage that counts as failed after such a refusal.
func TestRefusedMoveIsReported(t *testing.T) {
	refusal := MoveRefusedError{Address: "r91:80", Text: "409"}
	for name, c := range map[string]struct {
		refusal error
		resume  bool // the stream goes on before the refusal
		want    []rocktable.Stall
	}{
		"refused":         {refusal, false, []rocktable.Stall{{Attempt: 1, Server: darkServer}, {Attempt: 1, Server: darkServer, RefusedMove: 1, RefusedBy: spareServer}}},
		"not named":       {MoveRefusedError{}, false, []rocktable.Stall{{Attempt: 1, Server: darkServer}, {Attempt: 1, Server: darkServer, RefusedMove: 1}, {Attempt: 1, Server: darkServer, Unmovable: true}}},
		"goes on":         {refusal, true, []rocktable.Stall{{Attempt: 1, Server: darkServer}, {Attempt: 1, RefusedMove: 1, RefusedBy: spareServer}}},
		"another failure": {io.ErrUnexpectedEOF, false, []rocktable.Stall{{Attempt: 1, Server: darkServer}, {Attempt: 1, Server: darkServer, Unmovable: true}}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startDarkFleet(t, 1)
				f.sendEvents(10)
				f.mu.Lock()
				f.refuse["s0"] = c.refusal
				if move := f.Move; c.resume {
					f.Move = func(ctx context.Context, a Attempt) error {
						f.mu.Lock()
						isFirst := len(f.refuse) > 0
						f.moves[a.Request.ID] = 0 // the report no longer names it
						f.mu.Unlock()
						if isFirst {
							_, _ = io.WriteString(f.writers[0], event(11))
							synctest.Wait()
						}
						return move(ctx, a)
					}
				}
				f.mu.Unlock()
				time.Sleep(900 * time.Millisecond)
				synctest.Wait()
				var got []rocktable.Stall
				for _, batch := range f.batches {
					got = append(got, batch...)
				}
				if fmt.Sprint(got) != fmt.Sprint(c.want) {
					t.Errorf("got stalls\n%+v, want\n%+v", got, c.want)
				}
			})
		})
	}
}
