// Package rockmeasure holds the experiments that measure the decision code in
// virtual time, and the command that runs them and prints their table.
//
// A baseline replaces one decision in the list of systems, and runs in the same
// fleet with the same seed and arrivals as the policy.
package rockmeasure
