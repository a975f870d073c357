// Package rockcost measures the cost of control and traffic for one host, and how it grows with the
// number of hosts, backend servers and callers. It measures the CPU time and allocations of each kind
// of tick, the heap, the bytes between hosts, the probes, the operations on the platform and the CPU
// time for each token.
//
// A Fixture is one host in the state of a serving installation, at a Scale. An Operation runs one kind
// of tick on it. Messages between hosts, probes and streams are also measured over real sockets on
// loopback. docs/CAPACITY.md is computed from the figures.
package rockcost
