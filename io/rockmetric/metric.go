package rockmetric

import (
	"expvar"
	"runtime"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// Name is the expvar variable that holds the metrics of each host of the process.
const Name = "sassafrasrock"

// published is registered once, since expvar panics when a name is published twice.
var published = sync.OnceValue(func() *expvar.Map { return expvar.NewMap(Name) })

// Metrics are the counters and gauges of one host; its methods are safe for concurrent use.
type Metrics struct {
	reasons map[rockreason.Code]*expvar.Int // not written after New
	gauges  *expvar.Map
	text    *text
}

// New publishes the metrics of a host under its name; metrics published earlier under the same name are replaced.
func New(host string) *Metrics {
	m := &Metrics{
		reasons: make(map[rockreason.Code]*expvar.Int, len(rockreason.All)),
		gauges:  new(expvar.Map).Init(),
		text:    newText(),
	}
	reasons := new(expvar.Map).Init()
	for _, code := range rockreason.Codes() {
		counter := new(expvar.Int)
		m.reasons[code] = counter
		reasons.Set(string(code), counter)
	}
	m.Gauge("goroutines", func() int64 { return int64(runtime.NumGoroutine()) })
	top := new(expvar.Map).Init()
	top.Set("reasons", reasons)
	top.Set("gauges", m.gauges)
	published().Set(host, top)
	return m
}

// Count adds one to the counter of a reason; codes that rockreason does not list are ignored.
func (m *Metrics) Count(code rockreason.Code) {
	if counter := m.reasons[code]; counter != nil {
		counter.Add(1)
		m.text.reasons.WithLabelValues(string(code)).Inc()
	}
}

// CountAll adds the counts of one tick, as in Outbox.Counts.
func (m *Metrics) CountAll(codes []rockreason.Code) {
	for _, code := range codes {
		m.Count(code)
	}
}

// Value returns the counter of a reason.
func (m *Metrics) Value(code rockreason.Code) int64 {
	if counter := m.reasons[code]; counter != nil {
		return counter.Value()
	}
	return 0
}

// Gauge publishes a value that is read on demand; read must be safe for concurrent use and must not block.
func (m *Metrics) Gauge(name string, read func() int64) {
	m.gauges.Set(name, expvar.Func(func() any { return read() }))
	m.text.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "sassafrasrock_" + name, Help: "Gauge " + name + ".",
	}, func() float64 { return float64(read()) }))
}

// GaugeSnapshot publishes the gauges that follow from the snapshot: ready, draining (0 or 1), configVersion and callers.
func (m *Metrics) GaugeSnapshot(snapshot func() *rocktable.Snapshot) {
	m.Gauge("ready", func() int64 { return flag(snapshot().Ready) })
	m.Gauge("draining", func() int64 { return flag(snapshot().Draining) })
	m.Gauge("configVersion", func() int64 { return int64(snapshot().ConfigVersion) })
	m.Gauge("callers", func() int64 { return int64(len(snapshot().Callers)) })
}

func flag(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
