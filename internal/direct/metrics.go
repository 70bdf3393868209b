package direct

import (
	"fmt"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"jasminewing.dev/jasminewing/internal/placement"
	"jasminewing.dev/jasminewing/pkg/result"
)

// metricSet holds the gateway's metrics. Labels are routes, codes and outcomes
// only: client accounts are too many.
type metricSet struct {
	set         *metrics.Set
	connections *metrics.Counter
}

func (m *metricSet) init(g *Gateway) {
	m.set = metrics.NewSet()
	m.connections = m.set.NewCounter("jasminewing_direct_connections_total")
	m.set.NewGauge("jasminewing_direct_requests_in_flight", func() float64 { return float64(g.inFlight.Load()) })
	m.set.NewGauge("jasminewing_direct_table_revision", func() float64 { return float64(g.Catalog.View().Revision) })
	// Each counter is there before its first event, so that its rate is right.
	for _, i := range result.All() {
		m.refusal(i.Code)
	}
	for o := placement.Served; o <= placement.Left; o++ {
		m.sends(o)
		m.resends(o)
	}
}

func (m *metricSet) refusal(code result.Code) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf("jasminewing_direct_refusals_total{code=%q,name=%q}", strconv.Itoa(int(code)), code))
}

func (m *metricSet) sends(o placement.Outcome) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf("jasminewing_direct_sends_total{outcome=%q}", o))
}

// resends counts further sends by what became of the send before.
func (m *metricSet) resends(o placement.Outcome) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf("jasminewing_direct_resends_total{after=%q}", o))
}

// ended counts a request by route and code, and its times.
func (m *metricSet) ended(t *transfer, code result.Code) {
	name := ""
	if t.call != nil && t.call.route != nil {
		name = t.call.route.Name
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("jasminewing_direct_requests_total{route=%q,code=\"%d\"}", name, code)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf("jasminewing_direct_request_seconds{route=%q}", name)).Update(time.Since(t.arrived).Seconds())
	if !t.first.IsZero() {
		m.set.GetOrCreateHistogram(fmt.Sprintf("jasminewing_direct_first_part_seconds{route=%q}", name)).Update(t.first.Sub(t.arrived).Seconds())
	}
	for _, s := range t.sends {
		m.sends(s.outcome).Inc()
	}
}
