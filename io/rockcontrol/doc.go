// Package rockcontrol runs the control thread: the only goroutine that writes
// the World. Other goroutines post events to it. It processes all posted events
// in one tick, dispatches the resulting actions, and then blocks until the next
// event or deadline.
package rockcontrol
