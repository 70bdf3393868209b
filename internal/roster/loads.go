package roster

import (
	"maps"
	"slices"

	"jasminewing.dev/jasminewing/internal/placement"
	"jasminewing.dev/jasminewing/internal/wire"
)

// encodeLoads words loads for another gateway; tokens are rounded up to steps.
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

// decodeLoads reads what another gateway told. Lists of different lengths come
// from a fault of the sender: what is not in all of them is left out.
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
