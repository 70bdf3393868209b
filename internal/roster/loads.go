package roster

import (
	"maps"
	"slices"

	"jasminewing.dev/jasminewing/internal/placement"
	"jasminewing.dev/jasminewing/internal/wire"
)

// encodeLoads encodes loads for another gateway. Token counts are rounded up to
// multiples of loadStep.
func encodeLoads(loads map[placement.LoadKey]placement.Load) *wire.UpstreamLoads {
	out := &wire.UpstreamLoads{}
	for _, key := range slices.Sorted(maps.Keys(loads)) {
		l := loads[key]
		out.Upstreams = append(out.Upstreams, uint32(key))
		out.InFlight = append(out.InFlight, uint32(max(l.InFlight, 0)))
		out.Waiting = append(out.Waiting, loadSteps(l.WaitingTokens))
		out.Memory = append(out.Memory, loadSteps(l.MemoryTokens))
	}
	return out
}

func loadSteps(tokens int) uint32 { return uint32((max(tokens, 0) + loadStep - 1) / loadStep) }

// decodeLoads decodes the loads that another gateway sent. Lists of different
// lengths are an error of the sender: entries that are not in all of them are
// dropped.
func decodeLoads(in *wire.UpstreamLoads) map[placement.LoadKey]placement.Load {
	n := min(len(in.GetUpstreams()), len(in.GetInFlight()), len(in.GetWaiting()), len(in.GetMemory()))
	out := make(map[placement.LoadKey]placement.Load, n)
	for i := range n {
		out[placement.LoadKey(in.Upstreams[i])] = placement.Load{
			InFlight:      int(in.InFlight[i]),
			WaitingTokens: int(in.Waiting[i]) * loadStep,
			MemoryTokens:  int(in.Memory[i]) * loadStep,
		}
	}
	return out
}
