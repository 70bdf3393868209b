package admin

import (
	"fmt"
	"io"
	"slices"

	"github.com/VictoriaMetrics/metrics"

	"jasminewing.dev/jasminewing/pkg/result"
)

// WriteMetrics writes metrics in the Prometheus text format: those that both
// programs share and, in a gateway, the number of upstreams by the code that
// tells why they are offered no work, or result.OK.
func (a *API) WriteMetrics(w io.Writer) {
	now := a.now()
	s := a.status(now)
	metrics.WriteGaugeUint64(w, "jasminewing_ready_code", uint64(s.Reason.Code))
	metrics.WriteGaugeUint64(w, "jasminewing_table_revision", uint64(s.TableRevision))
	metrics.WriteGaugeUint64(w, "jasminewing_table_era", uint64(s.TableRevision.Era()))
	metrics.WriteGaugeUint64(w, "jasminewing_vm_list_version", uint64(s.VMListVersion))
	metrics.WriteGaugeUint64(w, "jasminewing_refused_values", uint64(len(s.Refused)))
	if s.TableAgeMillis >= 0 {
		metrics.WriteGaugeFloat64(w, "jasminewing_table_age_seconds", float64(s.TableAgeMillis)/1000)
	}
	if a.Gateway == nil {
		return
	}
	counts := map[result.Code]uint64{result.OK: 0}
	for _, m := range a.Gateway.Members() {
		c := m.RefusalCode(now)
		if !c.Known() {
			c = result.Internal
		}
		counts[c]++
	}
	codes := make([]result.Code, 0, len(counts))
	for c := range counts {
		codes = append(codes, c)
	}
	slices.Sort(codes)
	for _, c := range codes {
		metrics.WriteGaugeUint64(w, fmt.Sprintf("jasminewing_upstreams{code=%q,name=%q}", fmt.Sprint(int(c)), c), counts[c])
	}
}
