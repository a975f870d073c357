package rockmetric

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// latencyBuckets are the upper bounds of the histograms in seconds, around the targets of ranks and the limits of silence.
var latencyBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 0.75, 1, 2, 4, 8, 16}

// text is the same counters, and histograms, in the text format that operators' tools read.
type text struct {
	registry *prometheus.Registry
	reasons  *prometheus.CounterVec
	first    *prometheus.HistogramVec
	gap      *prometheus.HistogramVec
	whole    *prometheus.HistogramVec
}

func newText() *text {
	t := &text{
		registry: prometheus.NewRegistry(),
		reasons: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sassafrasrock_reasons_total", Help: "Refusals, failures, retries and dropped messages by reason; see docs/operating.md.",
		}, []string{"reason"}),
		first: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "sassafrasrock_first_event_seconds", Help: "From the arrival of a stream's request to its first event, by rank.", Buckets: latencyBuckets,
		}, []string{"rank"}),
		gap: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "sassafrasrock_largest_gap_seconds", Help: "Longest pause between two events of a stream, by rank.", Buckets: latencyBuckets,
		}, []string{"rank"}),
		whole: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "sassafrasrock_answer_seconds", Help: "From the arrival of a request to the end of its answer, by route and reason; an empty reason means a whole answer.", Buckets: latencyBuckets,
		}, []string{"route", "reason"}),
	}
	t.registry.MustRegister(t.reasons, t.first, t.gap, t.whole)
	for _, code := range rockreason.Codes() {
		t.reasons.WithLabelValues(string(code))
	}
	return t
}

// Handler serves the metrics in the text format of Prometheus.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.text.registry, promhttp.HandlerOpts{})
}

// ObserveAnswers adds the outcomes of streams to the histograms.
func (m *Metrics) ObserveAnswers(answers []rocktable.Answer) {
	for _, a := range answers {
		if a.Outcome.Rank == "" || a.Outcome.FirstToken == 0 {
			continue
		}
		m.text.first.WithLabelValues(a.Outcome.Rank).Observe(float64(a.Outcome.FirstToken) / 1000)
		m.text.gap.WithLabelValues(a.Outcome.Rank).Observe(float64(a.Outcome.LargestGap) / 1000)
	}
}

// ObserveRequest adds the time of a whole request to the histograms.
func (m *Metrics) ObserveRequest(route string, reason rockreason.Code, d time.Duration) {
	m.text.whole.WithLabelValues(route, string(reason)).Observe(d.Seconds())
}
