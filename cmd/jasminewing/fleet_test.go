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
	// outBound bounds what must hold a few seconds after a data centre is out
	// or an upstream leaves.
	outBound = 3 * time.Second
	// configBound bounds the time until an edit is in force everywhere.
	configBound = 7 * time.Second
)

// upstream is a stand-in with the sidecar before it.
type upstream struct {
	*proc
	engine  *standin.Engine
	booking *standin.Booking
	// before and behind are the relays on either side of the sidecar, if asked for.
	before, behind *standin.Relay
}

// start starts a sidecar before the stand-in.
func (u *upstream) start(c *cluster, r upstreamRow, h http.Handler) {
	address := c.serve(h)
	if c.relayed {
		u.behind, address = c.relay(address)
	}
	u.proc = c.sidecar(r.name, r.dataCentre, address)
	if c.relayed {
		var before string
		u.before, before = c.relay(string(u.vm.Address))
		u.vm.Address = fleet.Address(before)
		c.vms.Set(u.vm)
	}
}

// option changes a cluster before its processes start.
type option func(*cluster)

// withRelays puts a relay on either side of each sidecar.
func withRelays(c *cluster) { c.relayed = true }

// withEdit edits the table.
func withEdit(section, old, fresh string) option {
	return func(c *cluster) { c.edit(section, old, fresh) }
}

// drafts is a fleet of two gateways and some engines.
type drafts struct {
	*cluster
	upstreams []*upstream
	gateways  []*proc
}

// upstreamRow is an upstream of the demo's table.
type upstreamRow struct{ name, dataCentre string }

var (
	threeEngines = []upstreamRow{{"draft_1", "north"}, {"draft_2", "north"}, {"draft_3", "south"}}
	twoEngines   = []upstreamRow{{"draft_1", "north"}, {"draft_3", "south"}}

	threeBookings = []upstreamRow{{"booking_1", "north"}, {"booking_2", "south"}, {"booking_3", "south"}}
)

// newDrafts starts two gateways and an engine like the model for each row, and
// waits until they take work.
func newDrafts(t *testing.T, rows []upstreamRow, model func() *standin.Engine, options ...option) *drafts {
	t.Helper()
	d := &drafts{cluster: newCluster(t)}
	for _, o := range options {
		o(d.cluster)
	}
	for _, r := range rows {
		u := &upstream{engine: model()}
		u.engine.Name = r.name
		u.start(d.cluster, r, u.engine)
		d.upstreams = append(d.upstreams, u)
	}
	d.gateways = []*proc{d.gateway("gw_1", "north"), d.gateway("gw_2", "south")}
	d.awaitAll()
	return d
}

func (d *drafts) awaitAll() {
	d.t.Helper()
	for _, u := range d.upstreams {
		d.awaitReady(u.proc)
	}
	d.awaitServing(draft("hello", 1, false), d.gateways...)
}

// awaitServing waits until each gateway serves the request.
func (c *cluster) awaitServing(r request, gateways ...*proc) {
	c.t.Helper()
	c.awaitReady(gateways...)
	for _, g := range gateways {
		c.await("first answer of "+string(g.vm.Name), func() bool { return g.send(r).status == http.StatusOK })
	}
}

// running gives the upstream that runs something; nil for none.
func (d *drafts) running() *upstream {
	for _, u := range d.upstreams {
		if u.engine.Stats().Running > 0 {
			return u
		}
	}
	return nil
}

// beginAt begins a request and waits until an engine runs it and, of a stream,
// the first words are out.
func (d *drafts) beginAt(g *proc, r request) (*pending, *upstream) {
	d.t.Helper()
	q := g.begin(r)
	var u *upstream
	d.await("engine runs "+r.body, func() bool {
		u = d.running()
		return u != nil && (!strings.Contains(r.body, `"stream":true`) || q.began(3))
	})
	return q, u
}

// bookings is a fleet of two gateways and the three booking upstreams.
type bookings struct {
	*cluster
	upstreams []*upstream
	gateways  []*proc
}

func newBookings(t *testing.T, delay time.Duration, options ...option) *bookings {
	t.Helper()
	b := &bookings{cluster: newCluster(t)}
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
	b.awaitServing(book("warm-up", "warm-up"), b.gateways...)
	return b
}

// runs counts the runs of a booking at all upstreams.
func (b *bookings) runs(name string) int {
	n := 0
	for _, u := range b.upstreams {
		n += u.booking.Stats().Runs[name]
	}
	return n
}

// home gives the upstream that ran a booking, once one has.
func (b *bookings) home(name string) *upstream {
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

// relay puts a stretch of network that can fail before an address.
func (c *cluster) relay(to string) (*standin.Relay, string) {
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

// within fails the test unless something holds before the bound has passed
// since a time.
func (c *cluster) within(what string, since time.Time, bound time.Duration, holds func() bool) {
	c.t.Helper()
	c.await(what, holds)
	took := time.Since(since)
	assert.Assert(c.t, took <= bound, "%s took %s, the bound is %s", what, took, bound)
}

// readiness gives the code that a process's admin listener refuses work with.
func (p *proc) readiness() result.Code {
	resp, err := http.Get("http://" + p.admin + "/readyz")
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
