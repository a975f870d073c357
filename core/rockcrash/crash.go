package rockcrash

import (
	"time"

	"sassafrasrock/core/rocktable"
)

// System keeps suspects and quarantine.
var System = rocktable.System{
	Name: "rockcrash",
	Doc:  "Makes requests in flight on a crashed backend server suspects, runs suspects alone, and quarantines those that crash again.",
	Run:  run,
}

func run(now time.Time, w *rocktable.World) {}
