package roster

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/placement"
	"jasminewing.dev/jasminewing/internal/wire"
)

// Speeds must survive the way to another gateway within half a unit, and a malformed message
// must neither panic nor move an estimate beyond the bounds.
func TestSpeedsOnTheWire(t *testing.T) {
	sent := map[placement.LoadKey]placement.Speed{1: {Relative: -0.5, Observations: 3}, 7: {Relative: 0.36, Observations: 8}}
	got := decodeSpeeds(encodeSpeeds(sent))
	assert.Equal(t, len(got), len(sent))
	for key, want := range sent {
		assert.Assert(t, math.Abs(got[key].Relative-want.Relative) <= 0.5/speedUnits, "%v", got[key])
		assert.Equal(t, got[key].Observations, want.Observations)
	}
	assert.Equal(t, len(decodeSpeeds(nil)), 0)
	odd := decodeSpeeds(&wire.UpstreamSpeeds{Upstreams: []uint32{1, 2}, Relative: []int32{math.MaxInt32}, Observations: []uint32{math.MaxUint32, 1}})
	assert.DeepEqual(t, odd, map[placement.LoadKey]placement.Speed{1: {Relative: maxRelativeSpeed, Observations: maxSpeedObservations}})
}
