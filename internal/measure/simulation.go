package measure

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"jasminewing.dev/jasminewing/internal/dispatch"
	"jasminewing.dev/jasminewing/internal/eventloop"
	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

const (
	// minPropagation and maxPropagation bound the time until an edit of the table
	// reaches a process.
	minPropagation = 500 * time.Millisecond
	maxPropagation = 3 * time.Second
	// maxDrain limits how long open requests may continue after the window.
	maxDrain = 21 * time.Minute
)

// Streams of random numbers. Each part of the model has its own, so that an
// additional draw in one part doesn't change the others.
const (
	trafficStream = 100 + iota*100
	policyStream
	faultStream
)

// Run describes one run of the simulation.
type Run struct {
	Deployment *Deployment
	Load       Load
	Policy     Policy
	Seed       uint64
	// WarmUp is the time before the measurement window, and Window is the length
	// of the window; zero for DefaultWarmUp and DefaultWindow.
	WarmUp, Window time.Duration
}

// Simulate runs the simulation and returns its measurements.
func (r Run) Simulate() *Stats {
	sim := &simulation{
		deployment: r.Deployment,
		load:       r.Load,
		policy:     r.Policy,
		seed:       r.Seed,
		start:      time.Unix(0, 0),
		warmUp:     cmp.Or(r.WarmUp, DefaultWarmUp),
		window:     cmp.Or(r.Window, DefaultWindow),
		random:     rand.New(rand.NewPCG(r.Seed, faultStream)),
		stats:      newStats(r.Deployment),
	}
	sim.loop.Now = sim.start
	sim.build()
	for i, t := range r.Deployment.Traffic {
		sim.generate(t, rand.New(rand.NewPCG(r.Seed, trafficStream+uint64(i))))
	}
	if r.Load.Fault != nil {
		sim.loop.At(sim.windowStart().Add(faultDelay), func() { r.Load.Fault(sim) })
	}
	sim.loop.RunUntil(sim.windowEnd())
	sim.drain()
	sim.close()
	return sim.stats
}

// simulation is the state of a run.
type simulation struct {
	deployment *Deployment
	load       Load
	policy     Policy
	seed       uint64
	start      time.Time
	warmUp     time.Duration
	window     time.Duration
	random     *rand.Rand
	loop       eventloop.Loop
	gateways   []*gateway
	sidecars   []*sidecar
	// outSince is the time at which each data centre that is out was taken out.
	outSince map[table.DataCentreName]time.Time
	// callCount is the number of calls that callers started, and offerCount the
	// number of offers that gateways made.
	callCount, offerCount int
	stats                 *Stats
}

func (sim *simulation) windowStart() time.Time { return sim.start.Add(sim.warmUp) }
func (sim *simulation) windowEnd() time.Time   { return sim.windowStart().Add(sim.window) }

func (sim *simulation) inWindow(t time.Time) bool {
	return !t.Before(sim.windowStart()) && t.Before(sim.windowEnd())
}

// drain continues until no call is open, for maxDrain at most.
func (sim *simulation) drain() {
	const step = time.Second
	for sim.openCalls() > 0 && sim.loop.Now.Before(sim.windowEnd().Add(maxDrain)) {
		sim.loop.RunUntil(sim.loop.Now.Add(step))
	}
}

func (sim *simulation) openCalls() int {
	n := 0
	for _, g := range sim.gateways {
		n += len(g.open)
	}
	return n
}

func (sim *simulation) build() {
	sim.outSince = make(map[table.DataCentreName]time.Time)
	for i, row := range sim.deployment.upstreams() {
		sim.sidecars = append(sim.sidecars, newSidecar(sim, i, row))
	}
	for i, dc := range sim.deployment.dataCentres() {
		sim.gateways = append(sim.gateways, newGateway(sim, i, dc))
	}
	for _, sc := range sim.sidecars {
		sc.start()
	}
}

// delay returns the one-way network delay between a gateway and a sidecar.
func (sim *simulation) delay(g *gateway, sc *sidecar) time.Duration {
	if g.dataCentre == sc.vm.DataCentre {
		return sameDataCentreDelay
	}
	return sim.deployment.CrossDataCentreDelay
}

