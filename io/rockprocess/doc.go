// Package rockprocess tests failures that need real processes and connections.
// The tests run the daemons and the stand-in of platform and backend servers as
// processes, and kill, suspend and resume them with signals.
package rockprocess
