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
	// sharedEngines, sharedBatch and streamTime give a fleet that serves 72 requests a
	// second.
	sharedEngines = 6
	sharedBatch   = 12
	streamTime    = time.Second
	// keptService is the part of the service in calm times that accounts keep while
	// another one floods.
	keptService = 0.95
)

// accountFleet plays the gateways of a service with model engines in virtual time. They tell
// each other their loads every 400 ms with a delay of 400 ms.
type accountFleet struct {
	loop     eventloop.Loop
	random   *rand.Rand
	cores    []*Core
	last     Ticket
	calls    map[Ticket]*accountCall
	inFlight map[route.UpstreamID]int
	reports  map[route.AccountName]*accountReport
	// byArrival leaves out the accounts, so that requests are granted by arrival alone.
	byArrival bool
	// queued is the number of requests that each gateway refused.
	queued map[*Core]int
}

// accountReport is what an account gets. full is the number of its requests that were refused
// because three engines did not take them.
type accountReport struct {
	fleetReport
	full int
}

type accountCall struct {
	gateway *Core
	account route.AccountName
	request Request
	asked   time.Time
}

// accountLoad is what an account asks for.
type accountLoad struct {
	name route.AccountName
	// rate is the number of requests per second, and tokens the prompt's own part.
	rate   float64
	tokens int
	// until is when the account stops, or zero.
	until time.Duration
}

func newAccountFleet(gateways int, seed uint64) *accountFleet {
	v := engines(sharedEngines)
	v.Table.Services[0].Engine.BatchSize = sharedBatch
	v.Table.Index()
	f := &accountFleet{
		loop: eventloop.Loop{Now: start}, random: rand.New(rand.NewPCG(seed, 3)), calls: map[Ticket]*accountCall{},
		inFlight: map[route.UpstreamID]int{}, reports: map[route.AccountName]*accountReport{}, queued: map[*Core]int{},
	}
	for n := range gateways {
		c := newCore(v, gateways)
		c.DataCentre, c.Seed = route.DataCentre("abc"[n%3:n%3+1]), f.random.Uint64()
		f.handle(c, Membership{Count: gateways, Rank: n, LivePeers: gateways - 1})
		f.cores = append(f.cores, c)
	}
	return f
}

// play runs the fleet and returns the part of each account's requests that is answered in
// time.
func (f *accountFleet) play(t *testing.T, d time.Duration, loads []accountLoad) map[route.AccountName]float64 {
	for n, c := range f.cores {
		name := fmt.Sprint(n)
		f.loop.Every(tickInterval, time.Duration(n)*time.Millisecond, func() { f.handle(c, Ticked{}) })
		f.loop.Every(reportDelay, time.Duration(n)*37*time.Millisecond, func() {
			report := PeerLoads{Gateway: name, Loads: c.Loads()}
			f.loop.After(reportDelay, func() {
				for _, o := range f.cores {
					if o != c {
						f.handle(o, report)
					}
				}
			})
		})
	}
	for _, l := range loads {
		f.reports[l.name] = &accountReport{}
		f.arrive(l)
	}
	f.loop.RunUntil(start.Add(d))
	served := map[route.AccountName]float64{}
	for _, l := range loads {
		r := f.reports[l.name]
		served[l.name] = r.attained()
		t.Logf("%s at %.1f/s: %d asked, %.4f in time, %d late, %d refused, %d of them by engines", l.name, l.rate, r.asked, r.attained(), r.late, r.refused, r.full)
	}
	for n, c := range f.cores {
		t.Logf("gateway %d refused %d", n, f.queued[c])
	}
	return served
}

func (f *accountFleet) arrive(l accountLoad) {
	f.loop.After(time.Duration(f.random.ExpFloat64()/l.rate*float64(time.Second)), func() {
		if l.until > 0 && f.loop.Now.Sub(start) > l.until {
			return
		}
		defer f.arrive(l)
		f.reports[l.name].asked++
		r := question(PartID(f.random.Uint64()))
		r.Deadline = f.loop.Now.Add(10 * time.Second)
		if !f.byArrival {
			r.Account = l.name
		}
		r.Objective = 2500 * time.Millisecond
		r.Prompt[1].Tokens = l.tokens
		f.send(&accountCall{f.cores[f.random.IntN(len(f.cores))], l.name, r, f.loop.Now})
	})
}

