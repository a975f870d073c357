// Package rockcheck is a deterministic simulation of a fleet for property tests
// of the complete decision code. It runs several Worlds in virtual time against
// fakes of the platform, the engines and the application, injects faults and
// checks invariants over all hosts. Only tests use it.
//
// The property tests draw faults with rapid; seed and number of runs are flags:
//
//	go test ./core/rockcheck -rapid.seed=N -rapid.checks=M
package rockcheck
