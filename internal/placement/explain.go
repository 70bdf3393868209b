package placement

import (
	"cmp"
	"slices"
	"time"

	"jasminewing.dev/jasminewing/internal/route"
)

// Explanation is where a request would be sent now, and why.
type Explanation struct {
	// Upstream is the chosen upstream, or empty if the request would wait.
	Upstream route.UpstreamID
	// Crossing is why it is in another data centre.
	Crossing CrossingReason
	// Ahead is the number of waiting requests that may be placed first. Those of client
	// accounts that use more are placed later.
	Ahead int
	// Share is the share of requests without room in their data centre that may leave it.
	Share      float64
	Candidates []Candidate
}

// Candidate is an upstream of the service.
type Candidate struct {
	Upstream   route.UpstreamID
	DataCentre route.DataCentre
	// Load is the known load from all gateways.
	Load Load
	// Wait is the expected time until the response starts, and Cost the total cost, which
	// the other durations are parts of. They are zero for an upstream that may not receive
	// requests for the service at all.
	Wait, Cost time.Duration
	// Prompt is the cost of prompt parts that are processed again or fetched and of streams
	// that a long prompt delays, Crossing that of the bytes between data centres, Failures
	// that of expected failures, and Other the rest, such as a wait that is late.
	Prompt, Crossing, Failures, Other time.Duration
	// LeftOut is why the upstream is not considered, or empty.
	LeftOut string
}

// Explain returns where the request would be sent if it arrived now. It changes nothing. The
// request draws the lowest number, so that it may leave the data centre with any share.
func (c *Core) Explain(now time.Time, r *Request) Explanation {
	defer c.keepCrossings(r.Service)()
	w := &waitingRequest{request: *r, since: now}
	l := c.limitsFor(capacityClass{r.Service, r.Rank}, r.Objective)
	c.planCrossing(now, w, l)
	var out Explanation
	if ch := c.choose(now, r, l); ch.member != nil {
		if reason, ok := c.mayPlace(ch.member, r); ok {
			out.Upstream, out.Crossing = ch.member.upstream.ID, reason
		}
	}
	if s := c.crossings.services[r.Service]; s != nil {
		out.Share = s.share
	}
	for _, o := range c.waiting {
		if o.request.Service == r.Service && o.request.Rank <= r.Rank {
			out.Ahead++
		}
	}
	p := c.preferenceFor(now, r)
	for _, m := range c.members {
		if m.upstream.Service == r.Service {
			out.Candidates = append(out.Candidates, c.candidate(now, m, r, p, l))
		}
	}
	slices.SortFunc(out.Candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.rank(), b.rank()), cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.Upstream, b.Upstream))
	})
	return out
}

// keepCrossings returns a function that undoes what planning a request changes.
func (c *Core) keepCrossings(name route.ServiceName) func() {
	plan := c.crossings.plan
	s := c.crossings.services[name]
	if s == nil {
		return func() { c.crossings.plan = plan }
	}
	share, pressed := s.share, s.pressed
	return func() { c.crossings.plan, s.share, s.pressed = plan, share, pressed }
}

// rank puts the candidates that are considered first.
func (ca Candidate) rank() int {
	if ca.LeftOut == "" {
		return 0
	}
	return 1
}

func (c *Core) candidate(now time.Time, m *member, r *Request, p preference, l limits) Candidate {
	ca := Candidate{Upstream: m.upstream.ID, DataCentre: m.upstream.DataCentre}
	if m.service == nil {
		ca.LeftOut = "service not in the table"
		return ca
	}
	load := c.projectLoad(m, r, p)
	ca.Load = load.Load
	ca.Wait, _, ca.Cost = c.cost(now, m, r, p, load)
	if m.service.Engine != nil {
		ca.Prompt = engineCost(m, r, p, load)
	}
	ca.Crossing = c.crossingPrice(m, r, p)
	ca.Failures = time.Duration(failureCost * m.failureRate * float64(r.Objective))
	ca.LeftOut = c.leftOut(now, m, r, load, l)
	if ca.Crossing == crossingForbidden {
		ca.Cost -= ca.Crossing
		ca.Crossing = bytesPrice(r, CrossedForPrompt)
		ca.Cost += ca.Crossing
	}
	ca.Other = ca.Cost - ca.Wait - ca.Prompt - ca.Crossing - ca.Failures
	return ca
}

// leftOut returns why the upstream can't be chosen for the request, or an empty string.
func (c *Core) leftOut(now time.Time, m *member, r *Request, load projectedLoad, l limits) string {
	switch {
	case m.leaving():
		return "leaving"
	case m.dataCentreOut:
		return "data centre is out"
	case slices.Contains(r.Tried, m.upstream.ID):
		return "tried before"
	case m.availability.PauseLeft(now) > 0:
		return "asked for a pause"
	case !m.availability.Allows(now, len(m.unanswered)):
		return "first answer after a pause is awaited"
	case m.avoided(now):
		return "avoided after a failure or refusal"
	case !m.admitsCold(now, c.coldSchedule()):
		return "cold, and not this gateway's turn"
	case !c.available(now, m, r, load):
		return "full"
	case !l.allow(m, load.Load):
		return "room is reserved for more urgent requests"
	case m.upstream.DataCentre != c.DataCentre && c.crossingReason(m, r) == Stayed:
		return "in another data centre, and leaving is not allowed now"
	}
	return ""
}
