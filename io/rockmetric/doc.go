// Package rockmetric publishes the metrics of a host: one counter for each
// reason code and a few gauges, through expvar and in the Prometheus text
// format. Latency histograms are available in the Prometheus format only.
package rockmetric
