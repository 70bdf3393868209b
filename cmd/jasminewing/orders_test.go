package main

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/standin"
)

// southRow is the demo's row of the engine in the south, without its load.
const southRow = "draft_3,south,engine,draft,1,8,1,in,"

// newLoadOrderDeployment starts a fleet whose upstreams have the column load.
func newLoadOrderDeployment(t *testing.T, checksFencing bool) (d *engineDeployment, north, south *upstream) {
	d = newEngineDeployment(t, twoEngines, func() *standin.Engine {
		return &standin.Engine{ChecksFencing: checksFencing, ColdSlots: 1, WarmAfter: 1}
	}, withEdit("upstreams", "state,comment", "state,load"))
	return d, d.upstreams[0], d.upstreams[1]
}

// editLoad edits what the engine in the south is to hold loaded.
func (c *cluster) editLoad(from, to string) {
	c.edit("upstreams", southRow+from+"\n", southRow+to+"\n")
}

// awaitOrders waits until the engine has taken just these orders, and gives the
// highest number.
func (c *cluster) awaitOrders(u *upstream, loads ...string) uint64 {
	c.t.Helper()
	want := strings.Join(loads, ", ")
	got := func() string { return strings.Join(u.engine.Stats().Orders, ", ") }
	c.awaitWithin("orders "+want, time.Now(), maxEditDelay, func() bool { return got() == want })
	return u.engine.Stats().Fencing
}

// An edited row is one order at its own engine with a number that grows; rows
// of others order nothing, and what was just loaded is cold.
func TestOrders(t *testing.T) {
	t.Parallel()
	d, north, south := newLoadOrderDeployment(t, true)
	d.await("the engine is warm", func() bool {
		d.gateways[0].send(chatRequest("warm-up", 1, false))
		return south.metric("jasminewing_upstream_limit") > 1
	})
	d.editLoad("", "draft@v1")
	first := d.awaitOrders(south, "load draft@v1")
	d.awaitWithin("cold", time.Now(), time.Second, func() bool { return south.metric("jasminewing_upstream_limit") == 1 })

	d.edit("upstreams", "draft_1,north,engine,draft,1,8", "draft_1,north,engine,draft,1,7")
	d.editLoad("draft@v1", "draft@v2")
	second := d.awaitOrders(south, "load draft@v1", "load draft@v2")
	assert.Assert(t, second > first, "%d after %d", second, first)

	// Quick edits end with the last one's order, and none goes back.
	for range 5 {
		d.editLoad("draft@v2", "draft@v3")
		d.editLoad("draft@v3", "draft@v2")
	}
	d.editLoad("draft@v2", "draft@v4")
	d.awaitWithin("the last edit's order", time.Now(), maxEditDelay, func() bool {
		o := south.engine.Stats().Orders
		return o[len(o)-1] == "load draft@v4"
	})
	sleepUntil(time.Now().Add(maxTakeOutDelay))
	s := south.engine.Stats()
	assert.Equal(t, s.Orders[len(s.Orders)-1], "load draft@v4")
	assert.Equal(t, s.OrdersRefused, 0)
	assert.Equal(t, len(north.engine.Stats().Orders), 0)
}

// A sidecar is replaced after an edit while the configuration service serves an
// older copy: it learns of the edit from its peers and gives no older order,
// also to an engine that would obey one.
func TestRestartedSidecarSendsNoOlderOrder(t *testing.T) {
	t.Parallel()
	d, _, south := newLoadOrderDeployment(t, false)
	d.editLoad("", "draft@v1")
	d.awaitOrders(south, "load draft@v1")
	d.config.Keep()
	d.editLoad("draft@v1", "draft@v2")
	number := d.awaitOrders(south, "load draft@v1", "load draft@v2")
	south.kill()
	d.config.ServeKept()
	south.proc = d.sidecar("draft_3", "south", d.serve(south.engine))
	d.awaitReady(south.proc)
	sleepUntil(time.Now().Add(maxTakeOutDelay))
	assert.Equal(t, d.awaitOrders(south, "load draft@v1", "load draft@v2"), number)

	// The engine comes back with nothing: it is ordered what is in force.
	assert.NilError(t, south.engine.Control(standin.Crash, 0))
	assert.Equal(t, d.awaitOrders(south, "load draft@v1", "load draft@v2", "load draft@v2"), number)
}

// orderFailingEngine is an engine that fails orders until it hears.
type orderFailingEngine struct {
	standin.Engine
	acceptsOrders atomic.Bool
}

func (e *orderFailingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/orders" && !e.acceptsOrders.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.Engine.ServeHTTP(w, r)
}

// A sidecar is frozen with an order pending that is due again before it wakes,
// and the row is edited meanwhile: woken, it gives the newer order only.
func TestFrozenSidecarSendsNewerOrder(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.edit("upstreams", "state,comment", "state,load")
	c.editLoad("", "draft@v1")
	e := &orderFailingEngine{}
	p := c.sidecar("draft_3", "south", c.serve(e))
	failures := func() float64 {
		return p.metric(`jasminewing_sidecar_orders_total{code="4005",name="upstream_unhealthy"}`)
	}
	c.await("three failures", func() bool { return failures() == 3 })
	due := time.Now().Add(5 * time.Second)
	p.freeze()
	c.editLoad("draft@v1", "draft@v2")
	e.acceptsOrders.Store(true)
	sleepUntil(due)
	p.resume()
	c.awaitOrders(&upstream{engine: &e.Engine}, "load draft@v2")
	assert.Equal(t, failures(), 3.0)
}
