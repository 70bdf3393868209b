package admission

import (
	"slices"
	"time"

	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// schedule grants offers while a slot is free.
func (c *Core) schedule(now time.Time) {
	for c.canGrant() {
		ch := c.next(now)
		if ch.offer == nil {
			return
		}
		c.grant(now, ch)
	}
}

// canGrant reports whether an offer is parked, work is accepted and a slot is
// free.
func (c *Core) canGrant() bool {
	if c.queue.parked == 0 || c.refusalCode() != result.OK {
		return false
	}
	return len(c.inFlight) < c.limiter.limit()
}

// next selects the offer to grant next; its offer is nil if none may be
// granted. An anti-starvation grant may take a slot reserved for higher tiers,
// because the tier might starve otherwise.
func (c *Core) next(now time.Time) choice {
	c.queue.suspectInFlight = slices.ContainsFunc(c.inFlight, func(o *offer) bool { return o.Suspect })
	slack := float64(c.FairSlack)
	if ch := c.queue.nextStarved(now, slack, &c.timings); ch.offer != nil {
		return ch
	}
	t := c.queue.highest()
	if t == nil || c.reserved(now, t.tier) {
		return choice{}
	}
	return choice{offer: c.queue.next(now, t, slack, &c.timings)}
}

// reserved reports whether the free slots are reserved for a higher tier that
// sent an offer recently.
func (c *Core) reserved(now time.Time, t table.Tier) bool {
	if len(c.inFlight) < c.limiter.unreserved() {
		return false
	}
	return c.queue.higherTierOffered(t, now.Add(-reserveWindow))
}

func (c *Core) grant(now time.Time, ch choice) {
	o := ch.offer
	c.queue.recordGrant(ch)
	c.queue.remove(o)
	if !ch.antiStarvation {
		o.class.advanceVirtualTime()
		o.account.advanceVirtualTime()
	}
	o.charge(o.cost)
	o.phase = granted
	o.grantExpiresAt = now.Add(c.GrantTimeout)
	o.limitVersion = c.limiter.version
	c.inFlight = append(c.inFlight, o)
	c.scheduleExpiry(o.grantExpiresAt)
	c.emit(Grant{ID: o.ID})
}

// scheduleExpiry ensures that expire runs its checks at t.
func (c *Core) scheduleExpiry(t time.Time) {
	if t.IsZero() {
		return
	}
	if c.nextExpiry.IsZero() || t.Before(c.nextExpiry) {
		c.nextExpiry = t
	}
}

// expire refuses grants whose body did not arrive in time and parked offers
// past their deadline.
func (c *Core) expire(now time.Time) {
	if c.nextExpiry.IsZero() || now.Before(c.nextExpiry) {
		return
	}
	c.nextExpiry = time.Time{}
	var lapsed, late []*offer
	for _, o := range c.inFlight {
		switch {
		case o.phase != granted:
		case now.Before(o.grantExpiresAt):
			c.scheduleExpiry(o.grantExpiresAt)
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
			c.scheduleExpiry(o.Deadline)
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
