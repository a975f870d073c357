// Package rockcrash finds requests that crash the backend servers that run
// them, runs them alone, and quarantines them.
//
// A lost connection is only the sign of a crash. It is confirmed by another
// incarnation of the backend server or by failed probes; an answer of the old
// incarnation shows that only the link was cut. Signs that are not confirmed
// count while a request is started, and are not told to peers.
package rockcrash
