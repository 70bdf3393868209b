package connection

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// metricSet holds the metrics of a tracker.
type metricSet struct {
	set    *metrics.Set
	opened *metrics.Counter
	closed [reasonCount]*metrics.Counter
}

func (m *metricSet) init(t *Tracker) {
	m.set = metrics.NewSet()
	m.opened = m.set.NewCounter("jasminewing_direct_caller_connections_opened_total")
	for r := ReasonIdle; r < reasonCount; r++ {
		m.closed[r] = m.set.NewCounter(fmt.Sprintf("jasminewing_direct_caller_connections_closed_total{reason=%q}", r))
	}
	gauge := func(name string, value func() int) {
		m.set.NewGauge(name, func() float64 {
			t.mu.Lock()
			defer t.mu.Unlock()
			return float64(value())
		})
	}
	for p := New; p < phaseCount; p++ {
		gauge(fmt.Sprintf("jasminewing_direct_caller_connections_open{phase=%q}", p), func() int { return t.core.Count(p) })
	}
	gauge(`jasminewing_direct_caller_connections_open{phase="closing"}`, func() int { return t.core.Closing() })
}

// WriteMetrics writes the metrics of the tracker in the Prometheus text format.
func (t *Tracker) WriteMetrics(w io.Writer) { t.metrics.set.WritePrometheus(w) }
