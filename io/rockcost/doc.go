// Package rockcost measures what control and traffic cost a host as its tables
// grow: processor time and allocations of each kind of tick, heap, bytes
// between hosts, probes and operations on the platform, and processor time for
// each token. docs/CAPACITY.md is worked out from its figures.
package rockcost