func (sim *simulation) firstEngine() *engine {
	for _, sc := range sim.sidecars {
		if sc.engine.row.Kind == table.Engine {
			return sc.engine
		}
	}
	return nil
}

// setDataCentreState applies an operator's edit of the table, which reaches each
// process after a random propagation delay.
func (sim *simulation) setDataCentreState(dc table.DataCentreName, state table.State) {
	delete(sim.outSince, dc)
	if state == table.Out {
		sim.outSince[dc] = sim.loop.Now
	}
	for _, sc := range sim.sidecars {
		if sc.vm.DataCentre == dc {
			sim.loop.After(sim.propagationDelay(), func() { sc.configure(state == table.Out) })
		}
	}
	for _, g := range sim.gateways {
		sim.loop.After(sim.propagationDelay(), func() { g.setOut(dc, state == table.Out) })
	}
}

func (sim *simulation) propagationDelay() time.Duration {
	return minPropagation + time.Duration(sim.random.Int64N(int64(maxPropagation-minPropagation)))
}

// generate generates the requests of a class as a Poisson process with the rate
// of the load.
func (sim *simulation) generate(t Traffic, random *rand.Rand) {
	accounts := sim.deployment.accounts(t.Class)
	class := sim.deployment.Table.Classes[t.Class]
	steadyRate := t.Rate
	if t.Share > 0 {
		steadyRate = sim.deployment.requestRate(t, t.Share)
	}
	var next func()
	next = func() {
		if !sim.loop.Now.Before(sim.windowEnd()) {
			return
		}
		sim.balance(sim.newCall(t, class, accounts, random), random)
		sim.loop.After(sim.interarrivalTime(t, steadyRate, random), next)
	}
	sim.loop.After(sim.interarrivalTime(t, steadyRate, random), next)
}

// interarrivalTime returns the time to the next request. In the first half of
// the warm-up, while the engines are still cold, only a part of the steady load
// is sent.
func (sim *simulation) interarrivalTime(t Traffic, steadyRate float64, random *rand.Rand) time.Duration {
	const coldShare = 0.3
	rate := steadyRate
	switch since := sim.loop.Now.Sub(sim.start); {
	case since < sim.warmUp/2:
		rate *= coldShare
	case since >= sim.warmUp:
		rate *= sim.load.Factor(sim.deployment, t)
	}
	return time.Duration(random.ExpFloat64() / rate * float64(time.Second))
}

func (sim *simulation) newCall(t Traffic, class table.Class, accounts []table.Account, random *rand.Rand) *call {
	const streamedShare = 0.8
	c := &call{
		sim:     sim,
		class:   class,
		service: class.Service,
		account: drawAccount(accounts, random),
		tokens:  sim.deployment.drawTokens(t, random),
		arrived: sim.loop.Now,
	}
	if len(t.Services) > 0 {
		c.service = t.Services[random.IntN(len(t.Services))]
	}
	c.streamed = class.Kind == table.Engine && random.Float64() < streamedShare
	return c
}

// drawAccount draws a client account with a probability proportional to its
// weight.
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

// balance acts as the load balancer: it passes the call to a random gateway.
func (sim *simulation) balance(c *call, random *rand.Rand) {
	g := sim.gateways[random.IntN(len(sim.gateways))]
	sim.callCount++
	c.id = dispatch.RequestID(fmt.Sprint(sim.callCount))
	g.accept(c)
}

// close collects the measurements of all sidecars and finishes calls that are
// still open with result.Internal.
func (sim *simulation) close() {
	sim.stats.setOffersPerRequest(sim)
	for _, sc := range sim.sidecars {
		sim.stats.recordUpstream(sc)
	}
	for _, g := range sim.gateways {
		for _, c := range slices.Clone(g.open) {
			c.finish(dispatch.Finish{Code: result.Internal})
		}
	}
}

func vmOf(row table.Upstream) fleet.VM {
	return fleet.VM{
		Name: fleet.VMName(row.Name), Role: fleet.Sidecar, DataCentre: row.DataCentre,
		Upstream: row.Name, Address: fleet.Address(row.Name), State: fleet.Live,
	}
}
