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

// southRow is the row of the engine in the south in the table of the demo, without
// the column load.
const southRow = "draft_3,south,engine,draft,1,8,1,in,"

// newLoadOrderDeployment starts a deployment whose table has the column load in the
// section upstreams.
func newLoadOrderDeployment(t *testing.T, checksFencing bool) (d *engineDeployment, north, south *upstream) {
	d = newEngineDeployment(t, twoEngines, func() *standin.Engine {
		return &standin.Engine{ChecksFencing: checksFencing, ColdSlots: 1, WarmAfter: 1}
	}, withEdit("upstreams", "state,comment", "state,load"))
	return d, d.upstreams[0], d.upstreams[1]
}

// editLoad edits the load that the table requires of the engine in the south.
func (c *cluster) editLoad(from, to string) {
	c.edit("upstreams", southRow+from+"\n", southRow+to+"\n")
}

// awaitOrders waits until the engine has executed exactly the given orders, and
// returns the highest fencing number.
func (c *cluster) awaitOrders(u *upstream, loads ...string) uint64 {
	c.t.Helper()
	want := strings.Join(loads, ", ")
	got := func() string { return strings.Join(u.engine.Stats().Orders, ", ") }
	c.awaitWithin("orders "+want, time.Now(), maxEditDelay, func() bool { return got() == want })
	return u.engine.Stats().Fencing
}

// Each edit of an engine's load results in one order to that engine, with an
// increasing fencing number. Edits of other rows result in no order. An engine is
// cold after it has loaded.
func TestOrders(t *testing.T) {
	t.Parallel()
	d, north, south := newLoadOrderDeployment(t, true)
	d.await("the engine to be warm", func() bool {
		d.gateways[0].send(chatRequest("warm-up", 1, false))
		return south.metric("jasminewing_upstream_limit") > 1
	})
	d.editLoad("", "draft@v1")
	first := d.awaitOrders(south, "load draft@v1")
	d.awaitWithin("the engine to be cold", time.Now(), time.Second, func() bool { return south.metric("jasminewing_upstream_limit") == 1 })

	d.edit("upstreams", "draft_1,north,engine,draft,1,8", "draft_1,north,engine,draft,1,7")
	d.editLoad("draft@v1", "draft@v2")
	second := d.awaitOrders(south, "load draft@v1", "load draft@v2")
	assert.Assert(t, second > first, "fencing number %d follows %d", second, first)

	// After a quick series of edits, the last order is that of the last edit, and no
	// older order follows.
	for range 5 {
		d.editLoad("draft@v2", "draft@v3")
		d.editLoad("draft@v3", "draft@v2")
	}
	d.editLoad("draft@v2", "draft@v4")
	d.awaitWithin("the order of the last edit", time.Now(), maxEditDelay, func() bool {
		o := south.engine.Stats().Orders
		return o[len(o)-1] == "load draft@v4"
	})
	sleepUntil(time.Now().Add(maxTakeOutDelay))
	s := south.engine.Stats()
	assert.Equal(t, s.Orders[len(s.Orders)-1], "load draft@v4")
	assert.Equal(t, s.OrdersRefused, 0)
	assert.Equal(t, len(north.engine.Stats().Orders), 0)
}

// A sidecar is replaced after an edit, while the configuration service serves an
// older copy. The new sidecar learns of the edit from its peers and sends no older
// order, which the engine would execute because it does not check fencing numbers.
func TestRestartedSidecarSendsNoOlderOrder(t *testing.T) {
	t.Parallel()
	d, _, south := newLoadOrderDeployment(t, false)
	d.editLoad("", "draft@v1")
	d.awaitOrders(south, "load draft@v1")
	d.config.SaveSnapshot()
	d.editLoad("draft@v1", "draft@v2")
	number := d.awaitOrders(south, "load draft@v1", "load draft@v2")
	south.kill()
	d.config.ServeSnapshot()
	south.proc = d.sidecar("draft_3", "south", d.serve(south.engine))
	d.awaitReady(south.proc)
	sleepUntil(time.Now().Add(maxTakeOutDelay))
	assert.Equal(t, d.awaitOrders(south, "load draft@v1", "load draft@v2"), number)

	// The engine restarts with nothing loaded, and gets the order that is in force.
	assert.NilError(t, south.engine.Control(standin.Crash, 0))
	assert.Equal(t, d.awaitOrders(south, "load draft@v1", "load draft@v2", "load draft@v2"), number)
}

// orderFailingEngine is an engine that fails all orders until acceptsOrders is set.
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

// A sidecar is frozen while an order is waiting for a retry. The retry becomes due
// and the row is edited before the sidecar resumes. It then sends only the newer
// order.
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
	c.await("three failed orders", func() bool { return failures() == 3 })
	due := time.Now().Add(5 * time.Second)
	p.freeze()
	c.editLoad("draft@v1", "draft@v2")
	e.acceptsOrders.Store(true)
	sleepUntil(due)
	p.resume()
	c.awaitOrders(&upstream{engine: &e.Engine}, "load draft@v2")
	assert.Equal(t, failures(), 3.0)
}
