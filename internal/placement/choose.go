package placement

import (
	"slices"
	"time"

	"jasminewing.dev/jasminewing/internal/route"
)

const (
	// minFirstEventTime is the least time to the first event of an answer of an engine
	// that has nothing else to do.
	minFirstEventTime = 100 * time.Millisecond
	// prefillTokensPerSecond is the prompt tokens that an engine reads in a second, and
	// pairTime the time that it takes for each million pairs of a token and one
	// before it, until it shows otherwise.
	prefillTokensPerSecond = 55_000.0
	timePerMillionPairs    = 550 * time.Microsecond
	// plainResponseTime is the usual time of a plain upstream's answer.
	plainResponseTime = 30 * time.Millisecond
	// crossDataCentreCost is what a kilobyte between data centres is worth in waiting time.
	// Such bytes are charged.
	//
	// againCost is what a thousand prompt tokens are worth that an engine reads
	// though another holds them. They are charged too, and at high load an engine
	// that reads again what it could have had delays all its streams, so that
	// more requests leave for others: the load then feeds itself.
	crossDataCentreCost = 5 * time.Millisecond
	recomputeCost       = 1500 * time.Millisecond
	// fetchCost is what it costs to fetch a thousand tokens from their holder.
	fetchCost = 1200 * time.Millisecond
	// secondChoiceFactor is the part of againCost that counts at the second choice for a
	// prompt, where all gateways go first when the first choice is busy.
	secondChoiceFactor = 0.6
	// lateThreshold is the part of its objective from which a wait is likely to miss
	// it, and lateCost how many times the wait beyond that counts.
	lateThreshold = 0.6
	lateFactor    = 6.0
	// failureCost is what a sure failure costs, in objectives.
	failureCost = 3.0
	// shortOnLongCost is what it costs to send a short prompt to an engine that reads
	// long ones, and mixingCost the other way round: a long prompt delays all
	// streams of the engine.
	shortOnLongCost = 250 * time.Millisecond
	longOnShortCost = 1500 * time.Millisecond
	// memoryFraction is the part of an engine's memory that running requests may
	// take in the estimate.
	memoryFraction = 0.9
)

// choice is an upstream for a request.
type choice struct {
	// member is nil if there is none.
	member *member
	// expected is the time in which the answer is expected to begin.
	expected time.Duration
	load     projectedLoad
}

func (ch choice) kvSource() string {
	if ch.load.holder == nil {
		return ""
	}
	return ch.load.holder.upstream.Address
}

// choose gives the best upstream that can take a request now.
func (c *Core) choose(now time.Time, r *Request) choice {
	var best choice
	if r.Deadline.Sub(now) < minTimeLeft {
		return best
	}
	p := c.preferenceFor(now, r)
	var least time.Duration
	for _, m := range c.members {
		if !m.eligible(r.Service) {
			continue
		}
		w := c.projectLoad(now, m, r, p)
		if !c.available(now, m, r, w) {
			continue
		}
		wait, cost := c.cost(now, m, r, p, w)
		if best.member == nil || cost < least || cost == least && m.upstream.ID < best.member.upstream.ID {
			least = cost
			best = choice{member: m, expected: wait, load: w}
		}
	}
	return best
}

// eligible says that the upstream may get requests of a service at all.
func (m *member) eligible(s route.ServiceName) bool {
	return m.upstream.Service == s && !m.upstream.Leaving && !m.dataCentreOut && m.service != nil
}

// projectedLoad is what an upstream has to do for all gateways, and the tokens that it
// would read for one request more.
type projectedLoad struct {
	Load
	// holder is the engine to fetch prompt parts from; nil for none.
	holder *member
	// prefillTokens and fetchedTokens are the prompt tokens of the request that the upstream
	// would read, and fetch from the holder.
	prefillTokens, fetchedTokens int
}

func (c *Core) projectLoad(now time.Time, m *member, r *Request, p preference) projectedLoad {
	sum := c.peerLoad(now, m.key)
	sum.InFlight += m.inFlight
	sum.WaitingTokens += m.waitingTokens
	sum.MemoryTokens += m.memoryTokens
	w := projectedLoad{Load: sum, prefillTokens: m.cache.missingTokens(r.Prompt)}
	if e := m.service.Engine; e != nil && e.CanFetch() && p.holder != nil && m != p.holder {
		w.holder = p.holder
		w.fetchedTokens = max(w.prefillTokens-p.uncachedTokens, 0)
		w.prefillTokens -= w.fetchedTokens
	}
	return w
}

