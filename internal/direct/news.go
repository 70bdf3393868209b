package direct

import (
	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/internal/route"
)

// logNews writes a line for each thing that a new view changes in what the
// gateway believes of upstreams and data centres.
func (g *Gateway) logNews(before, after *route.View) {
	held := make(map[route.UpstreamID]route.Upstream, len(before.Upstreams))
	for _, u := range before.Upstreams {
		held[u.ID] = u
	}
	for _, u := range after.Upstreams {
		was, known := held[u.ID]
		delete(held, u.ID)
		g.logUpstream(was, u, known, after.Revision)
	}
	for id := range held {
		g.Log.Write(event.UpstreamRemoved, "upstream", id, "revision", after.Revision)
	}
	for name := range after.DataCentresOut {
		if !before.DataCentresOut[name] {
			g.Log.Write(event.DataCentreOut, "data_centre", name, "revision", after.Revision)
		}
	}
	for name := range before.DataCentresOut {
		if !after.DataCentresOut[name] {
			g.Log.Write(event.DataCentreIn, "data_centre", name, "revision", after.Revision)
		}
	}
}

func (g *Gateway) logUpstream(was, is route.Upstream, known bool, revision int64) {
	anew := !known || keyOf(was) != keyOf(is)
	if anew {
		g.Log.Write(event.UpstreamListed, "upstream", is.ID, "service", is.Service, "address", is.Address,
			"data_centre", is.DataCentre, "born_ms", is.StartedAtMillis, "revision", revision)
	}
	if is.Leaving && (anew || !was.Leaving) {
		g.Log.Write(event.UpstreamLeaves, "upstream", is.ID, "revision", revision)
	}
	if is.ColdFor > 0 && (anew || is.ColdFor != was.ColdFor) {
		g.Log.Write(event.UpstreamCold, "upstream", is.ID, "cold_ms", is.ColdFor.Milliseconds(), "revision", revision)
	}
}
