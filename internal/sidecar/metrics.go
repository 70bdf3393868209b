package sidecar

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"jasminewing.dev/jasminewing/pkg/result"
)

// metricSet holds the sidecar's metrics.
type metricSet struct {
	set *metrics.Set
}

func (m *metricSet) init(s *Sidecar) {
	m.set = metrics.NewSet()
	for _, i := range result.All() {
		m.set.NewCounter(refusalMetric(i.Code))
		m.set.NewCounter(endMetric(i.Code))
		m.set.NewCounter(orderMetric(i.Code))
	}
	gauges := []struct {
		name  string
		value func() int
	}{
		{"jasminewing_upstream_limit", func() int { return s.State().Limit }},
		{"jasminewing_upstream_in_flight", func() int { return s.State().InFlight }},
		{"jasminewing_upstream_parked", func() int { return s.State().Parked }},
		{"jasminewing_upstream_cold", func() int { return boolToInt(s.State().Cold) }},
		{"jasminewing_upstream_refusing_code", func() int { return int(s.State().Refusing) }},
	}
	for _, g := range gauges {
		m.set.NewGauge(g.name, func() float64 { return float64(g.value()) })
	}
}

func refusalMetric(c result.Code) string {
	return fmt.Sprintf("jasminewing_sidecar_refusals_total{code=%q,name=%q}", fmt.Sprint(int(c)), c)
}

func endMetric(c result.Code) string {
	return fmt.Sprintf("jasminewing_sidecar_ends_total{code=%q,name=%q}", fmt.Sprint(int(c)), c)
}

func orderMetric(c result.Code) string {
	return fmt.Sprintf("jasminewing_sidecar_orders_total{code=%q,name=%q}", fmt.Sprint(int(c)), c)
}

func (m *metricSet) countRefusal(c result.Code) { m.set.GetOrCreateCounter(refusalMetric(c)).Inc() }

func (m *metricSet) countEnd(c result.Code) { m.set.GetOrCreateCounter(endMetric(c)).Inc() }

func (m *metricSet) countOrder(c result.Code) { m.set.GetOrCreateCounter(orderMetric(c)).Inc() }

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// WriteMetrics writes the metrics in the Prometheus text format.
func (s *Sidecar) WriteMetrics(w io.Writer) { s.metrics.set.WritePrometheus(w) }

// CountRefusal counts a request that was refused before it became an attempt.
func (s *Sidecar) CountRefusal(c result.Code) { s.metrics.countRefusal(c) }
