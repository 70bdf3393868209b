package direct

import (
	"net/http"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/event"
)

// A request that leaves its data centre says why in its log line and is counted. One that stays
// has no such field.
func TestCrossingIsLogged(t *testing.T) {
	for _, tt := range []struct {
		name, field, counter string
		away                 bool
	}{
		{"stays", "", `{reason="no_upstream"} 0`, false},
		{"leaves", "left_data_centre=no_upstream", `{reason="no_upstream"} 1`, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, responseText(200, "Signed: 1\r\n", "ok"))
			var lines, metrics lockedBuffer
			f.gateway.Log = &event.Log{Logger: log.New(&lines)}
			if tt.away {
				f.view.Upstreams[0].DataCentre = "b"
				f.gateway.ApplyView(f.view)
			}
			assert.Equal(t, f.call(t, http.MethodPost, "/look/1", "x"), "200 ok")
			assert.Equal(t, strings.Contains(lines.String(), "left_data_centre"), tt.away)
			assert.Assert(t, strings.Contains(lines.String(), tt.field), lines.String())
			f.gateway.WriteMetrics(&metrics)
			assert.Assert(t, strings.Contains(metrics.String(), "jasminewing_direct_crossings_total"+tt.counter), metrics.String())
		})
	}
}
