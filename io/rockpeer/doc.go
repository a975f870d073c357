// Package rockpeer sends messages between hosts over QUIC with mutual TLS. Each
// message is one frame on a unidirectional stream of its own.
//
// The package transports messages and rejects malformed ones. Their content
// comes from core/rockmember and core/rockconfig.
package rockpeer