func (f *accountFleet) send(call *accountCall) {
	f.last++
	f.calls[f.last] = call
	f.handle(call.gateway, Enqueue{f.last, call.request})
}

func (f *accountFleet) handle(c *Core, m Message) {
	for _, e := range c.Handle(f.loop.Now, m) {
		switch e := e.(type) {
		case Grant:
			f.run(e)
		case Refuse:
			f.queued[c]++
			f.reports[f.calls[e.Ticket].account].refused++
			delete(f.calls, e.Ticket)
		}
	}
}

// run plays a granted request. An engine that is full says so.
func (f *accountFleet) run(g Grant) {
	call, id := f.calls[g.Ticket], g.Upstream.ID
	delete(f.calls, g.Ticket)
	report := f.reports[call.account]
	f.loop.After(time.Millisecond, func() {
		if f.inFlight[id] >= sharedBatch {
			f.handle(call.gateway, Done{g.Ticket, Full})
			if len(call.request.Tried) < 2 {
				call.request.Tried = append(call.request.Tried, id)
				f.send(call)
				return
			}
			report.refused++
			report.full++
			return
		}
		f.inFlight[id]++
		f.loop.After(g.Expected, func() {
			f.handle(call.gateway, ResponseStarted{g.Ticket})
			if f.loop.Now.Sub(call.asked) <= call.request.Objective {
				report.inTime++
			} else {
				report.late++
			}
		})
		f.loop.After(g.Expected+streamTime, func() {
			f.inFlight[id]--
			f.handle(call.gateway, Done{g.Ticket, Served})
		})
	})
}

// With one account at ten times its usual load and the engines full, the others keep 0.95 of
// the service that they get in calm times, also a rarely asked one and one with large prompts,
// and when the flood stops halfway.
func TestFloodOfOneAccountIsBorneByIt(t *testing.T) {
	for _, gateways := range []int{1, 3} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprint(gateways, "/", seed), func(t *testing.T) { checkFlood(t, gateways, seed) })
		}
	}
}

// The same holds with more gateways, each of which has few places in flight.
func TestFloodAtManyGateways(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { checkFlood(t, 8, seed) })
	}
}

// By arrival alone the flood takes the service of the others, or the tests above would show
// nothing.
func TestFloodIsBorneByAllIfServedByArrival(t *testing.T) {
	f := newAccountFleet(3, 0)
	f.byArrival = true
	served := f.play(t, time.Minute, accountLoads(10, 0))
	for _, name := range []route.AccountName{"a", "b", "c", "d"} {
		assert.Check(t, served[name] < 0.8, "%s gets %.4f", name, served[name])
	}
}

// accountLoads returns the loads of all accounts, with one at a multiple of its usual load
// until it stops.
func accountLoads(factor float64, until time.Duration) []accountLoad {
	return []accountLoad{
		{name: "a", rate: 8, tokens: 1_110},
		{name: "b", rate: 8, tokens: 1_110},
		{name: "c", rate: 8, tokens: 1_110},
		{name: "d", rate: 8, tokens: 1_110},
		{name: "rare", rate: 0.3, tokens: 1_110},
		{name: "large", rate: 1, tokens: 9_000},
		{name: "flood", rate: 8 * factor, tokens: 1_110, until: until},
	}
}

func checkFlood(t *testing.T, gateways int, seed uint64) {
	before := newAccountFleet(gateways, seed).play(t, time.Minute, accountLoads(1, 0))
	for _, until := range []time.Duration{0, 30 * time.Second} {
		f := newAccountFleet(gateways, seed)
		during := f.play(t, time.Minute, accountLoads(10, until))
		for name, served := range before {
			if name != "flood" {
				assert.Check(t, during[name] >= keptService*served, "%s gets %.4f, and %.4f in calm times", name, during[name], served)
			}
		}
		assert.Check(t, f.reports["flood"].refused > 0, "the engines were not full")
	}
}
