package main

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/standin"
	"jasminewing.dev/jasminewing/pkg/result"
)

// The platform is down when a new gateway starts: it starts on its peers alone
// and serves, and an edit made meanwhile is in force soon after.
func TestGatewayStartsWithPlatformDown(t *testing.T) {
	t.Parallel()
	d := newEngineDeployment(t, twoEngines, func() *standin.Engine { return &standin.Engine{} })
	d.config.SetDown(true)
	d.vms.SetDown(true)
	g := d.gateway("gw_3", "north", "--peer", string(d.gateways[0].vm.Address), "--peer", string(d.upstreams[0].vm.Address))
	d.awaitReady(g)
	r := chatRequest("new here", 5, true)
	d.await("an answer", func() bool { return g.send(r).status == 200 })
	got := g.send(r)
	assertComplete(t, r, got)
	d.addAccount("meanwhile")
	d.config.SetDown(false)
	d.vms.SetDown(false)
	d.awaitWithin("the edit", time.Now(), maxEditDelay, func() bool {
		return g.acceptsKeyOf("meanwhile") && d.gateways[0].acceptsKeyOf("meanwhile") && d.gateways[1].acceptsKeyOf("meanwhile")
	})
}

// A new gateway without any peer does not serve on nothing while the platform
// is down.
func TestGatewayAloneWithPlatformDown(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.config.SetDown(true)
	g := c.gateway("gw_1", "north")
	c.await("it has asked", func() bool { return c.config.Calls().Lost > 2 })
	assert.Equal(t, g.readyCode(), result.NotReady)
	assertRefused(t, g.send(chatRequest("early", 1, false)), true, result.NotReady)
	c.config.SetDown(false)
	c.awaitWithin("it is ready", time.Now(), maxEditDelay+maxTakeOutDelay, func() bool { return g.readyCode() == result.OK })
}

// After an edit the service goes back to an old copy. Nobody reverts, and a
// gateway that starts now is told the truth by its peers.
func TestStaleCopy(t *testing.T) {
	t.Parallel()
	d := newEngineDeployment(t, twoEngines, func() *standin.Engine { return &standin.Engine{} })
	d.config.Keep()
	d.addAccount("edited")
	d.edit("data_centres", southIn, southOut)
	south := d.upstreams[1]
	inForce := func() bool {
		return south.readyCode() == result.DataCentreOut && d.gateways[0].acceptsKeyOf("edited") && d.gateways[1].acceptsKeyOf("edited")
	}
	d.awaitWithin("the edit", time.Now(), maxEditDelay, inForce)
	d.config.ServeKept()
	served := time.Now()
	g := d.gateway("gw_3", "south")
	d.awaitReady(g)
	for time.Since(served) < maxEditDelay/2 {
		assert.Assert(t, inForce(), "an old copy came into force")
		assert.Assert(t, g.acceptsKeyOf("edited"), "the new gateway believes the old copy")
	}
	seen := false
	for _, p := range append(d.gateways, d.upstreams[0].proc, d.upstreams[1].proc) {
		seen = seen || p.firstEvent("stale_copy") != nil
	}
	assert.Assert(t, seen, "nobody met the old copy")
	d.config.SetStale(false)
	d.addAccount("later")
	d.awaitWithin("the next edit", time.Now(), maxEditDelay, func() bool { return g.acceptsKeyOf("later") && d.gateways[0].acceptsKeyOf("later") })
}

// The service takes far fewer calls than the fleet would like to make: it
// starts all the same, an edit is in force within seconds, and callers see
// nothing of it.
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
	assert.Assert(t, d.config.Calls().Limited > 0, "the limit was never reached")
}

// The platform is down while a sidecar dies and streams run: answers come
// whole, and a booking's key still runs once.
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
