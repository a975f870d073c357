package rockmeasure

import (
	"sassafrasrock/io/rockcost"
	"sassafrasrock/io/rockexperiment"
)

// All lists every experiment at full size, with the one of io/rockcost.
var All = append(Experiments(Full), rockcost.Experiment)

// Experiments returns every experiment of this package at the given size.
func Experiments(size Size) []rockexperiment.Experiment {
	return []rockexperiment.Experiment{
		throughput(size),
		flood(size),
		fairness(size),
		recovery(size),
		brownOut(size),
		lateReports(size),
		prefixCache(size),
	}
}
