package simulation

import (
	"math/rand/v2"
	"time"

	"jasminewing.dev/jasminewing/internal/availability"
	"jasminewing.dev/jasminewing/internal/placement"
	"jasminewing.dev/jasminewing/internal/route"
)

const (
	tickInterval     = 20 * time.Millisecond
	exchangeInterval = 400 * time.Millisecond
	// exchangesPerRound is the number of gateways that a gateway exchanges its loads
	// with in an interval.
	exchangesPerRound = 12
	// sameDataCentreDelay is the one-way delay within a data centre.
	sameDataCentreDelay = 200 * time.Microsecond
	// fullRetryDelay bounds the retry delay for callers whose request the engines
	// refused.
	fullRetryDelay = 500 * time.Millisecond
	// inactivityFactor, minInactivity and eventGapFactor are those of package direct.
	inactivityFactor = 3
	minInactivity    = 250 * time.Millisecond
	eventGapFactor   = 4
	// maxUnreachedAttempts is that of package direct.
	maxUnreachedAttempts = 4
	// bytesPerOutputToken is the size of a token of the response on the wire.
	bytesPerOutputToken = 16
)

// gateway runs a placement core.
type gateway struct {
	sim        *simulation
	name       string
	core       placement.Core
	budget     placement.RetryBudget
	calls      map[placement.Ticket]*call
	lastTicket placement.Ticket
}

func (g *gateway) start(index int, random *rand.Rand) {
	sim := g.sim
	g.handle(placement.ViewUpdate{View: sim.view})
	g.handle(placement.Membership{Count: len(sim.gateways), Rank: index, LivePeers: len(sim.gateways) - 1})
	sim.loop.Every(tickInterval, time.Duration(random.Int64N(int64(tickInterval))), func() {
		if g.core.Waiting() > 0 {
			g.handle(placement.Ticked{})
		}
	})
	sim.loop.Every(exchangeInterval, time.Duration(random.Int64N(int64(exchangeInterval))), func() {
		for range min(exchangesPerRound, len(sim.gateways)-1) {
			if other := sim.gateways[random.IntN(len(sim.gateways))]; other != g {
				g.exchange(other)
			}
		}
	})
}

// exchange passes the loads of two gateways to each other.
func (g *gateway) exchange(other *gateway) {
	mine, theirs := g.core.Loads(), other.core.Loads()
	now := g.sim.loop.Now
	mySpeeds, theirSpeeds := g.core.Speeds(now), other.core.Speeds(now)
	g.sim.loop.After(g.sim.delay(g.core.DataCentre, other.core.DataCentre), func() {
		other.handle(placement.PeerLoads{Gateway: g.name, Loads: mine, Speeds: mySpeeds})
		g.handle(placement.PeerLoads{Gateway: other.name, Loads: theirs, Speeds: theirSpeeds})
	})
}

func (g *gateway) handle(m placement.Message) {
	for _, e := range g.core.Handle(g.sim.loop.Now, m) {
		switch e := e.(type) {
		case placement.Grant:
			if c := g.calls[e.Ticket]; c != nil {
				c.send(e)
			}
		case placement.Refuse:
			if c := g.calls[e.Ticket]; c != nil {
				delete(g.calls, e.Ticket)
				c.refuse(e.RetryAfter)
			}
		}
	}
}

// hear passes what an engine says of itself to the placement core.
func (g *gateway) hear(u route.Upstream, s availability.Statement) {
	if !g.sim.ignoreStatements && s != (availability.Statement{}) {
		g.handle(placement.Stated{Incarnation: u.Incarnation(), Statement: s})
	}
}

// call is a request at a gateway.
type call struct {
	request *request
	gateway *gateway
	began   time.Time
	ticket  placement.Ticket
	tried   []route.UpstreamID

	// upstream, engine and task are those of the current attempt.
	upstream    route.Upstream
	engine      *engine
	task        *task
	attempt     int
	sent        bool
	mayHaveRun  bool
	started     bool
	produced    int
	lastEventAt time.Time
}

func (c *call) enqueue() {
	r, g := c.request, c.gateway
	g.lastTicket++
	c.ticket = g.lastTicket
	c.sent = false
	g.calls[c.ticket] = c
	if c.attempt == 0 {
		g.budget.CountRequest(g.sim.loop.Now, serviceName)
	}
	q := placement.Request{
		Service: serviceName, Rank: r.kind.Rank, Objective: r.kind.Objective, Deadline: r.deadline,
		Prompt: r.prompt, OutputTokens: r.hint, Tried: c.tried,
	}
	for _, p := range r.prompt {
		q.Bytes += p.Tokens
	}
	q.Bytes += bytesPerOutputToken * r.hint
	g.handle(placement.Enqueue{Ticket: c.ticket, Request: q})
}

