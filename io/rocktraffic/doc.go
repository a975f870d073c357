// Package rocktraffic executes the actions of the control thread: it runs
// attempts over the stages of a path, streams tokens to callers and runs
// application calls. Each attempt and each call runs in its own goroutine.
package rocktraffic
