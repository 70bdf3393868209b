package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"jasminewing.dev/jasminewing/internal/eventloop"
	"jasminewing.dev/jasminewing/internal/placement"
	"jasminewing.dev/jasminewing/internal/route"
)

const (
	serviceName = route.ServiceName("engines")
	// retryWindow is the length of the window of the retry bounds.
	retryWindow = 10 * time.Second
	// gatewaySkew is the sigma of the logarithm of the gateways' shares of callers.
	gatewaySkew = 0.4
)

// Streams of random numbers of a run.
const (
	arrivalStream = iota + 1
	networkStream
	gatewayStream
	crashStream
	withdrawalStream
)

// Run is a load that is played on a site.
type Run struct {
	Site Site
	Load Load
	Seed uint64
	// IgnoreStatements makes the gateways ignore what engines say of themselves.
	IgnoreStatements bool
}

// simulation is the state of a run.
type simulation struct {
	site     *Site
	loop     eventloop.Loop
	view     *route.View
	gateways []*gateway
	// weights are the cumulative shares of the gateways.
	weights         []float64
	engines         []*engine
	engineByID      map[route.UpstreamID]*engine
	engineByAddress map[string]*engine
	network         *rand.Rand
	stats           statistics
	// ignoreStatements is that of the Run.
	ignoreStatements bool
	nextPart         placement.PartID
}

// Play plays the load until the last request has ended.
func (r Run) Play() Report {
	site := r.Site
	sim := &simulation{site: &site, network: rand.New(rand.NewPCG(r.Seed, networkStream)), nextPart: 1 << 32, ignoreStatements: r.IgnoreStatements}
	sim.loop.Now = time.Unix(1_800_000_000, 0)
	sim.stats.kinds = make(map[string]*KindReport)
	sim.addEngines()
	sim.addGateways(r)
	start := sim.loop.Now
	for i := range site.Kinds {
		k := &site.Kinds[i]
		sim.stats.kinds[k.Name] = &KindReport{Name: k.Name}
		sim.generate(r.Load, k, rand.New(rand.NewPCG(r.Seed, arrivalStream+uint64(i)<<8)), start)
	}
	random := rand.New(rand.NewPCG(r.Seed, crashStream))
	for _, c := range r.Load.Crashes {
		sim.loop.At(start.Add(c.At), func() { sim.crash(c, random) })
	}
	random = rand.New(rand.NewPCG(r.Seed, withdrawalStream))
	for _, w := range r.Load.Withdrawals {
		sim.loop.At(start.Add(w.At), func() { sim.withdraw(w, random) })
	}
	longest := time.Duration(0)
	for _, k := range site.Kinds {
		longest = max(longest, k.Deadline)
	}
	sim.loop.RunUntil(start.Add(r.Load.Duration + longest + time.Second))
	return sim.report(r.Load.Duration)
}

func (sim *simulation) addEngines() {
	e := &sim.site.Engine
	table := &route.Table{Services: []route.Service{{Name: serviceName, Engine: &route.Engine{
		BatchSize: e.BatchSize, MemoryTokens: e.MemoryTokens,
		TokenBytes: e.TokenBytes, LinkBitsPerSecond: e.LinkBitsPerSecond,
	}}}}
	table.Index()
	sim.view = &route.View{Table: table, DataCentresOut: map[route.DataCentre]bool{}}
	sim.engineByID = make(map[route.UpstreamID]*engine)
	sim.engineByAddress = make(map[string]*engine)
	known := make(map[placement.PartID]bool)
	for i := range sim.site.Engines {
		u := route.Upstream{
			ID: route.UpstreamID(fmt.Sprintf("engine-%03d", i)), Service: serviceName, Slots: e.BatchSize,
			Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), DataCentre: sim.site.DataCentres[i%len(sim.site.DataCentres)],
		}
		eng := &engine{loop: &sim.loop, model: e, speed: 1, known: known}
		if len(e.Speeds) > 0 {
			eng.speed = e.Speeds[i%len(e.Speeds)]
		}
		sim.engines = append(sim.engines, eng)
		sim.engineByID[u.ID], sim.engineByAddress[u.Address] = eng, eng
		sim.view.Upstreams = append(sim.view.Upstreams, u)
	}
}

func (sim *simulation) addGateways(r Run) {
	random := rand.New(rand.NewPCG(r.Seed, gatewayStream))
	total := 0.0
	for i := range sim.site.Gateways {
		g := &gateway{sim: sim, name: fmt.Sprintf("gateway-%03d", i), calls: make(map[placement.Ticket]*call)}
		g.core = placement.Core{DataCentre: sim.site.DataCentres[i%len(sim.site.DataCentres)], Seed: random.Uint64()}
		g.budget.Bounds = placement.RetryBounds{Ratio: sim.site.Retry.Ratio, Extra: sim.site.Retry.Extra, Window: retryWindow}
		sim.gateways = append(sim.gateways, g)
		total += math.Exp(gatewaySkew * random.NormFloat64())
		sim.weights = append(sim.weights, total)
	}
	for i, g := range sim.gateways {
		g.start(i, random)
	}
}

