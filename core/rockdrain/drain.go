package rockdrain

import (
	"time"

	"sassafrasrock/core/rockmember"
	"sassafrasrock/core/rocktable"
)

// System handles leaving backend servers and graceful shutdown.
var System = rocktable.System{
	Name: "rockdrain",
	Doc:  "Stops new work to leaving backend servers, and ends the host's own work before it stops.",
	Run:  run,
}

func run(now time.Time, w *rocktable.World) {
	for _, d := range w.Inbox.Drains {
		if s := w.ServerNamed(d.Server); s != nil && !d.Lift {
			s.Drained = true
			rockmember.Leave(now, w, s)
		}
	}
	if len(w.Inbox.Shutdowns) > 0 && !w.Draining {
		w.LogChange("host", w.SelfHost().Name, w.SelfHost().State.String(), rocktable.StateLeaving.String())
		w.Draining, w.Ready = true, false
		w.SelfHost().State = rocktable.StateLeaving
		w.SelfHost().Changed = w.Changed()
	}
	w.Outbox.ShutdownDone = w.Draining && w.Requests.Len() == 0 && len(w.Inbox.Arrivals) == 0
}
