package rockstandin

import (
	"fmt"
	"time"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockengine"
)

func runOrders(now time.Time, w *World) {
	for _, event := range w.Inbox.Orders {
		startOrder(now, w, event)
	}
	for _, e := range w.Engines.All() {
		switch {
		case e.PendingOrder == nil || w.Servers.Get(e.Name).hasFault(FaultFreeze):
		case now.Before(e.OrderEnd):
			w.WakeAt(e.OrderEnd)
		default:
			finishOrder(w, e)
		}
	}
}

func startOrder(now time.Time, w *World, event OrderEvent) {
	e, order := w.Engines.Get(event.Engine), event.Order
	old := order.Fencing < e.MaxFencingSeen
	e.MaxFencingSeen = max(e.MaxFencingSeen, order.Fencing)
	if e.Settings.ChecksFencing && order.Fencing < e.Fencing {
		e.Count.FencedOrders++
		event.Reply(rockengine.OrderReply{Fenced: true, Text: fmt.Sprintf("fencing number %d is older than %d", order.Fencing, e.Fencing), Fencing: e.Fencing})
		return
	}
	if refusal := checkOrder(e, order); refusal != "" {
		event.Reply(rockengine.OrderReply{Text: refusal, Fencing: e.Fencing})
		return
	}
	if e.Settings.ChecksFencing {
		e.Fencing = order.Fencing
	}
	e.Count.Orders++
	if old {
		e.Count.StaleOrders++
	}
	if e.PendingOrder != nil {
		e.Count.OverlappingOrders++
		e.PendingOrder.Reply(rockengine.OrderReply{Text: "replaced by another order", Fencing: e.Fencing})
	}
	e.PendingOrder, e.OrderEnd = &event, now.Add(milliseconds(w.Settings.Engine.OrderMs))
}

func checkOrder(e *Engine, order rockengine.OrderRequest) string {
	switch {
	case order.Order != "load" && order.Order != "unload" && order.Order != "role":
		return fmt.Sprintf("order %q is not load, unload or role", order.Order)
	case order.Order == "load" && (order.FirstLayer < 0 || order.LastLayer < order.FirstLayer || order.LastLayer >= e.Settings.Layers):
		return fmt.Sprintf("layers %d-%d of %d", order.FirstLayer, order.LastLayer, e.Settings.Layers)
	}
	return ""
}

func finishOrder(w *World, e *Engine) {
	event := e.PendingOrder
	e.PendingOrder = nil
	order := event.Order
	switch order.Order {
	case "role":
		e.Role = order.Role
	case "unload":
		e.loadLayers(w, "", "", 0, 0)
	case "load":
		e.Adapter = order.Adapter
		e.loadLayers(w, order.Model, order.Version, order.FirstLayer, order.LastLayer)
	}
	event.Reply(rockengine.OrderReply{OK: true, Fencing: e.Fencing})
}

// loadLayers replaces the model and the layer range of the engine and ends its sessions. It does nothing
// if the engine already holds them.
func (e *Engine) loadLayers(w *World, model, version string, first, last int) {
	held := &e.Settings
	if held.Model == model && held.Version == version && held.FirstLayer == first && held.LastLayer == last {
		return
	}
	held.Model, held.Version, held.FirstLayer, held.LastLayer = model, version, first, last
	e.Seeds = layerSeeds(model, first, last)
	e.Cache, e.Batch = newCache(), nil
	for _, session := range w.Sessions.All() {
		if session.Engine != e.Name {
			continue
		}
		if p := session.Pending; p != nil {
			p.Event.Reply(rockengine.StepReply{
				Epoch: session.Request.Epoch, Index: p.Event.Step.Index,
				Position: session.KV.Position, Error: "the engine holds other layers now",
			})
		}
		removeSession(w, session)
	}
}

func runReports(now time.Time, w *World) {
	lag := milliseconds(w.Settings.Engine.ReportLagMs)
	for _, e := range w.Engines.All() {
		// A report is published only if the load has changed, so an idle stand-in runs no ticks.
		switch {
		case e.Load == e.ReportedLoad:
		case now.Sub(e.ReportedAt) < lag:
			w.WakeAt(e.ReportedAt.Add(lag))
		default:
			e.ReportedLoad, e.ReportedAt = e.Load, now
		}
	}
}

// statusOf returns the status of an engine with its last published load.
func statusOf(w *World, e *Engine) rocktable.EngineStatus {
	s, held := w.Servers.Get(e.Name), e.Settings
	kind := w.Kinds.Get(held.Kind)
	status := rocktable.EngineStatus{
		Name: e.Name, Kind: held.Kind, Model: held.Model, Version: held.Version,
		FirstLayer: held.FirstLayer, LastLayer: held.LastLayer, Slots: held.Slots,
		Active: e.ReportedLoad.Active, Queued: e.ReportedLoad.Queued,
		Incarnation: s.Incarnation, State: hostOf(s).State,
		Fencing: e.Fencing, ChecksFencing: held.ChecksFencing, Resume: !held.NoResume,
	}
	if batch := kind.StepMs + kind.PerSessionMs*float64(held.Slots-1); batch > 0 {
		status.TokensPerSecond = 1000 * float64(held.Slots) / batch
	}
	return status
}
