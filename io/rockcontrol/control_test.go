package rockcontrol

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"sassafrasrock/core/rocktable"
)

func newControl(dispatch func(time.Time, rocktable.Outbox)) *Control {
	limits := rocktable.DefaultLimits()
	limits.HostListEvery, limits.ConfigEvery, limits.GossipEvery = time.Hour, time.Hour, time.Hour
	w := rocktable.NewWorld(time.Now(), rocktable.Host{Name: "entry-1"}, rocktable.DataCentre{Name: "ga-west-a"}, 1, rocktable.WithLimits(limits))
	return New(w, WithDispatcher(dispatch))
}

// Guards against a control thread that spins or runs ticks between the deadlines of its systems. Without events, the
// most frequent deadline is the check for silent hosts, every 250 ms.
func TestIdleControlSleepsUntilItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		var ticks []time.Time
		c := newControl(func(now time.Time, _ rocktable.Outbox) {
			mu.Lock()
			defer mu.Unlock()
			ticks = append(ticks, now)
		})
		ctx, cancel := context.WithCancel(t.Context())
		go c.Run(ctx)
		time.Sleep(50 * time.Minute)
		synctest.Wait()
		cancel()
		synctest.Wait()
		for i := 1; i < len(ticks); i++ {
			if gap := ticks[i].Sub(ticks[i-1]); gap < 250*time.Millisecond {
				t.Fatalf("tick %d ran %s after the previous one without an event, want at least 250ms", i, gap)
			}
		}
	})
}

// Guards against events that are lost, or processed in one tick each, when many arrive at once.
func TestTickProcessesTheFullBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ticks, answers := 0, 0
		c := newControl(func(_ time.Time, out rocktable.Outbox) {
			ticks++
			answers += len(out.Answers)
		})
		for i := range 100 {
			c.Post(func(in *rocktable.Inbox) {
				in.Arrivals = append(in.Arrivals, rocktable.Arrival{Request: rocktable.Request{ID: rocktable.RequestID(i + 1)}})
			})
		}
		ctx, cancel := context.WithCancel(t.Context())
		go c.Run(ctx)
		synctest.Wait()
		if answers != 100 || ticks > 3 {
			t.Errorf("got %d answers in %d ticks, want 100 in at most 3", answers, ticks)
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against one tick for each event of PostLater, and against such events waiting longer than maxPostDelay.
func TestPostLaterSharesTicks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		answered := make(map[rocktable.RequestID]time.Time)
		ticks := 0
		c := newControl(func(now time.Time, out rocktable.Outbox) {
			mu.Lock()
			defer mu.Unlock()
			ticks++
			for _, a := range out.Answers {
				answered[a.Request] = now
			}
		})
		ctx, cancel := context.WithCancel(t.Context())
		go c.Run(ctx)
		synctest.Wait()
		const events = 760 // progress reports of 190 streams in a second
		posted := make(map[rocktable.RequestID]time.Time)
		for i := range events {
			id := rocktable.RequestID(i + 1)
			posted[id] = time.Now()
			c.PostLater(func(in *rocktable.Inbox) {
				in.Arrivals = append(in.Arrivals, rocktable.Arrival{Request: rocktable.Request{ID: id}})
			})
			time.Sleep(time.Second / events)
		}
		time.Sleep(time.Second)
		cancel()
		synctest.Wait()
		if ticks > 60 {
			t.Errorf("got %d ticks for %d events in a second, want at most 60", ticks, events)
		}
		for id, at := range posted {
			if wait := answered[id].Sub(at); wait < 0 || wait > maxPostDelay {
				t.Errorf("event %d waited %s, want at most %s", id, wait, maxPostDelay)
			}
		}
	})
}

// Guards against Status and Change blocking for ever after the control thread has ended.
func TestStatusAndChangeAfterStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newControl(func(time.Time, rocktable.Outbox) {})
		ctx, cancel := context.WithCancel(t.Context())
		go c.Run(ctx)
		cancel()
		synctest.Wait()
		if _, err := c.Status(t.Context()); err != ErrStopped {
			t.Errorf("Status: got error %v, want %v", err, ErrStopped)
		}
		if _, err := c.Change(t.Context(), rocktable.ConfigChange{ChangeID: "x"}); err != ErrStopped {
			t.Errorf("Change: got error %v, want %v", err, ErrStopped)
		}
	})
}

// Guards against a host that goes on half alive after its control thread panicked: it must say that it is not ready, end
// and log why.
func TestPanicOfATickEndsTheThread(t *testing.T) {
	var log bytes.Buffer
	c := newControl(func(time.Time, rocktable.Outbox) { panic("unexpected state") })
	c.log = slog.New(slog.NewJSONHandler(&log, nil))
	c.w.Ready = true
	if err := c.Run(t.Context()); !errors.Is(err, ErrPanicked) {
		t.Errorf("got error %v, want %v", err, ErrPanicked)
	}
	select {
	case <-c.Done():
	default:
		t.Error("Done is open after the panic")
	}
	if s := c.Snapshot(); s.Ready || !s.Stopping {
		t.Errorf("got ready %t, stopping %t after the panic; want a host that is not ready and stops", s.Ready, s.Stopping)
	}
	if !strings.Contains(log.String(), "unexpected state") || !strings.Contains(log.String(), "control_test.go") {
		t.Errorf("the log has no stack: %s", log.String())
	}
}
