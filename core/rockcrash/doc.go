// Package rockcrash identifies request contents that crash the backend servers
// that run them. Such a suspect runs alone, and is quarantined if it crashes a
// backend server again.
//
// A lost connection is only a sign of a crash. The crash is confirmed by
// another incarnation of the backend server or by failed probes. A later report
// of the old incarnation shows that only the link was cut. Unconfirmed signs
// count when it is decided whether and how a request may start. They are not
// stored as crashes of the suspect; peers receive them only as part of the
// sender's present work on it.
package rockcrash
