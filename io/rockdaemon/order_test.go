package rockdaemon

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockcontrol"
	"sassafrasrock/io/rockengine"
)

// Guards against an order that is given up, and then sent again while the engine still carries it out, because the lease is nearly over.
func TestOrderLastsItsTime(t *testing.T) {
	const until = 100 * time.Millisecond
	var left time.Duration
	engine := &rockengine.Engine{Order: func(ctx context.Context, _ string, _ rockengine.OrderRequest) (rockengine.OrderReply, error) {
		deadline, _ := ctx.Deadline()
		left = time.Until(deadline)
		return rockengine.OrderReply{OK: true}, nil
	}}
	w := rocktable.NewWorld(time.Now(), rocktable.Host{Name: "entry-1"}, rocktable.DataCentre{Name: "yoff"}, 1)
	d := &Daemon{log: slog.New(slog.DiscardHandler), engine: engine, control: rockcontrol.New(w)}
	d.order(rocktable.OrderSend{Until: time.Now().Add(until)})
	if left <= until {
		t.Errorf("the order has %s, want %s", left, d.settings.Limits.Table().OrderTimeout)
	}
	left = 0
	d.order(rocktable.OrderSend{Until: time.Now().Add(-until)})
	if left != 0 {
		t.Error("an order was sent after the lease")
	}
}
