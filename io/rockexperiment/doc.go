// Package rockexperiment defines experiments and the records that they return. A record compares a
// value measured with the policy under test to that of a baseline in the same run, with the same seed
// and arrivals, and to the target that the policy has to meet.
package rockexperiment