// send sends the request to the engine of a grant.
func (c *call) send(e placement.Grant) {
	sim := c.gateway.sim
	c.sent, c.started = true, false
	c.attempt++
	c.tried = append(c.tried, e.Upstream.ID)
	c.upstream, c.engine = e.Upstream, sim.engineByID[e.Upstream.ID]
	attempt, r := c.attempt, c.request
	t := &task{prompt: r.prompt, output: max(r.output-c.produced, 1), rank: r.kind.Rank}
	c.task = t
	t.onEvent = func() { c.receiveEvent(attempt) }
	t.onEnd = func(completed bool) { c.attemptEnded(attempt, completed) }
	delay := sim.delay(c.gateway.core.DataCentre, e.Upstream.DataCentre)
	if source := sim.engineByAddress[e.KVSource]; source != nil {
		fetched := 0
		t.fetched, fetched = source.cachedParts(r.prompt)
		delay += sim.site.Engine.fetchTime(fetched)
	}
	eng := c.engine
	sim.loop.After(delay, func() {
		if c.current(attempt) {
			sim.stats.countArrival(eng)
		}
		switch {
		case !c.current(attempt):
		case eng.down:
			c.unreached(attempt)
		case !eng.add(t):
			c.engineRefused(attempt)
		}
	})
	c.watchActivity(attempt, max(inactivityFactor*e.Expected, minInactivity, r.kind.Objective))
}

func (c *call) current(attempt int) bool {
	return c.sent && c.attempt == attempt && !c.request.ended && c.request.call == c
}

// watchActivity moves a request that may be retried to another engine if nothing
// arrives in time.
func (c *call) watchActivity(attempt int, wait time.Duration) {
	if !c.request.kind.Resumable || attempt >= c.request.kind.MaxAttempts {
		return
	}
	sim := c.gateway.sim
	since := sim.loop.Now
	sim.loop.After(wait, func() {
		if !c.current(attempt) {
			return
		}
		if c.lastEventAt.After(since) {
			c.watchActivity(attempt, max(eventGapFactor*c.request.kind.Pause, minInactivity))
			return
		}
		if c.gateway.allowRetry() {
			c.engine.remove(c.task)
			c.gateway.handle(placement.Done{Ticket: c.ticket, Outcome: placement.Silent})
			delete(c.gateway.calls, c.ticket)
			c.enqueue()
		}
	})
}

func (g *gateway) allowRetry() bool {
	return g.budget.Spend(g.sim.loop.Now, serviceName, float64(len(g.sim.gateways)+1))
}

func (c *call) receiveEvent(attempt int) {
	if !c.current(attempt) {
		return
	}
	sim := c.gateway.sim
	delay := sim.site.CrossDataCentre
	// Only the head of an answer says it.
	leaving := !c.started && c.engine.leaving
	if !c.started {
		c.started = true
		delay += sim.site.Engine.FirstToken
	}
	c.mayHaveRun = true
	c.produced += sim.site.Engine.EventTokens
	c.lastEventAt = sim.loop.Now.Add(delay)
	sim.loop.After(delay, func() {
		if c.current(attempt) {
			c.gateway.hear(c.upstream, availability.Statement{Leaving: leaving})
			c.gateway.handle(placement.ResponseStarted{Ticket: c.ticket})
			c.request.receiveEvent()
		}
	})
}

func (c *call) attemptEnded(attempt int, completed bool) {
	if !c.current(attempt) {
		return
	}
	delay := c.gateway.sim.site.CrossDataCentre + c.gateway.sim.site.Engine.FirstToken
	c.gateway.sim.loop.After(delay, func() {
		if !c.current(attempt) {
			return
		}
		delete(c.gateway.calls, c.ticket)
		if completed {
			c.gateway.handle(placement.Done{Ticket: c.ticket, Outcome: placement.Served})
			c.request.end(served)
			return
		}
		c.gateway.handle(placement.Done{Ticket: c.ticket, Outcome: placement.Broken})
		r := c.request
		if r.kind.Resumable && attempt < r.kind.MaxAttempts && c.gateway.allowRetry() {
			c.enqueue()
			return
		}
		r.end(failed)
	})
}

// unreached handles an engine that is down. Such attempts are not charged to the
// retry budget.
func (c *call) unreached(attempt int) {
	g := c.gateway
	g.sim.stats.unreached++
	g.handle(placement.Done{Ticket: c.ticket, Outcome: placement.Unreached})
	delete(g.calls, c.ticket)
	if attempt < maxUnreachedAttempts {
		c.enqueue()
		return
	}
	c.refuse(min(c.request.deadline.Sub(g.sim.loop.Now)/10, fullRetryDelay))
}

// engineRefused handles an engine that did not accept the request.
func (c *call) engineRefused(attempt int) {
	g := c.gateway
	g.sim.stats.rejected++
	g.hear(c.upstream, availability.Statement{Leaving: c.engine.leaving, Pause: c.engine.pause})
	g.handle(placement.Done{Ticket: c.ticket, Outcome: placement.Full})
	delete(g.calls, c.ticket)
	r := c.request
	if attempt < r.kind.MaxAttempts && g.allowRetry() {
		c.enqueue()
		return
	}
	c.refuse(min(r.deadline.Sub(g.sim.loop.Now)/10, fullRetryDelay))
}

func (c *call) refuse(retryAfter time.Duration) {
	if c.mayHaveRun {
		c.request.end(failed)
		return
	}
	c.request.refused(retryAfter)
}

// callerLeft cancels the request.
func (c *call) callerLeft() {
	g := c.gateway
	delete(g.calls, c.ticket)
	if !c.sent {
		g.handle(placement.Cancelled{Ticket: c.ticket})
		return
	}
	c.engine.remove(c.task)
	g.handle(placement.Done{Ticket: c.ticket, Outcome: placement.Left})
}
