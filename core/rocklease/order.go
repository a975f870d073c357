package rocklease

import (
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

const (
	// maxOrders limits the orders under way in a data centre, because the weight store limits its rate.
	maxOrders = 4
	// orderRetry is the wait after the first failed order; it doubles with each further one.
	orderRetry = 2 * time.Second
	// orderRetryMax is the longest wait between orders to one engine.
	orderRetryMax = time.Minute
	// settleTime is the time that an engine gets to report what an order asked for.
	settleTime = 10 * time.Second
	// reconcileEvery is the time between comparisons of engines and placements. One over 600 placements takes about
	// 0.1 ms, so that one in each tick would take several percent of a core; orders take seconds.
	reconcileEvery = 250 * time.Millisecond
)

func takeOrders(now time.Time, w *rocktable.World) {
	for _, e := range w.Inbox.OrdersEnded {
		o := w.Orders.Get(e.Server)
		if o == nil || !o.Pending || o.Fencing != e.Fencing {
			w.Count(rockreason.LateEvent)
			continue
		}
		o.Pending = false
		switch {
		case e.OK:
			o.FailedAttempts, o.NextSend = 0, now.Add(settleTime)
		case e.Refused:
			w.Count(rockreason.OrderFenced)
			fail(now, o)
			if w.Lease.Held && e.Fencing == w.Lease.Fencing {
				lose(w, "fenced")
				w.Lease.NextOp = now
			}
		default:
			fail(now, o)
			// The engine may still carry the order out, and one that ignores fencing numbers would take a second one meanwhile.
			o.MayRunUntil = o.SentAt.Add(w.Limits.OrderTimeout)
		}
	}
	for _, o := range w.Orders.All() {
		if o.Pending && now.Sub(o.SentAt) >= 2*w.Limits.OrderTimeout {
			o.Pending = false
			fail(now, o)
		}
	}
}

func fail(now time.Time, o *rocktable.Order) {
	o.NextSend = now.Add(min(orderRetry<<min(o.FailedAttempts, 5), orderRetryMax))
	o.FailedAttempts++
}

// isReconcileDue reports whether engines are to be compared with placements in this tick.
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

// reconcile sends the orders that bring what the engines of the data centre report in line with the placements.
func reconcile(now time.Time, w *rocktable.World) {
	if !isReconcileDue(now, w) {
		return
	}
	w.Lease.ReconcileAt = now.Add(reconcileEvery)
	w.WakeAt(w.Lease.ReconcileAt)
	wanted := placements(w)
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
		if !ok || pending >= maxOrders || isHeld(s.Status, p) || s.State != rocktable.StateLive || s.StatusAt.IsZero() {
			continue
		}
		if order(now, w, s, p) {
			pending++
		}
	}
}

// placements returns what the backend servers of this data centre are to hold.
func placements(w *rocktable.World) map[rocktable.BackendServerID]rocktable.Placement {
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

// isHeld reports whether an engine holds a placement; engines do not report their adapters.
func isHeld(s rocktable.EngineStatus, p rocktable.Placement) bool {
	return s.Model == p.Model && s.Version == p.Version && s.FirstLayer == p.FirstLayer && s.LastLayer == p.LastLayer
}

// order sends an order if the lease lasts long enough for it, and reports whether it did.
func order(now time.Time, w *rocktable.World, s *rocktable.BackendServer, p rocktable.Placement) bool {
	l := &w.Lease
	until := l.Until
	if !s.Status.ChecksFencing {
		// This engine would take an order from a former holder, so the last one must have ended when the lease does.
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
