// Package rockoperator is the operators' RPC server on Connect, and its client.
//
// Server turns messages into calls of its function fields and makes no
// decision about the configuration beyond the check of its fields. Access is
// by token or by mutual TLS; without either only loopback is served.
package rockoperator
