package gateway

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"jasminewing.dev/jasminewing/internal/dispatch"
	"jasminewing.dev/jasminewing/pkg/result"
)

// metricSet holds the gateway's metrics. Only classes, codes and reasons are
// used as labels, because there are too many client accounts for a label each.
type metricSet struct {
	set         *metrics.Set
	attainments *attainments
}

func (m *metricSet) init(g *Gateway) {
	m.set = metrics.NewSet()
	m.attainments = &g.attainments
	for _, i := range result.All() {
		m.set.NewCounter(resultCounterName(i.Code))
	}
	m.set.NewCounter(resultCounterName(unknownCode))
	for _, r := range dispatch.RetryReasons() {
		m.set.NewCounter(retryCounterName(r))
	}
	m.set.NewGauge("jasminewing_waiting_requests", func() float64 { return float64(g.queue.Waiting()) })
	m.set.NewGauge("jasminewing_requests_in_flight", func() float64 { return float64(g.InFlight()) })
}

func resultCounterName(c result.Code) string {
	return fmt.Sprintf("jasminewing_results_total{code=%q,name=%q}", fmt.Sprint(int(c)), c)
}

func retryCounterName(r dispatch.RetryReason) string {
	return fmt.Sprintf("jasminewing_retries_total{reason=%q}", string(r))
}

// unknownCode is the label for codes that this version does not know, so that
// codes from peers of other versions cannot create new label values.
const unknownCode result.Code = -1

func (m *metricSet) countResult(c result.Code) {
	if !c.Known() {
		c = unknownCode
	}
	m.set.GetOrCreateCounter(resultCounterName(c)).Inc()
}

func (m *metricSet) countRetry(r dispatch.RetryReason) {
	m.set.GetOrCreateCounter(retryCounterName(r)).Inc()
}

func (m *metricSet) gapObserver(c *call) func(time.Duration) {
	h := m.set.GetOrCreateHistogram(fmt.Sprintf("jasminewing_token_gap_seconds{class=%q}", c.class.Name))
	return func(d time.Duration) { h.Update(d.Seconds()) }
}

// recordFinish counts a request by its result code, and by its class and
// whether it met its target.
func (m *metricSet) recordFinish(c *call, a *answer, f dispatch.Finish) {
	m.countResult(f.Code)
	var first time.Duration
	if !a.firstByte.IsZero() {
		first = a.firstByte.Sub(a.arrived)
		m.set.GetOrCreateHistogram(fmt.Sprintf("jasminewing_first_token_seconds{class=%q}", c.class.Name)).Update(first.Seconds())
	}
	met := "no"
	if f.Code == result.OK && first <= c.class.FirstToken {
		met = "yes"
	}
	m.attainments.record(time.Now(), c.class.Name, met == "yes", first)
	m.set.GetOrCreateCounter(fmt.Sprintf("jasminewing_requests_total{class=%q,met=%q}", c.class.Name, met)).Inc()
}

// WriteMetrics writes the metrics in the Prometheus text format.
func (g *Gateway) WriteMetrics(w io.Writer) { g.metrics.set.WritePrometheus(w) }

// CountRefusal counts a refusal of a peer's connection or of an admin request.
func (g *Gateway) CountRefusal(c result.Code) { g.metrics.countResult(c) }
