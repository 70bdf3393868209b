package measure

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"jasminewing.dev/jasminewing/internal/dispatch"
	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

const (
	// leastSpread and mostSpread bound the time in which an edit of the table
	// reaches a process.
	leastSpread = 500 * time.Millisecond
	mostSpread  = 3 * time.Second
	// drainFor is how long requests may run on after the window.
	drainFor = 21 * time.Minute
)

// Streams of random numbers, so that one draw more in a part of the model
// leaves the others as they were.
const (
	trafficStream = 100 + iota*100
	policyStream
	faultStream
)

// Run is one run of the model.
type Run struct {
	Deployment *Deployment
	Load       Load
	Policy     Policy
	Seed       uint64
	// WarmUp goes before the Window that is measured; zero for the defaults.
	WarmUp, Window time.Duration
}

// Score runs the model and gives what was measured.
func (r Run) Score() *Score {
	w := &world{
		deployment: r.Deployment,
		load:       r.Load,
		policy:     r.Policy,
		seed:       r.Seed,
		start:      time.Unix(0, 0),
		warmUp:     cmp.Or(r.WarmUp, DefaultWarmUp),
		window:     cmp.Or(r.Window, DefaultWindow),
		random:     rand.New(rand.NewPCG(r.Seed, faultStream)),
		score:      newScore(r.Deployment),
	}
	w.loop.now = w.start
	w.build()
	for i, t := range r.Deployment.Traffic {
		w.send(t, rand.New(rand.NewPCG(r.Seed, trafficStream+uint64(i))))
	}
	if r.Load.Fault != nil {
		w.loop.at(w.windowStart().Add(faultAfter), func() { r.Load.Fault(w) })
	}
	w.loop.until(w.windowEnd())
	w.drain()
	w.close()
	return w.score
}

// world is one run under way.
type world struct {
	deployment *Deployment
	load       Load
	policy     Policy
	seed       uint64
	start      time.Time
	warmUp     time.Duration
	window     time.Duration
	random     *rand.Rand
	loop       loop
	gateways   []*gateway
	doors      []*door
	// out holds since when a data centre is out.
	out map[table.DataCentreName]time.Time
	// calls and offers count what callers and gateways began.
	calls, offers int
	score         *Score
}

func (w *world) windowStart() time.Time { return w.start.Add(w.warmUp) }
func (w *world) windowEnd() time.Time   { return w.windowStart().Add(w.window) }

func (w *world) inWindow(t time.Time) bool {
	return !t.Before(w.windowStart()) && t.Before(w.windowEnd())
}

// drain runs on until no call is open.
func (w *world) drain() {
	const step = time.Second
	for w.open() > 0 && w.loop.now.Before(w.windowEnd().Add(drainFor)) {
		w.loop.until(w.loop.now.Add(step))
	}
}

func (w *world) open() int {
	n := 0
	for _, g := range w.gateways {
		n += len(g.open)
	}
	return n
}

func (w *world) build() {
	w.out = make(map[table.DataCentreName]time.Time)
	for i, row := range w.deployment.upstreams() {
		w.doors = append(w.doors, newDoor(w, i, row))
	}
	for i, dc := range w.deployment.dataCentres() {
		w.gateways = append(w.gateways, newGateway(w, i, dc))
	}
	for _, d := range w.doors {
		d.start()
	}
}

// delay is the time one way between a gateway and a door.
func (w *world) delay(g *gateway, d *door) time.Duration {
	if g.dataCentre == d.vm.DataCentre {
		return withinDataCentre
	}
	return w.deployment.Between
}

func (w *world) firstEngine() *engine {
	for _, d := range w.doors {
		if d.engine.row.Kind == table.Engine {
			return d.engine
		}
	}
	return nil
}

// setDataCentre is an operator's edit; it reaches each process in its own time.
func (w *world) setDataCentre(dc table.DataCentreName, state table.State) {
	delete(w.out, dc)
	if state == table.Out {
		w.out[dc] = w.loop.now
	}
	for _, d := range w.doors {
		if d.vm.DataCentre == dc {
			w.loop.after(w.spread(), func() { d.configure(state == table.Out) })
		}
	}
	for _, g := range w.gateways {
		w.loop.after(w.spread(), func() { g.follow(dc, state == table.Out) })
	}
}

func (w *world) spread() time.Duration {
	return leastSpread + time.Duration(w.random.Int64N(int64(mostSpread-leastSpread)))
}

// send makes the requests of a class: they come at random, at the load's rate.
func (w *world) send(t Traffic, random *rand.Rand) {
	accounts := w.deployment.accounts(t.Class)
	class := w.deployment.Table.Classes[t.Class]
	steady := t.Rate
	if t.Share > 0 {
		steady = w.deployment.rate(t, t.Share)
	}
	var next func()
	next = func() {
		if !w.loop.now.Before(w.windowEnd()) {
			return
		}
		w.arrive(w.request(t, class, accounts, random), random)
		w.loop.after(w.pause(t, steady, random), next)
	}
	w.loop.after(w.pause(t, steady, random), next)
}

// pause is the time to the next request. While the engines are still cold only
// a part of the steady load is sent.
func (w *world) pause(t Traffic, steady float64, random *rand.Rand) time.Duration {
	const coldShare = 0.3
	rate := steady
	switch since := w.loop.now.Sub(w.start); {
	case since < w.warmUp/2:
		rate *= coldShare
	case since >= w.warmUp:
		rate *= w.load.Factor(w.deployment, t)
	}
	return time.Duration(random.ExpFloat64() / rate * float64(time.Second))
}

func (w *world) request(t Traffic, class table.Class, accounts []table.Account, random *rand.Rand) *call {
	const streamedShare = 0.8
	c := &call{
		world:   w,
		class:   class,
		service: class.Service,
		account: drawAccount(accounts, random),
		tokens:  w.deployment.tokens(t, random),
		arrived: w.loop.now,
	}
	if len(t.Services) > 0 {
		c.service = t.Services[random.IntN(len(t.Services))]
	}
	c.streamed = class.Kind == table.Engine && random.Float64() < streamedShare
	return c
}

// drawAccount draws by weight.
func drawAccount(accounts []table.Account, random *rand.Rand) table.Account {
	sum := 0
	for _, a := range accounts {
		sum += int(a.Weight)
	}
	n := random.IntN(sum)
	for _, a := range accounts {
		if n -= int(a.Weight); n < 0 {
			return a
		}
	}
	return accounts[0]
}

// arrive is the balancer: any gateway may get a request.
func (w *world) arrive(c *call, random *rand.Rand) {
	g := w.gateways[random.IntN(len(w.gateways))]
	w.calls++
	c.id = dispatch.RequestID(fmt.Sprint(w.calls))
	g.take(c)
}

// close counts what is still open as lost.
func (w *world) close() {
	w.score.offers(w)
	for _, d := range w.doors {
		w.score.engine(d)
	}
	for _, g := range w.gateways {
		for _, c := range slices.Clone(g.open) {
			c.conclude(dispatch.Finish{Code: result.Internal})
		}
	}
}

func vmOf(row table.Upstream) fleet.VM {
	return fleet.VM{
		Name: fleet.VMName(row.Name), Role: fleet.Sidecar, DataCentre: row.DataCentre,
		Upstream: row.Name, Address: fleet.Address(row.Name), State: fleet.Live,
	}
}
