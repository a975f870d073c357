package rockinvariant

import (
	"fmt"
	"time"

	"sassafrasrock/core/rockend"
	"sassafrasrock/core/rockmember"
	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// All lists every invariant in the order in which a tick checks them.
var All = []rocktable.Invariant{
	{
		Name:        "layers",
		Description: "The path of each start and each repath covers every layer of the model once, in order.",
		Check:       checkLayers,
	},
	{
		Name:        "notRun",
		Description: "A request that is refused as not run was sent to no backend server, or only to ones that reported that they did not start it.",
		Check:       checkNotRun,
	},
	{
		Name:        "endings",
		Description: "Each request ends for one of the causes in the table of rockend, and only when that may end it.",
		Check:       checkEndings,
	},
	{
		Name:        "atMostOnce",
		Description: "A non-idempotent call is sent to a backend server only while its claim is held, and only once.",
		Check:       checkAtMostOnce,
	},
	{
		Name:        "claims",
		Description: "A non-idempotent call has at most one run, and only while its claim is held or its outcome is being recorded.",
		Check:       checkClaims,
	},
	{
		Name:        "orders",
		Description: "An order is sent only under the lease, after the orders of the previous holder have ended and before the lease expires.",
		Check:       checkOrders,
	},
	{
		Name:        "departed",
		Description: "A backend server is in the state leaving if and only if its departure has not ended or it is drained.",
		Check:       checkDeparted,
	},
	{
		Name:        "leaving",
		Description: "No start uses a backend server that has been leaving for longer than the limit.",
		Check:       checkLeaving,
	},
	{
		Name:        "configuration",
		Description: "The version of the active configuration never decreases.",
		Check:       checkConfiguration,
	},
	{
		Name:        "inFlight",
		Description: "The in-flight count of each backend server equals the number of attempts whose paths use it.",
		Check:       checkInFlight,
	},
	{
		Name:        "concurrency",
		Description: "No start leaves a backend server with more attempts of this host than its slots. If engines run the full path, slots limit the first stage, and memory limits every stage.",
		Check:       checkConcurrency,
	},
	{
		Name:        "alone",
		Description: "A suspect that runs alone shares no backend server with another attempt of this host, and no quarantined content starts.",
		Check:       checkAlone,
	},
	{
		Name:        "queues",
		Description: "The queue length of each rank is the sum over its lanes, and a lane with queued requests has a caller or a requeued request to start.",
		Check:       checkQueues,
	},
}

func checkLayers(_ time.Time, w *rocktable.World) error {
	for _, s := range w.Outbox.Starts {
		if err := checkPath(s.Attempt, s.Path, s.Pipeline.Layers); err != nil {
			return err
		}
	}
	for _, r := range w.Outbox.Repaths {
		if err := checkPath(r.Attempt, r.Path, r.Pipeline.Layers); err != nil {
			return err
		}
	}
	return nil
}

func checkPath(attempt rocktable.AttemptID, path []rocktable.Stage, layers int) error {
	next := 0
	for _, stage := range path {
		if stage.FirstLayer != next || stage.LastLayer < stage.FirstLayer {
			return fmt.Errorf("attempt %d: stage begins at layer %d, want %d", attempt, stage.FirstLayer, next)
		}
		next = stage.LastLayer + 1
	}
	if next != layers {
		return fmt.Errorf("attempt %d: path covers %d layers, want %d", attempt, next, layers)
	}
	return nil
}

func checkNotRun(_ time.Time, w *rocktable.World) error {
	for _, a := range w.Outbox.Answers {
		reason, _ := rockreason.Find(a.Reason)
		if a.MayHaveRun && reason.Ran == rockreason.NotRun {
			return fmt.Errorf("request %d: refused as not run (%s) although it may have run", a.Request, a.Reason)
		}
	}
	return nil
}

func checkEndings(now time.Time, w *rocktable.World) error {
	for _, a := range w.Outbox.Answers {
		if err := rockend.Check(now, a); err != nil {
			return err
		}
	}
	return nil
}

func checkAtMostOnce(_ time.Time, w *rocktable.World) error {
	for _, s := range w.Outbox.CallStarts {
		r := w.Requests.Get(s.Request)
		if r == nil || r.Call == nil {
			return fmt.Errorf("call %d: started without a row in the table of requests", s.Request)
		}
		if r.Call.Idempotent {
			continue
		}
		if r.Call.NeedsNoClaim {
			if r.Call.Runs != 1 {
				return fmt.Errorf("call %d: started with %d runs", s.Request, r.Call.Runs)
			}
			continue
		}
		if r.Call.Claim != rocktable.ClaimHeld || r.Call.Runs != 1 {
			return fmt.Errorf("call %d: started with claim state %d and %d runs", s.Request, r.Call.Claim, r.Call.Runs)
		}
	}
	return nil
}

// checkClaims iterates over application calls only: model requests, of which thousands may be
// queued, have no claim. It keeps its own record of calls from the arrivals, which are the only way
// into the table of requests.
func checkClaims(_ time.Time, w *rocktable.World) error {
	for _, a := range w.Inbox.Arrivals {
		if a.Request.Call == nil {
			continue
		}
		if w.CheckedCalls == nil {
			w.CheckedCalls = make(map[rocktable.RequestID]bool)
		}
		w.CheckedCalls[a.Request.ID] = true
	}
	var found error
	var lowest rocktable.RequestID
	for id := range w.CheckedCalls {
		r := w.Requests.Get(id)
		if r == nil {
			delete(w.CheckedCalls, id)
			continue
		}
		// Map order is random; reporting the lowest id makes the message repeatable.
		if err := checkClaim(w, r); err != nil && (found == nil || id < lowest) {
			found, lowest = err, id
		}
	}
	return found
}

func checkClaim(w *rocktable.World, r *rocktable.Request) error {
	if r.Call == nil || r.Call.Idempotent || r.Call.Runs == 0 || r.Call.NeedsNoClaim && r.Call.Runs == 1 {
		return nil
	}
	c := w.Claims.Get(r.ID)
	if r.Call.Runs > 1 || c == nil || c.State != rocktable.ClaimHeld && c.State != rocktable.ClaimRecording {
		return fmt.Errorf("call %d: %d runs, but its claim is neither held nor being recorded", r.ID, r.Call.Runs)
	}
	return nil
}

func checkOrders(now time.Time, w *rocktable.World) error {
	l := &w.Lease
	for _, o := range w.Outbox.Orders {
		if !l.Held || o.Fencing != l.Fencing || now.Before(l.OrdersNotBefore) || !now.Before(o.Until) || o.Until.After(l.Until) {
			return fmt.Errorf("backend server %d: order with fencing number %d is not covered by the lease", o.Server, o.Fencing)
		}
	}
	return nil
}

func checkDeparted(_ time.Time, w *rocktable.World) error {
	for _, s := range w.Servers.All() {
		if (rockmember.IsLeaving(s) || s.Drained) != (s.State == rocktable.StateLeaving) {
			return fmt.Errorf("backend server %s: state %s does not match its departure", s.Name, s.State)
		}
	}
	return nil
}

func checkLeaving(now time.Time, w *rocktable.World) error {
	isPastLeaveLimit := func(id rocktable.BackendServerID) bool {
		s := w.Servers.Get(id)
		return s != nil && s.State == rocktable.StateLeaving && now.Sub(s.LeavingSince) > w.Limits.LeaveLimit
	}
	for _, start := range w.Outbox.Starts {
		for _, stage := range start.Path {
			if isPastLeaveLimit(stage.Server) {
				return fmt.Errorf("attempt %d: starts on backend server %d, which has been leaving for longer than the limit", start.Attempt, stage.Server)
			}
		}
	}
	for _, start := range w.Outbox.CallStarts {
		if isPastLeaveLimit(start.Server) {
			return fmt.Errorf("call %d: starts on backend server %d, which has been leaving for longer than the limit", start.Request, start.Server)
		}
	}
	return nil
}

func checkConfiguration(_ time.Time, w *rocktable.World) error {
	last := w.PreviousTickConfigVersion
	w.PreviousTickConfigVersion = w.ConfigVersion
	if w.ConfigVersion < last {
		return fmt.Errorf("version %d is active after version %d", w.ConfigVersion, last)
	}
	return nil
}

func checkInFlight(_ time.Time, w *rocktable.World) error {
	// This check runs in every tick and ids of backend servers are small: a slice takes a tenth of
	// the time of a map.
	counts := make([]int, w.Servers.Len()+1)
	for _, a := range w.Attempts.All() {
		for _, stage := range a.Path {
			if int(stage.Server) >= len(counts) {
				counts = append(counts, make([]int, int(stage.Server)+1-len(counts))...)
			}
			counts[stage.Server]++
		}
	}
	for id, s := range w.Servers.All() {
		found := 0
		if int(id) < len(counts) {
			found = counts[id]
		}
		if s.Role == rocktable.RoleModel && s.InFlight != found {
			return fmt.Errorf("backend server %s: %d attempts counted, %d found", s.Name, s.InFlight, found)
		}
	}
	return nil
}
