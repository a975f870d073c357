// Package rockoperator contains the RPC server for operators, which is built on
// Connect, and its client.
//
// Server converts requests to calls of its function fields. It validates the
// fields of a configuration; whether a valid change is accepted is decided by
// the control state behind Server.Change. Clients authenticate by token or by
// mutual TLS. If neither is configured, only loopback is served.
package rockoperator
