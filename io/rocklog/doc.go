// Package rocklog writes log lines without ever blocking who logs: lines wait in a bounded queue, and those that find it full,
// or that go beyond a rate, are counted and left out.
package rocklog
