package placement

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"jasminewing.dev/jasminewing/internal/route"
)

const (
	// assumedGateways is the number of gateways that is assumed before the fleet
	// membership is known. A platform starts all gateways within a second.
	assumedGateways = 12
	// gatewayMargin is added to the number of known gateways to account for a
	// gateway that has just started.
	gatewayMargin = 1
	// maxWaitFraction is the fraction of its objective that a request may wait in
	// the queue.
	maxWaitFraction = 0.6
	// minTimeLeft is the minimum time to the deadline for which a request is still
	// sent.
	minTimeLeft = 30 * time.Millisecond
	// retryAfterFraction is the fraction of the remaining time after which a refused
	// caller is asked to retry. Callers obey a delay of up to a third of
	// the remaining time.
	retryAfterFraction = 0.2
	// maxRetryAfter is the upper limit of the retry delay before jitter.
	maxRetryAfter = 1500 * time.Millisecond
	// minScheduleInterval is the minimum time between two passes over the waiting
	// requests.
	minScheduleInterval = 10 * time.Millisecond
)

// Core makes the placement decisions of one gateway. The exported fields must be
// set before use. A Core is not safe for concurrent use.
type Core struct {
	DataCentre route.DataCentre
	// Seed differs between gateways, so that they don't act in lockstep.
	Seed uint64
	// Cold limits what all gateways together send to a cold upstream.
	Cold ColdBounds

	members map[route.UpstreamID]*member
	// statements holds what upstreams have said of themselves. It outlasts their entries,
	// which may lapse and come back.
	statements map[route.Incarnation]*incarnationState
	waiting    []*waitingRequest
	// shares holds what client accounts use, and keptShares the number of shares after idle
	// ones were last removed.
	shares     map[shareKey]*share
	keptShares int
	// lastScheduled is when the waiting requests were last considered.
	lastScheduled time.Time
	assignments   map[Ticket]*assignment
	peerReports   map[string]peerReport
	// peerLoads is the sum of the reports in peerReports.
	peerLoads map[LoadKey]Load
	// gateways is the number of gateways, gatewayRank the rank of this gateway among
	// them, and livePeers the number of other gateways that are not silent.
	gateways, gatewayRank, livePeers int
	randomCounter                    uint64
	// tiers holds the ranks of each service's recent requests.
	tiers     map[route.ServiceName]*tiers
	crossings crossings
	// speeds holds the mean latency ratio of each service, peerSpeeds the sum of what
	// the other gateways observed of upstreams.
	speeds       map[route.ServiceName]*serviceSpeed
	peerSpeeds   map[LoadKey]Speed
	membersByKey map[LoadKey]*member
	// reweighed are effects that the current message has caused.
	reweighed []Effect
}

// peerReport is the last load report of another gateway.
type peerReport struct {
	at     time.Time
	loads  map[LoadKey]Load
	speeds map[LoadKey]Speed
}

// assignment is a request that was sent to an upstream.
type assignment struct {
	member *member
	sent   time.Time
	// expected is the expected time from sent until the response starts.
	expected time.Duration
	// modelled is that time without the speed of the upstream.
	modelled      time.Duration
	prefillTokens int
	memoryTokens  int
	started       bool
	// quiet reports that the upstream has been counted as silent.
	quiet    bool
	class    capacityClass
	deadline time.Time
	// crossing is why the request was sent to another data centre, and destination the
	// one whose quota it counts towards, or nil.
	crossing    CrossingReason
	destination *destination
	share       *share
}

// Handle processes one message and returns the resulting effects.
func (c *Core) Handle(now time.Time, m Message) []Effect {
	c.init()
	c.stepCrossings(now)
	var out []Effect
	switch m := m.(type) {
	case ViewUpdate:
		c.applyView(now, m.View)
	case Enqueue:
		if e := c.admitAtOnce(now, m); e != nil {
			return []Effect{e}
		}
	case ResponseStarted:
		c.markStarted(now, m.Ticket, true)
	case Quiet:
		out = c.recordQuiet(now, m.Ticket)
	case Done:
		out = c.finish(now, m.Ticket, m.Outcome)
	case Stated:
		out = c.recordStatement(now, m)
	case Cancelled:
		c.waiting = slices.DeleteFunc(c.waiting, func(w *waitingRequest) bool { return w.ticket == m.Ticket })
	case PeerLoads:
		c.expirePeerReports(now)
		c.forgetPeer(m.Gateway)
		c.peerReports[m.Gateway] = peerReport{now, m.Loads, m.Speeds}
		c.addPeerLoads(m.Loads, 1)
		c.addPeerSpeeds(m.Speeds, 1)
		c.updateSpeeds(m.Speeds)
		c.crossings.newsAt = now
	case Membership:
		c.gateways, c.gatewayRank, c.livePeers = m.Count, m.Rank, m.LivePeers
	}
	out = append(out, c.reweighed...)
	c.reweighed = nil
	if _, released := m.(Done); released || now.Sub(c.lastScheduled) >= minScheduleInterval {
		c.lastScheduled = now
		out = append(out, c.schedule(now)...)
	}
	return out
}

func (c *Core) init() {
	if c.members == nil {
		c.members = make(map[route.UpstreamID]*member)
		c.assignments = make(map[Ticket]*assignment)
		c.peerReports = make(map[string]peerReport)
		c.peerLoads = make(map[LoadKey]Load)
		c.tiers = make(map[route.ServiceName]*tiers)
		c.speeds = make(map[route.ServiceName]*serviceSpeed)
		c.peerSpeeds = make(map[LoadKey]Speed)
		c.statements = make(map[route.Incarnation]*incarnationState)
		c.shares = make(map[shareKey]*share)
	}
}

