package rocktick

import (
	"time"

	"sassafrasrock/core/rockadmit"
	"sassafrasrock/core/rockcapacity"
	"sassafrasrock/core/rockclaim"
	"sassafrasrock/core/rockconfig"
	"sassafrasrock/core/rockcrash"
	"sassafrasrock/core/rockdrain"
	"sassafrasrock/core/rockfollow"
	"sassafrasrock/core/rockinvariant"
	"sassafrasrock/core/rocklease"
	"sassafrasrock/core/rockmember"
	"sassafrasrock/core/rockoutcome"
	"sassafrasrock/core/rockpart"
	"sassafrasrock/core/rockplace"
	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rockretry"
	"sassafrasrock/core/rockroute"
	"sassafrasrock/core/rocktable"
)

// Systems lists every system in the order in which a tick runs them.
var Systems = []rocktable.System{
	rockfollow.System,
	rockconfig.System,
	rockmember.System,
	rockdrain.System,
	rockplace.System,
	rocklease.System,
	rockcrash.System,
	rockpart.System,
	rockclaim.System,
	rockretry.System,
	rockcapacity.System,
	rockadmit.System,
	rockroute.System,
	rockoutcome.System,
}

// Result holds the actions and violations of one tick.
type Result struct {
	Outbox     rocktable.Outbox
	Wake       time.Time // next deadline; zero if there is none
	Violations []Violation
}

// Violation reports an invariant that did not hold at the end of a tick.
type Violation struct {
	Invariant string
	Err       error
}

// Run runs every system over the World once and checks the invariants. It returns the actions and
// empties the World's inbox.
func Run(now time.Time, w *rocktable.World) Result { return RunSystems(now, w, Systems) }

// RunSystems is like Run with another list of systems. Measurements use it to replace a decision.
func RunSystems(now time.Time, w *rocktable.World, systems []rocktable.System) Result {
	w.Outbox = rocktable.Outbox{}
	for _, s := range systems {
		s.Run(now, w)
	}
	result := Result{Violations: check(now, w)}
	result.Outbox = w.Outbox
	result.Wake = w.TakeWake()
	w.Inbox = rocktable.Inbox{}
	w.Outbox = rocktable.Outbox{}
	return result
}

func check(now time.Time, w *rocktable.World) []Violation {
	var found []Violation
	for _, inv := range rockinvariant.All {
		if err := inv.Check(now, w); err != nil {
			w.Count(rockreason.InvariantViolated)
			found = append(found, Violation{Invariant: inv.Name, Err: err})
		}
	}
	return found
}
