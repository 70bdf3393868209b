package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/eventloop"
	"jasminewing.dev/jasminewing/internal/route"
)

const (
	// plainSlots and plainTime are the slots of the upstreams of a plain fleet, and the
	// time of a request in one. Each serves 200 requests a second.
	plainSlots = 6
	plainTime  = 30 * time.Millisecond
	// upstreamQueue is the number of requests that wait at an upstream before it refuses
	// more.
	upstreamQueue = 4
	reportDelay   = 400 * time.Millisecond
	plainGoal     = 150 * time.Millisecond
)

// plainFleet plays a plain service in three data centres in virtual time: gateways that
// tell each other their loads every 400 ms with a delay of 400 ms, and upstreams with
// slots and a short queue.
type plainFleet struct {
	t         *testing.T
	loop      eventloop.Loop
	random    *rand.Rand
	view      *route.View
	gateways  []*fleetGateway
	upstreams map[route.UpstreamID]*fleetUpstream
	// rate returns the requests per second of a data centre.
	rate  func(dc route.DataCentre, at time.Duration) float64
	bytes int
	// silent keeps gateways from telling their loads, and constantPrice from using the
	// share and the quotas.
	silent, constantPrice bool
	report                map[route.DataCentre]*fleetReport
	// crossed is the number of requests sent to other data centres for room, in each
	// interval of crossingInterval.
	crossed []int
	// above is the number of samples, taken every 10 ms, of an upstream with more requests
	// than slots, by data centre.
	above map[route.DataCentre]int
	// onGrant is called for each grant.
	onGrant func(from route.DataCentre, g Grant)
}

// fleetReport is what the callers of a data centre's gateways get.
type fleetReport struct {
	asked, inTime, late, refused int
	crossed                      map[CrossingReason]int
}

func (r *fleetReport) attained() float64 { return float64(r.inTime) / float64(max(r.asked, 1)) }

type fleetGateway struct {
	fleet *plainFleet
	name  string
	core  Core
	last  Ticket
	calls map[Ticket]*fleetCall
	// shares are the successive values of the share.
	shares []float64
}

type fleetCall struct {
	request Request
	asked   time.Time
}

type fleetUpstream struct {
	route.Upstream
	running int
	waiting []func()
	down    bool
	// most is the maximum number of requests at the upstream, and refused the number that
	// it did not take.
	most, refused int
}

// newPlainFleet returns a fleet with one upstream in each data centre.
func newPlainFleet(t *testing.T, gateways int, seed uint64) *plainFleet {
	table := &route.Table{Services: []route.Service{{Name: "desk"}}}
	table.Index()
	f := &plainFleet{
		t: t, loop: eventloop.Loop{Now: start}, random: rand.New(rand.NewPCG(seed, 2)), bytes: 2_000,
		view:      &route.View{Table: table, DataCentresOut: map[route.DataCentre]bool{}},
		upstreams: map[route.UpstreamID]*fleetUpstream{}, report: map[route.DataCentre]*fleetReport{}, above: map[route.DataCentre]int{},
	}
	for n, dc := range []route.DataCentre{"a", "b", "c"} {
		u := route.Upstream{ID: route.UpstreamID("u-" + dc), Service: "desk", Address: fmt.Sprintf("10.0.0.%d:80", n), DataCentre: dc, Slots: plainSlots}
		f.view.Upstreams = append(f.view.Upstreams, u)
		f.upstreams[u.ID] = &fleetUpstream{Upstream: u}
		f.report[dc] = &fleetReport{crossed: map[CrossingReason]int{}}
	}
	for n := range gateways {
		g := &fleetGateway{fleet: f, name: fmt.Sprintf("10.0.1.%d:1", n), calls: map[Ticket]*fleetCall{}}
		g.core = Core{DataCentre: []route.DataCentre{"a", "b", "c"}[n%3], Seed: f.random.Uint64()}
		f.gateways = append(f.gateways, g)
		g.handle(ViewUpdate{f.view})
		g.handle(Membership{Count: gateways, Rank: n, LivePeers: gateways - 1})
	}
	return f
}

// play runs the fleet for a time.
func (f *plainFleet) play(d time.Duration) {
	f.crossed = make([]int, d/crossingInterval+1)
	for _, g := range f.gateways {
		offset := time.Duration(f.random.Int64N(int64(crossingInterval)))
		f.loop.Every(20*time.Millisecond, offset%(20*time.Millisecond), func() { g.handle(Ticked{}) })
		f.loop.Every(crossingInterval, offset, g.tell)
	}
	for _, dc := range []route.DataCentre{"a", "b", "c"} {
		f.arrive(dc)
	}
	f.loop.Every(10*time.Millisecond, 0, func() {
		for _, u := range f.upstreams {
			if u.running+len(u.waiting) > u.Slots {
				f.above[u.DataCentre]++
			}
		}
	})
	f.loop.RunUntil(start.Add(d))
	for dc, r := range f.report {
		f.t.Logf("%s: %d asked, %.4f in time, %d late, %d refused, sent elsewhere %v", dc, r.asked, r.attained(), r.late, r.refused, r.crossed)
	}
	for id, u := range f.upstreams {
		f.t.Logf("%s: at most %d requests, %d refused, above its slots in %d samples", id, u.most, u.refused, f.above[u.DataCentre])
	}
}

