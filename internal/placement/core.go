package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"jasminewing.dev/jasminewing/internal/route"
	"jasminewing.dev/jasminewing/pkg/result"
)

const (
	// gatewaysUnheard is the number of gateways that is assumed before any was
	// heard of; a platform starts all within a second.
	gatewaysUnheard = 12
	// gatewaysMargin is added to the gateways that are known, for one that just
	// started.
	gatewaysMargin = 1
	// heardFor is how long what another gateway told counts.
	heardFor = 2 * time.Second
	// waitShare is the part of its objective that a request may wait unsent.
	waitShare = 0.6
	// leastLeft is the least time before a deadline in which a send is worth it.
	leastLeft = 30 * time.Millisecond
	// returnShare is the part of its time left after which a refused caller is
	// asked back; callers heed up to a third.
	returnShare = 0.2
	// returnMost bounds that wait.
	returnMost = 1500 * time.Millisecond
)

// Core decides for one gateway. Set the exported fields before use.
type Core struct {
	DataCentre route.DataCentre
	// Seed spreads what gateways would else do at the same moment.
	Seed uint64
	// Cold bounds what a cold upstream gets from all gateways.
	Cold ColdBounds

	members map[route.UpstreamID]*member
	waiting []*asked
	placed  map[Ticket]*placed
	heard   map[string]heardLoads
	// gateways is the number of gateways, rank this one's among them; peers are
	// those that are heard from.
	gateways, rank, peers int
	draws                 uint64
}

type heardLoads struct {
	at    time.Time
	loads map[LoadKey]Load
}

// asked is a request that waits.
type asked struct {
	ticket  Ticket
	request Request
	since   time.Time
}

// placed is a request at an upstream.
type placed struct {
	member *member
	sent   time.Time
	// expected is when the answer is expected to begin, after sent.
	expected time.Duration
	uncached int
	memory   int
	begun    bool
}

// Handle takes one message and returns what is to be done.
func (c *Core) Handle(now time.Time, m Message) []Effect {
	c.init()
	var out []Effect
	switch m := m.(type) {
	case Published:
		c.publish(now, m.View)
	case Ask:
		c.waiting = append(c.waiting, &asked{ticket: m.Ticket, request: m.Request, since: now})
	case Begun:
		c.begin(now, m.Ticket)
	case Done:
		out = c.end(now, m.Ticket, m.Outcome)
	case Withdrawn:
		c.waiting = slices.DeleteFunc(c.waiting, func(a *asked) bool { return a.ticket == m.Ticket })
	case Heard:
		c.heard[m.Gateway] = heardLoads{now, m.Loads}
	case Gateways:
		c.gateways, c.rank, c.peers = m.Count, m.Rank, m.Others
	}
	return append(out, c.serve(now)...)
}

func (c *Core) init() {
	if c.members == nil {
		c.members = make(map[route.UpstreamID]*member)
		c.placed = make(map[Ticket]*placed)
		c.heard = make(map[string]heardLoads)
	}
}

// publish takes over a view. An upstream that started again is a new one.
func (c *Core) publish(now time.Time, v *route.View) {
	present := make(map[route.UpstreamID]bool, len(v.Upstreams))
	for _, u := range v.Upstreams {
		present[u.ID] = true
		held := c.members[u.ID]
		if held == nil || held.upstream.Born != u.Born || held.upstream.Address != u.Address {
			held = &member{cache: newPartCache(), key: LoadKeyOf(u.ID)}
			c.members[u.ID] = held
		}
		held.publish(now, u, v)
	}
	for id := range c.members {
		if !present[id] {
			delete(c.members, id)
		}
	}
	c.assignShort()
}

// begin notes that an answer began.
func (c *Core) begin(now time.Time, t Ticket) {
	p := c.placed[t]
	if p == nil || p.begun {
		return
	}
	p.begun = true
	p.member.waitingTokens -= p.uncached
	delete(p.member.unanswered, t)
	p.member.learnSpeed(now.Sub(p.sent), p.expected)
}

