package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/route"
)

// An explanation that names another upstream than the request is then sent to misleads the
// operator, and one that changes shares or quotas changes what it explains.
func TestExplanationMatchesDecision(t *testing.T) {
	for _, inA := range []int{0, 5, 7, 8} {
		c := plainCore(t, start, inA, 0)
		now := start
		for n := range Ticket(40) {
			now = now.Add(50 * time.Millisecond)
			tellPlain(c, now, inA, 0)
			r := Request{Service: "desk", Objective: plainGoal, Deadline: now.Add(time.Second), Bytes: 600}
			c.Handle(now, Ticked{})
			s := c.crossings.services["desk"]
			before, away := *s, *s.elsewhere["b"]
			x := c.Explain(now, &r)
			assert.Equal(t, s.share, before.share)
			assert.Equal(t, s.pressed, before.pressed)
			assert.Equal(t, s.elsewhere["b"].budget, away.budget)
			assert.Equal(t, c.Waiting(), 0)
			c.countTier(now, &r)
			w := &waitingRequest{ticket: n, request: r, since: now}
			got := Grant{}
			if e, ok := c.decide(now, w, map[capacityClass]bool{}).(Grant); ok {
				got = e
				c.Handle(now.Add(plainTime), Done{n, Served})
			}
			assert.Equal(t, x.Upstream, got.Upstream.ID)
			assert.Equal(t, x.Crossing, got.Crossing)
		}
	}
}

// The parts of the cost of each candidate add up, and each that is left out says why.
func TestExplanationOfCandidates(t *testing.T) {
	v := engines(12)
	v.Upstreams[0].Leaving = true
	v.DataCentresOut["b"] = true
	c := newCore(v, 5)
	c.Handle(start, PeerLoads{Gateway: "peer", Loads: map[LoadKey]Load{LoadKeyOf("e03"): {InFlight: 64}}})
	r := question(1)
	r.Tried = []route.UpstreamID{"e06"}
	x := c.Explain(start, &r)
	assert.Equal(t, len(x.Candidates), 12)
	reasons := map[route.UpstreamID]string{}
	for _, ca := range x.Candidates {
		reasons[ca.Upstream] = ca.LeftOut
		assert.Equal(t, ca.Cost, ca.Wait+ca.Prompt+ca.Crossing+ca.Failures+ca.Other)
	}
	assert.Equal(t, reasons["e00"], "leaving")
	assert.Equal(t, reasons["e01"], "data centre is out")
	assert.Equal(t, reasons["e03"], "full")
	assert.Equal(t, reasons["e06"], "tried before")
	assert.Equal(t, reasons["e09"], "")
	assert.Equal(t, reasons["e02"], "in another data centre, and leaving is not allowed now")
	assert.Equal(t, x.Upstream, route.UpstreamID("e09"))
}
