package main

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/standin"
	"jasminewing.dev/jasminewing/pkg/result"
)

const (
	// maxTakeOutDelay is the maximum time until a data centre that is taken out, or
	// an upstream that leaves, gets no new work.
	maxTakeOutDelay = 3 * time.Second
	// maxEditDelay is the maximum time until an edit is in force in all processes.
	maxEditDelay = 7 * time.Second
)

// upstream is a simulated upstream and its sidecar.
type upstream struct {
	*proc
	engine  *standin.Engine
	booking *standin.Booking
	// frontRelay is between the gateways and the sidecar, and backRelay between the
	// sidecar and the upstream. Both are nil unless the cluster is relayed.
	frontRelay, backRelay *standin.Relay
}

// start starts the simulated upstream and its sidecar.
func (u *upstream) start(c *cluster, r upstreamRow, h http.Handler) {
	address := c.serve(h)
	if c.relayed {
		u.backRelay, address = c.startRelay(address)
	}
	u.proc = c.sidecar(r.name, r.dataCentre, address)
	if c.relayed {
		var frontAddr string
		u.frontRelay, frontAddr = c.startRelay(string(u.vm.Address))
		u.vm.Address = fleet.Address(frontAddr)
		c.vms.Set(u.vm)
	}
}

// clusterOption configures a cluster before its processes start.
type clusterOption func(*cluster)

// withRelays adds a relay on either side of each sidecar.
func withRelays(c *cluster) { c.relayed = true }

// withEdit returns an option that replaces text in a section of the table.
func withEdit(section, old, replacement string) clusterOption {
	return func(c *cluster) { c.edit(section, old, replacement) }
}

// engineDeployment is a cluster of two gateways and several engines.
type engineDeployment struct {
	*cluster
	upstreams []*upstream
	gateways  []*proc
}

// upstreamRow identifies an upstream in the table of the demo.
type upstreamRow struct{ name, dataCentre string }

var (
	threeEngines = []upstreamRow{{"draft_1", "north"}, {"draft_2", "north"}, {"draft_3", "south"}}
	twoEngines   = []upstreamRow{{"draft_1", "north"}, {"draft_3", "south"}}

	threeBookings = []upstreamRow{{"booking_1", "north"}, {"booking_2", "south"}, {"booking_3", "south"}}
)

// newEngineDeployment starts two gateways and, for each row, an engine made by
// newEngine. It waits until they accept work.
func newEngineDeployment(t *testing.T, rows []upstreamRow, newEngine func() *standin.Engine, options ...clusterOption) *engineDeployment {
	t.Helper()
	d := &engineDeployment{cluster: newCluster(t)}
	for _, o := range options {
		o(d.cluster)
	}
	for _, r := range rows {
		u := &upstream{engine: newEngine()}
		u.engine.Name = r.name
		u.start(d.cluster, r, u.engine)
		d.upstreams = append(d.upstreams, u)
	}
	d.gateways = []*proc{d.gateway("gw_1", "north"), d.gateway("gw_2", "south")}
	d.awaitAll()
	return d
}

func (d *engineDeployment) awaitAll() {
	d.t.Helper()
	for _, u := range d.upstreams {
		d.awaitReady(u.proc)
	}
	d.awaitServing(chatRequest("hello", 1, false), d.gateways...)
}

// awaitServing waits until each gateway serves the request.
func (c *cluster) awaitServing(r request, gateways ...*proc) {
	c.t.Helper()
	c.awaitReady(gateways...)
	for _, g := range gateways {
		c.await("first answer from "+string(g.vm.Name), func() bool { return g.send(r).status == http.StatusOK })
	}
}

// runningUpstream returns an upstream that is running a request, or nil.
func (d *engineDeployment) runningUpstream() *upstream {
	for _, u := range d.upstreams {
		if u.engine.Stats().Running > 0 {
			return u
		}
	}
	return nil
}

// beginRunning sends a request and waits until an engine runs it. For a stream, it
// also waits for the first events. It returns the request and the upstream.
func (d *engineDeployment) beginRunning(g *proc, r request) (*pendingRequest, *upstream) {
	d.t.Helper()
	q := g.begin(r)
	var u *upstream
	d.await("an engine to run "+r.body, func() bool {
		u = d.runningUpstream()
		return u != nil && (!strings.Contains(r.body, `"stream":true`) || q.hasEvents(3))
	})
	return q, u
}

// bookingDeployment is a cluster of two gateways and the three booking upstreams.
type bookingDeployment struct {
	*cluster
	upstreams []*upstream
	gateways  []*proc
}

func newBookingDeployment(t *testing.T, delay time.Duration, options ...clusterOption) *bookingDeployment {
	t.Helper()
	b := &bookingDeployment{cluster: newCluster(t)}
	for _, o := range options {
		o(b.cluster)
	}
	for _, r := range threeBookings {
		u := &upstream{booking: &standin.Booking{Delay: delay}}
		u.start(b.cluster, r, u.booking)
		b.upstreams = append(b.upstreams, u)
	}
	b.gateways = []*proc{b.gateway("gw_1", "north"), b.gateway("gw_2", "south")}
	for _, u := range b.upstreams {
		b.awaitReady(u.proc)
	}
	b.awaitServing(bookingRequest("warm-up", "warm-up"), b.gateways...)
	return b
}

// runs returns how often all upstreams together ran a booking.
func (b *bookingDeployment) runs(name string) int {
	n := 0
	for _, u := range b.upstreams {
		n += u.booking.Stats().Runs[name]
	}
	return n
}

// home waits until an upstream has run a booking and returns that upstream.
func (b *bookingDeployment) home(name string) *upstream {
	b.t.Helper()
	var home *upstream
	b.await("run of "+name, func() bool {
		for _, u := range b.upstreams {
			if u.booking.Stats().Runs[name] > 0 {
				home = u
			}
		}
		return home != nil
	})
	return home
}

// startRelay starts a relay, which can simulate network failures, in front of an
// address. It returns the relay and the address that it listens on.
func (c *cluster) startRelay(to string) (*standin.Relay, string) {
	c.t.Helper()
	l, err := net.Listen("tcp", loopback)
	assert.NilError(c.t, err)
	r := &standin.Relay{Target: fleet.Address(to)}
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- r.Serve(ctx, l) }()
	c.t.Cleanup(func() {
		cancel()
		assert.Check(c.t, <-served)
	})
	return r, l.Addr().String()
}

// awaitWithin polls until the condition is true, and fails the test if that
// happens later than bound after start.
func (c *cluster) awaitWithin(what string, start time.Time, bound time.Duration, condition func() bool) {
	c.t.Helper()
	c.await(what, condition)
	took := time.Since(start)
	assert.Assert(c.t, took <= bound, "%s took %s, the limit is %s", what, took, bound)
}

// readyCode returns the result code of the readiness check on the admin listener
// of a process: OK if it is ready, and Internal if the check fails.
func (p *proc) readyCode() result.Code {
	resp, err := http.Get("http://" + p.adminAddr + "/readyz")
	if err != nil {
		return result.Internal
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		return result.OK
	}
	text := make([]byte, 8)
	n, _ := resp.Body.Read(text)
	code, _, _ := strings.Cut(string(text[:n]), " ")
	number, err := strconv.Atoi(code)
	if err != nil {
		return result.Internal
	}
	return result.Code(number)
}
