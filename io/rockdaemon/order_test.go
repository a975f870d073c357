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

// Guards against an order whose timeout is shortened to the rest of the lease: the sender would
// give up and send it again while the engine still carries out the first one.
func TestOrderKeepsItsTimeoutNearLeaseEnd(t *testing.T) {
	const leaseLeft = 100 * time.Millisecond
	var timeout time.Duration
	engine := &rockengine.Engine{Order: func(ctx context.Context, _ string, _ rockengine.OrderRequest) (rockengine.OrderReply, error) {
		deadline, _ := ctx.Deadline()
		timeout = time.Until(deadline)
		return rockengine.OrderReply{OK: true}, nil
	}}
	w := rocktable.NewWorld(time.Now(), rocktable.Host{Name: "entry-1"}, rocktable.DataCentre{Name: "yoff"}, 1)
	d := &Daemon{log: slog.New(slog.DiscardHandler), engine: engine, control: rockcontrol.New(w)}
	d.runOrder(rocktable.OrderSend{Until: time.Now().Add(leaseLeft)})
	if timeout <= leaseLeft {
		t.Errorf("order has a timeout of %s, want %s", timeout, d.settings.Limits.WithDefaults().OrderTimeout)
	}
	timeout = 0
	d.runOrder(rocktable.OrderSend{Until: time.Now().Add(-leaseLeft)})
	if timeout != 0 {
		t.Error("order was sent after its lease ended")
	}
}
