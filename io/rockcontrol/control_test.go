package rockcontrol

import (
	"context"
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

// Guards against a daemon that runs ticks while it has nothing to do.
func TestIdleControlSleepsUntilItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ticks := 0
		c := newControl(func(time.Time, rocktable.Outbox) { ticks++ })
		ctx, cancel := context.WithCancel(t.Context())
		go c.Run(ctx)
		synctest.Wait()
		before := ticks
		time.Sleep(50 * time.Minute)
		synctest.Wait()
		if ticks != before {
			t.Errorf("%d ticks without event or deadline, want none", ticks-before)
		}
		cancel()
		synctest.Wait()
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
		if _, err := c.Change(t.Context(), rocktable.ConfigChange{Change: "x"}); err != ErrStopped {
			t.Errorf("Change = %v, want %v", err, ErrStopped)
		}
	})
}
