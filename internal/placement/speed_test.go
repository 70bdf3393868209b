package placement

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/route"
)

// largeBatches gives the engines of a view batches of 128 slots.
func largeBatches(v *route.View) *route.View {
	v.Table.Services[0].Engine.BatchSize = 128
	return v
}

// respond lets the gateway send n requests to an engine and records responses that take a
// multiple of the modelled time.
func respond(c *Core, id route.UpstreamID, ratio float64, n int) {
	m := c.members[id]
	for range n {
		a := &assignment{member: m, sent: start, expected: time.Second, modelled: time.Second}
		c.recordLatency(start.Add(time.Duration(ratio*float64(time.Second))), a, true)
	}
}

// An engine that is 2.4 times as fast as the others must hold that many times their prompt
// parts, at all gateways: with equal shares the slow ones queue while the fast ones idle.
func TestFastEnginesHoldMoreParts(t *testing.T) {
	v := largeBatches(engines(12))
	one, other := newCore(v, 2), newCore(v, 2)
	fast := map[route.UpstreamID]bool{}
	for i, u := range v.Upstreams {
		fast[u.ID] = i%3 == 0
	}
	for range 20 {
		for _, u := range v.Upstreams {
			ratio := 1.4
			if fast[u.ID] {
				ratio = 0.58
			}
			respond(one, u.ID, ratio, 1)
		}
	}
	for _, c := range []*Core{other, one} {
		c.Handle(start, PeerLoads{Gateway: "peer", Speeds: one.Speeds(start)})
		// A second report of the same gateway replaces the first one.
		c.Handle(start, PeerLoads{Gateway: "peer", Speeds: one.Speeds(start)})
		c.Handle(start, PeerLoads{Gateway: "peer-2", Speeds: one.Speeds(start)})
	}
	firsts := func(c *Core) (out []route.UpstreamID) {
		for n := range PartID(3000) {
			r := draft(n, 1e6+n)
			out = append(out, c.preferenceFor(start, &r).first)
		}
		return out
	}
	ones, others := firsts(one), firsts(other)
	perEngine := map[bool]float64{}
	engines, same := map[bool]map[route.UpstreamID]bool{true: {}, false: {}}, 0
	for n, id := range ones {
		perEngine[fast[id]]++
		engines[fast[id]][id] = true
		if others[n] == id {
			same++
		}
	}
	ratio := perEngine[true] / float64(len(engines[true])) / (perEngine[false] / float64(len(engines[false])))
	assert.Assert(t, ratio > 1.7 && ratio < 3.4, "fast engines hold %.2f times the parts", ratio)
	assert.Assert(t, float64(same) > 0.95*float64(len(ones)), "the gateways agree on %d of %d", same, len(ones))
}

// Engines that differ by less than the noise of their latencies must keep equal weights, or
// parts would move, and be processed again, for nothing.
func TestEqualEnginesKeepTheirWeights(t *testing.T) {
	v := largeBatches(engines(12))
	c := newCore(v, 2)
	for i, u := range v.Upstreams {
		respond(c, u.ID, 1+0.25*float64(i%3-1), 20)
	}
	for _, m := range c.members {
		assert.Equal(t, m.weight, 1.0)
	}
}

// One odd response must not make an engine look fast or slow, and an error that comes at once
// must not count at all: the engine would attract all requests.
func TestSingleResponsesSayLittle(t *testing.T) {
	for _, tt := range []struct {
		name        string
		took        time.Duration
		answered    bool
		least, most float64
	}{
		{"answer at once", 10 * time.Millisecond, true, 1, 1},
		{"failure at once", 200 * time.Millisecond, false, 1, 1},
		{"fast", 300 * time.Millisecond, true, 0.6, 0.99},
		{"slow", 5 * time.Second, true, 1.01, 2},
		{"no answer for long", 5 * time.Second, false, 1.01, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			v := largeBatches(engines(3))
			c := newCore(v, 2)
			m := c.members[v.Upstreams[0].ID]
			c.recordLatency(start.Add(tt.took), &assignment{member: m, sent: start, expected: time.Second, modelled: time.Second}, tt.answered)
			assert.Assert(t, m.slowdown >= tt.least && m.slowdown <= tt.most, "%.3f", m.slowdown)
		})
	}
}

// A gateway that is no longer heard must not count for the speed of engines.
func TestSpeedsOfSilentPeersExpire(t *testing.T) {
	v := largeBatches(engines(3))
	c := newCore(v, 2)
	key := LoadKeyOf(v.Upstreams[0].ID)
	c.Handle(start, PeerLoads{Gateway: "peer", Speeds: map[LoadKey]Speed{key: {Relative: 1, Observations: 8}}})
	assert.Assert(t, math.Abs(c.peerSpeeds[key].Relative-8) < 1e-9)
	c.expirePeerReports(start.Add(peerReportTTL + time.Second))
	assert.Equal(t, len(c.peerSpeeds), 0)
}
