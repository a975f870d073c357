package rocklease

import (
	"time"

	"sassafrasrock/core/rocktable"
)

// System holds the lease and sends orders to engines.
var System = rocktable.System{
	Name: "rocklease",
	Doc:  "Holds the data centre's lease for orders, and sends the orders that bring engines in line with the pipelines.",
	Run:  run,
}

func run(now time.Time, w *rocktable.World) {}
