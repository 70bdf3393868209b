package placement

import (
	"slices"
	"time"

	"jasminewing.dev/jasminewing/internal/route"
)

const (
	// firstTime is the least time to the first event of an answer of an engine
	// that has nothing else to do.
	firstTime = 100 * time.Millisecond
	// readRate is the prompt tokens that an engine reads in a second, and
	// pairTime the time that it takes for each million pairs of a token and one
	// before it, until it shows otherwise.
	readRate = 55_000.0
	pairTime = 550 * time.Microsecond
	// plainTime is the usual time of a plain upstream's answer.
	plainTime = 30 * time.Millisecond
	// farCost is what a kilobyte between data centres is worth in waiting time.
	// Such bytes are charged.
	//
	// againCost is what a thousand prompt tokens are worth that an engine reads
	// though another holds them. They are charged too, and at high load an engine
	// that reads again what it could have had delays all its streams, so that
	// more requests leave for others: the load then feeds itself.
	farCost   = 5 * time.Millisecond
	againCost = 1500 * time.Millisecond
	// fetchCost is what it costs to fetch a thousand tokens from their holder.
	fetchCost = 1200 * time.Millisecond
	// secondCost is the part of againCost that counts at the second choice for a
	// prompt, where all gateways go first when the first choice is busy.
	secondCost = 0.6
	// lateFrom is the part of its objective from which a wait is likely to miss
	// it, and lateCost how many times the wait beyond that counts.
	lateFrom = 0.6
	lateCost = 6.0
	// failCost is what a sure failure costs, in objectives.
	failCost = 3.0
	// mixedCost is what it costs to send a short prompt to an engine that reads
	// long ones, and mixingCost the other way round: a long prompt delays all
	// streams of the engine.
	mixedCost  = 250 * time.Millisecond
	mixingCost = 1500 * time.Millisecond
	// memoryShare is the part of an engine's memory that running requests may
	// take in the estimate.
	memoryShare = 0.9
)

// choice is an upstream for a request.
type choice struct {
	// member is nil if there is none.
	member *member
	// expected is the time in which the answer is expected to begin.
	expected time.Duration
	work     work
}

func (ch choice) source() string {
	if ch.work.holder == nil {
		return ""
	}
	return ch.work.holder.upstream.Address
}

// choose gives the best upstream that can take a request now.
func (c *Core) choose(now time.Time, r *Request) choice {
	var best choice
	if r.Deadline.Sub(now) < leastLeft {
		return best
	}
	p := c.prefer(now, r)
	var least time.Duration
	for _, m := range c.members {
		if !m.allowed(r.Service) {
			continue
		}
		w := c.workOf(now, m, r, p)
		if !c.usable(now, m, r, w) {
			continue
		}
		wait, cost := c.cost(now, m, r, p, w)
		if best.member == nil || cost < least || cost == least && m.upstream.ID < best.member.upstream.ID {
			least = cost
			best = choice{member: m, expected: wait, work: w}
		}
	}
	return best
}

// allowed says that the upstream may get requests of a service at all.
func (m *member) allowed(s route.ServiceName) bool {
	return m.upstream.Service == s && !m.upstream.Leaving && !m.out && m.service != nil
}

// work is what an upstream has to do for all gateways, and the tokens that it
// would read for one request more.
type work struct {
	Load
	// holder is the engine to fetch prompt parts from; nil for none.
	holder *member
	// reads and fetched are the prompt tokens of the request that the upstream
	// would read, and fetch from the holder.
	reads, fetched int
}

func (c *Core) workOf(now time.Time, m *member, r *Request, p preference) work {
	sum := c.others(now, m.key)
	sum.InFlight += m.inFlight
	sum.WaitingTokens += m.waitingTokens
	sum.MemoryTokens += m.memory
	w := work{Load: sum, reads: m.cache.missing(r.Prompt)}
	if e := m.service.Engine; e != nil && e.Fetches() && p.holder != nil && m != p.holder {
		w.holder = p.holder
		w.fetched = max(w.reads-p.lacking, 0)
		w.reads -= w.fetched
	}
	return w
}

