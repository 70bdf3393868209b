package standin

import (
	"bufio"
	"encoding/json"
	"math"
	"net/http"
	"slices"
	"strings"
	"time"
)

// readLoadStream reads a streamed answer as a strict client does. The answer
// is complete only if it has its end marker and the response body ends without
// an error.
func readLoadStream(resp *http.Response, start time.Time) loadResult {
	var out loadResult
	var text strings.Builder
	done := false
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxBodyBytes)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var e loadEvent
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return loadResult{code: "bad_stream"}
		}
		if e.Error != nil {
			return loadResult{code: e.code(resp.StatusCode)}
		}
		if out.firstToken == 0 {
			out.firstToken = time.Since(start)
		}
		text.WriteString(e.text())
	}
	out.text = text.String()
	out.complete = done && lines.Err() == nil
	if !out.complete {
		out.code = "cut_off"
	}
	return out
}

// computeRates sets the fields that are derived from the counters.
func (c *ClassReport) computeRates(seconds float64) {
	c.Attainment = float64(c.Met) / float64(c.Due)
	c.Goodput = float64(c.tokens) / seconds
	slices.Sort(c.firstTokens)
	c.FirstTokenP50 = quantile(c.firstTokens, 0.5)
	c.FirstTokenP99 = quantile(c.firstTokens, 0.99)
}

// quantile returns the smallest duration in milliseconds that at least the
// fraction q of the sorted durations does not exceed. It returns zero for an
// empty slice.
func quantile(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	i := int(math.Ceil(q*float64(len(sorted)))) - 1
	return float64(sorted[max(0, i)]) / float64(time.Millisecond)
}
