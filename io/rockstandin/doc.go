// Package rockstandin plays the outside systems: the platform, model engines
// and an application service, with faults that tests and operators switch.
//
// One control thread owns a World and runs the systems of this package over it;
// HTTP handlers post events to it and wait for the answer.
package rockstandin
