package process

import (
	"fmt"
	"maps"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/dispatch"
	"jasminewing.dev/jasminewing/pkg/result"
)

var (
	series    = regexp.MustCompile(`(?m)^(jasminewing_[a-z_]+)(?:\{([^}]*)\})? `)
	label     = regexp.MustCompile(`([a-z]+)="([^"]*)"`)
	docsRow   = regexp.MustCompile("(?m)^\\| `(jasminewing_[a-z_]+)` \\| ([a-z]+) \\| ([a-z, ]*) ?\\| ([a-z]+) \\|")
	histogram = regexp.MustCompile(`_(bucket|sum|count)$`)
)

// labelsByMetric returns the label names of each metric in a scrape, in the format
// of docs/METRICS.md.
func labelsByMetric(text string) map[string]string {
	found := make(map[string]string)
	for _, m := range series.FindAllStringSubmatch(text, -1) {
		var labels []string
		for _, l := range label.FindAllStringSubmatch(m[2], -1) {
			if l[1] != "vmrange" {
				labels = append(labels, l[1])
			}
		}
		found[histogram.ReplaceAllString(m[1], "")] = strings.Join(labels, ", ")
	}
	return found
}

// docs/METRICS.md must list exactly the metrics of the programs, each with its
// labels and its program. Each code and reason must have a counter before its
// first event. No label may name an account or a request.
func TestMetrics(t *testing.T) {
	s := startDemoCluster(t)
	defer s.stop()
	scrape := func(address string) string {
		return s.raw(address, "GET /metrics HTTP/1.0\r\nAuthorization: Bearer "+testToken+"\r\n\r\n")
	}
	fresh, freshSidecar := scrape(s.admin), scrape(s.sidecarAdmin)
	for _, i := range result.All() {
		labels := fmt.Sprintf("{code=%q,name=%q} ", fmt.Sprint(int(i.Code)), i.Name)
		assert.Assert(t, strings.Contains(fresh, "jasminewing_results_total"+labels), labels)
		assert.Assert(t, strings.Contains(freshSidecar, "jasminewing_sidecar_refusals_total"+labels), labels)
		assert.Assert(t, strings.Contains(freshSidecar, "jasminewing_sidecar_ends_total"+labels), labels)
	}
	for _, r := range dispatch.RetryReasons() {
		assert.Assert(t, strings.Contains(fresh, fmt.Sprintf("jasminewing_retries_total{reason=%q} ", r)), r)
	}

	body := `{"model":"draft","stream":true,"max_tokens":5}`
	got := s.raw(s.callers, fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testKey, len(body), body))
	assert.Assert(t, strings.Contains(got, "[DONE]"), got)
	gateway, sidecar := scrape(s.admin), scrape(s.sidecarAdmin)
	for _, text := range []string{gateway, sidecar} {
		assert.Assert(t, !strings.Contains(text, "market") && !strings.Contains(text, "req_"), "a label names an account or a request")
	}

	data, err := os.ReadFile("../../docs/METRICS.md")
	assert.NilError(t, err)
	want := map[string]map[string]string{"gateway": {}, "sidecar": {}}
	for _, m := range docsRow.FindAllStringSubmatch(string(data), -1) {
		for _, program := range []string{"gateway", "sidecar"} {
			if m[4] == program || m[4] == "both" {
				want[program][m[1]] = strings.TrimSpace(m[3])
			}
		}
	}
	assert.DeepEqual(t, labelsByMetric(gateway), want["gateway"])
	assert.DeepEqual(t, labelsByMetric(sidecar), want["sidecar"])
	alerts := docsAlerts(string(data))
	known := slices.Collect(maps.Keys(want["gateway"]))
	for _, name := range alerts {
		assert.Assert(t, slices.Contains(known, name), "alert on the unknown metric %s", name)
	}
}

// docsAlerts returns the metrics that the alert expressions of the docs use.
func docsAlerts(text string) []string {
	_, alerts, _ := strings.Cut(text, "## Five alerts")
	return regexp.MustCompile(`jasminewing_[a-z_]+`).FindAllString(alerts, -1)
}
