// Package rockcheck runs several Worlds against fakes of the platform, the
// engines and the application in virtual time, injects faults, and checks the
// invariants over the whole fleet. Only tests use it.
//
//	go test ./core/rockcheck -rapid.seed=N -rapid.checks=M
package rockcheck
