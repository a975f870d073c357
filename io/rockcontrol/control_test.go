package rockcontrol

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"sassafrasrock/core/rocktable"
)

func newControl(carry func(time.Time, rocktable.Outbox)) *Control {
	limits := rocktable.DefaultLimits()
	limits.HostListEvery, limits.ConfigEvery, limits.GossipEvery = time.Hour, time.Hour, time.Hour
	w := rocktable.NewWorld(time.Now(), rocktable.Host{Name: "entry-1"}, rocktable.DataCentre{Name: "ga-west-a"}, 1, rocktable.WithLimits(limits))
	return New(w, WithCarrier(carry))
}

// Guards against a control thread that spins, or runs ticks between the deadlines that its systems ask for.
// Of those, the shortest that recurs while nothing happens is the check of silent hosts, every 250 ms.
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
				t.Fatalf("tick %d ran %s after the last one, without an event", i, gap)
			}
		}
	})
}

// Guards against events that are lost or taken one a tick when many arrive at once.
func TestTickTakesTheWholeBatch(t *testing.T) {
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
			t.Errorf("%d answers in %d ticks, want 100 in at most 3", answers, ticks)
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against a tick for each of many events that can wait, and against such events that wait too long.
func TestEventsThatCanWaitShareTicks(t *testing.T) {
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
		const events = 760 // of 190 streams in a second
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
			t.Errorf("%d ticks for %d events in a second, want at most 60", ticks, events)
		}
		for id, at := range posted {
			if wait := answered[id].Sub(at); wait < 0 || wait > laterDelay {
				t.Errorf("event %d waited %s, want at most %s", id, wait, laterDelay)
			}
		}
	})
}

// Guards against callers of Status and Change that wait for a control thread that has ended.
func TestStoppedControlAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newControl(func(time.Time, rocktable.Outbox) {})
		ctx, cancel := context.WithCancel(t.Context())
		go c.Run(ctx)
		cancel()
		synctest.Wait()
		if _, err := c.Status(t.Context()); err != ErrStopped {
			t.Errorf("Status = %v, want %v", err, ErrStopped)
		}
		if _, err := c.Change(t.Context(), rocktable.ConfigChange{ChangeID: "x"}); err != ErrStopped {
			t.Errorf("Change = %v, want %v", err, ErrStopped)
		}
	})
}
