package direct

import (
	"fmt"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"jasminewing.dev/jasminewing/internal/placement"
	"jasminewing.dev/jasminewing/internal/route"
	"jasminewing.dev/jasminewing/internal/upstream"
	"jasminewing.dev/jasminewing/pkg/result"
)

// metricSet holds the gateway's metrics. Labels are limited to routes, codes and
// outcomes; client accounts would make too many time series.
type metricSet struct {
	set         *metrics.Set
	connections *metrics.Counter
	// answersSkipped counts answers that can't be shown to belong to the request on
	// their connection.
	answersSkipped *metrics.Counter
	// overtakings counts grants given ahead of an older request of another client account.
	overtakings *metrics.Counter
}

func (m *metricSet) init(g *Gateway) {
	m.set = metrics.NewSet()
	m.connections = m.set.NewCounter("jasminewing_direct_connections_total")
	m.answersSkipped = m.set.NewCounter("jasminewing_direct_answers_skipped_total")
	m.overtakings = m.set.NewCounter("jasminewing_direct_overtakings_total")
	m.set.NewGauge("jasminewing_direct_requests_in_flight", func() float64 { return float64(g.InFlight()) })
	m.set.NewGauge("jasminewing_direct_table_revision", func() float64 { return float64(g.Catalog.View().Revision) })
	m.set.NewGauge("jasminewing_direct_state_behind_seconds", func() float64 { return g.Catalog.Stats().Behind.Seconds() })
	m.set.NewGauge("jasminewing_direct_store_bytes_total", func() float64 { return float64(g.Catalog.Stats().BytesReceived) })
	m.set.NewGauge("jasminewing_direct_store_reads_cut_total", func() float64 { return float64(g.Catalog.Stats().ReadsCut) })
	m.set.NewGauge("jasminewing_direct_fetches_failed_total", func() float64 { return float64(g.Catalog.Stats().FetchesFailed) })
	m.set.NewGauge("jasminewing_direct_parts_held", func() float64 { return float64(g.Suspects.Stats(time.Now()).Held) })
	m.set.NewGauge("jasminewing_direct_parts_on_probation", func() float64 { return float64(g.Suspects.Stats(time.Now()).Probation) })
	g.initMemoryMetrics()
	// Create each counter before its first event, so that its rate is correct.
	for _, i := range result.All() {
		m.refusal(i.Code)
	}
	for o := placement.Served; o <= placement.Left; o++ {
		m.attempts(o)
		m.retries(o)
	}
	for _, r := range placement.CrossingReasons() {
		m.crossings(r)
	}
	for _, e := range responseEnds {
		m.responses(e)
	}
	for _, s := range []string{"leaving", "pause", "ignored"} {
		m.statements(s)
	}
	for _, f := range upstream.Framings {
		for _, e := range endings {
			m.answers(f, e)
		}
	}
}

// crossings returns the counter of attempts that were sent to other data centres for a
// reason.
func (m *metricSet) crossings(r placement.CrossingReason) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf("jasminewing_direct_crossings_total{reason=%q}", r))
}

// updateShares sets the gauges of the shares of requests that may leave the data centre.
func (m *metricSet) updateShares(shares map[route.ServiceName]float64) {
	for s, share := range shares {
		m.set.GetOrCreateGauge(fmt.Sprintf("jasminewing_direct_crossing_share{service=%q}", s), nil).Set(share)
	}
}

// statements returns the counter of answers in which an upstream says that it leaves, asks
// for a pause, or asks for one that is ignored.
func (m *metricSet) statements(kind string) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf("jasminewing_direct_statements_total{statement=%q}", kind))
}

// answers returns the counter of upstreams' answers by their framing and ending.
func (m *metricSet) answers(f upstream.Framing, e ending) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf("jasminewing_direct_answers_total{framing=%q,end=%q}", f, e))
}

// responses returns the counter of requests by what their callers got.
func (m *metricSet) responses(e responseEnd) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf("jasminewing_direct_responses_total{end=%q}", e))
}

func (m *metricSet) refusal(code result.Code) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf("jasminewing_direct_refusals_total{code=%q,name=%q}", strconv.Itoa(int(code)), code))
}

func (m *metricSet) attempts(o placement.Outcome) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf("jasminewing_direct_sends_total{outcome=%q}", o))
}

// retries returns the counter of retries after an attempt with outcome o.
func (m *metricSet) retries(o placement.Outcome) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf("jasminewing_direct_resends_total{after=%q}", o))
}

// requestEnded counts a finished request by route and code, records its
// durations, and counts its attempts.
func (m *metricSet) requestEnded(p *proxiedRequest, code result.Code) {
	name := ""
	if p.call != nil && p.call.route != nil {
		name = p.call.route.Name
	}
	m.responses(p.response).Inc()
	m.set.GetOrCreateCounter(fmt.Sprintf("jasminewing_direct_requests_total{route=%q,code=\"%d\"}", name, code)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf("jasminewing_direct_request_seconds{route=%q}", name)).Update(time.Since(p.receivedAt).Seconds())
	if !p.firstPartAt.IsZero() {
		m.set.GetOrCreateHistogram(fmt.Sprintf("jasminewing_direct_first_part_seconds{route=%q}", name)).Update(p.firstPartAt.Sub(p.receivedAt).Seconds())
	}
	for _, a := range p.attempts {
		m.attempts(a.outcome).Inc()
		if a.crossing != placement.Stayed {
			m.crossings(a.crossing).Inc()
		}
		if a.overtook {
			m.overtakings.Inc()
		}
		if a.answer != nil {
			m.answers(a.answer.framing, a.answer.how).Inc()
		}
	}
}
