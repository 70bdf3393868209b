package direct

import (
	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/internal/route"
)

// logViewChanges logs each change of upstreams and data centres between two
// views.
func (g *Gateway) logViewChanges(before, after *route.View) {
	previous := make(map[route.UpstreamID]route.Upstream, len(before.Upstreams))
	for _, u := range before.Upstreams {
		previous[u.ID] = u
	}
	for _, u := range after.Upstreams {
		was, known := previous[u.ID]
		delete(previous, u.ID)
		g.logUpstreamChanges(was, u, known, after.Revision)
	}
	for id := range previous {
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

func (g *Gateway) logUpstreamChanges(was, is route.Upstream, known bool, revision int64) {
	isNew := !known || was.Incarnation() != is.Incarnation()
	if isNew {
		g.Log.Write(event.UpstreamListed, "upstream", is.ID, "service", is.Service, "address", is.Address,
			"data_centre", is.DataCentre, "born_ms", is.StartedAtMillis, "revision", revision)
	}
	if is.Leaving && (isNew || !was.Leaving) {
		g.Log.Write(event.UpstreamLeaves, "upstream", is.ID, "revision", revision)
	}
	if is.ColdFor > 0 && (isNew || is.ColdFor != was.ColdFor) {
		g.Log.Write(event.UpstreamCold, "upstream", is.ID, "cold_ms", is.ColdFor.Milliseconds(), "revision", revision)
	}
}