func (sim *simulation) pickGateway() *gateway {
	x := sim.network.Float64() * sim.weights[len(sim.weights)-1]
	return sim.gateways[sort.SearchFloat64s(sim.weights, x)]
}

// delay returns the one-way delay between data centres.
func (sim *simulation) delay(a, b route.DataCentre) time.Duration {
	if a == b {
		return sameDataCentreDelay
	}
	return sim.site.CrossDataCentre
}

// generate sends the requests of a kind. Arrivals are drawn at the highest rate of
// the load and thinned, so that a change of a burst leaves other requests as they
// are.
func (sim *simulation) generate(l Load, k *Kind, random *rand.Rand, start time.Time) {
	shared := sim.drawSharedParts(k, random)
	highest := l.maxRate(k)
	if highest <= 0 {
		return
	}
	var next func()
	next = func() {
		since := sim.loop.Now.Sub(start)
		if since >= l.Duration {
			return
		}
		r := &request{kind: k, sim: sim, arrived: sim.loop.Now, deadline: sim.loop.Now.Add(k.Deadline)}
		for _, parts := range shared {
			r.prompt = append(r.prompt, parts.pick(random))
		}
		sim.nextPart++
		r.prompt = append(r.prompt, placement.Part{ID: sim.nextPart, Tokens: k.Own.draw(random)})
		r.output = max(k.Events.draw(random), 1) * sim.site.Engine.EventTokens
		r.hint = max(int(float64(r.output)*math.Exp(hintSigma*random.NormFloat64())), 1)
		if random.Float64() < l.rate(k, since)/highest {
			r.start()
		}
		sim.loop.After(time.Duration(random.ExpFloat64()/highest*float64(time.Second)), next)
	}
	sim.loop.After(time.Duration(random.ExpFloat64()/highest*float64(time.Second)), next)
}

// sharedParts are the prompt parts at one position of a kind's prompts.
type sharedParts struct {
	parts   []placement.Part
	weights []float64
}

func (sim *simulation) drawSharedParts(k *Kind, random *rand.Rand) []sharedParts {
	var out []sharedParts
	for _, s := range k.Shared {
		var position sharedParts
		total := 0.0
		for i := range s.Count {
			sim.nextPart++
			position.parts = append(position.parts, placement.Part{ID: sim.nextPart, Tokens: s.Tokens.draw(random)})
			total += math.Pow(float64(i+1), -s.Skew)
			position.weights = append(position.weights, total)
		}
		out = append(out, position)
	}
	return out
}

func (s sharedParts) pick(random *rand.Rand) placement.Part {
	x := random.Float64() * s.weights[len(s.weights)-1]
	return s.parts[sort.SearchFloat64s(s.weights, x)]
}

// crash takes engines down and brings them back.
func (sim *simulation) crash(c Crash, random *rand.Rand) {
	for _, i := range random.Perm(len(sim.engines))[:int(c.Share*float64(len(sim.engines)))] {
		e := sim.engines[i]
		e.crash()
		sim.loop.After(c.Duration, func() { e.down = false })
	}
}

// withdraw makes engines leave and others ask for pauses.
func (sim *simulation) withdraw(w Withdrawal, random *rand.Rand) {
	order := random.Perm(len(sim.engines))
	leaving := int(w.LeavingShare * float64(len(order)))
	pausing := int(w.PausingShare * float64(len(order)))
	for _, i := range order[:leaving] {
		e := sim.engines[i]
		e.leaving = true
		sim.loop.After(w.LeavingFor, e.crash)
	}
	for _, i := range order[leaving : leaving+pausing] {
		e := sim.engines[i]
		e.pause = w.Pause
		sim.loop.After(w.PausingFor, func() { e.pause = 0 })
	}
}

// cachedParts returns the leading parts of a prompt that the engine has cached, and
// their number of tokens.
func (e *engine) cachedParts(prompt []placement.Part) (parts map[placement.PartID]bool, tokens int) {
	parts = make(map[placement.PartID]bool)
	for _, p := range prompt {
		if e.down || !e.cache.touch(p) {
			break
		}
		parts[p.ID] = true
		tokens += p.Tokens
	}
	return parts, tokens
}

// fetchTime returns the transfer time of the cached memory of the given tokens.
func (e *Engine) fetchTime(tokens int) time.Duration {
	if e.LinkBitsPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) * e.TokenBytes * 8 / e.LinkBitsPerSecond * float64(time.Second))
}
