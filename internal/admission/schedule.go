package admission

import (
	"slices"
	"time"

	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// schedule grants while a slot is free.
func (c *Core) schedule(now time.Time) {
	for c.free() {
		ch := c.next(now)
		if ch.offer == nil {
			return
		}
		c.grant(now, ch)
	}
}

// free says that something may be granted.
func (c *Core) free() bool {
	if c.queue.parked == 0 || c.refusing() != result.OK {
		return false
	}
	return len(c.inFlight) < c.limiter.limit()
}

// next chooses the offer that goes next; its offer is nil when none may. A
// tier's turn takes a slot kept for higher tiers all the same, or it might starve.
func (c *Core) next(now time.Time) choice {
	c.queue.suspectRuns = slices.ContainsFunc(c.inFlight, func(o *offer) bool { return o.Suspect })
	slack := float64(c.FairSlack)
	if ch := c.queue.turn(now, slack, &c.timings); ch.offer != nil {
		return ch
	}
	t := c.queue.highest()
	if t == nil || c.kept(now, t.tier) {
		return choice{}
	}
	return choice{offer: c.queue.next(now, t, slack, &c.timings)}
}

// kept says that the slots left are kept for a higher tier that was here lately.
func (c *Core) kept(now time.Time, t table.Tier) bool {
	if len(c.inFlight) < c.limiter.unreserved() {
		return false
	}
	return c.queue.higherSince(t, now.Add(-reserveWindow))
}

func (c *Core) grant(now time.Time, ch choice) {
	o := ch.offer
	c.queue.took(ch)
	c.queue.remove(o)
	if !ch.turn {
		o.class.serve()
		o.account.serve()
	}
	o.charge(o.cost)
	o.phase = granted
	o.lapses = now.Add(c.GrantLapse)
	o.stamp = c.limiter.now
	c.inFlight = append(c.inFlight, o)
	c.expireBy(o.lapses)
	c.emit(Grant{ID: o.ID})
}

// expireBy makes sure that expire looks again at t.
func (c *Core) expireBy(t time.Time) {
	if t.IsZero() {
		return
	}
	if c.nextExpiry.IsZero() || t.Before(c.nextExpiry) {
		c.nextExpiry = t
	}
}

// expire refuses grants that nobody took and parked offers past their deadline.
func (c *Core) expire(now time.Time) {
	if c.nextExpiry.IsZero() || now.Before(c.nextExpiry) {
		return
	}
	c.nextExpiry = time.Time{}
	var lapsed, late []*offer
	for _, o := range c.inFlight {
		switch {
		case o.phase != granted:
		case now.Before(o.lapses):
			c.expireBy(o.lapses)
		default:
			lapsed = append(lapsed, o)
		}
	}
	for _, t := range c.queue.tiers {
		for _, o := range t.offers {
			if o.expired(now) {
				late = append(late, o)
				continue
			}
			c.expireBy(o.Deadline)
		}
	}
	c.refuseAll(lapsed, result.GrantLapsed)
	c.refuseAll(late, result.DeadlinePassed)
}

func (c *Core) refuseAll(offers []*offer, code result.Code) {
	for _, o := range offers {
		c.drop(o)
		c.refuse(o.ID, code, 0)
	}
}
