// Package rockmetric publishes counters, one for each reason, and a few gauges
// by expvar, and the same with latency histograms in the text format of
// Prometheus.
package rockmetric
