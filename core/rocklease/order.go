package rocklease

import (
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rockretry"
	"sassafrasrock/core/rocktable"
)

const (
	// maxPendingOrders limits the orders in flight in a data centre, because the weight store
	// limits its rate.
	maxPendingOrders = 4
	// orderRetryDelay is the wait after the first failed order. It doubles with each further one.
	orderRetryDelay = 2 * time.Second
	// maxOrderRetryDelay is the longest wait between orders to one engine.
	maxOrderRetryDelay = time.Minute
	// orderReportDelay is the time that an engine gets after a successful order to report the new
	// placement.
	orderReportDelay = 10 * time.Second
	// reconcileInterval is the time between comparisons of engines with placements. A comparison
	// over 600 placements takes about 0.1 ms: one in each tick would take several percent of a
	// core, and orders take seconds.
	reconcileInterval = 250 * time.Millisecond
)

func handleOrderResults(now time.Time, w *rocktable.World) {
	for _, e := range w.Inbox.OrdersEnded {
		o := w.Orders.Get(e.Server)
		if o == nil || !o.Pending || o.Fencing != e.Fencing {
			w.Count(rockreason.LateEvent)
			continue
		}
		o.Pending = false
		if s := w.Servers.Get(e.Server); s != nil && e.Foreign {
			rockretry.RecordForeign(now, w, s)
		}
		switch {
		case e.OK:
			o.FailedAttempts, o.NextSend = 0, now.Add(orderReportDelay)
		case e.Refused:
			w.Count(rockreason.OrderFenced)
			scheduleRetry(now, o)
			if w.Lease.Held && e.Fencing == w.Lease.Fencing {
				loseLease(w, "fenced")
				w.Lease.NextOp = now
			}
		default:
			scheduleRetry(now, o)
			// The engine may still execute the order. An engine that ignores fencing numbers would
			// accept another one meanwhile.
			o.MayRunUntil = o.SentAt.Add(w.Limits.OrderTimeout)
		}
	}
	for _, o := range w.Orders.All() {
		if o.Pending && now.Sub(o.SentAt) >= 2*w.Limits.OrderTimeout {
			o.Pending = false
			scheduleRetry(now, o)
		}
	}
}

func scheduleRetry(now time.Time, o *rocktable.Order) {
	o.NextSend = now.Add(min(orderRetryDelay<<min(o.FailedAttempts, 5), maxOrderRetryDelay))
	o.FailedAttempts++
}

// isReconcileDue reports whether engines are compared with placements in this tick.
func isReconcileDue(now time.Time, w *rocktable.World) bool {
	l := &w.Lease
	if !l.Held && w.Orders.Len() == 0 {
		return false
	}
	in := &w.Inbox
	if len(in.ConfigResults)+len(in.LeaseResults)+len(in.OrdersEnded) > 0 || !now.Before(l.ReconcileAt) {
		return true
	}
	w.WakeAt(l.ReconcileAt)
	return false
}

// reconcile sends orders to the engines of the data centre whose reports differ from their
// placements.
func reconcile(now time.Time, w *rocktable.World) {
	if !isReconcileDue(now, w) {
		return
	}
	w.Lease.ReconcileAt = now.Add(reconcileInterval)
	w.WakeAt(w.Lease.ReconcileAt)
	wanted := wantedPlacements(w)
	for id, o := range w.Orders.All() {
		if _, ok := wanted[id]; !ok && !o.Pending && !now.Before(o.MayRunUntil) {
			w.Orders.Delete(id)
		}
	}
	l := &w.Lease
	if !l.Held {
		return
	}
	if now.Before(l.OrdersNotBefore) {
		w.WakeAt(l.OrdersNotBefore)
		return
	}
	pending := 0
	for _, o := range w.Orders.All() {
		if o.Pending {
			pending++
		}
	}
	for id, s := range w.Servers.All() {
		p, ok := wanted[id]
		if !ok || pending >= maxPendingOrders || hasPlacement(s.Status, p) || s.State != rocktable.StateLive || s.StatusAt.IsZero() {
			continue
		}
		if sendOrder(now, w, s, p) {
			pending++
		}
	}
}

// wantedPlacements returns the placements of the backend servers of this data centre.
func wantedPlacements(w *rocktable.World) map[rocktable.BackendServerID]rocktable.Placement {
	wanted := make(map[rocktable.BackendServerID]rocktable.Placement)
	for _, pipeline := range w.Config.Configuration.Pipelines {
		for _, p := range pipeline.Placements {
			s := w.ServerNamed(p.Server)
			if s == nil || s.DataCentre != w.SelfHost().DataCentre || s.Role != rocktable.RoleModel {
				continue
			}
			p.Model, p.Version = pipeline.Model, pipeline.Version
			wanted[s.ID] = p
		}
	}
	for id, p := range w.Plan.All() {
		wanted[id] = *p
	}
	return wanted
}

// hasPlacement reports whether an engine holds a placement. Engines do not report their adapters.
func hasPlacement(s rocktable.EngineStatus, p rocktable.Placement) bool {
	return s.Model == p.Model && s.Version == p.Version && s.FirstLayer == p.FirstLayer && s.LastLayer == p.LastLayer
}

// sendOrder sends an order if the lease lasts long enough for it, and reports whether it did.
func sendOrder(now time.Time, w *rocktable.World, s *rocktable.BackendServer, p rocktable.Placement) bool {
	l := &w.Lease
	until := l.Until
	if !s.Status.ChecksFencing {
		// This engine would accept an order from a former holder, so the last order must end before
		// the lease does.
		until = until.Add(-w.Limits.OrderTimeout)
	}
	if !now.Before(until) {
		return false
	}
	o := w.Orders.GetOrPut(s.ID)
	if o.Pending {
		return false
	}
	if o.Placement != p {
		o.Placement, o.FailedAttempts, o.NextSend = p, 0, now
	}
	next := o.NextSend
	if next.Before(o.MayRunUntil) {
		next = o.MayRunUntil
	}
	if now.Before(next) {
		w.WakeAt(next)
		return false
	}
	o.Server, o.Fencing, o.SentAt, o.Pending = s.ID, l.Fencing, now, true
	w.Outbox.Orders = append(w.Outbox.Orders, rocktable.OrderSend{
		Server: s.ID, Name: s.Name, Address: s.Address, Placement: p, Fencing: l.Fencing, Incarnation: s.Incarnation, Until: until,
	})
	return true
}
