package rockmetric

import (
	"expvar"
	"runtime"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// ExpvarName is the name of the expvar variable that holds the metrics of all hosts that run in
// this process.
const ExpvarName = "sassafrasrock"

// hostVars returns the expvar map of all hosts. It is published once, because expvar panics if a
// name is published twice.
var hostVars = sync.OnceValue(func() *expvar.Map { return expvar.NewMap(ExpvarName) })

// Metrics holds the counters, gauges and histograms of one host. Its methods are safe for
// concurrent use.
type Metrics struct {
	reasons    map[rockreason.Code]*expvar.Int // read-only after New
	gauges     *expvar.Map
	collectors *collectors
}

// New publishes the metrics of a host under the host's name and replaces metrics published earlier
// under that name.
func New(host string) *Metrics {
	m := &Metrics{
		reasons:    make(map[rockreason.Code]*expvar.Int, len(rockreason.All)),
		gauges:     new(expvar.Map).Init(),
		collectors: newCollectors(),
	}
	reasons := new(expvar.Map).Init()
	for _, code := range rockreason.Codes() {
		counter := new(expvar.Int)
		m.reasons[code] = counter
		reasons.Set(string(code), counter)
	}
	m.RegisterGauge("goroutines", func() int64 { return int64(runtime.NumGoroutine()) })
	vars := new(expvar.Map).Init()
	vars.Set("reasons", reasons)
	vars.Set("gauges", m.gauges)
	hostVars().Set(host, vars)
	return m
}

// Count increments the counter of a reason. Codes that rockreason does not list are ignored.
func (m *Metrics) Count(code rockreason.Code) {
	if counter := m.reasons[code]; counter != nil {
		counter.Add(1)
		m.collectors.reasons.WithLabelValues(string(code)).Inc()
	}
}

// CountAll increments the counter of each reason in codes, usually the Outbox.Counts of one tick.
func (m *Metrics) CountAll(codes []rockreason.Code) {
	for _, code := range codes {
		m.Count(code)
	}
}

// Value returns the count of a reason, or 0 for a code that rockreason does not list.
func (m *Metrics) Value(code rockreason.Code) int64 {
	if counter := m.reasons[code]; counter != nil {
		return counter.Value()
	}
	return 0
}

// RegisterGauge publishes a gauge whose value is read on demand. The read function must be safe for
// concurrent use and must not block.
func (m *Metrics) RegisterGauge(name string, read func() int64) {
	m.gauges.Set(name, expvar.Func(func() any { return read() }))
	m.collectors.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "sassafrasrock_" + name, Help: "Gauge " + name + ".",
	}, func() float64 { return float64(read()) }))
}

// RegisterSnapshotGauges publishes the gauges that are derived from the snapshot: ready and draining (0 or
// 1), configVersion, and the number of callers.
func (m *Metrics) RegisterSnapshotGauges(snapshot func() *rocktable.Snapshot) {
	m.RegisterGauge("ready", func() int64 { return boolToInt(snapshot().Ready) })
	m.RegisterGauge("draining", func() int64 { return boolToInt(snapshot().Draining) })
	m.RegisterGauge("configVersion", func() int64 { return int64(snapshot().ConfigVersion) })
	m.RegisterGauge("shortPipelines", func() int64 { return int64(snapshot().ShortPipelines) })
	m.RegisterGauge("callers", func() int64 { return int64(len(snapshot().Callers)) })
}

func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
