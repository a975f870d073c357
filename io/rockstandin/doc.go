// Package rockstandin simulates the external systems that an entry host talks to: the platform (host
// list, table service and object store), model engines and application servers. Tests and operators
// inject faults into them.
//
// One control thread owns a World and runs the systems of this package over it. HTTP handlers post
// events to its inbox and wait for the reply.
package rockstandin