// available says that an allowed upstream may get the request now.
func (c *Core) available(now time.Time, m *member, r *Request, w projectedLoad) bool {
	if now.Before(m.avoidedUntil) || slices.Contains(r.Tried, m.upstream.ID) || !m.admitsCold(now, c.coldSchedule()) {
		return false
	}
	if connections := m.service.MaxConnections; connections > 0 && float64(m.inFlight) >= float64(connections)/c.gatewayEstimate() {
		return false
	}
	e := m.service.Engine
	if e == nil {
		return w.InFlight < max(m.upstream.Slots, 1)+plainQueueDepth
	}
	return w.InFlight < e.BatchSize &&
		(w.InFlight == 0 || float64(w.MemoryTokens+w.prefillTokens+w.fetchedTokens+r.OutputTokens) <= memoryFraction*float64(e.MemoryTokens))
}

// peerLoad sums what other gateways have in flight at an upstream. Of many
// gateways only some were heard lately: they stand for all.
func (c *Core) peerLoad(now time.Time, key LoadKey) Load {
	var sum Load
	fresh := 0
	for _, h := range c.peerReports {
		if now.Sub(h.at) > peerReportTTL {
			continue
		}
		fresh++
		l := h.loads[key]
		sum.InFlight += l.InFlight
		sum.WaitingTokens += l.WaitingTokens
		sum.MemoryTokens += l.MemoryTokens
	}
	if fresh > 0 && fresh < c.livePeers {
		sum = sum.scaled(float64(c.livePeers) / float64(fresh))
	}
	return sum
}

// cost gives the time in which the answer is expected to begin, and what the
// choice costs in all, as a time.
func (c *Core) cost(now time.Time, m *member, r *Request, p preference, w projectedLoad) (wait, cost time.Duration) {
	if m.service.Engine == nil {
		wait = plainResponseTime * time.Duration(1+w.InFlight/max(m.upstream.Slots, 1))
		// Among free upstreams, the one with the fewest requests.
		cost = time.Millisecond * time.Duration(w.InFlight)
	} else {
		wait = minFirstEventTime + prefillTime(w.prefillTokens, p.tokens) + prefillTime(w.WaitingTokens, 0)
		if w.fetchedTokens > 0 {
			wait += m.service.Engine.FetchTime(w.fetchedTokens)
		}
		cost = engineCost(m, r, p, w)
	}
	wait = time.Duration(float64(wait)*m.slowdown) + m.overdue(now)
	cost += wait + time.Duration(lateFactor*max(float64(wait)-lateThreshold*float64(r.Objective), 0))
	if m.upstream.DataCentre != c.DataCentre {
		cost += crossDataCentreCost * time.Duration(r.Bytes) / 1024
	}
	cost += time.Duration(failureCost * m.failureRate * float64(r.Objective))
	return wait, cost
}

// engineCost gives what others pay for the choice of an engine: parts that are
// read again, and streams that a long prompt delays.
func engineCost(m *member, r *Request, p preference, w projectedLoad) time.Duration {
	var cost time.Duration
	if m.upstream.ID != p.first {
		recomputed := m.cache.missingTokens(sharedParts(r.Prompt)) - w.fetchedTokens
		cost = recomputeCost*time.Duration(max(recomputed, 0))/1000 + fetchCost*time.Duration(w.fetchedTokens)/1000
	}
	if m.upstream.ID == p.second {
		cost = time.Duration(secondChoiceFactor * float64(cost))
	}
	switch {
	case p.short && !m.reservedForShort:
		cost += shortOnLongCost
	case !p.short && m.reservedForShort:
		cost += longOnShortCost
	}
	return cost
}

// prefillTime is the time in which an engine reads prompt tokens that end a context.
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

// overdue gives how late the latest answer of the upstream is.
func (m *member) overdue(now time.Time) time.Duration {
	var late time.Duration
	for _, p := range m.unanswered {
		late = max(late, now.Sub(p.sent)-p.expected)
	}
	return late
}
