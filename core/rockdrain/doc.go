// Package rockdrain applies operators' drains of backend servers, reports
// departures of backend servers and hosts to peers at once, and carries out
// the graceful shutdown of the host.
//
// At the signal to stop, a host ceases to be ready and reports to its peers
// that it is leaving. After the drain notice it refuses new requests. It stops
// once its own work has ended, or shortly before its grace ends.
package rockdrain