// applyView updates the members from a published view. An upstream that restarted
// or changed its address is treated as a new one.
func (c *Core) applyView(now time.Time, v *route.View) {
	present := make(map[route.UpstreamID]bool, len(v.Upstreams))
	for _, u := range v.Upstreams {
		present[u.ID] = true
		known := c.members[u.ID]
		if known == nil || known.upstream.StartedAtMillis != u.StartedAtMillis || known.upstream.Address != u.Address {
			known = &member{availability: c.availabilityOf(now, u.Incarnation()), cache: newPrefixCache(), key: LoadKeyOf(u.ID), hash: xxhash.Sum64String(string(u.ID))}
			c.members[u.ID] = known
		}
		known.update(now, u, v)
		if known.slowdown == 0 {
			known.slowdown = c.slowdownOf(u.Service)
		}
	}
	c.membersByKey = make(map[LoadKey]*member, len(present))
	for id, m := range c.members {
		if !present[id] {
			delete(c.members, id)
			continue
		}
		c.membersByKey[m.key] = m
	}
	c.forgetStatements(now)
	c.indexCrossings()
	c.reserveShortEngines()
}

// markStarted records that a response started, or that an attempt ended without one.
func (c *Core) markStarted(now time.Time, t Ticket, answered bool) {
	a := c.assignments[t]
	if a == nil || a.started {
		return
	}
	a.started = true
	a.member.waitingTokens -= a.prefillTokens
	delete(a.member.unanswered, t)
	a.member.availability.Answered(now)
	c.recordLatency(now, a, answered)
}

// finish records the outcome of an attempt.
func (c *Core) finish(now time.Time, t Ticket, o Outcome) []Effect {
	a := c.assignments[t]
	if a == nil {
		return nil
	}
	if o == Withdrawn {
		a.member.waitingTokens -= a.prefillTokens
		delete(a.member.unanswered, t)
	} else {
		c.markStarted(now, t, o == Served)
	}
	delete(c.assignments, t)
	a.share.end(now, workOf(a), o != Withdrawn)
	c.observePace(now, a, o)
	m := a.member
	m.inFlight--
	c.crossingEnds(now, a, o)
	m.memoryTokens -= a.memoryTokens
	if a.quiet && o == Silent {
		return nil
	}
	if backoff := m.recordOutcome(now, o); backoff > 0 {
		return []Effect{Avoided{m.upstream.ID, backoff, o}}
	}
	return nil
}

// observePace records how much of its time a request of the least urgent tier needed.
// Requests that ended early for another reason say nothing about it.
func (c *Core) observePace(now time.Time, a *assignment, o Outcome) {
	t := c.tiers[a.class.service]
	if t.position(a.class.rank) < 1 || o != Served && now.Before(a.deadline) {
		return
	}
	t.pace.observe(now.Sub(a.sent), a.deadline.Sub(a.sent))
}

// nextRandom returns the next number of a pseudo-random sequence that differs
// between gateways.
func (c *Core) nextRandom() uint64 {
	c.randomCounter++
	return c.hash(c.randomCounter)
}

// hash returns a hash of a number that differs between gateways.
func (c *Core) hash(n uint64) uint64 {
	var b [16]byte
	for i := range 8 {
		b[i] = byte(c.Seed >> (8 * i))
		b[8+i] = byte(n >> (8 * i))
	}
	return xxhash.Sum64(b[:])
}

func (c *Core) assign(now time.Time, w *waitingRequest, ch choice, crossing CrossingReason) {
	m := ch.member
	a := &assignment{member: m, sent: now, expected: ch.expected, modelled: ch.modelled, deadline: w.request.Deadline, crossing: crossing}
	a.class = capacityClass{w.request.Service, w.request.Rank}
	a.prefillTokens = ch.load.prefillTokens
	a.memoryTokens = ch.load.prefillTokens + ch.load.fetchedTokens + w.request.OutputTokens
	m.inFlight++
	m.memoryTokens += a.memoryTokens
	m.waitingTokens += a.prefillTokens
	m.unanswered[w.ticket] = a
	m.cache.add(w.request.Prompt)
	m.recordColdAttempt(now, c.coldSchedule())
	a.share = c.shareOf(now, &w.request)
	a.share.begin(now, workOf(a))
	c.assignments[w.ticket] = a
	c.crossingBegins(a)
	c.tiers[w.request.Service].granted(w.request.Rank)
}

// Loads returns the load that this gateway has in flight per upstream, to be
// reported to the other gateways.
func (c *Core) Loads() map[LoadKey]Load {
	out := make(map[LoadKey]Load)
	for _, m := range c.members {
		if m.inFlight > 0 {
			out[m.key] = Load{m.inFlight, m.waitingTokens, m.memoryTokens}
		}
	}
	return out
}

// Waiting returns the number of queued requests.
func (c *Core) Waiting() int { return len(c.waiting) }

// gatewayEstimate returns the assumed number of gateways that share a fleet-wide
// bound.
func (c *Core) gatewayEstimate() float64 {
	if c.gateways == 0 {
		return assumedGateways
	}
	return float64(c.gateways + gatewayMargin)
}
