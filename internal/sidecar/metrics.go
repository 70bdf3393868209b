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
		m.set.NewCounter(refusalName(i.Code))
		m.set.NewCounter(endName(i.Code))
		m.set.NewCounter(orderName(i.Code))
	}
	gauges := []struct {
		name  string
		value func() int
	}{
		{"jasminewing_upstream_limit", func() int { return s.State().Limit }},
		{"jasminewing_upstream_in_flight", func() int { return s.State().InFlight }},
		{"jasminewing_upstream_parked", func() int { return s.State().Parked }},
		{"jasminewing_upstream_cold", func() int { return oneIf(s.State().Cold) }},
		{"jasminewing_upstream_refusing_code", func() int { return int(s.State().Refusing) }},
	}
	for _, g := range gauges {
		m.set.NewGauge(g.name, func() float64 { return float64(g.value()) })
	}
}

func refusalName(c result.Code) string {
	return fmt.Sprintf("jasminewing_sidecar_refusals_total{code=%q,name=%q}", fmt.Sprint(int(c)), c)
}

func endName(c result.Code) string {
	return fmt.Sprintf("jasminewing_sidecar_ends_total{code=%q,name=%q}", fmt.Sprint(int(c)), c)
}

func orderName(c result.Code) string {
	return fmt.Sprintf("jasminewing_sidecar_orders_total{code=%q,name=%q}", fmt.Sprint(int(c)), c)
}

func (m *metricSet) refusal(c result.Code) { m.set.GetOrCreateCounter(refusalName(c)).Inc() }

func (m *metricSet) end(c result.Code) { m.set.GetOrCreateCounter(endName(c)).Inc() }

func (m *metricSet) order(c result.Code) { m.set.GetOrCreateCounter(orderName(c)).Inc() }

func oneIf(holds bool) int {
	if holds {
		return 1
	}
	return 0
}

// WriteMetrics writes the metrics in the Prometheus text format.
func (s *Sidecar) WriteMetrics(w io.Writer) { s.metrics.set.WritePrometheus(w) }

// CountRefusal counts what was refused before it became an attempt.
func (s *Sidecar) CountRefusal(c result.Code) { s.metrics.refusal(c) }
