// Package rockmeasure holds the experiments that measure the decision code in virtual time, and the
// command that runs them and prints a table of the results.
//
// An experiment simulates a fleet with io/rockfleet: entry hosts that run the systems under core, and
// engines. The policy is the decision code as it is. A baseline changes one decision, mostly by
// replacing or adding a system, and runs on the same fleet with the same seed and arrivals. Where a
// measure is a throughput, it is given relative to the bound that ThroughputBound computes.
package rockmeasure
