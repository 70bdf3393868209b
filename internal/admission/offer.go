package admission

import (
	"slices"
	"time"

	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// Stand-ins for what a class leaves open.
const (
	defaultMaxWait         = 30 * time.Second
	defaultStarvationShare = 10
	minStarvationShare     = 2
	// tailFactor is how many times its estimate an answer may well be long.
	tailFactor = 3
)

type phase int

const (
	parked phase = iota
	granted
	running
)

// offer is an offer from its arrival to its end.
type offer struct {
	Offered
	sequence uint64
	phase    phase
	// cost is what the offer's shares are charged, in tokens.
	cost float64
	// turnCost is what others must have had a share's multiple of for its turn.
	turnCost float64
	class    *share
	account  *share
	lapses   time.Time
	// overdueAt is when the offer's wait passes its class's bound.
	overdueAt time.Time
	// others is how many grants of N go elsewhere between two turns.
	others int
	stamp  stamp
	// load is how many were in flight when the body came.
	load       int
	firstToken bool
}

// due is when the first token should be out.
func (o *offer) due() time.Time {
	if o.Class.FirstToken <= 0 {
		return o.Deadline
	}
	return o.Arrived.Add(o.Class.FirstToken)
}

// bound takes from the class how long the offer may wait without a turn.
func (o *offer) bound() {
	wait, share := o.Class.MaxWait, o.Class.StarvationShare
	if wait <= 0 {
		wait = defaultMaxWait
	}
	if share <= 0 {
		share = defaultStarvationShare
	}
	o.overdueAt = o.Arrived.Add(wait)
	o.others = max(share, minStarvationShare) - 1
}

func (o *offer) overdue(now time.Time) bool { return now.After(o.overdueAt) }

func (o *offer) expired(now time.Time) bool {
	return !o.Deadline.IsZero() && !now.Before(o.Deadline)
}

// inVain says that its deadline would likely cut its answer off: lengths vary,
// and many are some times what is expected.
func (o *offer) inVain(now time.Time, times *timings) bool {
	lasts := tailFactor * times.lasts(o.Class.Name, o.cost)
	return !o.Deadline.IsZero() && now.Add(lasts).After(o.Deadline)
}

// older orders offers by the caller's arrival.
func (o *offer) older(p *offer) bool {
	if !o.Arrived.Equal(p.Arrived) {
		return o.Arrived.Before(p.Arrived)
	}
	return o.sequence < p.sequence
}

func (c *Core) offered(now time.Time, m Offered) {
	if c.offers[m.ID] != nil {
		return
	}
	if code := c.refusing(); code != result.OK {
		c.refuse(m.ID, code, 0)
		return
	}
	if m.Arrived.IsZero() {
		m.Arrived = now
	}
	c.sequence++
	o := &offer{Offered: m, sequence: c.sequence}
	if o.expired(now) {
		c.refuse(m.ID, result.DeadlinePassed, 0)
		return
	}
	o.bound()
	o.cost = c.estimates.guess(o.Class, o.Account, o.Cost)
	o.turnCost = max(o.cost, c.estimates.guess(o.Class, "", o.Cost))
	c.offers[m.ID] = o
	c.queue.add(now, o)
	c.arrived = o
	c.expireBy(o.Deadline)
}

// settle parks an offer that got no grant at once, or makes room for it.
func (c *Core) settle() {
	o := c.arrived
	if o == nil || o.phase != parked {
		return
	}
	if c.queue.parked <= c.MaxParked {
		c.emit(Park{ID: o.ID})
		return
	}
	victim := c.queue.victim(o)
	c.drop(victim)
	if victim == o {
		c.refuse(o.ID, result.SidecarQueueFull, queueRetryAfter)
		return
	}
	c.refuse(victim.ID, result.SidecarEvicted, queueRetryAfter)
	if o.phase == parked {
		c.emit(Park{ID: o.ID})
	}
}

func (c *Core) withdrawn(m Withdrawn) {
	o := c.offers[m.ID]
	if o == nil || o.phase == running {
		return
	}
	c.drop(o)
}

func (c *Core) bodyCame(now time.Time, m BodyCame) {
	o := c.offers[m.ID]
	if o == nil || o.phase != granted {
		return
	}
	// A process that was paused must not act on a grant from before.
	if !now.Before(o.lapses) {
		return
	}
	o.phase = running
	o.load = len(c.inFlight)
	c.limiter.ran(c.runningCount())
}

func (c *Core) runningCount() int {
	n := 0
	for _, o := range c.inFlight {
		if o.phase == running {
			n++
		}
	}
	return n
}

func (c *Core) firstTokenCame(m FirstTokenCame) {
	o := c.offers[m.ID]
	if o == nil || o.phase != running || o.firstToken {
		return
	}
	o.firstToken = true
	if c.limiter.cold || o.stamp.epoch != c.limiter.now.epoch {
		return
	}
	if c.timings.firstToken(o.Class.Name, m.After, o.load) {
		c.turnCold()
	}
}

func (c *Core) finished(m Finished) {
	o := c.offers[m.ID]
	if o == nil || o.phase == parked {
		return
	}
	if o.phase == running {
		c.learn(o, m)
	}
	c.drop(o)
}

// learn takes from a finished request what it tells of lengths and speed.
func (c *Core) learn(o *offer, m Finished) {
	if m.Tokens > 0 {
		o.charge(float64(m.Tokens) - o.cost)
	}
	if m.Clean && !m.Cancelled && m.Tokens > 0 {
		c.estimates.learn(o.Class.Name, o.Account, m.Tokens)
	}
	fresh := o.stamp.epoch == c.limiter.now.epoch
	full := len(c.inFlight) >= c.limiter.unreserved()
	turned := c.limiter.finished(o.stamp, m, c.tightestGap(), full)
	if turned {
		c.turnCold()
		return
	}
	if !fresh || c.limiter.cold || !m.Clean || m.TokenGap <= 0 {
		return
	}
	if c.timings.tokenGap(o.Class.Name, m.TokenGap, max(o.load, len(c.inFlight))) {
		c.turnCold()
	}
}

// tightestGap is the smallest target between tokens of what runs; zero for none.
func (c *Core) tightestGap() time.Duration {
	var tightest time.Duration
	for _, o := range c.inFlight {
		gap := o.Class.TokenGap
		if gap > 0 && (tightest == 0 || gap < tightest) {
			tightest = gap
		}
	}
	return tightest
}

// drop forgets an offer and frees what it held.
func (c *Core) drop(o *offer) {
	switch o.phase {
	case parked:
		c.queue.remove(o)
	case granted:
		o.charge(-o.cost)
		c.land(o)
	case running:
		c.land(o)
	}
	o.release()
	delete(c.offers, o.ID)
}

// land takes an offer off the list of those in flight.
func (c *Core) land(o *offer) {
	if i := slices.Index(c.inFlight, o); i >= 0 {
		c.inFlight = slices.Delete(c.inFlight, i, i+1)
	}
}

// estimated is the class's own bound where nothing better is known.
func estimated(class table.Class, cost table.Tokens) float64 {
	switch {
	case cost > 0:
		return float64(cost)
	case class.MaxTokens > 0:
		return float64(class.MaxTokens)
	}
	return 1
}
