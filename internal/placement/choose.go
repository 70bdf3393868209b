package placement

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"jasminewing.dev/jasminewing/internal/route"
)

const (
	// firstTime is the least time to the first event of an answer of an engine
	// that has nothing else to do.
	firstTime = 100 * time.Millisecond
	// readRate is the prompt tokens that an engine reads in a second until it
	// shows otherwise.
	readRate = 50_000.0
	// plainTime is the usual time of a plain upstream's answer.
	plainTime = 30 * time.Millisecond
	// farCost is what a kilobyte between data centres is worth in waiting time,
	// and againCost what a thousand prompt tokens are worth that an engine reads
	// though another holds them. Both are charged: the tokens some ten to seventy
	// times as much as the kilobyte.
	farCost   = 3 * time.Millisecond
	againCost = 50 * time.Millisecond
	// failCost is what a sure failure costs, in objectives.
	failCost = 3.0
	// secondCost is the part of againCost that counts at the second choice for a
	// prompt, where all gateways go first when the first choice is busy.
	secondCost = 0.8
	// memoryShare is the part of an engine's memory that running requests may
	// take in the estimate.
	memoryShare = 0.9
)

// choose gives the best upstream that can take a request now, and the time in
// which its answer is expected to begin; nil if there is none.
func (c *Core) choose(now time.Time, r *Request) (*member, time.Duration) {
	if r.Deadline.Sub(now) < leastLeft {
		return nil, 0
	}
	first, second := c.preferred(r)
	var best *member
	var least, expected time.Duration
	for _, m := range c.members {
		if !c.usable(now, m, r) {
			continue
		}
		wait, cost := c.cost(now, m, r, first, second)
		if best == nil || cost < least || cost == least && m.upstream.ID < best.upstream.ID {
			best, least, expected = m, cost, wait
		}
	}
	return best, expected
}

// allowed says that the upstream may get requests of a service at all.
func (m *member) allowed(s route.ServiceName) bool {
	return m.upstream.Service == s && !m.upstream.Leaving && !m.out && m.service != nil
}

// usable says that an upstream may get the request now.
func (c *Core) usable(now time.Time, m *member, r *Request) bool {
	if !m.allowed(r.Service) || now.Before(m.avoided) || slices.Contains(r.Tried, m.upstream.ID) {
		return false
	}
	if _, bears := m.cold(now, c.divisor()); !bears {
		return false
	}
	others := c.others(now, m.upstream.ID)
	inFlight := m.inFlight + others.InFlight
	if connections := m.service.MaxConnections; connections > 0 && float64(m.inFlight) >= float64(connections)/c.divisor() {
		return false
	}
	e := m.service.Engine
	if e == nil {
		return inFlight < max(m.upstream.Slots, 1)+plainQueue
	}
	need := m.cache.missing(r.Prompt) + r.OutputTokens
	return inFlight < e.Batch &&
		(inFlight == 0 || float64(m.memory+others.MemoryTokens+need) <= memoryShare*float64(e.MemoryTokens))
}

// others sums what other gateways have in flight at an upstream.
func (c *Core) others(now time.Time, id route.UpstreamID) Load {
	var sum Load
	for _, h := range c.heard {
		if now.Sub(h.at) > heardFor {
			continue
		}
		l := h.loads[id]
		sum.InFlight += l.InFlight
		sum.WaitingTokens += l.WaitingTokens
		sum.MemoryTokens += l.MemoryTokens
	}
	return sum
}

// cost gives the time in which the answer is expected to begin, and what the
// choice costs in all, as a time.
func (c *Core) cost(now time.Time, m *member, r *Request, first, second route.UpstreamID) (wait, cost time.Duration) {
	others := c.others(now, m.upstream.ID)
	var again time.Duration
	if m.service.Engine == nil {
		rounds := (m.inFlight + others.InFlight) / max(m.upstream.Slots, 1)
		wait = plainTime * time.Duration(1+rounds)
		// Among free upstreams, the one with the fewest requests.
		again = time.Millisecond * time.Duration(m.inFlight+others.InFlight)
	} else {
		missing := m.cache.missing(r.Prompt)
		wait = firstTime + reading(missing+m.waitingTokens+others.WaitingTokens)
		if m.upstream.ID != first {
			again = againCost * time.Duration(m.cache.missing(r.Prompt[:max(len(r.Prompt)-1, 0)])) / 1000
		}
		if m.upstream.ID == second {
			again = time.Duration(secondCost * float64(again))
		}
	}
	cost = time.Duration(float64(wait)*m.slow) + again + m.overdue(now)
	if m.upstream.DataCentre != c.DataCentre {
		cost += farCost * time.Duration(r.Bytes) / 1024
	}
	cost += time.Duration(failCost * m.failing * float64(r.Objective))
	return wait, cost
}

// reading is the time in which an engine reads prompt tokens.
func reading(tokens int) time.Duration {
	return time.Duration(float64(tokens) / readRate * float64(time.Second))
}

// overdue gives how late the latest answer of the upstream is.
func (m *member) overdue(now time.Time) time.Duration {
	var late time.Duration
	for _, p := range m.unanswered {
		if !p.begun {
			late = max(late, now.Sub(p.sent)-p.expected)
		}
	}
	return late
}

// preferred gives the first and second choice for a prompt's shared parts: the
// same at all gateways, so that an engine that one of them made read a part has
// it for the requests of all.
func (c *Core) preferred(r *Request) (first, second route.UpstreamID) {
	if len(r.Prompt) == 0 {
		return "", ""
	}
	// The part before the last is the most specific that requests share.
	key := strconv.FormatUint(uint64(r.Prompt[max(len(r.Prompt)-2, 0)].ID), 16)
	var most, next uint64
	for _, m := range c.members {
		if !m.allowed(r.Service) {
			continue
		}
		id := m.upstream.ID
		switch h := xxhash.Sum64String(key + "/" + string(id)); {
		case first == "" || h > most:
			second, next = first, most
			first, most = id, h
		case second == "" || h > next:
			second, next = id, h
		}
	}
	return first, second
}
