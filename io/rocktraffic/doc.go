// Package rocktraffic carries out what the control thread decides: it runs
// attempts over the stages of a path, passes tokens to callers and runs
// application calls. Each request has a goroutine of its own.
package rocktraffic
