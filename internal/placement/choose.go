package placement

import (
	"slices"
	"time"

	"jasminewing.dev/jasminewing/internal/route"
)

const (
	// minFirstEventTime is the minimum time to the first event of a response from
	// an idle engine.
	minFirstEventTime = 100 * time.Millisecond
	// prefillTokensPerSecond is the number of prompt tokens that an engine is
	// assumed to process per second, and timePerMillionPairs the time that
	// attention takes for each million pairs of a token and an earlier token. The
	// latencies of the service and of the upstream correct both, see member.slowdown.
	prefillTokensPerSecond = 55_000.0
	timePerMillionPairs    = 550 * time.Microsecond
	// plainResponseTime is the typical response time of a plain upstream.
	plainResponseTime = 30 * time.Millisecond
	// crossDataCentreCost is the cost of a kilobyte between data centres, expressed
	// as waiting time. Traffic between data centres is charged.
	//
	// recomputeCost is the cost of processing a thousand prompt tokens on an engine
	// although another engine has them cached. Recomputed tokens are charged too.
	// At high load, recomputing cached tokens also delays all streams of the
	// engine, which moves more requests to other engines, where their prompts are
	// recomputed again: the overload amplifies itself.
	crossDataCentreCost = 5 * time.Millisecond
	recomputeCost       = 1500 * time.Millisecond
	// fetchCost is the cost of fetching a thousand tokens from the engine that
	// holds them.
	fetchCost = 1200 * time.Millisecond
	// secondChoiceFactor scales the recompute and fetch cost for the second choice
	// for a prompt. All gateways fall back to the second choice when the first
	// choice is busy.
	secondChoiceFactor = 0.6
	// lateThreshold is the fraction of the objective above which an expected wait
	// is likely to miss it, and lateFactor the weight of the wait beyond that.
	lateThreshold = 0.6
	lateFactor    = 6.0
	// failureCost is the cost of a certain failure, as a multiple of the objective.
	failureCost = 3.0
	// shortOnLongCost is the cost of sending a short prompt to an engine that
	// processes long prompts, and longOnShortCost the cost of the reverse. Both
	// exist because a long prompt delays all streams of its engine. With large batches,
	// fewer engines are reserved for short prompts and each runs more streams, so
	// that a long one there costs longOnFewShortCost.
	shortOnLongCost    = 250 * time.Millisecond
	longOnShortCost    = 1500 * time.Millisecond
	longOnFewShortCost = 6 * time.Second
	// memoryFraction is the fraction of an engine's memory that the estimated
	// usage of running requests may reach.
	memoryFraction = 0.9
)

// choice is the upstream selected for a request.
type choice struct {
	// member is nil if no upstream is available.
	member *member
	// expected is the expected time until the response starts, and modelled that time
	// without the speed of the upstream.
	expected, modelled time.Duration
	load               projectedLoad
}

func (ch choice) kvSource() string {
	if ch.load.holder == nil {
		return ""
	}
	return ch.load.holder.upstream.Address
}

// choose returns the available upstream with the lowest cost for the request, within
// the limits of admission. Ties go to the smallest upstream ID. If there is none, the request
// may return to an upstream that new requests avoid because it was silent.
func (c *Core) choose(now time.Time, r *Request, l limits) choice {
	ch := c.chooseAvailable(now, r, l)
	if ch.member == nil && len(r.Returnable) > 0 {
		returning := *r
		returning.Only, returning.returning = r.Returnable, true
		ch = c.chooseAvailable(now, &returning, l)
	}
	return ch
}

func (c *Core) chooseAvailable(now time.Time, r *Request, l limits) choice {
	var best choice
	if r.Deadline.Sub(now) < minTimeLeft {
		return best
	}
	if r.Apart != 0 {
		return c.chooseApart(now, r)
	}
	p := c.preferenceFor(now, r)
	var least time.Duration
	for _, m := range c.members {
		if !m.eligible(r.Service) {
			continue
		}
		load := c.projectLoad(m, r, p)
		if !c.available(now, m, r, load) || !l.waitForBest && !l.allow(m, load.Load) {
			continue
		}
		wait, modelled, cost := c.cost(now, m, r, p, load)
		if best.member == nil || cost < least || cost == least && m.upstream.ID < best.member.upstream.ID {
			least = cost
			best = choice{member: m, expected: wait, modelled: modelled, load: load}
		}
	}
	if best.member != nil && !l.allow(best.member, best.load.Load) {
		return choice{}
	}
	return best
}

// chooseApart returns the upstream for requests with a part that may crash upstreams: the
// available one with the highest hash, and a cold one only if there is no other.
func (c *Core) chooseApart(now time.Time, r *Request) choice {
	var best choice
	var bestHash uint64
	bestCold := false
	p := c.preferenceFor(now, r)
	for _, m := range c.members {
		if !m.eligible(r.Service) {
			continue
		}
		load := c.projectLoad(m, r, p)
		if !c.available(now, m, r, load) {
			continue
		}
		h, cold := rendezvousHash(r.Apart, m.hash), now.Before(m.coldUntil)
		if best.member == nil || bestCold && !cold || bestCold == cold && h > bestHash {
			wait, modelled, _ := c.cost(now, m, r, p, load)
			best, bestHash, bestCold = choice{member: m, expected: wait, modelled: modelled, load: load}, h, cold
		}
	}
	return best
}

// eligible reports whether the upstream may receive requests for the service,
// regardless of its load.
func (m *member) eligible(s route.ServiceName) bool {
	return m.upstream.Service == s && !m.leaving() && !m.dataCentreOut && m.service != nil
}

