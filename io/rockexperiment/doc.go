// Package rockexperiment defines what an experiment is and the records that it
// gives: a measure of the policy beside a baseline in the same run, with the
// same seed and arrivals, and the target that the measure has to meet.
package rockexperiment
