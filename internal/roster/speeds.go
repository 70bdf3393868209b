package roster

import (
	"maps"
	"math"
	"slices"

	"jasminewing.dev/jasminewing/internal/placement"
	"jasminewing.dev/jasminewing/internal/wire"
)

const (
	// speedUnits is the number of units on the wire in one unit of the logarithm.
	speedUnits = 32
	// maxRelativeSpeed and maxSpeedObservations bound what another gateway may tell, so that
	// a faulty message moves an estimate by no more than a sound one.
	maxRelativeSpeed, maxSpeedObservations = 4.0, 64
)

// encodeSpeeds encodes the observed speeds of upstreams for another gateway.
func encodeSpeeds(speeds map[placement.LoadKey]placement.Speed) *wire.UpstreamSpeeds {
	out := &wire.UpstreamSpeeds{}
	for _, key := range slices.Sorted(maps.Keys(speeds)) {
		s := speeds[key]
		out.Upstreams = append(out.Upstreams, uint32(key))
		out.Relative = append(out.Relative, int32(math.Round(s.Relative*speedUnits)))
		out.Observations = append(out.Observations, uint32(math.Round(s.Observations)))
	}
	return out
}

// decodeSpeeds decodes the speeds that another gateway sent. Entries that are not in all of
// the lists are dropped.
func decodeSpeeds(in *wire.UpstreamSpeeds) map[placement.LoadKey]placement.Speed {
	n := min(len(in.GetUpstreams()), len(in.GetRelative()), len(in.GetObservations()))
	out := make(map[placement.LoadKey]placement.Speed, n)
	for i := range n {
		relative := float64(in.Relative[i]) / speedUnits
		out[placement.LoadKey(in.Upstreams[i])] = placement.Speed{
			Relative:     min(max(relative, -maxRelativeSpeed), maxRelativeSpeed),
			Observations: float64(min(in.Observations[i], maxSpeedObservations)),
		}
	}
	return out
}