// arrive sends the next request of a data centre's callers, to any of its gateways.
func (f *plainFleet) arrive(dc route.DataCentre) {
	rate := f.rate(dc, f.loop.Now.Sub(start))
	f.loop.After(time.Duration(f.random.ExpFloat64()/max(rate, 1)*float64(time.Second)), func() {
		defer f.arrive(dc)
		g := f.gateways[f.random.IntN(len(f.gateways))]
		for g.core.DataCentre != dc {
			g = f.gateways[f.random.IntN(len(f.gateways))]
		}
		f.report[dc].asked++
		g.send(&fleetCall{asked: f.loop.Now, request: Request{
			Service: "desk", Objective: plainGoal, Deadline: f.loop.Now.Add(time.Second), Bytes: f.bytes,
		}})
	})
}

func (g *fleetGateway) tell() {
	if g.fleet.silent {
		return
	}
	loads := g.core.Loads()
	g.fleet.loop.After(reportDelay, func() {
		for _, o := range g.fleet.gateways {
			if o != g {
				o.handle(PeerLoads{Gateway: g.name, Loads: loads})
			}
		}
	})
}

func (g *fleetGateway) send(call *fleetCall) {
	g.last++
	g.calls[g.last] = call
	g.handle(Enqueue{g.last, call.request})
}

func (g *fleetGateway) handle(m Message) {
	f := g.fleet
	if f.constantPrice {
		g.core.crossings.newsAt = time.Time{}
	}
	effects := g.core.Handle(f.loop.Now, m)
	g.observeShare()
	for _, e := range effects {
		switch e := e.(type) {
		case Grant:
			g.start(e)
		case Refuse:
			f.report[g.core.DataCentre].refused++
			delete(g.calls, e.Ticket)
		}
	}
}

// observeShare records the share of each step.
func (g *fleetGateway) observeShare() {
	s := g.core.crossings.services["desk"]
	if s == nil {
		return
	}
	if len(g.shares) == 0 || g.shares[len(g.shares)-1] != s.share {
		g.shares = append(g.shares, s.share)
	}
}

// start sends a granted request to its upstream.
func (g *fleetGateway) start(e Grant) {
	f, call, u := g.fleet, g.calls[e.Ticket], g.fleet.upstreams[e.Upstream.ID]
	r := f.report[g.core.DataCentre]
	if f.onGrant != nil {
		f.onGrant(g.core.DataCentre, e)
	}
	if e.Crossing != Stayed {
		r.crossed[e.Crossing]++
	}
	if e.Crossing == CrossedForRoom {
		f.crossed[f.loop.Now.Sub(start)/crossingInterval]++
		g.assertNoRoom()
	}
	end := func(o Outcome) {
		g.handle(Done{e.Ticket, o})
		delete(g.calls, e.Ticket)
		switch {
		case o == Served && f.loop.Now.Sub(call.asked) <= plainGoal:
			r.inTime++
		case o == Served:
			r.late++
		case len(call.request.Tried) < 2:
			call.request.Tried = append(call.request.Tried, e.Upstream.ID)
			g.send(call)
		default:
			r.refused++
		}
	}
	f.loop.After(500*time.Microsecond, func() { u.take(f, end) })
}

// assertNoRoom checks that the gateway knows of no free slot in its own data centre.
func (g *fleetGateway) assertNoRoom() {
	for _, m := range g.core.members {
		if m.upstream.DataCentre == g.core.DataCentre && m.usable(g.fleet.loop.Now) && !m.resting(g.fleet.loop.Now) && m.overdue(g.fleet.loop.Now) == 0 {
			load := g.core.peerLoad(m.key).InFlight + m.inFlight
			assert.Assert(g.fleet.t, load >= plainSlots || m.slowdown > 1+roomFraction*float64(plainGoal/plainResponseTime),
				"a request left %s, whose upstream has %d requests", g.core.DataCentre, load)
		}
	}
}

// take runs a request now, or when a slot is free, or refuses it.
func (u *fleetUpstream) take(f *plainFleet, end func(Outcome)) {
	switch {
	case u.down:
		end(Unreached)
	case u.running < u.Slots:
		u.run(f, end)
	case len(u.waiting) < upstreamQueue:
		u.waiting = append(u.waiting, func() { u.run(f, end) })
	default:
		u.refused++
		end(Full)
	}
	u.most = max(u.most, u.running+len(u.waiting))
}

func (u *fleetUpstream) run(f *plainFleet, end func(Outcome)) {
	u.running++
	f.loop.After(plainTime, func() {
		u.running--
		if len(u.waiting) > 0 {
			next := u.waiting[0]
			u.waiting = u.waiting[1:]
			next()
		}
		end(Served)
	})
}

// publish passes the view to all gateways.
func (f *plainFleet) publish(change func(*route.View)) {
	v := *f.view
	v.DataCentresOut = map[route.DataCentre]bool{}
	v.Upstreams = append([]route.Upstream(nil), f.view.Upstreams...)
	change(&v)
	for _, g := range f.gateways {
		g.handle(ViewUpdate{&v})
	}
}
