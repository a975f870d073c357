// Package rockprocess holds tests of failures that only real processes and
// connections show: it starts the daemons and the stand-in as processes, and
// kills, stops and continues them by signals.
package rockprocess
