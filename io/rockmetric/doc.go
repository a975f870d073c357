// Package rockmetric publishes expvar counters, one for each reason, and a few
// gauges.
package rockmetric