// end notes how a send ended.
func (c *Core) end(now time.Time, t Ticket, o Outcome) []Effect {
	p := c.placed[t]
	if p == nil {
		return nil
	}
	c.begin(now, t)
	delete(c.placed, t)
	m := p.member
	m.inFlight--
	m.memory -= p.memory
	if avoid := m.learnOutcome(now, o); avoid > 0 {
		return []Effect{Avoided{m.upstream.ID, avoid, o}}
	}
	return nil
}

// serve grants to those who wait, the most urgent first, and refuses those who
// have waited too long.
func (c *Core) serve(now time.Time) []Effect {
	if len(c.waiting) == 0 {
		return nil
	}
	slices.SortStableFunc(c.waiting, func(a, b *asked) int {
		return cmp.Or(cmp.Compare(a.request.Priority, b.request.Priority), a.since.Compare(b.since))
	})
	var out []Effect
	left := c.waiting[:0]
	for _, a := range c.waiting {
		e := c.decide(now, a)
		if e == nil {
			left = append(left, a)
			continue
		}
		out = append(out, e)
	}
	clear(c.waiting[len(left):])
	c.waiting = left
	return out
}

// decide gives the effect for one that waits; nil to wait on.
func (c *Core) decide(now time.Time, a *asked) Effect {
	r := &a.request
	if ch := c.choose(now, r); ch.member != nil {
		c.place(now, a, ch)
		return Grant{a.ticket, ch.member.upstream, ch.expected, ch.source()}
	}
	patience := time.Duration(waitShare * float64(r.Objective))
	if now.Sub(a.since) >= patience || r.Deadline.Sub(now) < leastLeft {
		return Refuse{a.ticket, c.reason(r), ReturnAfter(r.Deadline.Sub(now), c.draw())}
	}
	return nil
}

// reason says why nothing took a request.
func (c *Core) reason(r *Request) result.Code {
	for _, m := range c.members {
		if m.upstream.Service == r.Service && !m.upstream.Leaving {
			return result.QueueFull
		}
	}
	return result.NoUpstream
}

// ReturnAfter gives when a caller that was refused with some time left may come
// back. A draw that differs between callers spreads them, between half of the
// usual wait and one and a half.
func ReturnAfter(left time.Duration, draw uint64) time.Duration {
	wait := min(time.Duration(returnShare*float64(left)), returnMost)
	return max(wait/2+time.Duration(draw%1000)*wait/1000, 0)
}

// draw gives the next of a row of numbers that differ between gateways.
func (c *Core) draw() uint64 {
	c.draws++
	var b [16]byte
	for i := range 8 {
		b[i] = byte(c.Seed >> (8 * i))
		b[8+i] = byte(c.draws >> (8 * i))
	}
	return xxhash.Sum64(b[:])
}

func (c *Core) place(now time.Time, a *asked, ch choice) {
	m := ch.member
	p := &placed{member: m, sent: now, expected: ch.expected}
	p.uncached = ch.work.reads
	p.memory = ch.work.reads + ch.work.fetched + a.request.OutputTokens
	m.inFlight++
	m.memory += p.memory
	m.waitingTokens += p.uncached
	m.unanswered[a.ticket] = p
	m.cache.add(a.request.Prompt)
	m.spendCold(now, c.coldTurns())
	c.placed[a.ticket] = p
}

// Loads gives what this gateway has in flight, for the others.
func (c *Core) Loads() map[LoadKey]Load {
	out := make(map[LoadKey]Load)
	for _, m := range c.members {
		if m.inFlight > 0 {
			out[m.key] = Load{m.inFlight, m.waitingTokens, m.memory}
		}
	}
	return out
}

// Waiting gives the number of requests that wait.
func (c *Core) Waiting() int { return len(c.waiting) }

// divisor is the number of gateways that share a bound of the whole fleet.
func (c *Core) divisor() float64 {
	if c.gateways == 0 {
		return gatewaysUnheard
	}
	return float64(c.gateways + gatewaysMargin)
}
