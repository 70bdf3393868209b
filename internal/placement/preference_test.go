package placement

import (
	"testing"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/route"
)

// Larger batches need fewer engines for short prompts, but a small data centre must not depend
// on a single one.
func TestShortEngines(t *testing.T) {
	for _, tt := range []struct{ engines, batch, want int }{
		{2, 64, 1},
		{5, 64, 2},
		{17, 64, 6},
		{4, 128, 1},
		{5, 128, 2},
		{11, 128, 2},
		{14, 128, 3},
		{14, 0, 5},
	} {
		got := shortEngines(tt.engines, &route.Engine{BatchSize: tt.batch})
		assert.Equal(t, got, tt.want, "%d engines with %d slots", tt.engines, tt.batch)
	}
}
