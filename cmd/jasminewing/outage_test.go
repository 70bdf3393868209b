package main

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/standin"
	"jasminewing.dev/jasminewing/pkg/result"
)

// The platform is down when a new gateway starts. The gateway gets its state from
// its peers alone and serves requests. An edit made during the outage is in force
// soon after the outage ends.
func TestGatewayStartsWithPlatformDown(t *testing.T) {
	t.Parallel()
	d := newEngineDeployment(t, twoEngines, func() *standin.Engine { return &standin.Engine{} })
	d.config.SetDown(true)
	d.vms.SetDown(true)
	g := d.gateway("gw_3", "north", "--peer", string(d.gateways[0].vm.Address), "--peer", string(d.upstreams[0].vm.Address))
	d.awaitReady(g)
	r := chatRequest("new here", 5, true)
	d.await("an answer from the new gateway", func() bool { return g.send(r).status == 200 })
	got := g.send(r)
	assertComplete(t, r, got)
	d.addAccount("meanwhile")
	d.config.SetDown(false)
	d.vms.SetDown(false)
	d.awaitWithin("the edit made during the outage", time.Now(), maxEditDelay, func() bool {
		return g.acceptsKeyOf("meanwhile") && d.gateways[0].acceptsKeyOf("meanwhile") && d.gateways[1].acceptsKeyOf("meanwhile")
	})
}

// A new gateway without peers has no table while the platform is down, and must not
// accept requests. It becomes ready when the platform is back.
func TestGatewayAloneWithPlatformDown(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.config.SetDown(true)
	g := c.gateway("gw_1", "north")
	c.await("failed calls to the configuration service", func() bool { return c.config.Calls().Lost > 2 })
	assert.Equal(t, g.readyCode(), result.NotReady)
	assertRefused(t, g.send(chatRequest("early", 1, false)), true, result.NotReady)
	c.config.SetDown(false)
	c.awaitWithin("the gateway to be ready", time.Now(), maxEditDelay+maxTakeOutDelay, func() bool { return g.readyCode() == result.OK })
}

// After an edit, the configuration service serves an old copy again. No process
// reverts to it, and a gateway that starts now gets the edited table from its peers.
func TestStaleCopy(t *testing.T) {
	t.Parallel()
	d := newEngineDeployment(t, twoEngines, func() *standin.Engine { return &standin.Engine{} })
	d.config.SaveSnapshot()
	d.addAccount("edited")
	d.edit("data_centres", southIn, southOut)
	south := d.upstreams[1]
	inForce := func() bool {
		return south.readyCode() == result.DataCentreOut && d.gateways[0].acceptsKeyOf("edited") && d.gateways[1].acceptsKeyOf("edited")
	}
	d.awaitWithin("the edit", time.Now(), maxEditDelay, inForce)
	d.config.ServeSnapshot()
	served := time.Now()
	g := d.gateway("gw_3", "south")
	d.awaitReady(g)
	for time.Since(served) < maxEditDelay/2 {
		assert.Assert(t, inForce(), "the old copy took effect")
		assert.Assert(t, g.acceptsKeyOf("edited"), "the old copy took effect in the new gateway")
	}
	seen := false
	for _, p := range append(d.gateways, d.upstreams[0].proc, d.upstreams[1].proc) {
		seen = seen || p.firstEvent("stale_copy") != nil
	}
	assert.Assert(t, seen, "no process received the old copy")
	d.config.SetStale(false)
	d.addAccount("later")
	d.awaitWithin("the next edit", time.Now(), maxEditDelay, func() bool { return g.acceptsKeyOf("later") && d.gateways[0].acceptsKeyOf("later") })
}

// The configuration service accepts far fewer calls than the fleet makes. The fleet
// still starts, an edit is in force within seconds, and callers are not affected.
func TestRateLimited(t *testing.T) {
	t.Parallel()
	c := newClusterWith(t, &standin.Config{CallsPerSecond: 6, Burst: 6})
	d := &engineDeployment{cluster: c}
	for _, r := range threeEngines {
		u := &upstream{engine: &standin.Engine{Name: r.name}}
		u.start(c, r, u.engine)
		d.upstreams = append(d.upstreams, u)
	}
	d.gateways = []*proc{d.gateway("gw_1", "north"), d.gateway("gw_2", "south")}
	d.awaitAll()
	for i := range 2 {
		name := fmt.Sprint("edit_", i)
		d.addAccount(name)
		d.awaitWithin("the edit", time.Now(), maxEditDelay, func() bool { return d.gateways[0].acceptsKeyOf(name) && d.gateways[1].acceptsKeyOf(name) })
		for _, g := range d.gateways {
			r := chatRequest(name, 3, true)
			assertComplete(t, r, g.send(r))
		}
	}
	assert.Assert(t, d.config.Calls().Limited > 0, "the rate limit was never reached")
}

// The platform is down when the home of a key is killed with the booking in flight.
// The caller gets the error that the outcome is unknown, and repeated requests do
// not run the booking again.
func TestKillWithPlatformDown(t *testing.T) {
	t.Parallel()
	b := newBookingDeployment(t, 200*time.Millisecond)
	b.config.SetDown(true)
	b.vms.SetDown(true)
	r := bookingRequest("pitch-1", "key-1")
	q := b.gateways[0].begin(r)
	home := b.home("pitch-1")
	home.kill()
	<-q.done
	assertRefused(t, q.reply, false, result.OutcomeUnknown)
	for _, g := range b.gateways {
		got := g.send(r)
		assert.Assert(t, got.status != 200 && !got.refusal().NotRun, "%d %s", got.status, got.body)
	}
	assert.Equal(t, b.runs("pitch-1"), 1)
}