// usable says that an allowed upstream may get the request now.
func (c *Core) usable(now time.Time, m *member, r *Request, w work) bool {
	if now.Before(m.avoided) || slices.Contains(r.Tried, m.upstream.ID) || !m.bears(now, c.coldTurns()) {
		return false
	}
	if connections := m.service.MaxConnections; connections > 0 && float64(m.inFlight) >= float64(connections)/c.divisor() {
		return false
	}
	e := m.service.Engine
	if e == nil {
		return w.InFlight < max(m.upstream.Slots, 1)+plainQueue
	}
	return w.InFlight < e.Batch &&
		(w.InFlight == 0 || float64(w.MemoryTokens+w.reads+w.fetched+r.OutputTokens) <= memoryShare*float64(e.MemoryTokens))
}

// others sums what other gateways have in flight at an upstream. Of many
// gateways only some were heard lately: they stand for all.
func (c *Core) others(now time.Time, key LoadKey) Load {
	var sum Load
	fresh := 0
	for _, h := range c.heard {
		if now.Sub(h.at) > heardFor {
			continue
		}
		fresh++
		l := h.loads[key]
		sum.InFlight += l.InFlight
		sum.WaitingTokens += l.WaitingTokens
		sum.MemoryTokens += l.MemoryTokens
	}
	if fresh > 0 && fresh < c.peers {
		sum = sum.times(float64(c.peers) / float64(fresh))
	}
	return sum
}

// cost gives the time in which the answer is expected to begin, and what the
// choice costs in all, as a time.
func (c *Core) cost(now time.Time, m *member, r *Request, p preference, w work) (wait, cost time.Duration) {
	if m.service.Engine == nil {
		wait = plainTime * time.Duration(1+w.InFlight/max(m.upstream.Slots, 1))
		// Among free upstreams, the one with the fewest requests.
		cost = time.Millisecond * time.Duration(w.InFlight)
	} else {
		wait = firstTime + reading(w.reads, p.tokens) + reading(w.WaitingTokens, 0)
		if w.fetched > 0 {
			wait += m.service.Engine.FetchTime(w.fetched)
		}
		cost = engineCost(m, r, p, w)
	}
	wait = time.Duration(float64(wait)*m.slow) + m.overdue(now)
	cost += wait + time.Duration(lateCost*max(float64(wait)-lateFrom*float64(r.Objective), 0))
	if m.upstream.DataCentre != c.DataCentre {
		cost += farCost * time.Duration(r.Bytes) / 1024
	}
	cost += time.Duration(failCost * m.failing * float64(r.Objective))
	return wait, cost
}

// engineCost gives what others pay for the choice of an engine: parts that are
// read again, and streams that a long prompt delays.
func engineCost(m *member, r *Request, p preference, w work) time.Duration {
	var cost time.Duration
	if m.upstream.ID != p.first {
		again := m.cache.missing(shared(r.Prompt)) - w.fetched
		cost = againCost*time.Duration(max(again, 0))/1000 + fetchCost*time.Duration(w.fetched)/1000
	}
	if m.upstream.ID == p.second {
		cost = time.Duration(secondCost * float64(cost))
	}
	switch {
	case p.short && !m.short:
		cost += mixedCost
	case !p.short && m.short:
		cost += mixingCost
	}
	return cost
}

// reading is the time in which an engine reads prompt tokens that end a context.
func reading(tokens, context int) time.Duration {
	pairs := float64(tokens) * max(float64(context)-float64(tokens)/2, 0) / 1e6
	return time.Duration(float64(tokens)/readRate*float64(time.Second) + pairs*float64(pairTime))
}

func total(prompt []Part) int {
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
