package rockmetric

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// latencyBuckets holds the upper bounds of the histogram buckets in seconds. They cover the usual
// latency targets of ranks and the time-outs of streams that deliver no events.
var latencyBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 0.75, 1, 2, 4, 8, 16}

// collectors holds the Prometheus counters and histograms of one host.
type collectors struct {
	registry   *prometheus.Registry
	reasons    *prometheus.CounterVec
	firstEvent *prometheus.HistogramVec
	largestGap *prometheus.HistogramVec
	answer     *prometheus.HistogramVec
	storeCalls *prometheus.CounterVec
}

func newCollectors() *collectors {
	c := &collectors{
		registry: prometheus.NewRegistry(),
		reasons: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sassafrasrock_reasons_total", Help: "Refusals, failures, retries and dropped messages by reason; see docs/operating.md.",
		}, []string{"reason"}),
		firstEvent: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "sassafrasrock_first_event_seconds", Help: "From the arrival of a stream's request to its first event, by rank.", Buckets: latencyBuckets,
		}, []string{"rank"}),
		largestGap: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "sassafrasrock_largest_gap_seconds", Help: "Longest pause between two events of a stream, by rank.", Buckets: latencyBuckets,
		}, []string{"rank"}),
		answer: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "sassafrasrock_answer_seconds", Help: "From the arrival of a request to the end of its answer, by route and reason; an empty reason means a whole answer.", Buckets: latencyBuckets,
		}, []string{"route", "reason"}),
		storeCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sassafrasrock_store_calls_total", Help: "Calls to the platform's store by table and kind (read, feed, write).",
		}, []string{"table", "kind"}),
	}
	c.registry.MustRegister(c.reasons, c.firstEvent, c.largestGap, c.answer, c.storeCalls)
	for _, code := range rockreason.Codes() {
		c.reasons.WithLabelValues(string(code))
	}
	return c
}

// Handler returns a handler that serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.collectors.registry, promhttp.HandlerOpts{})
}

// ObserveAnswers adds the latencies of streams to the histograms. Answers without a rank or without
// a first event are skipped.
func (m *Metrics) ObserveAnswers(answers []rocktable.Answer) {
	for _, a := range answers {
		if a.Outcome.Rank == "" || a.Outcome.FirstTokenMs == 0 {
			continue
		}
		m.collectors.firstEvent.WithLabelValues(a.Outcome.Rank).Observe(float64(a.Outcome.FirstTokenMs) / 1000)
		m.collectors.largestGap.WithLabelValues(a.Outcome.Rank).Observe(float64(a.Outcome.LargestGapMs) / 1000)
	}
}

// ObserveRequest adds the duration of a request, from its arrival to the end of its answer, to the
// histogram of its route and reason.
func (m *Metrics) ObserveRequest(route string, reason rockreason.Code, d time.Duration) {
	m.collectors.answer.WithLabelValues(route, string(reason)).Observe(d.Seconds())
}

// CountStoreCall counts a call to the platform's store.
func (m *Metrics) CountStoreCall(table, kind string) {
	m.collectors.storeCalls.WithLabelValues(table, kind).Inc()
}
