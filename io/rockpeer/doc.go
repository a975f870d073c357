// Package rockpeer carries messages between hosts over QUIC with mutual TLS:
// one frame on one unidirectional stream for each message. It decides nothing;
// what a message contains is decided by core/rockmember and core/rockconfig.
package rockpeer
