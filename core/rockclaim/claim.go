package rockclaim

import (
	"time"

	"sassafrasrock/core/rocktable"
)

// System runs application calls.
var System = rocktable.System{
	Name: "rockclaim",
	Doc:  "Claims non-idempotent calls in the table service, runs each once, and records its outcome.",
	Run:  run,
}

func run(now time.Time, w *rocktable.World) {}
