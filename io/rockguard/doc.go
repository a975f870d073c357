// Package rockguard keeps a panic in one goroutine of traffic from ending the
// process, and with it all other requests.
package rockguard
