// Package rockcontrol is the control thread: the one goroutine that writes the
// World. Traffic goroutines post events to it; it takes all of them at once,
// runs a tick and hands the actions out. It sleeps until the next event or
// deadline.
package rockcontrol