// leaving reports whether the upstream leaves, by its entry or by its own word.
func (m *member) leaving() bool { return m.upstream.Leaving || m.availability.Leaving() }

// resting reports whether the upstream gets no requests for some time, after failures or
// at its own request.
func (m *member) resting(now time.Time) bool {
	return m.avoided(now) || m.availability.PauseLeft(now) > 0
}

// projectedLoad is the load of an upstream from all gateways, and the prompt
// tokens that one more request would add.
type projectedLoad struct {
	Load
	// holder is the engine to fetch prompt parts from, or nil.
	holder *member
	// prefillTokens is the number of prompt tokens of the request that the
	// upstream would process itself, and fetchedTokens the number that it would
	// fetch from the holder.
	prefillTokens, fetchedTokens int
}

func (c *Core) projectLoad(m *member, r *Request, p preference) projectedLoad {
	sum := c.peerLoad(m.key)
	sum.InFlight += m.inFlight
	sum.WaitingTokens += m.waitingTokens
	sum.MemoryTokens += m.memoryTokens
	load := projectedLoad{Load: sum, prefillTokens: m.cache.missingTokens(r.Prompt)}
	if e := m.service.Engine; e != nil && e.CanFetch() && p.holder != nil && m != p.holder {
		load.holder = p.holder
		load.fetchedTokens = max(load.prefillTokens-p.uncachedTokens, 0)
		load.prefillTokens -= load.fetchedTokens
	}
	return load
}

// available reports whether an eligible upstream can take the request now.
func (c *Core) available(now time.Time, m *member, r *Request, load projectedLoad) bool {
	if now.Before(m.avoidedUntil) || now.Before(m.silentUntil) && !r.returning || !m.availability.Allows(now, len(m.unanswered)) || slices.Contains(r.Tried, m.upstream.ID) ||
		len(r.Only) > 0 && !slices.Contains(r.Only, m.upstream.ID) || !m.admitsCold(now, c.coldSchedule()) {
		return false
	}
	if connections := m.service.MaxConnections; connections > 0 && float64(m.inFlight) >= float64(connections)/c.gatewayEstimate() {
		return false
	}
	e := m.service.Engine
	if e == nil {
		return load.InFlight < max(m.upstream.Slots, 1)+plainQueueDepth
	}
	return load.InFlight < e.BatchSize &&
		(load.InFlight == 0 || float64(load.MemoryTokens+load.prefillTokens+load.fetchedTokens+r.OutputTokens) <= memoryFraction*float64(e.MemoryTokens))
}

// cost returns the expected time until the response starts, that time without the speed of
// the upstream, and the total cost of the choice expressed as a duration.
func (c *Core) cost(now time.Time, m *member, r *Request, p preference, load projectedLoad) (wait, modelled, cost time.Duration) {
	if m.service.Engine == nil {
		wait = plainResponseTime * time.Duration(1+load.InFlight/max(m.upstream.Slots, 1))
		// Prefer the upstream with the fewest requests among those with free slots.
		cost = time.Millisecond * time.Duration(load.InFlight)
	} else {
		wait = minFirstEventTime + prefillTime(load.prefillTokens, p.tokens) + prefillTime(load.WaitingTokens, 0)
		if load.fetchedTokens > 0 {
			wait += m.service.Engine.FetchTime(load.fetchedTokens)
		}
		cost = engineCost(m, r, p, load)
	}
	modelled = wait
	wait = time.Duration(float64(wait)*m.slowdown) + m.overdue(now)
	cost += wait + time.Duration(lateFactor*max(float64(wait)-lateThreshold*float64(r.Objective), 0))
	cost += c.crossingPrice(m, r, p)
	cost += time.Duration(failureCost * m.failureRate * float64(r.Objective))
	return wait, modelled, cost
}

// engineCost returns the cost that the choice of an engine imposes on other
// requests: prompt parts that are recomputed or fetched, and streams that a long
// prompt delays.
func engineCost(m *member, r *Request, p preference, load projectedLoad) time.Duration {
	var cost time.Duration
	if m.upstream.ID != p.first {
		recomputed := m.cache.missingTokens(sharedParts(r.Prompt)) - load.fetchedTokens
		cost = recomputeCost*time.Duration(max(recomputed, 0))/1000 + fetchCost*time.Duration(load.fetchedTokens)/1000
	}
	if m.upstream.ID == p.second {
		cost = time.Duration(secondChoiceFactor * float64(cost))
	}
	switch {
	case p.short && !m.reservedForShort:
		cost += shortOnLongCost
	case !p.short && m.reservedForShort:
		cost += longOnShort(m.service.Engine)
	}
	return cost
}

// longOnShort returns the cost of a long prompt on an engine that is reserved for short ones.
func longOnShort(e *route.Engine) time.Duration {
	if e.BatchSize > shortEngineSlots {
		return longOnFewShortCost
	}
	return longOnShortCost
}

// prefillTime estimates how long an engine takes to process the given number of
// tokens at the end of a prompt whose total length is context tokens.
func prefillTime(tokens, context int) time.Duration {
	pairs := float64(tokens) * max(float64(context)-float64(tokens)/2, 0) / 1e6
	return time.Duration(float64(tokens)/prefillTokensPerSecond*float64(time.Second) + pairs*float64(timePerMillionPairs))
}

func countTokens(prompt []Part) int {
	tokens := 0
	for _, p := range prompt {
		tokens += p.Tokens
	}
	return tokens
}

// overdue returns by how much the most overdue response of the upstream exceeds
// its expected start, or zero.
func (m *member) overdue(now time.Time) time.Duration {
	var late time.Duration
	for _, a := range m.unanswered {
		late = max(late, now.Sub(a.sent)-a.expected)
	}
	return late
}
